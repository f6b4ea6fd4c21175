package peer

import (
	"bufio"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
	"endiveplank/protocol/wire"
)

// link is the outgoing side towards one peer: a queue that outlives the
// connections it is sent over.
type link struct {
	mesh *Mesh
	peer protocol.RouterID
	wake chan struct{}
	// check asks to look for a stall.
	check chan struct{}
	quit  chan struct{}

	mu sync.Mutex
	// unacked holds the reliable frames that were sent on the current or an
	// earlier connection, oldest first.
	unacked []wire.Frame
	// oldest is when the first of unacked was sent on this connection.
	oldest time.Time
	// queue holds the frames that were not sent yet.
	queue       []queued
	queuedBytes int
	next        uint64
	lastUse     time.Time
	// proved is when the last reliable frame was sent, whose acknowledgement
	// shows that the connection carries frames.
	proved  time.Time
	stopped bool
}

// queued is a frame that waits to be sent.
type queued struct {
	frame    wire.Frame
	reliable bool
}

// newLink starts a link whose numbers go on from an earlier one. The mesh's
// lock is held.
func newLink(mesh *Mesh, peer protocol.RouterID) *link {
	return &link{
		mesh:    mesh,
		peer:    peer,
		wake:    make(chan struct{}, 1),
		check:   make(chan struct{}, 1),
		quit:    make(chan struct{}),
		next:    mesh.receptionOf(peer).sentNumber,
		lastUse: time.Now(),
	}
}

// push adds a frame to the queue.
func (l *link) push(frame wire.Frame, reliable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if reliable {
		l.next++
		frame.Number = l.next
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

// signalCheck asks the sender to look for a stall.
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

// drained says whether nothing waits to be sent or acknowledged.
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
	for again := false; ; {
		tried := time.Now()
		connection, err := l.dial(connectPatience(failures, again))
		failures++
		if err == nil {
			failures = 0
			l.countReconnect(again)
			again = true
			progress := l.serve(connection)
			_ = connection.Close()
			if progress {
				unreachableSince = time.Now()
			}
		}
		if l.finish() {
			return
		}
		if l.giveUp(unreachableSince) {
			return
		}
		select {
		case <-l.quit:
			l.mesh.forget(l)
			return
		case <-time.After(redialDelay - time.Since(tried)):
		}
	}
}

func (l *link) countReconnect(again bool) {
	if again {
		l.mesh.count(func(c *Counts) { c.Reconnected++ })
	}
}

// finish ends an idle link. It holds the mesh's lock so that no frame is
// pushed to a link that nobody serves.
func (l *link) finish() bool {
	l.mesh.mu.Lock()
	defer l.mesh.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := len(l.queue) == 0 && len(l.unacked) == 0
	if l.stopped || !idle || time.Since(l.lastUse) < IdleClose {
		return l.stopped
	}
	// The numbers go on from here if the link is opened again, because the
	// receiver remembers the highest it saw from this incarnation.
	l.mesh.resumeNumber(l.peer, l.next)
	delete(l.mesh.links, l.peer)
	return true
}

// giveUp drops what waits and reports the peer lost once it has been
// unreachable for too long or holds too much.
func (l *link) giveUp(since time.Time) bool {
	l.mu.Lock()
	tooLong := time.Since(since) > l.mesh.options.LostAfter
	lost := tooLong || l.held() > maxQueued
	l.mu.Unlock()
	if !lost {
		return false
	}
	l.mesh.mu.Lock()
	l.mu.Lock()
	l.mesh.resumeNumber(l.peer, l.next)
	l.mu.Unlock()
	if l.mesh.links[l.peer] == l {
		delete(l.mesh.links, l.peer)
	}
	l.mesh.mu.Unlock()
	l.mesh.options.Handler.Lost(l.peer)
	return true
}

// held is the bytes that wait to be sent or acknowledged. The link's lock is
// held.
func (l *link) held() int {
	total := l.queuedBytes
	for _, frame := range l.unacked {
		total += len(frame.Payload)
	}
	return total
}

// connectPatience returns how long a connection attempt may take after a number
// of failed ones; known says that the peer was reached before.
//
// Load pattern: a whole fleet comes back from a power loss, its VMs some tenths
// of a second apart. Harm: an attempt at a VM that isn't up yet loses its first
// packet, and the kernel sends another one after a second; until then a router
// refuses its callers, with all disk VMs long up. So the first attempts at a peer
// that was never reached are short. Later ones leave time for slow ways between
// regions. Of peers that were reached before many may be gone at once, and short
// attempts at all of them would take a router's processor.
func connectPatience(failures int, known bool) time.Duration {
	if !known && failures < shortAttempts {
		return shortAttempt
	}
	if !known {
		failures -= shortAttempts
	}
	patience := firstConnect
	for range failures {
		if patience >= dialTimeout {
			return dialTimeout
		}
		patience *= 2
	}
	return min(patience, dialTimeout)
}

// dial opens a connection and exchanges Hellos.
func (l *link) dial(patience time.Duration) (net.Conn, error) {
	l.mesh.mu.Lock()
	address := l.mesh.address[l.peer]
	l.mesh.mu.Unlock()
	dialer := &net.Dialer{Timeout: patience}
	connection, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "dial peer")
	}
	_ = connection.SetDeadline(time.Now().Add(dialTimeout))
	if l.mesh.options.ClientTLS != nil {
		secured := tls.Client(connection, l.mesh.options.ClientTLS)
		if err := secured.Handshake(); err != nil {
			_ = connection.Close()
			return nil, eris.Wrap(err, "secure the connection to a peer")
		}
		connection = secured
	}
	if err := l.greet(connection); err != nil {
		_ = connection.Close()
		return nil, err
	}
	_ = connection.SetDeadline(time.Time{})
	return connection, nil
}

