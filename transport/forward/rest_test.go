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

// asksForRest refuses a request and asks for a time, in milliseconds, without others.
func asksForRest(milliseconds string) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("T-Rest", milliseconds)
		refuses(http.StatusServiceUnavailable, true)(w, request)
	}
}

func TestLogTellsForHowLongAnUpstreamAskedForRest(t *testing.T) {
	// Guards: the log can't tell a router that ignores the rest an upstream asks for from an
	// upstream that asks for none.
	r := newTestRouter(t, asksForRest("3000"), serves("done"))
	var log bytes.Buffer
	handler := New(Options{Fleet: r, Dialect: dialecttest.Plain{}, Pool: r.pool, Log: zerolog.New(&log)})
	r.server.Config.Handler = handler
	assert.Equal(t, r.call("/idem/x").status, http.StatusOK)
	r.server.Close()
	assert.Equal(t, strings.Count(log.String(), `"rest_ms":3000`), 1, log.String())
}
