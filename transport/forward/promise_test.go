package forward

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/transport/peerproxy"
)

// sends writes bytes in place of an answer and then nothing until the caller closes, or closes at
// once.
func sends(bytes string, closes bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = connection.Close() }()
		if _, err := io.WriteString(connection, bytes); err != nil || closes {
			return
		}
		_, _ = io.Copy(io.Discard, connection)
	}
}

// The parts of answers that stop midway.
const (
	plainHead  = "HTTP/1.1 200 OK\r\nT-Signed: 1\r\n"
	streamHead = plainHead + "Content-Type: text/event-stream\r\n"
)

// Guards: a request that has run is answered with the promise that it hasn't, because its attempt
// ended by a way that doesn't note that it was sent, and runs twice.
func TestNoEndOfAnAttemptThatWasSentIsRefusedAsNotRun(t *testing.T) {
	scripts := map[string]http.HandlerFunc{
		"no byte":                     sends("", false),
		"half a head":                 sends(plainHead, false),
		"interim head":                sends("HTTP/1.1 102 Processing\r\n\r\n", false),
		"head alone":                  sends(plainHead+"Content-Length: 10\r\n\r\n", false),
		"half a body":                 sends(plainHead+"Content-Length: 10\r\n\r\nhalf", false),
		"half a chunk":                sends(plainHead+"Transfer-Encoding: chunked\r\n\r\na\r\nhalf", false),
		"body without end":            sends(plainHead+"\r\nhalf", false),
		"stream without an event":     sends(streamHead+"Transfer-Encoding: chunked\r\n\r\n", false),
		"half an event":               sends(streamHead+"Transfer-Encoding: chunked\r\n\r\n5\r\nid: 1\r\n", false),
		"unframed stream":             sends(streamHead+"\r\nid: 1\n", false),
		"half an error":               sends("HTTP/1.1 500 No\r\nT-Signed: 1\r\nContent-Length: 10\r\n\r\nhalf", false),
		"half a promise":              sends("HTTP/1.1 503 No\r\nT-Signed: 1\r\nContent-Length: 10\r\n\r\nhalf", false),
		"closes":                      breaks,
		"closes midway":               sends(plainHead+"Content-Length: 10\r\n\r\nhalf", true),
		"closes in an event":          sends(streamHead+"\r\nid: 1\n", true),
		"no HTTP":                     sends("rubbish\r\n\r\n", true),
		"no signature":                sends("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true),
		"promise without attestation": refuses(503, false),
		"answer of another request":   sends(plainHead+"T-Id: 8\r\nContent-Length: 0\r\n\r\n", false),
		"lost by a proxy":             proxyRefuses(peerproxy.RefusalLost),
	}
	for name, script := range scripts {
		for _, path := range []string{"/quick/x", "/brief/x"} {
			for _, proxied := range []bool{false, true} {
				for _, late := range []bool{false, true} {
					t.Run(fmt.Sprint(name, path, " proxied ", proxied, " late ", late), func(t *testing.T) {
						t.Parallel()
						r := newTestRouter(t, script)
						r.proxied = proxied
						if late {
							// The deadline passes before what follows the attempt is decided.
							r.endDelay = 150 * time.Millisecond
						}
						if got := r.call(path); !got.broken {
							assert.Assert(t, !promisesNotRun(got.status), "status %d", got.status)
						}
					})
				}
			}
		}
	}
}

// Guards: a caller isn't told that it may send its request again, although no upstream got it.
func TestAttemptsThatWereNotSentAreRefusedAsNotRun(t *testing.T) {
	for name, script := range map[string]http.HandlerFunc{
		"no connection": nil, "attested": refuses(503, true), "misdirected": refuses(421, true),
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRouter(t, script)
			r.endDelay = 150 * time.Millisecond
			got := r.call("/quick/x")
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.retryAfter != "")
		})
	}
}
