package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
)

func TestARequestWithoutRoomIsToldWhenToComeBack(t *testing.T) {
	// Engines have twice the work that they can do. A caller that is told so at once,
	// and comes back within its objective, may still be answered in time.
	r := newRig(t)
	r.unchosen = balance.ReasonNoCapacity
	began := time.Now()
	got := r.call("/idem/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.retryAfter, "0.50", "half of the objective")
	assert.Assert(t, time.Since(began) < 500*time.Millisecond)
	assert.Equal(t, len(r.timed), 0)
}

func TestEachAttemptIsTimedOnce(t *testing.T) {
	// What engines have room for is learned from how long answers take to begin. One
	// that is refused as the queue is full, or given up by its caller, tells as much
	// as one that comes late; the end of a long answer tells nothing.
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
			r := newRig(t, c.upstreams...)
			r.call(c.path)
			r.server.Close()
			assert.DeepEqual(t, r.timed, c.timed)
		})
	}
}

func TestACallerThatLeavesTellsThatItsAnswerWasLate(t *testing.T) {
	// Callers leave engines that have too much to do before anything comes. If that
	// told nothing, the only answers known would be those of callers who wait.
	stop := make(chan struct{})
	defer close(stop)
	r := newRig(t, hangs(stop))
	got := r.call("/quick/x")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.DeepEqual(t, r.timed, []bool{false})
}
