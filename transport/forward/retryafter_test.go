package forward

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

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
