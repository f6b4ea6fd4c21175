package peer

import (
	"bufio"
	"crypto/tls"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
	"endiveplank/protocol/wire"
)

// link sends frames to one peer. Its queue outlives the connections over which
// the frames are sent.
type link struct {
	mesh *Mesh
	peer protocol.RouterID
	wake chan struct{}
	// check makes sendLoop test whether the connection has stalled or is idle.
	check chan struct{}
	quit  chan struct{}
	// connected says that the link has a connection.
	connected atomic.Bool

	mu sync.Mutex
	// unacked holds the reliable frames that were sent on the current connection,
	// or on the last one if there is none, and were not acknowledged yet, oldest
	// first. When the next connection is made, requeueUnacked moves them back to
	// the queue.
	unacked []wire.Frame
	// oldestSentAt is when the first of unacked was sent, or when the last
	// acknowledgement arrived if that is later.
	oldestSentAt time.Time
	// queue holds the frames that wait to be sent.
	queue       []queued
	queuedBytes int
	lastNumber  uint64
	lastUse     time.Time
	// lastReliable is when the last reliable frame was sent. Its acknowledgement
	// shows that the connection still works.
	lastReliable time.Time
	stopped      bool
}

// queued is a frame that waits to be sent.
type queued struct {
	frame    wire.Frame
	reliable bool
}

// newLink returns a link whose frame numbers continue from an earlier link to
// the same peer. The caller holds the mesh's lock.
func newLink(mesh *Mesh, peer protocol.RouterID) *link {
	return &link{
		mesh:       mesh,
		peer:       peer,
		wake:       make(chan struct{}, 1),
		check:      make(chan struct{}, 1),
		quit:       make(chan struct{}),
		lastNumber: mesh.sequenceOf(peer).lastSent,
		lastUse:    time.Now(),
	}
}

// push adds a frame to the queue.
func (l *link) push(frame wire.Frame, reliable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reliable {
		l.lastNumber++
		frame.Number = l.lastNumber
	}
	l.queue = append(l.queue, queued{frame, reliable})
	l.queuedBytes += len(frame.Payload)
	l.lastUse = time.Now()
	l.signal()
}

// signal wakes the sender.
func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// signalCheck makes the sender test for a stalled or idle connection.
func (l *link) signalCheck() {
	select {
	case l.check <- struct{}{}:
	default:
	}
}

func (l *link) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopped {
		l.stopped = true
		close(l.quit)
	}
}

// drained reports whether no frame waits to be sent or acknowledged.
func (l *link) drained() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && len(l.unacked) == 0
}

// run dials, sends and redials until the link is idle, lost or stopped.
func (l *link) run() {
	defer l.mesh.done.Done()
	unreachableSince := time.Now()
	failures := 0
	for connectedBefore := false; ; {
		tried := time.Now()
		connection, err := l.dial(connectTimeout(failures, connectedBefore))
		failures++
		if err == nil {
			failures = 0
			l.countReconnect(connectedBefore)
			connectedBefore = true
			l.connected.Store(true)
			progress, ended := l.serve(connection)
			l.connected.Store(false)
			_ = connection.Close()
			if ended {
				l.mesh.disconnected(l.peer)
			}
			if progress {
				unreachableSince = time.Now()
			}
		}
		if l.finish() {
			return
		}
		if l.dropIfLost(unreachableSince) {
			return
		}
		select {
		case <-l.quit:
			l.mesh.removeLink(l)
			return
		case <-time.After(redialDelay - time.Since(tried)):
		}
	}
}

func (l *link) countReconnect(connectedBefore bool) {
	if connectedBefore {
		l.mesh.count(func(c *Counts) { c.Reconnected++ })
	}
}

// finish removes an idle link and reports whether run should return because the
// link is removed or stopped. It holds the mesh's lock so that no frame is pushed
// to a link whose goroutine has ended.
func (l *link) finish() bool {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := len(l.queue) == 0 && len(l.unacked) == 0
	if l.stopped || !idle || time.Since(l.lastUse) < IdleClose {
		return l.stopped
	}
	// A later link must continue from this number, because the receiver drops
	// numbers up to the highest it has received from this incarnation.
	l.mesh.saveLastSent(l.peer, l.lastNumber)
	delete(l.mesh.links, l.peer)
	return true
}

// dropIfLost drops the link with its queued frames and reports the peer lost if
// the peer has been unreachable for longer than Options.LostAfter or more than
// maxQueued bytes wait for it. It returns whether it did.
func (l *link) dropIfLost(since time.Time) bool {
	l.mu.Lock()
	expired := time.Since(since) > l.mesh.options.LostAfter
	lost := expired || l.bufferedBytes() > maxQueued
	l.mu.Unlock()
	if !lost {
		return false
	}
	l.mesh.mu.Lock()
	l.mu.Lock()
	l.mesh.saveLastSent(l.peer, l.lastNumber)
	l.mu.Unlock()
	if l.mesh.links[l.peer] == l {
		delete(l.mesh.links, l.peer)
	}
	l.mesh.mu.Unlock()
	l.mesh.options.Handler.HandlePeerLost(l.peer)
	return true
}

