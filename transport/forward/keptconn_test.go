package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards: on a connection that was idle for longer than its last request might take, a caller gets no
// answer but the end of the connection where the router refuses before it knows the route's timeout.
func TestRefusalOnAConnectionThatWasIdleIsWritten(t *testing.T) {
	r := newTestRouter(t, serves("one"))
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.server.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for _, c := range []struct {
		path, key string
		status    int
	}{{"/quick/x", "k", http.StatusOK}, {"/none/x", "k", http.StatusNotFound}} {
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nT-Id: 7\r\nT-Key: %s\r\n\r\n", c.path, c.key)
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, c.status)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		if c.status == http.StatusOK {
			time.Sleep(writeGrace + 300*time.Millisecond)
		}
	}
}
