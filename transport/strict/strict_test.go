package strict

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/transport/strict/stricttest"
)

// serveRaw starts a server that answers each request with raw bytes and closes, and returns its URL.
func serveRaw(t *testing.T, raw string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				// The client may have closed the connection by now.
				_, _ = io.WriteString(conn, raw)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

// Guards: the operators' tool takes bytes for an answer of the fleet that aren't one.
func TestClientAcceptsNoBrokenHead(t *testing.T) {
	client := NewClient()
	for name, raw := range stricttest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			response, err := client.Get(serveRaw(t, raw))
			if err == nil {
				_ = response.Body.Close()
			}
			assert.Assert(t, err != nil)
		})
	}
	for name, raw := range stricttest.LegalHeads() {
		t.Run(name, func(t *testing.T) {
			response, err := client.Get(serveRaw(t, raw))
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), "fuel")
		})
	}
}

// Guards: a client takes an answer for complete whose connection was reset during the upload.
func TestClientSeesTheResetThatItsWriteHasTaken(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\n\r\nthe answer"
	for range 10 {
		client := NewClient()
		response, err := client.Post("http://"+stricttest.Start(t, raw, stricttest.Reset), "", strings.NewReader(strings.Repeat("x", stricttest.UploadBytes)))
		if err != nil {
			continue
		}
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		assert.Assert(t, err != nil)
	}
}

// Guards: a name that is legal is taken for a broken one, or the other way round.
func TestNamesAreTokens(t *testing.T) {
	for c := range 256 {
		name := string([]byte{'a', byte(c), 'b'})
		legal := c < 0x80 && strings.ContainsRune("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ", rune(c))
		err := CheckHead(&http.Response{StatusCode: http.StatusOK, Header: http.Header{name: {"1"}}})
		assert.Equal(t, errors.Is(err, ErrBrokenHead), !legal, "byte %d", c)
	}
	assert.Assert(t, CheckHead(&http.Response{StatusCode: http.StatusOK, Header: http.Header{"": {"1"}}}) != nil)
}
