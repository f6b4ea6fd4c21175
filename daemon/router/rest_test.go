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

// busyUpstream refuses all requests and asks for rest.
type busyUpstream struct {
	rest     time.Duration
	mu       sync.Mutex
	arrivals []time.Time
}

// ServeHTTP implements http.Handler.
func (b *busyUpstream) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, time.Now())
	w.Header().Set("T-Id", "7")
	w.Header().Set("T-Not-Run", "yes")
	w.Header().Set("T-Rest", strconv.FormatInt(b.rest.Milliseconds(), 10))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// start serves the upstream and returns its address.
func (b *busyUpstream) start(t *testing.T) string {
	server := httptest.NewServer(b)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// inFirstRest returns how many requests arrived between half a second after the first one and the
// end of the rest that its refusal asked for.
func (b *busyUpstream) inFirstRest() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for _, at := range b.arrivals {
		if after := at.Sub(b.arrivals[0]); after > 500*time.Millisecond && after < b.rest {
			count++
		}
	}
	return count
}

func TestUpstreamThatAsksForRestGetsIt(t *testing.T) {
	// Guards: an upstream that refuses a request and asks for rest gets the next ones all the
	// same, each of which is refused.
	r, diskAddress := newRig(t, 0)
	upstream := &busyUpstream{rest: 2 * time.Second}
	startDiskVM(t, diskAddress, upstream.start(t))
	r.eventually("the router is ready", r.ready)
	for began := time.Now(); time.Since(began) < upstream.rest; time.Sleep(20 * time.Millisecond) {
		status, _ := r.call()
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	inRest := upstream.inFirstRest()
	assert.Assert(t, inRest <= 2, "%d requests reached the upstream in its rest", inRest)
	assert.Assert(t, r.router.Stop())
}
