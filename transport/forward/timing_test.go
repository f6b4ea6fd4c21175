package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/transport/peerproxy"
)

func TestARequestWithoutCapacityGetsARetryAfter(t *testing.T) {
	// Engines have twice the work that they can do. A caller that is refused at once
	// and retries within the objective may still be answered in time.
	r := newTestRouter(t)
	r.noChoiceReason = balance.ReasonNoCapacity
	began := time.Now()
	got := r.call("/idem/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.retryAfter, "0.50", "half of the objective")
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
	assert.Equal(t, len(r.timed), 0)
}

func TestEachAttemptIsTimedOnce(t *testing.T) {
	// The router learns the engines' capacity from how long answers take to begin. An
	// attempt that is refused because the queue is full, or whose caller gives up,
	// counts like a late answer. The end of a long answer must not count.
	late := 700 * time.Millisecond
	for name, c := range map[string]struct {
		path      string
		upstreams []http.HandlerFunc
		timed     []bool
	}{
		"at once":              {"/idem/x", []http.HandlerFunc{serves("done")}, []bool{true}},
		"a stream":             {"/stream/x", []http.HandlerFunc{streams(3, 0)}, []bool{true}},
		"after half the time":  {"/idem/x", []http.HandlerFunc{after(late, serves("done"))}, []bool{false}},
		"full, then at once":   {"/idem/x", []http.HandlerFunc{refuses(http.StatusServiceUnavailable, true), serves("done")}, []bool{false, true}},
		"an error":             {"/single/x", []http.HandlerFunc{refuses(http.StatusInternalServerError, false)}, nil},
		"nobody listens there": {"/single/x", []http.HandlerFunc{nil}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t, c.upstreams...)
			r.call(c.path)
			r.server.Close()
			assert.DeepEqual(t, r.timed, c.timed)
		})
	}
}

func TestAnAnswerWhoseCallerLeftIsTimedAsLate(t *testing.T) {
	// Callers of overloaded engines disconnect before the answer begins. If that
	// didn't count as late, only the answers to callers who wait would be known.
	stop := make(chan struct{})
	defer close(stop)
	r := newTestRouter(t, hangs(stop))
	got := r.call("/quick/x")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.DeepEqual(t, r.timed, []bool{false})
}

func TestTimeLostOnTheWayToAnUpstreamIsNoLateAnswer(t *testing.T) {
	// Guards: a router's paths or its proxies fail slowly, it takes that for answers that begin
	// late, and refuses requests that upstreams could begin in time.
	late := 700 * time.Millisecond
	for name, c := range map[string]struct {
		upstreams []http.HandlerFunc
		timed     []bool
	}{
		"a proxy that sends nothing":   {[]http.HandlerFunc{after(late, proxyRefuses(peerproxy.RefusalIsolated)), serves("done")}, []bool{true}},
		"an upstream it can't reach":   {[]http.HandlerFunc{after(late, proxyRefuses(peerproxy.RefusalUnreachable)), serves("done")}, []bool{true}},
		"an answer that a proxy holds": {[]http.HandlerFunc{after(late, serves("done"))}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := newProxiedRouter(t, c.upstreams...)
			got := r.call("/idem/x")
			assert.Equal(t, got.body, "done")
			r.server.Close()
			assert.DeepEqual(t, r.timed, c.timed)
		})
	}
}

func TestConnectionThatTakesLongToFailIsNoLateAnswer(t *testing.T) {
	// Guards: upstreams behind a lost path take no connection for a second, and the router takes
	// their load for too high.
	r := newTestRouter(t, nil, serves("done"))
	r.dialDelay = 700 * time.Millisecond
	assert.Equal(t, r.call("/idem/x").body, "done")
	r.server.Close()
	assert.DeepEqual(t, r.timed, []bool{true})
}
