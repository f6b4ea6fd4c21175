package peer

import (
	"bufio"
	"errors"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
	"endiveplank/protocol/wire"
)

// sequenceState holds the frame numbers exchanged with one peer across all
// connections.
type sequenceState struct {
	mu              sync.Mutex
	incarnation     uint64
	highestReceived uint64
	// lastSent is the last frame number that a closed link to this peer used. A
	// new link continues from it.
	lastSent uint64
}

// beginIncarnation makes the process that has just sent its Hello the only one
// whose frames are accepted. Frame numbers start again with a new incarnation.
//
// Frames of an ended process can still be in its old connection's buffers when
// its successor connects. Only the handshake, never a frame, changes the
// incarnation, so a late frame can't change it back and make numbers that were
// already received count as new.
func (r *sequenceState) beginIncarnation(incarnation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if incarnation != r.incarnation {
		r.incarnation = incarnation
		r.highestReceived = 0
	}
}

// recordNew records a frame's number and returns false if the frame was
// received before. Frames without a number always count as new. The caller holds
// r.mu.
func (r *sequenceState) recordNew(number uint64) bool {
	if number == 0 {
		return true
	}
	if number <= r.highestReceived {
		return false
	}
	r.highestReceived = number
	return true
}

// sequenceOf returns a peer's sequence state and creates it if it is missing.
// The caller holds the mesh's lock.
func (m *Mesh) sequenceOf(peer protocol.RouterID) *sequenceState {
	found := m.sequences[peer]
	if found == nil {
		found = &sequenceState{}
		m.sequences[peer] = found
	}
	return found
}

// saveLastSent stores the last frame number of a closed link. The caller holds
// the mesh's lock.
func (m *Mesh) saveLastSent(peer protocol.RouterID, number uint64) {
	m.sequenceOf(peer).lastSent = number
}

// acceptLoop accepts connections until the mesh is closed. It goes on after an error: when a process
// has no descriptor left, no connection can be accepted until others have ended.
func (m *Mesh) acceptLoop() {
	defer m.done.Done()
	for {
		// While strangers connect without end, what is ready to run goes first.
		runtime.Gosched()
		connection, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			m.options.Log.Warn().Err(err).Msg("peer: connection not accepted")
			select {
			case <-m.quit:
				return
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if !m.addInbound(connection) {
			_ = connection.Close()
			continue
		}
		go m.serveInbound(connection)
	}
}

// addInbound records an accepted connection. If there are as many as there may be, the oldest one
// whose dialer hasn't said who it is is closed for it. It returns false if there is none or the mesh
// is closed.
func (m *Mesh) addInbound(connection net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	if most := m.options.MaxAccepted; most > 0 && len(m.accepted) >= most {
		oldest := m.oldestUnknown()
		if oldest == nil {
			m.counts.RefusedInbound++
			return false
		}
		delete(m.accepted, oldest)
		_ = oldest.Close()
	}
	m.accepted[connection] = acceptedConn{since: time.Now()}
	m.done.Add(1)
	return true
}

// oldestUnknown returns the connection that has waited longest for its dialer's Hello, nil for none.
// The caller holds the mesh's lock.
func (m *Mesh) oldestUnknown() net.Conn {
	var oldest net.Conn
	for connection, state := range m.accepted {
		if !state.known && (oldest == nil || state.since.Before(m.accepted[oldest].since)) {
			oldest = connection
		}
	}
	return oldest
}

// serveInbound reads frames from one accepted connection until it ends.
func (m *Mesh) serveInbound(connection net.Conn) {
	defer m.done.Done()
	defer m.dropInbound(connection)
	hello, err := m.acceptHello(connection)
	if err != nil {
		m.recordRefused(eris.Wrapf(err, "connection from %s", connection.RemoteAddr()))
		return
	}
	m.mu.Lock()
	if state, open := m.accepted[connection]; open {
		state.known = true
		m.accepted[connection] = state
	}
	sequence := m.sequenceOf(hello.From)
	if hello.Address != "" {
		m.addresses[hello.From] = hello.Address
	}
	m.mu.Unlock()
	sequence.beginIncarnation(hello.Incarnation)
	acks := newAcker(connection)
	defer acks.stop()
	if hello.Duplex && m.options.Duplex {
		defer m.registerInbound(hello.From, connection, acks)()
	}
	reader := bufio.NewReaderSize(connection, m.readBufferSize())
	for {
		// The dialer closes a connection that it hasn't used for IdleClose. If no frame
		// arrives for twice that time, the connection has gone silent.
		_ = connection.SetReadDeadline(time.Now().Add(2 * IdleClose))
		frame, err := wire.Read(reader, wire.MaxFrame)
		if err != nil {
			m.recordBroken(hello.From, err)
			return
		}
		if !m.deliver(sequence, hello, frame) {
			return
		}
		if frame.Number != 0 {
			acks.record(frame.Number)
		}
	}
}

// deliver passes a frame to the handler unless it was received before, on this
// or an earlier connection. The lock of the peer's sequence state keeps frames
// of two connections in order. deliver returns false when the connection belongs
// to an earlier incarnation of the peer.
func (m *Mesh) deliver(sequence *sequenceState, hello wire.Hello, frame wire.Frame) bool {
	sequence.mu.Lock()
	defer sequence.mu.Unlock()
	if hello.Incarnation != sequence.incarnation {
		return false
	}
	if sequence.recordNew(frame.Number) && frame.Kind != wire.KindProbe {
		m.options.Handler.HandleFrame(hello.From, frame)
	}
	return true
}

func (m *Mesh) dropInbound(connection net.Conn) {
	_ = connection.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.accepted, connection)
}

