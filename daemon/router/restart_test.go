package router

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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