// greet sends our Hello and checks the peer's.
func (l *link) greet(connection net.Conn) error {
	if err := writeHello(connection, l.mesh.hello(l.peer)); err != nil {
		return err
	}
	theirs, err := readHello(connection)
	if err != nil {
		return err
	}
	if theirs.From != l.peer {
		return eris.Errorf("peer at this address is %q, not %q", theirs.From, l.peer)
	}
	return checkCertificate(connection, theirs.From)
}

// serve sends over one connection until it fails, stalls or is idle. It says
// whether any acknowledgement came.
func (l *link) serve(connection net.Conn) bool {
	l.requeueUnacked()
	acks := make(chan struct{})
	progress := make(chan bool, 1)
	go func() {
		progress <- l.readAcks(connection)
		close(acks)
	}()
	l.sendLoop(connection, acks)
	_ = connection.Close()
	<-acks
	return <-progress
}

// requeueUnacked puts what the last connection may have lost in front again.
func (l *link) requeueUnacked() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unacked) == 0 {
		return
	}
	again := make([]queued, 0, len(l.unacked)+len(l.queue))
	for _, frame := range l.unacked {
		again = append(again, queued{frame, true})
		l.queuedBytes += len(frame.Payload)
	}
	l.queue = append(again, l.queue...)
	l.unacked = nil
	l.oldest = time.Time{}
	l.signal()
}

// sendLoop writes frames as they come, and watches for a stall.
func (l *link) sendLoop(connection net.Conn, acks <-chan struct{}) {
	for {
		if err := l.writeQueued(connection); err != nil {
			return
		}
		select {
		case <-l.wake:
		case <-acks:
			return
		case <-l.quit:
			return
		case <-l.check:
			if l.stalled() || l.idle() {
				return
			}
		}
	}
}

// writeQueued writes all queued frames with one write.
func (l *link) writeQueued(connection net.Conn) error {
	batch, probed := l.take()
	if len(batch) == 0 {
		return nil
	}
	if probed {
		l.mesh.count(func(c *Counts) {
			c.FramesSent[wire.KindProbe]++
			c.BytesSent[wire.KindProbe] += frameOverhead
		})
	}
	_ = connection.SetWriteDeadline(time.Now().Add(l.mesh.options.Stall))
	_, err := connection.Write(batch)
	return err
}

// take encodes the queue and moves its reliable frames to unacked. It says
// whether a probe rides along.
func (l *link) take() (batch []byte, probed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range l.queue {
		longer, err := wire.Append(batch, item.frame)
		if err != nil {
			panic("peer: frame over wire.MaxFrame was queued")
		}
		batch = longer
		if item.reliable {
			l.keep(item.frame)
		}
	}
	if len(l.queue) > 0 && l.unproved() {
		batch, probed = l.appendProbe(batch), true
	}
	clear(l.queue)
	l.queue = l.queue[:0]
	l.queuedBytes = 0
	return batch, probed
}

// unproved says whether only frames without acknowledgement have been sent for
// the stall time. The link's lock is held.
func (l *link) unproved() bool {
	return len(l.unacked) == 0 && time.Since(l.proved) > l.mesh.options.Stall
}

// appendProbe puts a reliable frame without payload behind a batch.
//
// Consensus messages, lease renewals and pushes aren't resent, so nothing
// would show that the connection they go over is silent, and being in use it
// is never closed as idle: a voter would be cut off for good while a new
// connection works. The probe's missing acknowledgement shows it. One a stall
// time costs some 40 bytes on a connection in use, and bounds the time to
// detection by two stall times. The link's lock is held.
func (l *link) appendProbe(batch []byte) []byte {
	l.next++
	probe := wire.Frame{Kind: wire.KindProbe, Number: l.next}
	longer, err := wire.Append(batch, probe)
	if err != nil {
		panic("peer: a probe over wire.MaxFrame")
	}
	l.keep(probe)
	return longer
}

func (l *link) keep(frame wire.Frame) {
	if len(l.unacked) == 0 {
		l.oldest = time.Now()
	}
	l.proved = time.Now()
	l.unacked = append(l.unacked, frame)
}

// overdue says whether the oldest unacknowledged frame has waited too long.
func (l *link) overdue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.unacked) > 0 && time.Since(l.oldest) > l.mesh.options.Stall
}

// stalled says whether the connection has to be replaced, and tells it.
func (l *link) stalled() bool {
	waiting := l.overdue()
	if waiting {
		l.mesh.count(func(c *Counts) { c.Stalled++ })
		l.mesh.options.Log.Warn().Str("peer", string(l.peer)).Msg("peer: connection is silent, replaced")
	}
	return waiting
}

func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && len(l.unacked) == 0 && time.Since(l.lastUse) > IdleClose
}

// readAcks takes acknowledgements, and with Options.Duplex the peer's frames,
// until the connection ends. It says whether any came.
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
			l.mesh.options.Handler.Frame(l.peer, frame)
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
		l.acknowledged(ack.Number)
	}
}

// acknowledged drops the frames up to number; the rest start a new wait,
// because an acknowledgement is progress.
func (l *link) acknowledged(number uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := 0
	for kept < len(l.unacked) && l.unacked[kept].Number <= number {
		kept++
	}
	if kept == 0 {
		return
	}
	l.unacked = append([]wire.Frame(nil), l.unacked[kept:]...)
	l.oldest = time.Now()
}
