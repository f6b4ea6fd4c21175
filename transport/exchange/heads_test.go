package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/transport/strict/stricttest"
)

// Guards: an answer whose status is no status, or whose head has a name with a blank or a control byte,
// is taken for an answer; a length or an encoding in such a line is overlooked, and the body isn't the
// upstream's.
func TestAnswerWithABrokenHeadIsNone(t *testing.T) {
	for name, raw := range stricttest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			status, body, err := fetchRaw(t, raw)
			assert.Assert(t, errors.Is(err, errNotHTTP), "status %d, body %q, %v", status, body, err)
		})
	}
	for name, raw := range stricttest.LegalHeads() {
		t.Run(name, func(t *testing.T) {
			status, body, err := fetchRaw(t, raw)
			assert.NilError(t, err)
			assert.Assert(t, status >= 200 && status < 300)
			assert.Equal(t, body, "fuel")
		})
	}
}

// fetchRaw sends the request with the id 7 to an upstream that answers with raw bytes.
func fetchRaw(t *testing.T, raw string) (int, string, error) {
	t.Helper()
	u := startUpstream(t, func(conn *net.TCPConn, reader *bufio.Reader) {
		if _, err := readRequest(reader); err == nil {
			send(conn, raw)
		}
	})
	p := NewPool(Options{})
	defer p.Close()
	answer, err := p.Send(t.Context(), u.address, request("7", ""), func(header http.Header) protocol.RequestID {
		return protocol.RequestID(header.Get("T-Id"))
	})
	if err != nil {
		return 0, "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(readerFunc(answer.Read))
	return answer.Status, string(body), err
}
