// Package peer carries messages between the fleet's own processes over TCP.
//
// Each process dials the peers it sends to; a connection carries frames from
// its dialer to its acceptor, and acknowledgements back. Connections are
// opened when there is something to send and closed after IdleClose, so an
// idle fleet of any size spends nothing here.
//
// Failures guarded:
//
//   - A connection goes silent: something between the two ends has lost track
//     of it, no error ever comes, and whatever is sent vanishes. It shows as
//     frames that stay unacknowledged. After Options.Stall the dialer drops the
//     connection, dials a new one and sends the unacknowledged reliable frames
//     again. The guard holds because it needs nothing from the silent
//     connection, only the absence of an acknowledgement.
//   - The silent connection carries only frames that are never acknowledged. A
//     numbered probe rides with them once a stall time, see link.appendProbe.
//   - A resent frame arrives twice. Reliable frames are numbered, and the
//     acceptor drops numbers it has seen from that incarnation of the sender.
//   - A peer is gone. When no connection could be made and kept for
//     Options.LostAfter, the frames waiting for it are dropped and the peer is
//     reported lost, so that the node core can move the work elsewhere.
//   - A few processes are asked by many. If each answer went over a connection
//     of the answerer's own, hundreds of them would be dialled at once when all
//     start, and on a fifth of a core that takes longer than the questions'
//     patience. With Options.Duplex answers go back over the asker's connection;
//     see inbound.
//   - A stranger or a broken peer connects. It must prove its router ID by its
//     certificate, and its frames are bounded; it costs one connection.
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
	// IdleClose is how long an unused connection stays open. An idle
	// connection can go silent unseen, and the next frame would wait Stall on
	// it; closing it early keeps that rare.
	IdleClose = 15 * time.Second
	// ackDelay gathers frames into one acknowledgement.
	ackDelay = 50 * time.Millisecond
	// dialTimeout bounds a handshake, and a connection attempt to a peer that
	// took none for a while.
	dialTimeout = time.Second
	// firstConnect bounds the first connection attempt: a round trip between
	// regions of one continent and as much again.
	firstConnect = 150 * time.Millisecond
	// shortAttempt bounds each of the first shortAttempts at a peer that was never
	// reached.
	shortAttempt  = 100 * time.Millisecond
	shortAttempts = 10
	// redialDelay is the least time between two attempts. It keeps attempts on a
	// dead peer from spinning.
	redialDelay = 100 * time.Millisecond
	// maxQueued bounds the bytes that wait for one peer. A peer that takes
	// nothing while this much piles up is treated as lost.
	maxQueued = 64 << 20
)

// Handler receives what the mesh brings. Its methods are called from the
// mesh's goroutines and must not block for long.
type Handler interface {
	// Frame is called for each frame, in order for each sender.
	Frame(from protocol.RouterID, frame wire.Frame)
	// Lost is called when a peer could not be reached for Options.LostAfter.
	Lost(peer protocol.RouterID)
}

// Options configures a Mesh.
type Options struct {
	Self        protocol.RouterID
	DataCentre  protocol.DataCentre
	Incarnation uint64
	// Address is where peers reach this process.
	Address string
	// ServerTLS and ClientTLS are nil when peers talk in clear.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	// Stall is how long a frame may stay unacknowledged.
	Stall time.Duration
	// LostAfter is how long a peer may be unreachable.
	LostAfter time.Duration
	Handler   Handler
	Log       zerolog.Logger
	// Duplex sends frames that needn't be reliable over a connection that the
	// peer has dialled, if there is one. Every process of a fleet has to have
	// the same.
	Duplex bool
}

// Mesh holds the connections of one process to its peers.
type Mesh struct {
	options  Options
	listener net.Listener

	mu       sync.Mutex
	links    map[protocol.RouterID]*link
	address  map[protocol.RouterID]string
	received map[protocol.RouterID]*reception
	accepted map[net.Conn]struct{}
	inbounds map[protocol.RouterID]*inbound
	watching bool
	quit     chan struct{}
	closed   bool
	done     sync.WaitGroup
	counts   Counts
}

// Counts are totals since the start, for metrics.
type Counts struct {
	BytesSent  map[wire.Kind]uint64
	FramesSent map[wire.Kind]uint64
	Stalled    uint64
	// Reconnected counts connections that took the place of an earlier one.
	Reconnected uint64
	// RefusedInbound counts connections refused before or at their Hello.
	RefusedInbound uint64
	// BrokenInbound counts connections that brought bytes which are no frame.
	BrokenInbound uint64
}

