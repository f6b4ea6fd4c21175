// Package peer carries messages between the fleet's own processes over TCP.
//
// Each process has one Mesh. It dials the peers that it sends to: a connection
// carries frames from its dialer to its acceptor, and acknowledgements back. Mesh
// opens a connection when there is something to send and closes it after IdleClose
// without use, so an idle fleet of any size has no traffic here. Each peer has a
// link, whose queue outlives the connections.
//
// The package guards against these failures:
//
//   - A connection goes silent: a device between the two ends has lost its state,
//     neither end gets an error, and all frames are lost. The sender notices that
//     frames stay unacknowledged. After Options.StallTimeout it closes the
//     connection, dials a new one and resends the unacknowledged reliable frames.
//     This works because it needs nothing from the silent connection, only the
//     absence of an acknowledgement.
//   - The silent connection carries only frames that are never acknowledged. The
//     sender adds a numbered probe to them once per StallTimeout, see
//     link.appendProbe.
//   - A resent frame arrives twice. Reliable frames are numbered, and the acceptor
//     drops numbers that it has already received from this incarnation of the
//     sender.
//   - A peer is gone. When no connection could be made and kept for
//     Options.LostAfter, the link drops its queued frames and reports the peer
//     lost to the Handler, which can then move the peer's work elsewhere.
//   - Many processes send requests to a few. If each reply went over a connection
//     that the replying process dials, it would dial hundreds of connections at
//     once when all start; on a fifth of a core that takes longer than the
//     requests' timeout. With Options.Duplex replies go back over the requester's
//     connection, see inbound.
//   - An unknown or faulty process connects. It must prove its router ID by its
//     certificate, and the size of its frames is bounded, so it costs no more than
//     one connection.
package peer

import (
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"endiveplank/protocol"
	"endiveplank/protocol/wire"
)

// Timing and size limits.
const (
	// IdleClose is how long an unused connection stays open. An idle connection
	// can go silent unnoticed, and the next frame would then wait for
	// Options.StallTimeout; closing idle connections early makes that rare.
	IdleClose = 15 * time.Second
	// ackDelay is how long an acknowledgement waits so that it covers more frames.
	ackDelay = 50 * time.Millisecond
	// dialTimeout bounds a handshake, and a connection attempt after several
	// failed ones.
	dialTimeout = time.Second
	// firstConnectTimeout bounds the first regular connection attempt. It is twice
	// a round trip between regions of one continent.
	firstConnectTimeout = 150 * time.Millisecond
	// shortConnectTimeout bounds each of the first shortConnectAttempts attempts to
	// a peer that was never reached.
	shortConnectTimeout  = 100 * time.Millisecond
	shortConnectAttempts = 10
	// acceptRetryDelay is how long to wait after a connection couldn't be accepted.
	acceptRetryDelay = 20 * time.Millisecond
	// redialDelay is the minimum time between the starts of two attempts. It keeps
	// a link to a failed peer from dialling in a busy loop.
	redialDelay = 100 * time.Millisecond
	// maxQueued bounds the bytes that wait for one peer. If more than this waits
	// when a connection or an attempt has failed, the peer is reported lost.
	maxQueued = 64 << 20
)

// Handler receives frames and reports of lost peers. The mesh calls its methods from
// its own goroutines; they must not block for long.
type Handler interface {
	// HandleFrame is called for each received frame, in order for each sender.
	HandleFrame(from protocol.RouterID, frame wire.Frame)
	// HandlePeerLost is called when a peer could not be reached for Options.LostAfter.
	HandlePeerLost(peer protocol.RouterID)
}

// DisconnectHandler is implemented by Handlers that want to know at once when a peer may
// have ended.
type DisconnectHandler interface {
	// HandleDisconnect is called when the last connection with a peer has ended, unless
	// this process replaces it or closes it as idle. The peer may be restarting, the
	// network may have reset the connection, or this Mesh is being closed.
	HandleDisconnect(peer protocol.RouterID)
}

