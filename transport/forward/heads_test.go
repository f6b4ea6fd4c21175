package forward

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/transport/strict/stricttest"
)

// Guards: a caller gets an answer whose head isn't HTTP, or its connection ends without an answer; and
// another upstream isn't asked though the request may be repeated.
func TestAnswerWithABrokenHeadReachesNoCaller(t *testing.T) {
	for name, raw := range stricttest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			assert.DeepEqual(t, newTestRouter(t, sends(raw, true)).call("/once/x").status, http.StatusBadGateway)
			got := newTestRouter(t, sends(raw, true), serves("second")).call("/idem/x")
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "second")
			assert.Equal(t, newTestRouter(t, sends(raw, true)).call("/stream/x").status, http.StatusBadGateway)
		})
	}
	for name, raw := range stricttest.LegalHeads() {
		t.Run(name, func(t *testing.T) {
			got := newTestRouter(t, sends(raw, true)).call("/once/x")
			assert.Assert(t, !got.broken && got.status < 300, "%+v", got)
			assert.Equal(t, got.body, "fuel")
		})
	}
}

// Guards: the rest of a stream, taken up at another upstream, comes from an answer whose head isn't HTTP.
func TestStreamDoesNotGoOnWithABrokenHead(t *testing.T) {
	for name, raw := range stricttest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			raw = strings.Replace(raw, "T-Signed: 1\r\n", "T-Signed: 1\r\nContent-Type: text/event-stream\r\n", 1)
			got := newTestRouter(t, unframedStream(5, 4, false), sends(raw, true), unframedStream(5, 0, false)).call("/resume/x")
			assert.Equal(t, got.body, events(1, 5))
			assert.Assert(t, !got.broken)
		})
	}
}
