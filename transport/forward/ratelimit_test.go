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
	"endiveplank/protocol/dialect/dialecttest"
)

func TestCallersAreToldWhenThereIsCapacity(t *testing.T) {
	// Guards: a request that is refused for lack of capacity, by the router or by an upstream, is
	// told to come back when there will be no capacity for it.
	for name, test := range map[string]struct {
		path, reason string
		upstreams    []http.HandlerFunc
	}{
		"no capacity":     {"/idem/x", "no-room", nil},
		"attempts spent":  {"/single/x", "attempts-spent", []http.HandlerFunc{refuses(http.StatusServiceUnavailable, true)}},
		"retries spent":   {"/idem/x", "retries-spent", []http.HandlerFunc{refuses(http.StatusServiceUnavailable, true)}},
		"may run once":    {"/once/x", "retries-spent", []http.HandlerFunc{refuses(http.StatusServiceUnavailable, true)}},
		"refused stream":  {"/stream/x", "retries-spent", []http.HandlerFunc{refuses(http.StatusServiceUnavailable, true)}},
		"resumed refused": {"/resume/x", "no-room", nil},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t, test.upstreams...)
			r.noChoiceReason, r.retries = balance.ReasonNoCapacity, 0
			r.offer = &RetryOffer{After: 1230 * time.Millisecond, Reserved: true}
			got := r.call(test.path)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, strings.Contains(got.body, test.reason), got.body)
			assert.Assert(t, strings.Contains(got.body, `"reserved":true`), got.body)
			assert.Equal(t, got.retryAfter, "1.23")
			assert.Assert(t, r.scheduled[0].Remaining > 0)
		})
	}
}

func TestNothingIsScheduledForRequestsThatMayHaveRun(t *testing.T) {
	// Guards: a request that an upstream may have run is answered 503, which promises that it
	// didn't run; or capacity is reserved for it though its caller isn't told.
	r := newTestRouter(t, breaks, refuses(http.StatusServiceUnavailable, true))
	r.retries, r.offer = 1, &RetryOffer{After: time.Second, Reserved: true}
	got := r.call("/twice/x")
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.retryAfter, "")
	assert.Equal(t, len(r.scheduled), 0)
}

func TestRetryAfterIsAsBeforeWithoutARateLimit(t *testing.T) {
	// Guards: callers of services without a rate limit are told other times than before.
	r := newTestRouter(t, refuses(http.StatusServiceUnavailable, true))
	r.retries, r.noChoiceReason = 0, balance.ReasonNoCapacity
	assert.Equal(t, r.call("/idem/x").retryAfter, "0.25")
	assert.Equal(t, r.call("/quick/x").retryAfter, "0.05")
}

func TestLogOfARefusalHasItsFigures(t *testing.T) {
	// Guards: the log of a refused request doesn't say which figures it was refused by.
	r := newTestRouter(t)
	r.noChoiceReason, r.offer = balance.ReasonNoCapacity, &RetryOffer{After: 2 * time.Second}
	r.rateLimited = &balance.RateRefusal{Rank: 2, Limit: 200, Share: 12.5, Demand: 40, Wait: 30 * time.Millisecond, Cause: balance.CauseOutlier}
	var log bytes.Buffer
	r.server.Config.Handler = New(Options{Fleet: r, Dialect: dialecttest.Plain{}, Pool: r.pool, Log: zerolog.New(&log)})
	assert.Equal(t, r.call("/idem/x").status, http.StatusServiceUnavailable)
	r.server.Close()
	for _, field := range []string{`"limit":200`, `"share":12.5`, `"demand":40`, `"rank":2`, `"wait_ms":30`, `"refused_for":"outlier"`, `"reserved":false`, `"retry_after_ms":2000`} {
		assert.Assert(t, strings.Contains(log.String(), field), "%s in %s", field, log.String())
	}
	assert.Assert(t, r.scheduled[0].Unreserved, "the customer that causes the shortage gets no reservation")
}