// bufferedBytes returns the payload bytes that wait to be sent or acknowledged.
// The caller holds the link's lock.
func (l *link) bufferedBytes() int {
	total := l.queuedBytes
	for _, frame := range l.unacked {
		total += len(frame.Payload)
	}
	return total
}

// connectTimeout returns how long a connection attempt may take after a number
// of failed attempts. reachedBefore means that the link has had a connection to
// the peer before.
//
// When a whole fleet restarts after a power loss, its VMs start some tenths of a
// second apart. The first packet of an attempt to a VM that isn't up yet is lost,
// and the kernel retransmits it only after a second; until then the router refuses
// its callers although all disk VMs are up. The first attempts to a peer that was
// never reached are therefore short. Later attempts leave time for slow network
// paths between regions. Peers that were reached before get no short attempts:
// many of them may be gone at once, and short attempts to all of them would use up
// a router's CPU.
func connectTimeout(failures int, reachedBefore bool) time.Duration {
	if !reachedBefore && failures < shortConnectAttempts {
		return shortConnectTimeout
	}
	if !reachedBefore {
		failures -= shortConnectAttempts
	}
	timeout := firstConnectTimeout
	for range failures {
		if timeout >= dialTimeout {
			return dialTimeout
		}
		timeout *= 2
	}
	return min(timeout, dialTimeout)
}

// dial opens a connection, secures it if TLS is on, and exchanges Hellos.
func (l *link) dial(timeout time.Duration) (net.Conn, error) {
	l.mesh.mu.Lock()
	address := l.mesh.addresses[l.peer]
	l.mesh.mu.Unlock()
	dialer := &net.Dialer{Timeout: timeout}
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "dial peer %q", l.peer)
	}
	_ = connection.SetDeadline(time.Now().Add(dialTimeout))
	if l.mesh.options.ClientTLS != nil {
		secured := tls.Client(connection, l.mesh.options.ClientTLS)
		if err := secured.Handshake(); err != nil {
			_ = connection.Close()
			return nil, eris.Wrapf(err, "TLS handshake with peer %q at %s", l.peer, address)
		}
		connection = secured
	}
	if err := l.exchangeHellos(connection); err != nil {
		_ = connection.Close()
		return nil, err
	}
	_ = connection.SetDeadline(time.Time{})
	return connection, nil
}

// exchangeHellos sends this process's Hello and checks the peer's.
func (l *link) exchangeHellos(connection net.Conn) error {
	if err := writeHello(connection, l.mesh.hello(l.peer)); err != nil {
		return err
	}
	theirs, err := readHello(connection)
	if err != nil {
		return err
	}
	if theirs.From != l.peer {
		return eris.Errorf("peer at %s is %q, expected %q", connection.RemoteAddr(), theirs.From, l.peer)
	}
	return checkCertificate(connection, theirs.From)
}

// serve sends over one connection until it fails, stalls or is idle. progress says that
// the peer sent an acknowledgement or frame, ended that the connection ended by itself.
func (l *link) serve(connection net.Conn) (progress, ended bool) {
	l.requeueUnacked()
	acks := make(chan struct{})
	read := make(chan bool, 1)
	go func() {
		read <- l.readAcks(connection)
		close(acks)
	}()
	ended = l.sendLoop(connection, acks)
	_ = connection.Close()
	<-acks
	return <-read, ended
}

// requeueUnacked moves the unacknowledged frames, which the last connection may
// have lost, back to the front of the queue.
func (l *link) requeueUnacked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unacked) == 0 {
		return
	}
	requeued := make([]queued, 0, len(l.unacked)+len(l.queue))
	for _, frame := range l.unacked {
		requeued = append(requeued, queued{frame, true})
		l.queuedBytes += len(frame.Payload)
	}
	l.queue = append(requeued, l.queue...)
	l.unacked = nil
	l.oldestSentAt = time.Time{}
	l.signal()
}

// sendLoop writes queued frames until the connection ends, stalls or is idle. It reports
// whether the connection ended by itself.
func (l *link) sendLoop(connection net.Conn, acks <-chan struct{}) (ended bool) {
	for {
		if err := l.writeQueued(connection); err != nil {
			return true
		}
		select {
		case <-l.wake:
		case <-acks:
			return true
		case <-l.quit:
			return false
		case <-l.check:
			if l.stalled() || l.idle() {
				return false
			}
		}
	}
}

