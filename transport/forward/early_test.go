package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/transport/strict/stricttest"
)

// earlyAnswers are answers with neither a length nor chunks, which a server sends before it has read a
// long upload, by the path of the request. bodies are the bodies of the whole ones.
var (
	earlyAnswers = map[string]string{
		"/once/x":   "HTTP/1.1 200 OK\r\nT-Signed: 1\r\nT-Id: 7\r\n\r\nthe whole answer",
		"/stream/x": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nT-Signed: 1\r\nT-Id: 7\r\n\r\n" + events(1, 5),
		"/resume/x": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nT-Signed: 1\r\nT-Id: 7\r\n\r\n" + events(1, 5),
	}
	earlyBodies = map[string]string{"/once/x": "the whole answer", "/stream/x": events(1, 5), "/resume/x": events(1, 5)}
)

// upload sends a long upload.
func (r *testRouter) upload(path string) answer {
	r.index.Table().Limits.MaxBodyBytes = stricttest.UploadBytes
	return r.call(path, func(request *http.Request) {
		body := strings.Repeat("x", stricttest.UploadBytes)
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	})
}

// Guards: the part of an answer that came before its connection was reset, while the upload was being
// written, reaches the caller as a complete answer, or ends a stream.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	for path, raw := range earlyAnswers {
		for name, ending := range map[string]stricttest.Ending{"reset": stricttest.Reset, "half closed": stricttest.HalfClose, "closed, then reset": stricttest.CloseUnread} {
			t.Run(strings.Trim(path, "/x")+", "+name, func(t *testing.T) {
				for range 3 {
					r := newTestRouter(t, nil)
					r.addresses = []string{stricttest.Start(t, raw, ending)}
					got := r.upload(path)
					if ending == stricttest.Reset {
						assert.Assert(t, got.broken || got.status == http.StatusBadGateway, "%d %q", got.status, got.body)
						continue
					}
					assert.Equal(t, got.status, http.StatusOK)
					assert.Equal(t, got.body, earlyBodies[path])
					assert.Assert(t, !got.broken)
				}
			})
		}
	}
}