// New returns a mesh that is not listening yet.
func New(options Options) *Mesh {
	return &Mesh{
		options:  options,
		links:    map[protocol.RouterID]*link{},
		address:  map[protocol.RouterID]string{},
		received: map[protocol.RouterID]*reception{},
		accepted: map[net.Conn]struct{}{},
		inbounds: map[protocol.RouterID]*inbound{},
		quit:     make(chan struct{}),
		counts: Counts{
			BytesSent:  map[wire.Kind]uint64{},
			FramesSent: map[wire.Kind]uint64{},
		},
	}
}

// Listen starts taking connections on an IP:port.
func (m *Mesh) Listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	if m.options.ServerTLS != nil {
		listener = tls.NewListener(listener, m.options.ServerTLS)
	}
	m.listener = listener
	m.done.Add(1)
	go m.acceptLoop()
	return nil
}

// SetAddress tells where a peer listens. It may be called again when the peer
// moves; the next connection uses it.
func (m *Mesh) SetAddress(peer protocol.RouterID, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.address[peer] = address
}

// Peers returns the peers with a known address.
func (m *Mesh) Peers() []protocol.RouterID {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make([]protocol.RouterID, 0, len(m.address))
	for peer := range m.address {
		peers = append(peers, peer)
	}
	return peers
}

// Send queues a frame for a peer. A reliable frame arrives once and in order
// among reliable ones, unless the peer is reported lost; another frame arrives
// at most once and may vanish. Send returns false when the peer's address is
// unknown, the mesh is closed, or the payload is larger than a frame holds.
func (m *Mesh) Send(to protocol.RouterID, kind wire.Kind, payload []byte, reliable bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || m.address[to] == "" || len(payload)+frameOverhead > wire.MaxFrame {
		return false
	}
	current := m.links[to]
	if !reliable && m.goesBack(to, current) && m.inbounds[to].send(wire.Frame{Kind: kind, Payload: payload}) {
		m.counts.FramesSent[kind]++
		m.counts.BytesSent[kind] += uint64(len(payload)) + frameOverhead
		return true
	}
	if current == nil {
		current = newLink(m, to)
		m.links[to] = current
		m.done.Add(1)
		go current.run()
		m.startWatching()
	}
	m.counts.FramesSent[kind]++
	m.counts.BytesSent[kind] += uint64(len(payload)) + frameOverhead
	current.push(wire.Frame{Kind: kind, Payload: payload}, reliable)
	return true
}

// goesBack reports whether frames for a peer go over the connection that it has
// dialled. The mesh's lock is held.
//
// Failure: two peers have dialled each other, and both connections go silent. If
// each sent over the other's connection, no probe would ride on either, and both
// would be taken for good. The guard holds because only one of two is used, that of
// the peer whose name comes first, which sends over it and so watches it.
func (m *Mesh) goesBack(to protocol.RouterID, own *link) bool {
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

// Flush waits until every reliable frame is acknowledged or the time is up,
// and says whether all were. A planned stop calls it last.
func (m *Mesh) Flush(patience time.Duration) bool {
	deadline := time.Now().Add(patience)
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

// Close drops all connections and waits for the mesh's goroutines.
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

// checksPerStall is how often in a stall time the links are looked at.
const checksPerStall = 8

// startWatching starts the one goroutine that looks at all links: a ticker for
// each would wake a process with a hundred links a thousand times a second. The
// mesh's lock is held.
func (m *Mesh) startWatching() {
	if m.watching {
		return
	}
	m.watching = true
	m.done.Add(1)
	go m.watch()
}

// watch wakes the links that have stalled or are idle.
func (m *Mesh) watch() {
	defer m.done.Done()
	ticker := time.NewTicker(max(m.options.Stall/checksPerStall, time.Millisecond))
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
		if l.overdue() || l.idle() {
			l.signalCheck()
		}
	}
}

// count changes the totals.
func (m *Mesh) count(change func(*Counts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change(&m.counts)
}

// forget takes a finished link out, unless a newer one stands in its place.
func (m *Mesh) forget(finished *link) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links[finished.peer] == finished {
		delete(m.links, finished.peer)
	}
}
