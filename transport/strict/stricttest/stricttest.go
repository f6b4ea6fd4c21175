// Package stricttest stands in for servers that answer a long upload before they have read it.
package stricttest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Ending is how a server ends the connection after its early answer.
type Ending int

const (
	// Reset resets the connection: the rest of the answer is lost.
	Reset Ending = iota
	// HalfClose ends the server's direction of the connection and reads the rest of the upload.
	HalfClose
	// CloseUnread ends the server's direction and then closes the connection with unread bytes, for
	// which its kernel sends a reset behind the end of the answer.
	CloseUnread
)

const (
	// UploadBytes is the size of an upload that is still being written when its answer comes: more
	// than the buffers of both kernels hold.
	UploadBytes = 12 << 20
	// receiveBuffer is the size in bytes of the server's receive buffer.
	receiveBuffer = 8 << 10
	// writerBlocks is how long a server waits between its answer and the end, so that the client's
	// write is blocked by then.
	writerBlocks = 30 * time.Millisecond
)

// Start starts a server that answers each request with raw bytes as soon as it has read the head, and
// ends the connection.
func Start(t *testing.T, raw string, ending Ending) (address string) {
	t.Helper()
	config := net.ListenConfig{Control: setReceiveBuffer}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarly(conn.(*net.TCPConn), raw, ending)
		}
	}()
	return listener.Addr().String()
}

// setReceiveBuffer sets the receive buffer of the connections that a listener will accept.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	})
	if err != nil {
		return err
	}
	return optionErr
}

func answerEarly(conn *net.TCPConn, raw string, ending Ending) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	// The client may have closed the connection by now.
	_, _ = io.WriteString(conn, raw)
	time.Sleep(writerBlocks)
	switch ending {
	case Reset:
		_ = conn.SetLinger(0)
	case HalfClose:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	case CloseUnread:
		_ = conn.CloseWrite()
		time.Sleep(writerBlocks)
	}
}
