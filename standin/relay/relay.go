// Package relay is a small TCP relay that plays a faulty network between two
// ends, for tests and demonstrations.
//
// Its faults are those that an end cannot see from its own socket. In a silent
// direction the relay stops reading: nothing arrives, nothing closes, and the
// sender notices only when its buffers are full. The closing of an end is not
// passed on either, as when a device between the two has lost track of the
// connection. Silence can hold for the connections that are open at that
// moment, for good, while new ones work; or for all, until it is lifted, as in
// a silent network partition. Delay adds latency without a loss of bandwidth.
// Cut closes connections, and Refuse closes new ones at once.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction names a way through the relay.
type Direction string

const (
	// Forward is from the end that connected to the target.
	Forward Direction = "forward"
	// Backward is from the target to the end that connected.
	Backward Direction = "backward"
	// Both is either way.
	Both Direction = "both"
)

// chunkSize is what the relay reads at once, in bytes, and queueLength the
// chunks that wait for their delay in one direction.
const (
	chunkSize   = 16 << 10
	queueLength = 256
)

// Faults are the faults that hold for all connections until they are changed.
type Faults struct {
	// Silent names the silent direction; empty for none.
	Silent Direction `json:"silent"`
	// Delay is added to each direction, in nanoseconds in JSON.
	Delay time.Duration `json:"delay_ns"`
	// Refuse closes new connections at once.
	Refuse bool `json:"refuse"`
}

// Relay forwards TCP connections to one target.
type Relay struct {
	listener net.Listener
	to       string
	done     sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	links   map[*link]struct{}
	changed chan struct{}
	closed  bool
}

// link is one connection through the relay.
type link struct {
	near, far net.Conn
	// forgotten is the direction that is silent for good; empty for none.
	forgotten Direction
	// closed tells pipes that wait in silence that the link has been cut.
	closed chan struct{}
	once   sync.Once
}

// Start relays from listen (host:port, port 0 for any) to the address to.
func Start(listen, to string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", listen)
	}
	r := &Relay{
		listener: listener,
		to:       to,
		links:    make(map[*link]struct{}),
		changed:  make(chan struct{}),
	}
	r.done.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the host:port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set puts faults in force for all connections.
func (r *Relay) Set(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.signal()
}

// Faults returns the faults in force.
func (r *Relay) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Forget silences the connections that are open now for good, in one direction
// or both. New ones work.
func (r *Relay) Forget(direction Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.forgotten = direction
	}
	r.signal()
}

// Cut closes all connections at both ends.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.cut()
	}
}

// Open returns the number of connections through the relay.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	_ = r.listener.Close()
	r.Cut()
	r.done.Wait()
}

func (r *Relay) accept() {
	defer r.done.Done()
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Add(1)
		go r.serve(near)
	}
}

// serve relays one connection until both directions have ended.
func (r *Relay) serve(near net.Conn) {
	defer r.done.Done()
	if r.Faults().Refuse {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = near.Close()
		return
	}
	l := &link{near: near, far: far, closed: make(chan struct{})}
	if !r.add(l) {
		l.cut()
		return
	}
	var pipes sync.WaitGroup
	pipes.Go(func() { r.pipe(l, Forward, near, far) })
	pipes.Go(func() { r.pipe(l, Backward, far, near) })
	pipes.Wait()
	l.cut()
	r.remove(l)
}

func (r *Relay) add(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[l] = struct{}{}
	return !r.closed
}

func (r *Relay) remove(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// signal wakes the pipes that wait in silence. The caller holds the mutex.
func (r *Relay) signal() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// cut closes both ends.
func (l *link) cut() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.near.Close()
		_ = l.far.Close()
	})
}
