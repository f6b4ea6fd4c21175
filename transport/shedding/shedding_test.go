package shedding

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards: a connection that is turned away hangs, is read from, or ends the server.
func TestConnectionsAreTurnedAwayUnread(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var asked, served atomic.Int64
	listener := &Listener{Listener: inner, Admits: func() bool { return asked.Add(1)%2 == 0 }}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { served.Add(1) })}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	turnedAway := 0
	for range 20 {
		connection, err := net.Dial("tcp", inner.Addr().String())
		if errors.Is(err, syscall.ECONNRESET) {
			turnedAway++
			continue
		}
		assert.NilError(t, err)
		_, writeErr := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		answer, readErr := io.ReadAll(connection)
		_ = connection.Close()
		if len(answer) > 0 {
			continue
		}
		turnedAway++
		broken := errors.Is(readErr, syscall.ECONNRESET) || errors.Is(writeErr, syscall.ECONNRESET) || errors.Is(writeErr, syscall.EPIPE)
		assert.Assert(t, broken, "read: %v, write: %v", readErr, writeErr)
	}
	assert.Equal(t, turnedAway, 10)
	assert.Equal(t, served.Load(), int64(10))
}
