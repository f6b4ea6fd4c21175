package peer

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
	"endiveplank/protocol/wire"
)

// reception remembers what came from one peer over all its connections.
type reception struct {
	mu          sync.Mutex
	incarnation uint64
	highest     uint64
	// sentNumber is where the numbers of a link to this peer go on after the
	// link was closed.
	sentNumber uint64
}

// adopt makes the sender's process that has just said Hello the one that is
// listened to. Numbers of another process start anew.
//
// What an ended process had sent can still lie in its old connection's buffers
// when its successor connects. Only the handshake, never a frame, moves the
// memory from one incarnation to the next, so late frames can't move it back
// and have numbers that were seen taken for new ones.
func (r *reception) adopt(incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation != r.incarnation {
		r.incarnation = incarnation
		r.highest = 0
	}
}

// fresh says whether a frame was not seen before, and remembers it.
func (r *reception) fresh(number uint64) bool {
	if number == 0 {
		return true
	}
	if number <= r.highest {
		return false
	}
	r.highest = number
	return true
}

// receptionOf returns the memory of a peer. The mesh's lock is held.
func (m *Mesh) receptionOf(peer protocol.RouterID) *reception {
	found := m.received[peer]
	if found == nil {
		found = &reception{}
		m.received[peer] = found
	}
	return found
}

// resumeNumber remembers where a closed link's numbers ended. The mesh's lock
// is held.
func (m *Mesh) resumeNumber(peer protocol.RouterID, number uint64) {
	m.receptionOf(peer).sentNumber = number
}

func (m *Mesh) acceptLoop() {
	defer m.done.Done()
	for {
		connection, err := m.listener.Accept()
		if err != nil {
			return
		}
		m.mu.Lock()
		if m.closed {
			m.mu.Unlock()
			_ = connection.Close()
			return
		}
		m.accepted[connection] = struct{}{}
		m.done.Add(1)
		m.mu.Unlock()
		go m.serveInbound(connection)
	}
}

// serveInbound takes frames from one connection until it ends.
func (m *Mesh) serveInbound(connection net.Conn) {
	defer m.done.Done()
	defer m.dropInbound(connection)
	hello, err := m.welcome(connection)
	if err != nil {
		m.refused(err)
		return
	}
	m.mu.Lock()
	memory := m.receptionOf(hello.From)
	if hello.Address != "" {
		m.address[hello.From] = hello.Address
	}
	m.mu.Unlock()
	memory.adopt(hello.Incarnation)
	acks := newAcker(connection)
	defer acks.stop()
	if hello.Duplex && m.options.Duplex {
		defer m.offerInbound(hello.From, connection)()
	}
	reader := bufio.NewReaderSize(connection, m.readBuffer())
	for {
		_ = connection.SetReadDeadline(time.Now().Add(2 * IdleClose))
		frame, err := wire.Read(reader, wire.MaxFrame)
		if err != nil {
			m.broken(hello.From, err)
			return
		}
		if !m.deliver(memory, hello, frame) {
			return
		}
		if frame.Number != 0 {
			acks.note(frame.Number)
		}
	}
}

// deliver hands a frame on unless an earlier connection brought it. The lock
// of the peer's memory keeps frames of two connections in order. It returns
// false when the connection belongs to a process that has been replaced.
func (m *Mesh) deliver(memory *reception, hello wire.Hello, frame wire.Frame) bool {
	memory.mu.Lock()
	defer memory.mu.Unlock()
	if hello.Incarnation != memory.incarnation {
		return false
	}
	if memory.fresh(frame.Number) && frame.Kind != wire.KindProbe {
		m.options.Handler.Frame(hello.From, frame)
	}
	return true
}

func (m *Mesh) dropInbound(connection net.Conn) {
	_ = connection.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.accepted, connection)
}

// welcome checks the dialer's Hello and answers with ours.
func (m *Mesh) welcome(connection net.Conn) (wire.Hello, error) {
	_ = connection.SetDeadline(time.Now().Add(dialTimeout))
	theirs, err := readHello(connection)
	if err != nil {
		return wire.Hello{}, err
	}
	if err := checkCertificate(connection, theirs.From); err != nil {
		return wire.Hello{}, err
	}
	if theirs.To != m.options.Self {
		return wire.Hello{}, &MisdirectedError{From: theirs.From, To: theirs.To}
	}
	if err := writeHello(connection, m.hello(theirs.From)); err != nil {
		return wire.Hello{}, err
	}
	_ = connection.SetDeadline(time.Time{})
	return theirs, nil
}

// hello is this process's Hello towards a peer.
func (m *Mesh) hello(to protocol.RouterID) wire.Hello {
	return wire.Hello{
		Version:     wire.Version,
		MinVersion:  wire.MinVersion,
		From:        m.options.Self,
		To:          to,
		DataCentre:  m.options.DataCentre,
		Address:     m.options.Address,
		Incarnation: m.options.Incarnation,
		Duplex:      m.options.Duplex,
	}
}

func writeHello(connection net.Conn, hello wire.Hello) error {
	raw, err := wire.Append(nil, wire.Frame{Kind: wire.KindHello, Payload: wire.Encode(hello)})
	if err != nil {
		return err
	}
	_, err = connection.Write(raw)
	return eris.Wrap(err, "send hello")
}

func readHello(connection net.Conn) (wire.Hello, error) {
	frame, err := wire.Read(connection, wire.MaxHello)
	if err != nil {
		return wire.Hello{}, eris.Wrap(err, "read hello")
	}
	if frame.Kind != wire.KindHello {
		return wire.Hello{}, &HelloError{Kind: frame.Kind}
	}
	var hello wire.Hello
	if err := wire.Decode(frame.Payload, &hello); err != nil {
		return wire.Hello{}, err
	}
	return hello, hello.Check()
}

// acker gathers acknowledgements and sends the highest after ackDelay.
type acker struct {
	connection net.Conn
	mu         sync.Mutex
	highest    uint64
	timer      *time.Timer
	stopped    bool
}

func newAcker(connection net.Conn) *acker { return &acker{connection: connection} }

func (a *acker) note(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.highest = max(a.highest, number)
	if a.timer == nil && !a.stopped {
		a.timer = time.AfterFunc(ackDelay, a.send)
	}
}

func (a *acker) send() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.timer = nil
	if a.stopped {
		return
	}
	raw, err := wire.Append(nil, wire.Frame{Kind: wire.KindAck, Payload: wire.Encode(wire.Ack{Number: a.highest})})
	if err != nil {
		panic("peer: an ack over wire.MaxFrame")
	}
	_ = a.connection.SetWriteDeadline(time.Now().Add(dialTimeout))
	_, _ = a.connection.Write(raw)
}

func (a *acker) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	if a.timer != nil {
		a.timer.Stop()
	}
}
