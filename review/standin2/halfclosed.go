package main

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// giveUpFrom and giveUpFor say when clients leave: give_up lasts 5.5 s on magramp-south.
const (
	giveUpFrom = 3 * time.Second
	giveUpFor  = 5500 * time.Millisecond
	giveUpRun  = 12 * time.Second
)

// halfClosed lets, for some seconds, a fifth of the clients leave early by closing their direction of the connection and
// then reading to its end, as a graceful close of TCP does.
func halfClosed(r *record, trouble bool) (bool, error) {
	f, err := newFleet(2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	for n := range 3 {
		if _, err := startServer(f, n, "order-desk", 6, func(s *server, w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Attempt-Id")
			r.write("run", map[string]any{"id": id, "server": s.id})
			select {
			case <-time.After(120 * time.Millisecond):
				_, _ = w.Write([]byte("done " + id))
				r.write("answered", map[string]any{"id": id, "server": s.id})
			case <-q.Context().Done():
				r.write("dropped", map[string]any{"id": id, "server": s.id})
			}
		}); err != nil {
			return false, err
		}
	}
	if err := f.configure(configuration(1, []string{"order-desk"}, route{
		Name: "truck-release", Host: host, PathPrefix: "/lohu930/", RouteType: "non_idempotent", TimeoutMS: 800,
		SLOMS: 100, Priority: 2, Service: "order-desk", MaxAttempts: 1, Public: true,
	})); err != nil {
		return false, err
	}
	var wrong, left atomic.Int64
	first := time.Now()
	for n := 0; time.Since(first) < giveUpRun; n++ {
		c, err := dial(f.frontend(n % 2))
		if err != nil {
			continue
		}
		id, began := newAttempt(), time.Now()
		_ = c.send(http.MethodPost, "/lohu930/2f", id, clientDeadline, "order "+id)
		since := time.Since(first)
		leaves := trouble && n%5 == 0 && since >= giveUpFrom && since < giveUpFrom+giveUpFor
		if leaves {
			left.Add(1)
			time.Sleep(50 * time.Millisecond)
			_ = c.Conn.(*net.TCPConn).CloseWrite()
		}
		got := c.receive(began, http.MethodPost, clientDeadline)
		_ = c.Close()
		r.write("client", map[string]any{"id": id, "leaves": leaves, "answer": got})
		if got.Complete && got.Status/100 == 2 && got.Signature == "" {
			wrong.Add(1)
			r.write("unsigned-success", map[string]any{"id": id, "answer": got})
		}
	}
	r.write("counts", map[string]int64{"left": left.Load(), "unsigned_successes": wrong.Load()})
	return wrong.Load() > 0, nil
}
