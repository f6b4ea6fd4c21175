package peer

import (
	"net"
	"sync"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/wire"
)

const (
	// maxPendingBytes bounds the bytes queued for a peer that reads slowly. Beyond
	// it the connection takes no more frames, which is allowed because only
	// unreliable frames are sent here. A routing table takes about a tenth of it.
	maxPendingBytes = 512 << 10
	// largeReadBuffer and smallReadBuffer are the sizes of an inbound connection's
	// read buffer. A process with Options.Duplex exchanges small frames with a
	// hundred peers, and large buffers for them would be most of its memory.
	largeReadBuffer = 64 << 10
	smallReadBuffer = 4 << 10
)

// readBufferSize returns the size of an inbound connection's read buffer.
func (m *Mesh) readBufferSize() int {
	if m.options.Duplex {
		return smallReadBuffer
	}
	return largeReadBuffer
}

// inbound sends frames to a peer over the connection that the peer has dialled.
// The peer monitors the connection: when either direction goes silent, the peer's
// frames or their acknowledgements are lost, so the peer dials again, and the new
// connection's inbound replaces this one.
type inbound struct {
	mesh       *Mesh
	connection net.Conn
	// acks acknowledges the frames that come over the connection.
	acks *acker

	mu      sync.Mutex
	pending []byte
	writing bool
	closed  bool
}

// registerInbound lets frames to a peer go over a connection that the peer has
// dialled, until the returned function is called.
func (m *Mesh) registerInbound(peer protocol.RouterID, connection net.Conn, acks *acker) (unregister func()) {
	registered := &inbound{mesh: m, connection: connection, acks: acks}
	m.mu.Lock()
	m.inbounds[peer] = registered
	m.mu.Unlock()
	return func() {
		m.mu.Lock()
		current := m.inbounds[peer] == registered
		if current {
			delete(m.inbounds, peer)
		}
		m.mu.Unlock()
		registered.mu.Lock()
		registered.closed = true
		registered.mu.Unlock()
		if current {
			m.disconnected(peer)
		}
	}
}

// send queues a frame. It returns false when the connection has ended or more
// than maxPendingBytes are queued; the caller can then send the frame over a
// connection that it dials itself.
func (i *inbound) send(frame wire.Frame) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || len(i.pending) > maxPendingBytes {
		return false
	}
	longer, err := wire.Append(i.pending, frame)
	if err != nil {
		panic("peer: queued frame exceeds wire.MaxFrame")
	}
	i.pending = longer
	if !i.writing {
		i.writing = true
		go i.write()
	}
	return true
}

// write sends the pending bytes until none are left.
func (i *inbound) write() {
	for {
		batch := i.takePending()
		if len(batch) == 0 {
			return
		}
		_ = i.connection.SetWriteDeadline(time.Now().Add(i.mesh.options.StallTimeout))
		if _, err := i.connection.Write(batch); err != nil {
			i.fail()
			return
		}
	}
}

// takePending removes and returns the pending bytes. The writer ends when the
// batch is empty.
func (i *inbound) takePending() []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	batch := i.pending
	i.pending = nil
	if len(batch) == 0 {
		i.writing = false
		return nil
	}
	return i.acks.appendDue(batch)
}

// fail closes the connection; the peer then dials again.
func (i *inbound) fail() {
	i.mu.Lock()
	i.closed = true
	i.pending = nil
	i.mu.Unlock()
	_ = i.connection.Close()
}
