package router

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/roster"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/settings/direct"
)

// slotServer is an upstream that runs a few requests at once and lets others wait. It rejects
// those for which it has no room.
type slotServer struct {
	slots, room int
	takes       time.Duration
	running     chan struct{}
	mu          sync.Mutex
	held        int
	// breaks is how many requests go by between two whose connection it breaks off, 0 for none;
	// received counts requests, and broken holds the targets of those that it broke off.
	breaks   int
	received int
	broken   map[string]bool
}

func newSlotServer(slots int, takes time.Duration) *slotServer {
	return &slotServer{slots: slots, room: 5 * slots, takes: takes, running: make(chan struct{}, slots), broken: map[string]bool{}}
}

// ServeHTTP implements http.Handler.
func (s *slotServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("T-Id", r.Header.Get("T-Id"))
	admitted, breaks := s.begin(r.URL.Path)
	if !admitted {
		w.Header().Set("T-Not-Run", "yes")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running <- struct{}{}
	time.Sleep(s.takes)
	<-s.running
	s.mu.Lock()
	s.held--
	running := min(s.held, s.slots)
	w.Header().Set("T-Load", fmt.Sprintf("%d,%d,%d", running, s.held-running, s.slots))
	s.mu.Unlock()
	if breaks {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("T-Signed", "yes")
	_, _ = io.WriteString(w, "done")
}

// begin takes a place for a request, and says whether to break it off.
func (s *slotServer) begin(target string) (admitted, breaks bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held >= s.room {
		return false, false
	}
	s.held++
	s.received++
	breaks = s.breaks > 0 && s.received%s.breaks == 0
	if breaks {
		s.broken[target] = true
	}
	return true, breaks
}

// The table of a limitedFleet has a route for each rank.
const (
	limitedObjective = 300 * time.Millisecond
	callerPatience   = 4 * time.Second
)

// parseRankedTable returns a table with the routes /rank0/ to /rank3/, of these ranks, and /once/,
// whose requests may run once only.
func parseRankedTable(version uint64, _ []byte) (*routing.Table, error) {
	table := &routing.Table{Version: version, Services: []routing.Service{{Name: "s"}}, Limits: routing.Limits{MaxBodyBytes: 1000}}
	for _, name := range []string{"large", "small-1", "small-2", "small-3"} {
		table.Customers = append(table.Customers, routing.Customer{Name: protocol.CustomerID(name), Keys: []string{name}})
	}
	add := func(name string, priority int, repeat routing.Repeat, attempts int) {
		table.Routes = append(table.Routes, routing.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Public: true, Timeout: callerPatience, Objective: limitedObjective,
			Priority: priority, Repeat: repeat, MaxAttempts: attempts, Split: []routing.Share{{Service: "s", Weight: 1}},
		})
	}
	for rank := range 4 {
		add(fmt.Sprint("rank", rank), rank, routing.Idempotent, 2)
	}
	add("once", 0, routing.Once, 1)
	return table, nil
}

// limitedFleet is three routers with admission before a few slotServers.
type limitedFleet struct {
	*testFleet
	servers []*slotServer
	// callers are the addresses at which the routers take requests, also after they are started anew.
	callers []string
}

func startLimitedFleet(t *testing.T, servers ...*slotServer) *limitedFleet {
	t.Helper()
	peers := freePort(t)
	f := &limitedFleet{testFleet: &testFleet{}, servers: servers}
	for _, ip := range []string{"127.0.0.1", "127.0.0.3", "127.0.0.4"} {
		lines, callers := &lockedBuffer{}, fmt.Sprintf("%s:%d", ip, freePort(t))
		f.callers = append(f.callers, callers)
		f.lines = append(f.lines, lines)
		f.starts = append(f.starts, func() *rig {
			return startRig(t, ip, peers, func(options *Options) {
				options.Settings.Admission = direct.Defaults().Admission
				options.Settings.Admission.Enabled = true
				options.Settings.Listen.Callers = callers
				options.Settings.Listen.Metrics = fmt.Sprintf("%s:%d", ip, freePort(t))
				options.ParseTable = parseRankedTable
				options.Log, options.RequestLog = zerolog.New(lines), zerolog.New(lines)
			})
		})
		f.routers = append(f.routers, f.starts[len(f.starts)-1]())
	}
	var entries []roster.Entry
	for i, server := range servers {
		listening := httptest.NewServer(server)
		t.Cleanup(listening.Close)
		entries = append(entries, roster.Entry{
			ID: protocol.UpstreamID(fmt.Sprint("u", i)), Service: "s", Address: strings.TrimPrefix(listening.URL, "http://"),
			State: roster.Ready, Sequence: 1, Slots: server.slots,
		})
	}
	f.diskVM = startDiskVMListing(t, fmt.Sprintf("127.0.0.2:%d", peers), entries)
	f.await()
	return f
}

// result is what a caller got.
type result struct {
	target   string
	router   int
	at       time.Duration
	took     time.Duration
	status   int
	reserved bool
	after    time.Duration
}

// ask sends a request to a router.
func (f *limitedFleet) ask(router int, target string) result {
	got := result{target: target, router: router}
	began := time.Now()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.callers[router]+target, strings.NewReader(target))
	if err != nil {
		panic(err)
	}
	request.Host = "h"
	request.Header.Set("T-Id", target)
	// The customer of a target is the part between the rank and the number, if there is any.
	if parts := strings.Split(target, "/"); len(parts) > 3 {
		request.Header.Set("T-Key", parts[2])
	}
	request.Header.Set("T-Left", strconv.FormatInt(callerPatience.Milliseconds(), 10))
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return got
	}
	defer func() { _ = response.Body.Close() }()
	var refusal struct{ Reserved bool }
	body, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(body, &refusal)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	got.status, got.took, got.reserved = response.StatusCode, time.Since(began), refusal.Reserved
	got.after = time.Duration(seconds * float64(time.Second))
	return got
}

