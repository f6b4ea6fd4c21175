package main

import (
	"bytes"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The plain service whose users come at once: three servers with six slots and a queue of 24, as the
// order-desk of magramp-south has.
const (
	deskSlots, deskQueue = 6, 24
	deskWork             = 60 * time.Millisecond
	usualRate            = 220
	// burstX, burstFor and bursts are the strength and length of burst on magramp-south, and how often it
	// comes.
	burstX   = 1.7
	burstFor = 3 * time.Second
	bursts   = 3
)

// The other service: its answers are large, and its clients' links slow. It is never short of capacity.
const (
	documentBytes = 256 << 10
	linkBytes     = 8 << 10
	linkPause     = 55 * time.Millisecond
	readers       = 8
)

// slowReaders lets many users of one service come at once, and judges whether the clients of another
// service get their answers.
func slowReaders(r *record, trouble bool) (bool, error) {
	f, err := newFleet(2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	document := bytes.Repeat([]byte("d"), documentBytes)
	var shed atomic.Int64
	for n := range 3 {
		slots, queue := make(chan struct{}, deskSlots), make(chan struct{}, deskSlots+deskQueue)
		if _, err := startServer(f, n, "order-desk", deskSlots, func(s *server, w http.ResponseWriter, q *http.Request) {
			select {
			case queue <- struct{}{}:
			default:
				shed.Add(1)
				w.Header().Set("Not-Executed", "1")
				w.Header().Del("Server-Signature")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer func() { <-queue }()
			slots <- struct{}{}
			defer func() { <-slots }()
			time.Sleep(deskWork)
			_, _ = w.Write([]byte("done"))
		}); err != nil {
			return false, err
		}
	}
	for n := range 2 {
		if _, err := startServer(f, 3+n, "document-desk", 64, func(s *server, w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Attempt-Id")
			r.write("run", map[string]any{"id": id, "server": s.id})
			_, err := w.Write(document)
			r.write("answered", map[string]any{"id": id, "server": s.id, "whole": err == nil})
		}); err != nil {
			return false, err
		}
	}
	if err := f.configure(configuration(1, []string{"order-desk", "document-desk"},
		route{Name: "ramp-ack", Host: host, PathPrefix: "/pufi791/", RouteType: "idempotent", TimeoutMS: 4000, SLOMS: 300, Priority: 2,
			Service: "order-desk", MaxAttempts: 2, Public: true},
		route{Name: "paperwork", Host: host, PathPrefix: "/lohu930/", RouteType: "non_idempotent", TimeoutMS: 12_000, SLOMS: 1000, Priority: 1,
			Service: "document-desk", MaxAttempts: 1, Public: true},
	)); err != nil {
		return false, err
	}
	quit := make(chan struct{})
	var done sync.WaitGroup
	var complete, lost, other, acks, refused atomic.Int64
	for n := range readers {
		done.Add(1)
		go func() {
			defer done.Done()
			var kept *connection
			for {
				select {
				case <-quit:
					return
				default:
				}
				if kept == nil {
					c, err := dialSlowly(f.frontend(n % 2))
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					kept = c
				}
				id, began, earlier := newAttempt(), time.Now(), kept.sent
				got := answer{}
				if err := kept.send(http.MethodPost, "/lohu930/2f", id, 12*time.Second, "paperwork "+id); err == nil {
					got = kept.receive(began, http.MethodPost, 12*time.Second)
				}
				r.write("client", map[string]any{"id": id, "earlier_on_connection": earlier, "answer": got})
				switch {
				case got.Complete && got.Status == http.StatusOK && got.Bytes == documentBytes:
					complete.Add(1)
				case !got.Complete && earlier > 0 && got.Status == http.StatusOK:
					lost.Add(1)
					r.write("lost", map[string]any{"id": id, "answer": got})
				default:
					other.Add(1)
				}
				if !got.Complete || got.Close {
					_ = kept.Close()
					kept = nil
				}
			}
		}()
	}
	var rate atomic.Int64
	rate.Store(usualRate)
	done.Add(1)
	go func() {
		defer done.Done()
		users(f, &rate, quit, &acks, &refused)
	}()
	time.Sleep(6 * time.Second)
	for range bursts {
		if trouble {
			r.write("trouble", map[string]any{"kind": "burst", "x": burstX, "for_s": burstFor.Seconds()})
			rate.Store(int64(burstX * usualRate))
		}
		time.Sleep(burstFor)
		rate.Store(usualRate)
		time.Sleep(7 * time.Second)
	}
	close(quit)
	done.Wait()
	r.write("counts", map[string]int64{"documents": complete.Load(), "lost": lost.Load(), "other": other.Load(), "acknowledgements": acks.Load(), "refused": refused.Load(), "rejected_by_servers": shed.Load()})
	// LOST: more than three times.
	return lost.Load() > 3, nil
}

// slowLink is a client's connection over a slow link.
type slowLink struct{ net.Conn }

func (l slowLink) Read(buffer []byte) (int, error) {
	time.Sleep(linkPause)
	return l.Conn.Read(buffer[:min(len(buffer), linkBytes)])
}

// dialSlowly opens a connection over a slow link, whose buffers are small.
func dialSlowly(address string) (*connection, error) {
	c, err := dial(address)
	if err != nil {
		return nil, err
	}
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(2 * linkBytes); err != nil {
		return nil, err
	}
	c.reader.Reset(slowLink{c.Conn})
	return c, nil
}

// users send requests at a rate, each on a connection of its own.
func users(f *fleet, rate *atomic.Int64, quit chan struct{}, acks, refused *atomic.Int64) {
	var done sync.WaitGroup
	next := time.Now()
	for n := 0; ; n++ {
		select {
		case <-quit:
			done.Wait()
			return
		default:
		}
		time.Sleep(time.Until(next))
		next = next.Add(time.Second / time.Duration(rate.Load()))
		done.Add(1)
		go func() {
			defer done.Done()
			c, err := dial(f.frontend(n % 2))
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			id, began := newAttempt(), time.Now()
			if c.send(http.MethodGet, "/pufi791/2f", id, 4*time.Second, "") != nil {
				return
			}
			switch got := c.receive(began, http.MethodGet, 4*time.Second); got.Status {
			case http.StatusOK:
				acks.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			}
		}()
	}
}
