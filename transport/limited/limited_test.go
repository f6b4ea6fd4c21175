package limited

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testTimeout = 10 * time.Second

// serve serves a handler that reads each body, and answers 503 if there is no room for it.
func serve(t *testing.T, options Options) (*Listener, *Budgets) {
	t.Helper()
	inner, err := Open("127.0.0.1:0")
	assert.NilError(t, err)
	budgets := New(options)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		if errors.Is(err, ErrNoRoom) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, n)
	})}
	listener := budgets.Listen(inner, server, 1)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener, budgets
}

func dial(t *testing.T, to net.Listener) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", to.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return conn
}

// post sends a body of n bytes on a new connection and returns the answer's status.
func post(t *testing.T, to net.Listener, n int) int {
	t.Helper()
	client := http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+to.Addr().String(), "", bytes.NewReader(make([]byte, n)))
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// hold sends a body of n bytes but for the last one.
func hold(t *testing.T, to net.Listener, n int) net.Conn {
	t.Helper()
	conn := dial(t, to)
	_, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
	assert.NilError(t, err)
	_, _ = conn.Write(make([]byte, n-1)) // fails if the connection had to give way
	return conn
}

// Guards: bodies that are held short of their end stay in memory though they aren't counted any more.
func TestEveryRequestThatGivesWayIsReset(t *testing.T) {
	const size, held = 1 << 20, 20
	listener, budgets := serve(t, Options{MemoryBytes: 50 << 20, Processor: 100})
	var holders []net.Conn
	for range held {
		holders = append(holders, hold(t, listener, size))
	}
	assert.Equal(t, post(t, listener, 1000), http.StatusOK)
	assert.Assert(t, budgets.Counts().HeldBytes <= 5<<20+4<<20)
	ended := 0
	for _, conn := range holders {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() {
			ended++
		}
	}
	assert.Assert(t, held-ended <= 5, "%d of %d holders are still there, five have room", held-ended, held)
}

// Guards: what requests held isn't given back, and after a while every request is refused.
func TestWhatRequestsHoldIsGivenBack(t *testing.T) {
	listener, budgets := serve(t, Options{MemoryBytes: 50 << 20, Processor: 100})
	for range 50 {
		assert.Equal(t, post(t, listener, 1<<20), http.StatusOK)
		_ = hold(t, listener, 1<<20).Close()
	}
	for deadline := time.Now().Add(testTimeout); budgets.Counts().HeldBytes > 0 || listener.Open() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "%d bytes are held, %d connections are open", budgets.Counts().HeldBytes, listener.Open())
	}
}

// Guards: connections without a request keep out callers, or end those that are idle after one.
func TestConnectionsWithoutARequestGiveWay(t *testing.T) {
	listener, _ := serve(t, Options{MemoryBytes: 1 << 30, Processor: 100})
	listener.Limit(10)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	kept := http.Client{Timeout: testTimeout, Transport: transport}
	for range 40 {
		_, err := dial(t, listener).Write([]byte("P"))
		assert.NilError(t, err)
		response, err := kept.Get("http://" + listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Assert(t, listener.Open() <= 10)
	}
	assert.Equal(t, post(t, listener, 10), http.StatusOK)
}
