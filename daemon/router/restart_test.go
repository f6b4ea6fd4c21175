package router

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/settings/direct"
	"endiveplank/transport/forward"
)

// failingUpstream answers every request with an error, and counts the requests.
type failingUpstream struct {
	arrivals atomic.Int64
}

// ServeHTTP implements http.Handler.
func (u *failingUpstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	u.arrivals.Add(1)
	w.Header().Set("T-Id", "7")
	w.Header().Set("T-Signed", "yes")
	w.WriteHeader(http.StatusInternalServerError)
}

// startFailingUpstreams starts a disk VM that lists two upstreams which fail all requests.
func startFailingUpstreams(t *testing.T, diskAddress string) *failingUpstream {
	t.Helper()
	upstream := &failingUpstream{}
	var addresses []string
	for range 2 {
		server := httptest.NewServer(upstream)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	startDiskVM(t, diskAddress, addresses...)
	return upstream
}

// Guards: a router that is started again and again sends as many retries after each start as if it
// had sent none before.
func TestRouterStartedAgainSendsNoRetriesOfItsPredecessors(t *testing.T) {
	peers := freePort(t)
	upstream := startFailingUpstreams(t, fmt.Sprintf("127.0.0.2:%d", peers))
	retries := direct.Retries{Ratio: 0.2, Slack: 5, WindowMS: 60_000}
	const starts, calls = 6, 10
	for range starts {
		r := startRig(t, "127.0.0.1", peers, func(options *Options) { options.Settings.Retries = retries })
		r.eventually("the router is ready", r.ready)
		for range calls {
			status, _ := r.callPath("/stream/x")
			assert.Assert(t, status >= http.StatusInternalServerError, "%d", status)
		}
		assert.Assert(t, r.router.Stop())
	}
	repeats := float64(upstream.arrivals.Load() - starts*calls)
	allowed := retries.Ratio*starts*calls + retries.Slack
	assert.Assert(t, repeats <= allowed, "%v retries, allowed are %v", repeats, allowed)
}

// Guards: a router that has counted for a whole window doesn't retry either.
func TestRouterRetriesOnceItHasCountedForAWindow(t *testing.T) {
	peers := freePort(t)
	upstream := startFailingUpstreams(t, fmt.Sprintf("127.0.0.2:%d", peers))
	retries := direct.Retries{Ratio: 0.2, Slack: 5, WindowMS: 1000}
	r := startRig(t, "127.0.0.1", peers, func(options *Options) { options.Settings.Retries = retries })
	r.eventually("the router is ready", r.ready)
	time.Sleep(retries.Window())
	status, _ := r.callPath("/stream/x")
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Equal(t, upstream.arrivals.Load(), int64(3))
	assert.Assert(t, r.router.Stop())
}

// countingUpstream answers every request with an error, and keeps when each arrived.
type countingUpstream struct {
	mu       sync.Mutex
	arrived  map[string]bool
	requests []time.Time
	repeats  []time.Time
}

// ServeHTTP implements http.Handler.
func (u *countingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("T-Id")
	u.mu.Lock()
	if u.arrived[id] {
		u.repeats = append(u.repeats, time.Now())
	}
	u.arrived[id] = true
	u.mu.Unlock()
	w.Header().Set("T-Id", id)
	w.Header().Set("T-Signed", "yes")
	w.WriteHeader(http.StatusInternalServerError)
}

// sent records that a caller sends a request.
func (u *countingUpstream) sent() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests = append(u.requests, time.Now())
}

// worstWindow returns the repeats of the window with most of them beyond what is allowed, and what is
// allowed there. As operators count, the requests are those of the window, of the one before it, or of
// the one half a window before it.
func (u *countingUpstream) worstWindow(budget direct.Retries, began, ended time.Time) (repeats int, allowed float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	within := func(times []time.Time, from time.Time) int {
		count := 0
		for _, at := range times {
			if !at.Before(from) && at.Before(from.Add(budget.Window())) {
				count++
			}
		}
		return count
	}
	worst := math.Inf(-1)
	for from := began; from.Before(ended); from = from.Add(20 * time.Millisecond) {
		requests := max(within(u.requests, from), within(u.requests, from.Add(-budget.Window()/2)), within(u.requests, from.Add(-budget.Window())))
		may := budget.Ratio*float64(requests) + budget.Slack
		if got := within(u.repeats, from); float64(got)-may > worst {
			worst, repeats, allowed = float64(got)-may, got, may
		}
	}
	return repeats, allowed
}

