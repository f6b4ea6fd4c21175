package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/transport/bounded"
)

// repeats sends bytes and then others without end, until the caller closes.
func repeats(first, more string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = connection.Close() }()
		block := strings.Repeat(more, 1+(16<<10)/len(more))
		for _, err := io.WriteString(connection, first); err == nil; {
			_, err = io.WriteString(connection, block)
		}
	}
}

// Guards: bytes without end in place of an answer are read until the deadline, are taken for a crash
// of the upstream, which quarantines the request's content, or reach the caller as an answer.
func TestAnswerWithoutEndIsAFailureOfItsUpstreamAndNoCrash(t *testing.T) {
	for name, script := range map[string]http.HandlerFunc{
		"status line":     repeats("HTTP/1.1 200 O", "K"),
		"fields":          repeats(plainHead, "A: b\r\n"),
		"interim answers": repeats("", "HTTP/1.1 102 Processing\r\n\r\n"),
		"event":           repeats(streamHead+"\r\ndata: ", "x"),
		"lines":           repeats(streamHead+"\r\n", "data: x\n"),
	} {
		for _, path := range []string{"/resume/x", "/stream/x"} {
			t.Run(fmt.Sprint(name, path), func(t *testing.T) {
				r := newTestRouter(t, script, streams(5, 0))
				got := r.call(path)
				r.mu.Lock()
				defer r.mu.Unlock()
				assert.Equal(t, r.crashed, 0)
				assert.Equal(t, r.results[0], balance.Failed)
				if path == "/resume/x" {
					assert.Equal(t, got.body, events(1, 5))
					return
				}
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, r.chosen, 1)
			})
		}
	}
}

// Guards: a caller gets the first part of a body without end as a complete answer.
func TestBodyWithoutEndIsCut(t *testing.T) {
	r := newTestRouter(t, repeats(plainHead+"\r\n", "x"))
	got := r.call("/once/x")
	assert.Assert(t, got.broken)
	assert.Assert(t, len(got.body) <= bounded.MaxBodyBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.DeepEqual(t, r.results, []balance.Result{balance.Failed})
	assert.Equal(t, r.crashed, 0)
}