// flow sends requests of a route at a rate to all routers in turn, and hands over each result.
func (f *limitedFleet) flow(route string, perSecond int, period time.Duration, each func(result)) {
	var asking sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	began := time.Now()
	for n := 0; time.Since(began) < period; n++ {
		<-ticker.C
		at := time.Since(began)
		asking.Go(func() {
			got := f.ask(n%len(f.callers), fmt.Sprintf("/%s/%d", route, n))
			got.at = at
			each(got)
		})
	}
	asking.Wait()
}

// flows runs several flows at once, and returns the results of each route.
func (f *limitedFleet) flows(period time.Duration, perSecond map[string]int) map[string][]result {
	var mu sync.Mutex
	var running sync.WaitGroup
	results := map[string][]result{}
	for route, rate := range perSecond {
		running.Go(func() {
			f.flow(route, rate, period, func(got result) {
				mu.Lock()
				defer mu.Unlock()
				results[route] = append(results[route], got)
			})
		})
	}
	running.Wait()
	return results
}

// outcomes counts the results from a time on by status, and those that were served late.
func outcomes(results []result, from time.Duration) string {
	statuses, late := map[int]int{}, 0
	for _, got := range results {
		if got.at < from {
			continue
		}
		statuses[got.status]++
		if got.status == http.StatusOK && got.took > limitedObjective {
			late++
		}
	}
	return fmt.Sprintf("by status %v, %d late", statuses, late)
}

// servedShare returns the part of the results from a time on that were served within the objective.
func servedShare(results []result, from time.Duration) float64 {
	all, served := 0.0, 0.0
	for _, got := range results {
		if got.at < from {
			continue
		}
		all++
		if got.status == http.StatusOK && got.took <= limitedObjective {
			served++
		}
	}
	return served / all
}

// reset empties the log.
func (b *lockedBuffer) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.text.Reset()
}
