package peer

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards: connections of strangers that send nothing take all descriptors, and a peer can't connect.
func TestStrangersDoNotKeepPeersOut(t *testing.T) {
	const most = 8
	a, b := startDuplex(t, "a"), startWith(t, Options{Self: "b", Duplex: true, MaxAccepted: most})
	for range 5 * most {
		stranger, err := net.Dial("tcp", b.listenAddress())
		assert.NilError(t, err)
		defer func() { _ = stranger.Close() }()
	}
	a.SetAddress("b", b.listenAddress())
	a.push("b", 1, 10, true)
	b.expectOnceInOrder(t, 10)
	b.Mesh.mu.Lock()
	defer b.Mesh.mu.Unlock()
	assert.Assert(t, len(b.accepted) <= most, "%d connections", len(b.accepted))
}

// failing is a listener that has no descriptor for the first connections.
type failing struct {
	net.Listener
	failures atomic.Int64
}

// Accept implements net.Listener.
func (f *failing) Accept() (net.Conn, error) {
	if f.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: errors.New("too many open files")}
	}
	return f.Listener.Accept()
}

// Guards: a process that once had no descriptor for a connection takes no peer's any more.
func TestPeersConnectAfterDescriptorsWereShort(t *testing.T) {
	b := &node{}
	b.Mesh = New(Options{Self: "b", Incarnation: 1, StallTimeout: testStallTimeout, LostAfter: 4 * testStallTimeout, Handler: b})
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := &failing{Listener: inner}
	listener.failures.Store(3)
	b.serve(listener)
	t.Cleanup(b.Close)
	a := startWith(t, Options{Self: "a"})
	a.SetAddress("b", inner.Addr().String())
	a.push("b", 1, 10, true)
	b.expectOnceInOrder(t, 10)
}
