package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The customer whose key is taken away has users on kept connections. Each sends a prompt of the mean size on
// magramp-south once a second, and goes on doing so after 401, as nobody has told it to stop. It sends no prompt
// again.
const (
	revokedUsers = 600
	revokedEvery = time.Second
	revokedLasts = 30 * time.Second
	promptBytes  = 12_000
	// promptDeadline is the deadline of order-tag.
	promptDeadline = 3 * time.Second
)

// The other customer sends an order now and then, of less than the largest size on magramp-south, on a new connection
// each.
const (
	ordersEvery   = 100 * time.Millisecond
	orderBytes    = 64 << 10
	orderTimeout  = 1500 * time.Millisecond
	orderDeadline = 4 * time.Second
	// timeoutSlack is how long after the route's timeout a final answer may come by the rule.
	timeoutSlack = 500 * time.Millisecond
	// leastLate is how many requests have to last longer than their route's timeout for the rule to count.
	leastLate = 8
)

// orders counts the orders by their ends. Late ones had no final answer at their route's timeout, overdue ones none
// half a second later, and unanswered ones none at all.
type orders struct{ sent, served, failed, late, overdue, unanswered atomic.Int64 }

func (o *orders) counts() map[string]int64 {
	return map[string]int64{
		"sent": o.sent.Load(), "served": o.served.Load(), "failed": o.failed.Load(), "late": o.late.Load(),
		"overdue": o.overdue.Load(), "unanswered": o.unanswered.Load(),
	}
}

// revoked takes the key of one customer away while its users are connected, and judges whether another
// customer's orders are answered in time.
func revoked(r *record, trouble bool) (bool, error) {
	f, err := newFleet(2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	for n := range 3 {
		if _, err := startServer(f, n, "order-desk", 64, func(s *server, w http.ResponseWriter, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			time.Sleep(20 * time.Millisecond)
			_, _ = w.Write([]byte("done"))
		}); err != nil {
			return false, err
		}
	}
	if err := f.configure(withKeys(1, map[string]string{"hule930": "key-a", "wano114": "key-b"})); err != nil {
		return false, err
	}
	quit := make(chan struct{})
	var done sync.WaitGroup
	var statuses sync.Map
	for n := range revokedUsers {
		done.Add(1)
		go func() {
			defer done.Done()
			time.Sleep(time.Duration(n) * revokedEvery / revokedUsers)
			user(f, n, quit, &statuses)
		}()
	}
	var ended orders
	done.Add(1)
	go func() {
		defer done.Done()
		for n := 0; ; n++ {
			select {
			case <-quit:
				return
			case <-time.After(ordersEvery):
			}
			done.Add(1)
			go func() {
				defer done.Done()
				order(f, r, n, &ended)
			}()
		}
	}()
	time.Sleep(5 * time.Second)
	r.write("before", ended.counts())
	keys := map[string]string{"hule930": "key-a2", "wano114": "key-b"}
	if !trouble {
		keys["hule930"] = "key-a"
	}
	r.write("configuration", map[string]any{"status": f.call(http.MethodPut, "/config", withKeys(2, keys)), "keys": keys})
	time.Sleep(revokedLasts)
	close(quit)
	done.Wait()
	answers := map[string]int64{}
	statuses.Range(func(status, count any) bool {
		answers[http.StatusText(status.(int))] = count.(*atomic.Int64).Load()
		return true
	})
	r.write("users", answers)
	r.write("counts", ended.counts())
	// CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no answer half a
	// second later.
	return ended.late.Load() >= leastLate && 2*ended.overdue.Load() > ended.late.Load(), nil
}

// withKeys returns a configuration with customers and a key for each.
func withKeys(version int, keys map[string]string) []byte {
	body := configuration(version, []string{"order-desk"},
		route{Name: "order-tag", Host: host, PathPrefix: "/pufi791/", RouteType: "idempotent", TimeoutMS: 3000, SLOMS: 400, Priority: 2,
			Service: "order-desk", MaxAttempts: 2},
		route{Name: "truck-release", Host: host, PathPrefix: "/lohu930/", RouteType: "non_idempotent", TimeoutMS: float64(orderTimeout.Milliseconds()),
			SLOMS: 200, Priority: 1, Service: "order-desk", MaxAttempts: 1})
	var document map[string]any
	_ = json.Unmarshal(body, &document)
	var tenants []map[string]any
	for name, key := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}, "priority": 1})
	}
	document["tenants"] = tenants
	body, _ = json.Marshal(document)
	return body
}

// user sends requests of the first customer on a kept connection.
func user(f *fleet, n int, quit chan struct{}, statuses *sync.Map) {
	var kept *connection
	for {
		select {
		case <-quit:
			if kept != nil {
				_ = kept.Close()
			}
			return
		case <-time.After(revokedEvery):
		}
		if kept == nil {
			c, err := dial(f.frontend(n % 2))
			if err != nil {
				continue
			}
			kept = c
		}
		id, began := newAttempt(), time.Now()
		got := answer{}
		if kept.sendWithKey("key-a", http.MethodPost, "/pufi791/2f", id, promptDeadline, strings.Repeat("p", promptBytes)) == nil {
			got = kept.receive(began, http.MethodPost, promptDeadline)
		}
		count, _ := statuses.LoadOrStore(got.Status, &atomic.Int64{})
		count.(*atomic.Int64).Add(1)
		if !got.Complete || got.Close {
			_ = kept.Close()
			kept = nil
		}
	}
}

// order sends an order of the second customer on a new connection.
func order(f *fleet, r *record, n int, ended *orders) {
	c, err := dial(f.frontend(n % 2))
	if err != nil {
		ended.failed.Add(1)
		return
	}
	defer func() { _ = c.Close() }()
	id, began := newAttempt(), time.Now()
	ended.sent.Add(1)
	got := answer{}
	if c.sendWithKey("key-b", http.MethodPost, "/lohu930/2f", id, orderDeadline, strings.Repeat("o", orderBytes)) == nil {
		got = c.receive(began, http.MethodPost, orderDeadline)
	}
	r.write("order", map[string]any{"id": id, "answer": got})
	took := time.Duration(got.TookMS) * time.Millisecond
	if took > orderTimeout {
		ended.late.Add(1)
	}
	if took > orderTimeout+timeoutSlack {
		ended.overdue.Add(1)
	}
	switch {
	case got.Complete && got.Status == http.StatusOK:
		ended.served.Add(1)
	case got.Status == 0:
		ended.unanswered.Add(1)
	default:
		ended.failed.Add(1)
	}
}