// Options configures a Mesh.
type Options struct {
	Self        protocol.RouterID
	DataCentre  protocol.DataCentre
	Incarnation uint64
	// Address is the IP:port at which peers reach this process.
	Address string
	// ServerTLS and ClientTLS are nil when connections between peers aren't
	// encrypted.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// StallTimeout is how long a frame may stay unacknowledged before its
	// connection is replaced.
	StallTimeout time.Duration
	// LostAfter is how long a peer may be unreachable before it is reported lost.
	LostAfter time.Duration
	Handler   Handler
	Log       zerolog.Logger
	// MaxAccepted bounds the connections that other processes have dialled, 0 for no bound.
	MaxAccepted int
	// Duplex lets unreliable frames go over a connection that the peer has dialled,
	// if there is one. Every process of a fleet must have the same value.
	Duplex bool
}

// Mesh holds the connections of one process to its peers.
type Mesh struct {
	options  Options
	listener net.Listener

	mu           sync.Mutex
	links        map[protocol.RouterID]*link
	addresses    map[protocol.RouterID]string
	sequences    map[protocol.RouterID]*sequenceState
	accepted     map[net.Conn]acceptedConn
	inbounds     map[protocol.RouterID]*inbound
	watchStarted bool
	quit         chan struct{}
	closed       bool
	done         sync.WaitGroup
	counts       Counts
}

// acceptedConn is the state of a connection that another process has dialled.
type acceptedConn struct {
	since time.Time
	// known says that the dialer has said who it is.
	known bool
}

// Counts are totals since the process started, for metrics.
type Counts struct {
	BytesSent  map[wire.Kind]uint64
	FramesSent map[wire.Kind]uint64
	Stalled    uint64
	// Reconnected counts connections that replaced an earlier one.
	Reconnected uint64
	// RefusedInbound counts inbound connections whose handshake failed.
	RefusedInbound uint64
	// BrokenInbound counts inbound connections closed because of an invalid frame.
	BrokenInbound uint64
}

// New returns a mesh that is not listening yet.
func New(options Options) *Mesh {
	return &Mesh{
		options:   options,
		links:     map[protocol.RouterID]*link{},
		addresses: map[protocol.RouterID]string{},
		sequences: map[protocol.RouterID]*sequenceState{},
		accepted:  map[net.Conn]acceptedConn{},
		inbounds:  map[protocol.RouterID]*inbound{},
		quit:      make(chan struct{}),
		counts: Counts{
			BytesSent:  map[wire.Kind]uint64{},
			FramesSent: map[wire.Kind]uint64{},
		},
	}
}

// Listen starts accepting connections on an IP:port.
func (m *Mesh) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen for peers on %q", address)
	}
	if m.options.ServerTLS != nil {
		listener = tls.NewListener(listener, m.options.ServerTLS)
	}
	m.serve(listener)
	return nil
}

// serve accepts connections from a listener.
func (m *Mesh) serve(listener net.Listener) {
	m.listener = listener
	m.done.Add(1)
	go m.acceptLoop()
}

// SetAddress sets the address at which a peer listens. It may be called again when
// the peer moves; the next connection uses the new address.
func (m *Mesh) SetAddress(peer protocol.RouterID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.addresses[peer] = address
}

// Peers returns the peers with a known address.
func (m *Mesh) Peers() []protocol.RouterID {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]protocol.RouterID, 0, len(m.addresses))
	for peer := range m.addresses {
		peers = append(peers, peer)
	}
	return peers
}

