package router

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busyUpstream refuses all requests with a Retry-After.
type busyUpstream struct {
	retryAfter time.Duration
	mu         sync.Mutex
	arrivals   []time.Time
}

// ServeHTTP implements http.Handler.
func (b *busyUpstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, time.Now())
	w.Header().Set("T-Id", "7")
	w.Header().Set("T-Not-Run", "yes")
	w.Header().Set("T-Retry-After", strconv.FormatInt(b.retryAfter.Milliseconds(), 10))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// start serves the upstream and returns its address.
func (b *busyUpstream) start(t *testing.T) string {
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// early returns how many requests arrived between half a second after the first refusal and the
// end of its Retry-After.
func (b *busyUpstream) early() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, at := range b.arrivals {
		if after := at.Sub(b.arrivals[0]); after > 500*time.Millisecond && after < b.retryAfter {
			count++
		}
	}
	return count
}

func TestUpstreamGetsNoRequestBeforeItsRetryAfterHasPassed(t *testing.T) {
	// Guards: an upstream that refuses a request with a Retry-After gets the next ones all the
	// same, each of which is refused.
	r, diskAddress := newRig(t, 0)
	upstream := &busyUpstream{retryAfter: 2 * time.Second}
	startDiskVM(t, diskAddress, upstream.start(t))
	r.eventually("the router is ready", r.ready)
	for began := time.Now(); time.Since(began) < upstream.retryAfter; time.Sleep(20 * time.Millisecond) {
		status, _ := r.call()
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	early := upstream.early()
	assert.Assert(t, early <= 2, "%d requests reached the upstream before its Retry-After had passed", early)
	assert.Assert(t, r.router.Stop())
}

func TestManyCallersAtOnceLeaveABusyUpstreamAlone(t *testing.T) {
	// Guards: of many requests under way at once, those that wait for a connection while an
	// upstream refuses the first ones still reach it.
	r, diskAddress := newRig(t, 0)
	upstream := &busyUpstream{retryAfter: 2 * time.Second}
	startDiskVM(t, diskAddress, upstream.start(t))
	r.eventually("the router is ready", r.ready)
	const callers = 50
	var calling sync.WaitGroup
	for range callers {
		calling.Go(func() {
			for began := time.Now(); time.Since(began) < upstream.retryAfter; time.Sleep(20 * time.Millisecond) {
				status, _ := r.call()
				assert.Check(t, status == http.StatusServiceUnavailable, "%d", status)
			}
		})
	}
	calling.Wait()
	early := upstream.early()
	assert.Assert(t, early <= 2, "%d requests reached the upstream before its Retry-After had passed", early)
	assert.Assert(t, r.router.Stop())
}
