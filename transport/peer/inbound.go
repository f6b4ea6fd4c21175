package peer

import (
	"net"
	"sync"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/wire"
)

const (
	// maxPending bounds what waits for a peer that reads slowly. Frames beyond
	// it are dropped, as frames that needn't arrive may be: a whole routing
	// table is a tenth of it.
	maxPending = 512 << 10
	// bulkBuffer and smallBuffer are what is read of an inbound connection at
	// once. A fleet with Options.Duplex exchanges small frames with a hundred
	// peers, and their buffers would be most of its memory.
	bulkBuffer  = 64 << 10
	smallBuffer = 4 << 10
)

// readBuffer returns the size of an inbound connection's buffer.
func (m *Mesh) readBuffer() int {
	if m.options.Duplex {
		return smallBuffer
	}
	return bulkBuffer
}

// inbound is the way back over a connection that a peer has dialled. The peer
// watches it: when it goes silent in either direction the peer's frames or
// their acknowledgements vanish, and the peer dials anew, which brings another
// inbound in the place of this one.
type inbound struct {
	mesh       *Mesh
	connection net.Conn

	mu      sync.Mutex
	pending []byte
	writing bool
	closed  bool
}

// offerInbound makes a connection the way back to a peer, until the returned
// function is called.
func (m *Mesh) offerInbound(peer protocol.RouterID, connection net.Conn) (withdraw func()) {
	back := &inbound{mesh: m, connection: connection}
	m.mu.Lock()
	m.inbounds[peer] = back
	m.mu.Unlock()
	return func() {
		m.mu.Lock()
		if m.inbounds[peer] == back {
			delete(m.inbounds, peer)
		}
		m.mu.Unlock()
		back.mu.Lock()
		defer back.mu.Unlock()
		back.closed = true
	}
}

// send queues a frame. It returns false when the connection has ended or holds
// too much; then a connection of the sender's own may still carry it.
func (i *inbound) send(frame wire.Frame) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed || len(i.pending) > maxPending {
		return false
	}
	longer, err := wire.Append(i.pending, frame)
	if err != nil {
		panic("peer: frame over wire.MaxFrame was queued")
	}
	i.pending = longer
	if !i.writing {
		i.writing = true
		go i.write()
	}
	return true
}

// write sends what waits, until nothing does.
func (i *inbound) write() {
	for {
		batch := i.take()
		if len(batch) == 0 {
			return
		}
		_ = i.connection.SetWriteDeadline(time.Now().Add(i.mesh.options.Stall))
		if _, err := i.connection.Write(batch); err != nil {
			i.fail()
			return
		}
	}
}

// take returns what waits. An empty batch ends the writer.
func (i *inbound) take() []byte {
	i.mu.Lock()
	defer i.mu.Unlock()
	batch := i.pending
	i.pending = nil
	if len(batch) == 0 {
		i.writing = false
	}
	return batch
}

// fail ends the connection, which the peer then dials anew.
func (i *inbound) fail() {
	i.mu.Lock()
	i.closed = true
	i.pending = nil
	i.mu.Unlock()
	_ = i.connection.Close()
}
