package peerproxy

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/transport/strict/stricttest"
)

// uploadBytes is the longest body that a proxy takes.
const uploadBytes = maxBodyBytes

// Guards: a proxy passes an answer on in chunks that was reset while the upload was being written, and
// the other router takes the part for the whole.
func TestEarlyAnswerThatIsResetBreaksAtTheOtherRouterToo(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\nT-Id: 7\r\n\r\nthe whole answer"
	for name, ending := range map[string]stricttest.Ending{"reset": stricttest.Reset, "half closed": stricttest.HalfClose, "closed, then reset": stricttest.CloseUnread} {
		t.Run(name, func(t *testing.T) {
			for range 3 {
				s := newProxyServer(t, nil)
				s.address = stricttest.Start(t, raw, ending)
				request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.server.URL+"/x", strings.NewReader(strings.Repeat("x", uploadBytes)))
				assert.NilError(t, err)
				request.Header.Set("T-Id", "7")
				Target{Upstream: "u1", StartedAt: 3, Remaining: 5 * time.Second, From: "r1"}.Write(request.Header)
				response, err := http.DefaultTransport.RoundTrip(request)
				assert.NilError(t, err)
				body, err := io.ReadAll(response.Body)
				_ = response.Body.Close()
				whole := err == nil && response.StatusCode == http.StatusOK
				assert.Equal(t, whole, ending != stricttest.Reset, "%d %q, %v", response.StatusCode, body, err)
			}
		})
	}
}

// Guards: a proxy passes an answer on whose head isn't HTTP.
func TestAnswerWithABrokenHeadIsLost(t *testing.T) {
	for name, raw := range stricttest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			s := newProxyServer(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(conn, raw) // fails if the proxy has closed
				_ = conn.Close()
			})
			assert.Equal(t, s.refused(), RefusalLost)
		})
	}
}
