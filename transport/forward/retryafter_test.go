package forward

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect/dialecttest"
)

// refusesWithRetryAfter refuses a request with a Retry-After in milliseconds.
func refusesWithRetryAfter(milliseconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("T-Retry-After", milliseconds)
		refuses(http.StatusServiceUnavailable, true)(w, request)
	}
}

func TestLogHasAnUpstreamsRetryAfter(t *testing.T) {
	// Guards: the log can't tell a router that ignores an upstream's Retry-After from an
	// upstream that sends none.
	r := newTestRouter(t, refusesWithRetryAfter("3000"), serves("done"))
	var log bytes.Buffer
	handler := New(Options{Fleet: r, Dialect: dialecttest.Plain{}, Pool: r.pool, Log: zerolog.New(&log)})
	r.server.Config.Handler = handler
	assert.Equal(t, r.call("/idem/x").status, http.StatusOK)
	r.server.Close()
	assert.Equal(t, strings.Count(log.String(), `"retry_after_ms":3000`), 1, log.String())
}

func TestRequestForWhichAllUpstreamsArePausedIsRefusedWithTheTimeLeft(t *testing.T) {
	// Guards: all upstreams want no requests, and the caller waits, or isn't told when the
	// first of them takes requests again.
	r := newTestRouter(t)
	r.noChoiceReason = balance.ReasonPaused
	r.pausedFor = 1500 * time.Millisecond
	got := r.call("/idem/x")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.retryAfter, "1.50")
}

func TestAttemptIsWithheldIfItsUpstreamIsPausedMeanwhile(t *testing.T) {
	// Guards: an upstream says that it wants no requests while others that were chosen for it
	// still connect, and gets these.
	received := 0
	r := newTestRouter(t, func(http.ResponseWriter, *http.Request) { received++ }, serves("done"))
	r.withheld = map[protocol.UpstreamID]bool{"u1": true}
	got := r.call("/once/x")
	assert.Equal(t, got.status, http.StatusOK, "it didn't run, so another upstream may have it")
	assert.Equal(t, received, 0)
	assert.DeepEqual(t, r.results, []balance.Result{balance.Abandoned, balance.Served})
	assert.Equal(t, r.retries, 10, "what isn't sent takes nothing from the budget")
}

func TestRetryAfterIsKnownBeforeTheNextAttempt(t *testing.T) {
	// Guards: the router learns that an upstream is busy only after it has chosen it again for
	// the same request.
	r := newTestRouter(t, refusesWithRetryAfter("3000"), serves("done"))
	assert.Equal(t, r.call("/idem/x").status, http.StatusOK)
	assert.Equal(t, len(r.heads), 2)
	assert.Equal(t, r.heads[0].RetryAfter, 3*time.Second)
}

func TestAnotherUpstreamAtTheAddressSaysNothingAboutTheChosenOne(t *testing.T) {
	// Guards: an upstream that has taken over the address of the chosen one refuses the request
	// and says that it leaves, and the chosen one gets nothing any more at its new address.
	leaves := func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("T-Other", "1")
		w.Header().Set("T-Leaving", "1")
		refuses(http.StatusMisdirectedRequest, false)(w, request)
	}
	r := newTestRouter(t, leaves, serves("done"))
	assert.Equal(t, r.call("/idem/x").status, http.StatusOK)
	assert.Equal(t, len(r.heads), 1)
	assert.Assert(t, !r.heads[0].Leaving)
}
