package main

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The answers of case slow-answers: 16 pieces of 16 KB, one after the other without a pause between them
// that is longer than piecePause, or slowX times that on a server that is slow.
const (
	pieces     = 16
	pieceBytes = 16 << 10
	piecePause = 6 * time.Millisecond
	// slowX, slowFor and slowTimes are the strength and length of srv_slow on magramp-south, and how often it comes.
	slowX     = 5
	slowFor   = 6500 * time.Millisecond
	slowTimes = 4
	// slowServers is how many servers the service has; one in seven is slow at a time: 0.143, and the site has 0.16.
	slowServers = 7
	// clients send one request after the other on kept connections.
	clients = 6
	// The bounds of ramp-ack on magramp-south.
	routeTimeout   = 800 * time.Millisecond
	clientDeadline = 1500 * time.Millisecond
)

// slowAnswers lets one of seven servers be slow now and then, and judges whether complete answers reach
// the clients.
func slowAnswers(r *record, trouble bool) (bool, error) {
	f, err := newFleet(2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	var slow atomic.Pointer[server]
	// cutAtServer holds the requests whose connection the router closed while the server, which had begun to
	// answer, still sent.
	var mu sync.Mutex
	cutAtServer := map[string]time.Duration{}
	piece := bytes.Repeat([]byte("x"), pieceBytes)
	var servers []*server
	for n := range slowServers {
		s, err := startServer(f, n, "order-desk", 6, func(s *server, w http.ResponseWriter, q *http.Request) {
			began, id := time.Now(), q.Header.Get("Attempt-Id")
			r.write("run", map[string]any{"id": id, "server": s.id, "slow": slow.Load() == s})
			for range pieces {
				pause := piecePause
				if slow.Load() == s {
					pause *= slowX
				}
				time.Sleep(pause)
				_, err := w.Write(piece)
				if flushErr := http.NewResponseController(w).Flush(); err != nil || flushErr != nil || q.Context().Err() != nil {
					mu.Lock()
					cutAtServer[id] = time.Since(began)
					mu.Unlock()
					r.write("cut-by-router", map[string]any{"id": id, "server": s.id, "after_ms": time.Since(began).Milliseconds()})
					return
				}
			}
			r.write("answered", map[string]any{"id": id, "server": s.id, "took_ms": time.Since(began).Milliseconds()})
		})
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	if err := f.configure(configuration(1, []string{"order-desk"}, route{
		Name: "ramp-ack", Host: host, PathPrefix: "/pufi791/", RouteType: "idempotent", TimeoutMS: float64(routeTimeout.Milliseconds()),
		SLOMS: 100, Priority: 2, Service: "order-desk", MaxAttempts: 2, Public: true,
	})); err != nil {
		return false, err
	}
	quit := make(chan struct{})
	var done sync.WaitGroup
	var lost, complete, refused, other atomic.Int64
	for n := range clients {
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
					c, err := dial(f.frontend(n % 2))
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					kept = c
				}
				id, began, earlier := newAttempt(), time.Now(), kept.sent
				got := answer{}
				if err := kept.send(http.MethodGet, "/pufi791/2f", id, clientDeadline, ""); err == nil {
					got = kept.receive(began, http.MethodGet, clientDeadline)
				}
				r.write("client", map[string]any{"id": id, "earlier_on_connection": earlier, "answer": got})
				mu.Lock()
				_, cut := cutAtServer[id]
				mu.Unlock()
				switch {
				case got.Complete && got.Status == http.StatusOK && got.Bytes == pieces*pieceBytes:
					complete.Add(1)
				case got.Complete && got.Status == http.StatusServiceUnavailable:
					refused.Add(1)
				case !got.Complete && earlier > 0 && got.TookMS < routeTimeout.Milliseconds():
					// The router had passed the request on, and closed the kept connection well before the
					// route's timeout.
					lost.Add(1)
					r.write("lost", map[string]any{"id": id, "server_cut": cut, "answer": got})
				default:
					other.Add(1)
				}
				if !got.Complete || got.Close {
					_ = kept.Close()
					kept = nil
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(2 * time.Second)
	for n := range slowTimes {
		if trouble {
			slow.Store(servers[n%len(servers)])
			r.write("trouble", map[string]any{"kind": "srv_slow", "server": servers[n%len(servers)].id, "x": slowX, "for_s": slowFor.Seconds()})
		}
		time.Sleep(slowFor)
		slow.Store(nil)
		time.Sleep(2 * time.Second)
	}
	close(quit)
	done.Wait()
	r.write("counts", map[string]int64{"complete": complete.Load(), "lost": lost.Load(), "refused": refused.Load(), "other": other.Load()})
	// LOST: more than three times.
	return lost.Load() > 3, nil
}