// acceptHello checks the dialer's Hello and certificate and replies with this
// process's Hello.
func (m *Mesh) acceptHello(connection net.Conn) (wire.Hello, error) {
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

// hello returns this process's Hello for a peer.
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

// acker batches acknowledgements: ackDelay after the first frame it sends one
// acknowledgement for the highest number received, unless frames that are sent before
// carry it.
type acker struct {
	connection net.Conn
	mu         sync.Mutex
	highest    uint64
	timer      *time.Timer
	stopped    bool
}

func newAcker(connection net.Conn) *acker { return &acker{connection: connection} }

func (a *acker) record(number uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.highest = max(a.highest, number)
	if a.timer == nil && !a.stopped {
		a.timer = time.AfterFunc(ackDelay, a.send)
	}
}

// send sends the acknowledgement. It writes without the lock, because the peer may not read, and
// whoever sends it frames takes the lock. After a part of a frame nothing else can be read.
func (a *acker) send() {
	raw := a.take()
	if len(raw) == 0 {
		return
	}
	_ = a.connection.SetWriteDeadline(time.Now().Add(dialTimeout))
	if _, err := a.connection.Write(raw); err != nil {
		_ = a.connection.Close()
	}
}

// take returns the encoded acknowledgement, nothing if none is due.
func (a *acker) take() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped || a.timer == nil {
		return nil
	}
	return a.append(nil)
}

// append appends the acknowledgement to encoded frames. The caller holds the lock.
func (a *acker) append(batch []byte) []byte {
	a.timer = nil
	longer, err := wire.Append(batch, wire.Frame{Kind: wire.KindAck, Payload: wire.Encode(wire.Ack{Number: a.highest})})
	if err != nil {
		panic("peer: acknowledgement exceeds wire.MaxFrame")
	}
	return longer
}

// appendDue appends the acknowledgement to a batch of frames if one is due, which then
// isn't sent by itself.
func (a *acker) appendDue(batch []byte) []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.timer == nil || a.stopped {
		return batch
	}
	a.timer.Stop()
	return a.append(batch)
}

func (a *acker) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stopped = true
	if a.timer != nil {
		a.timer.Stop()
	}
}