// writeQueued writes all queued frames in one call.
func (l *link) writeQueued(connection net.Conn) error {
	batch, hasProbe := l.encodeQueue()
	if len(batch) == 0 {
		return nil
	}
	if hasProbe {
		l.mesh.count(func(c *Counts) {
			c.FramesSent[wire.KindProbe]++
			c.BytesSent[wire.KindProbe] += frameOverhead
		})
	}
	_ = connection.SetWriteDeadline(time.Now().Add(l.mesh.options.StallTimeout))
	_, err := connection.Write(batch)
	return err
}

// encodeQueue empties the queue into a batch of encoded frames and adds the
// reliable frames to unacked. hasProbe reports whether the batch begins with a
// probe: the answer to a later frame then carries its acknowledgement.
func (l *link) encodeQueue() (batch []byte, hasProbe bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) > 0 && l.needsProbe() {
		batch, hasProbe = l.appendProbe(batch), true
	}
	for _, item := range l.queue {
		longer, err := wire.Append(batch, item.frame)
		if err != nil {
			panic("peer: queued frame exceeds wire.MaxFrame")
		}
		batch = longer
		if item.reliable {
			l.recordUnacked(item.frame)
		}
	}
	clear(l.queue)
	l.queue = l.queue[:0]
	l.queuedBytes = 0
	return batch, hasProbe
}

// needsProbe reports whether no reliable frame was sent within StallTimeout or is
// queued, so that no acknowledgement will be due. The caller holds the link's lock.
func (l *link) needsProbe() bool {
	if len(l.unacked) > 0 || time.Since(l.lastReliable) <= l.mesh.options.StallTimeout {
		return false
	}
	return !slices.ContainsFunc(l.queue, func(item queued) bool { return item.reliable })
}

// appendProbe appends a reliable frame without payload to a batch.
//
// Consensus messages, lease renewals and pushes are unreliable frames that are
// never acknowledged. A connection that carries only these could go silent
// unnoticed, and because it is in use it is never closed as idle: a voter would
// stay cut off although a new connection would work. The missing acknowledgement
// of the probe reveals the silence. One probe per StallTimeout costs some 40 bytes
// on a connection in use and bounds the detection time to two StallTimeouts. The
// caller holds the link's lock.
func (l *link) appendProbe(batch []byte) []byte {
	l.lastNumber++
	probe := wire.Frame{Kind: wire.KindProbe, Number: l.lastNumber}
	longer, err := wire.Append(batch, probe)
	if err != nil {
		panic("peer: probe exceeds wire.MaxFrame")
	}
	l.recordUnacked(probe)
	return longer
}

// recordUnacked adds a sent frame to unacked. The caller holds the link's lock.
func (l *link) recordUnacked(frame wire.Frame) {
	if len(l.unacked) == 0 {
		l.oldestSentAt = time.Now()
	}
	l.lastReliable = time.Now()
	l.unacked = append(l.unacked, frame)
}

// ackOverdue reports whether an acknowledgement is due for longer than
// StallTimeout.
func (l *link) ackOverdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unacked) > 0 && time.Since(l.oldestSentAt) > l.mesh.options.StallTimeout
}

// stalled reports whether the connection must be replaced because an
// acknowledgement is overdue, and if so counts and logs it.
func (l *link) stalled() bool {
	overdue := l.ackOverdue()
	if overdue {
		l.mesh.count(func(c *Counts) { c.Stalled++ })
		l.mesh.options.Log.Warn().Str("peer", string(l.peer)).Msg("peer: no acknowledgement in time, replacing the connection")
	}
	return overdue
}

func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && len(l.unacked) == 0 && time.Since(l.lastUse) > IdleClose
}

// readAcks reads acknowledgements, and with Options.Duplex the peer's frames,
// until the connection ends. It reports whether it read any.
func (l *link) readAcks(connection net.Conn) bool {
	reader := bufio.NewReader(connection)
	limit := wire.MaxHello
	if l.mesh.options.Duplex {
		limit = wire.MaxFrame
	}
	progress := false
	for {
		frame, err := wire.Read(reader, limit)
		if err != nil {
			return progress
		}
		if frame.Kind != wire.KindAck && l.mesh.options.Duplex {
			progress = true
			l.mesh.options.Handler.HandleFrame(l.peer, frame)
			continue
		}
		if frame.Kind != wire.KindAck {
			return progress
		}
		var ack wire.Ack
		if err := wire.Decode(frame.Payload, &ack); err != nil {
			return progress
		}
		progress = true
		l.handleAck(ack.Number)
	}
}

// handleAck removes the frames up to number from unacked. An acknowledgement is
// progress, so it restarts the stall timeout of the remaining frames.
func (l *link) handleAck(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	acked := 0
	for acked < len(l.unacked) && l.unacked[acked].Number <= number {
		acked++
	}
	if acked == 0 {
		return
	}
	l.unacked = append([]wire.Frame(nil), l.unacked[acked:]...)
	l.oldestSentAt = time.Now()
}