// Guards: several routers that are stopped and started again in series, while every upstream fails,
// together send a service more repeats than the fleet may.
func TestRoutersRestartedInSeriesKeepTheBudgetOfTheFleet(t *testing.T) {
	peers := freePort(t)
	upstream := &countingUpstream{arrived: map[string]bool{}}
	var addresses []string
	for range 3 {
		server := httptest.NewServer(upstream)
		t.Cleanup(server.Close)
		addresses = append(addresses, strings.TrimPrefix(server.URL, "http://"))
	}
	startDiskVM(t, fmt.Sprintf("127.0.0.2:%d", peers), addresses...)
	budget := direct.Retries{Ratio: 0.2, Slack: 9, WindowMS: 2000}
	ips := []string{"127.0.0.1", "127.0.0.3", "127.0.0.4"}
	start := func(n int) *rig {
		return startRig(t, ips[n], peers, func(options *Options) { options.Settings.Retries = budget })
	}
	rigs := make([]atomic.Pointer[rig], len(ips))
	for n := range ips {
		rigs[n].Store(start(n))
	}
	for n := range ips {
		rigs[n].Load().eventually("the router is ready", rigs[n].Load().ready)
	}
	began, quit := time.Now(), make(chan struct{})
	var calling sync.WaitGroup
	for n := range ips {
		calling.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-quit:
					return
				case <-time.After(15 * time.Millisecond):
				}
				upstream.sent()
				_ = rigs[n].Load().send("/stream/x", fmt.Sprint(n, "-", i))
			}
		})
	}
	for restart := range 24 {
		time.Sleep(300 * time.Millisecond)
		n := restart % (len(ips) - 1) // one router lives on, and sends repeats
		assert.Assert(t, rigs[n].Load().router.Stop())
		rigs[n].Store(start(n))
	}
	close(quit)
	calling.Wait()
	repeats, allowed := upstream.worstWindow(budget, began, time.Now())
	t.Logf("%d repeats of %d requests, %d in the worst window, where %.0f are allowed", len(upstream.repeats), len(upstream.requests), repeats, allowed)
	assert.Assert(t, float64(repeats) <= allowed, "%d repeats in a window, allowed are %.0f", repeats, allowed)
	assert.Assert(t, len(upstream.repeats) > 0, "nothing was sent again")
	for n := range ips {
		assert.Assert(t, rigs[n].Load().router.Stop())
	}
}

// send sends a request with an ID and returns the status, 0 if there is no answer.
func (r *rig) send(path, id string) int {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.settings.Listen.Callers+path, nil)
	if err != nil {
		return 0
	}
	request.Host = "h"
	request.Header.Set("T-Id", id)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// retriesGranted returns how many retries the router grants at once.
func (r *rig) retriesGranted() int {
	granted := 0
	for r.router.TakeRetry(forward.Job{Service: "s"}) {
		granted++
	}
	return granted
}

// fleetRetries divides 30 retries a window among all routers.
var fleetRetries = direct.Retries{Slack: 30, WindowMS: 300}

// Guards: a router that hears from no disk VM any more takes the other routers' shares of the retry
// budget as well, which these still use.
func TestRetryShareDoesNotGrowWithoutDiskVMs(t *testing.T) {
	peers := freePort(t)
	release, received := make(chan struct{}), make(chan struct{}, 10)
	close(release)
	vm := startDiskVM(t, fmt.Sprintf("127.0.0.2:%d", peers), startUpstream(t, release, received))
	var rigs []*rig
	for _, ip := range []string{"127.0.0.1", "127.0.0.3", "127.0.0.4"} {
		rigs = append(rigs, startRig(t, ip, peers, func(options *Options) { options.Settings.Retries = fleetRetries }))
	}
	r := rigs[0]
	const share = 10
	r.eventually("the routers know each other", func() bool {
		granted := r.retriesGranted()
		return granted > 0 && granted <= share
	})
	vm.fabric.Close()
	for began := time.Now(); time.Since(began) < 5*time.Second; time.Sleep(fleetRetries.Window() / 2) {
		granted := r.retriesGranted()
		assert.Assert(t, granted <= share, "%d retries at once, its share are %d", granted, share)
	}
	for _, r := range rigs {
		assert.Assert(t, r.router.Stop())
	}
}

// Guards: a router that has never heard how many routers there are takes the whole retry budget.
func TestRouterThatKnowsNoOthersHasNoShareOfTheRetryBudget(t *testing.T) {
	r := startRig(t, "127.0.0.1", freePort(t), func(options *Options) { options.Settings.Retries = fleetRetries })
	time.Sleep(2 * fleetRetries.Window())
	assert.Equal(t, r.retriesGranted(), 0)
	assert.Assert(t, r.router.Stop())
}