// Send queues a frame for a peer. A reliable frame arrives exactly once and in
// order among reliable frames, unless the peer is reported lost. An unreliable
// frame arrives at most once and may be lost. Send returns false when the peer's
// address is unknown, the mesh is closed, or the payload doesn't fit in a frame.
func (m *Mesh) Send(to protocol.RouterID, kind wire.Kind, payload []byte, reliable bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.addresses[to] == "" || len(payload)+frameOverhead > wire.MaxFrame {
		return false
	}
	current := m.links[to]
	if !reliable && m.usesInbound(to, current) && m.inbounds[to].send(wire.Frame{Kind: kind, Payload: payload}) {
		m.counts.FramesSent[kind]++
		m.counts.BytesSent[kind] += uint64(len(payload)) + frameOverhead
		return true
	}
	if current == nil {
		current = newLink(m, to)
		m.links[to] = current
		m.done.Add(1)
		go current.run()
		m.startWatch()
	}
	m.counts.FramesSent[kind]++
	m.counts.BytesSent[kind] += uint64(len(payload)) + frameOverhead
	current.push(wire.Frame{Kind: kind, Payload: payload}, reliable)
	return true
}

// usesInbound reports whether frames for a peer go over the connection that the
// peer has dialled. The caller holds the mesh's lock.
//
// If two peers have dialled each other and each sent over the other's connection,
// neither would send probes, and nobody would notice when both connections go
// silent. Therefore only one of the two connections is used: the one dialled by
// the peer whose ID sorts first. That peer sends over its own link and so detects
// a silent connection.
func (m *Mesh) usesInbound(to protocol.RouterID, own *link) bool {
	return m.inbounds[to] != nil && (own == nil || to < m.options.Self)
}

// frameOverhead is the length, kind and number of a frame, in bytes.
const frameOverhead = 4 + 1 + 8

// Counts returns a copy of the totals.
func (m *Mesh) Counts() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	copied := m.counts
	copied.BytesSent = map[wire.Kind]uint64{}
	copied.FramesSent = map[wire.Kind]uint64{}
	for kind, n := range m.counts.BytesSent {
		copied.BytesSent[kind] = n
		copied.FramesSent[kind] = m.counts.FramesSent[kind]
	}
	return copied
}

// Flush waits until every queued frame is sent and every reliable frame is
// acknowledged, or until the timeout. It reports whether all were. A planned stop
// calls it before Close.
func (m *Mesh) Flush(timeout time.Duration) bool {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if m.allAcknowledged() {
			return true
		}
		time.Sleep(5 * time.Millisecond)
	}
	return false
}

func (m *Mesh) allAcknowledged() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, current := range m.links {
		if !current.drained() {
			return false
		}
	}
	return true
}

// Close closes all connections and waits for the mesh's goroutines.
func (m *Mesh) Close() {
	m.mu.Lock()
	if !m.closed {
		close(m.quit)
	}
	m.closed = true
	if m.listener != nil {
		_ = m.listener.Close()
	}
	for connection := range m.accepted {
		_ = connection.Close()
	}
	for _, current := range m.links {
		current.stop()
	}
	m.mu.Unlock()
	m.done.Wait()
}

// checksPerStall is how often per StallTimeout the mesh checks its links.
const checksPerStall = 8

// startWatch starts the goroutine that checks all links. A ticker for each link
// would wake a process with a hundred links a thousand times a second. The caller
// holds the mesh's lock.
func (m *Mesh) startWatch() {
	if m.watchStarted {
		return
	}
	m.watchStarted = true
	m.done.Add(1)
	go m.watch()
}

// watch periodically wakes the links that have stalled or are idle.
func (m *Mesh) watch() {
	defer m.done.Done()
	ticker := time.NewTicker(max(m.options.StallTimeout/checksPerStall, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-m.quit:
			return
		case <-ticker.C:
			m.checkLinks()
		}
	}
}

func (m *Mesh) checkLinks() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.links {
		if l.ackOverdue() || l.idle() {
			l.signalCheck()
		}
	}
}

// count changes the totals under the mesh's lock.
func (m *Mesh) count(change func(*Counts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.counts)
}

// removeLink removes a finished link, unless a newer link has replaced it.
func (m *Mesh) removeLink(finished *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[finished.peer] == finished {
		delete(m.links, finished.peer)
	}
}
