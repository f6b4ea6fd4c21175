// Package relay is a TCP relay that simulates a faulty network between a client
// and one target, for tests and demonstrations.
//
// Relay forwards the connections; Faults and the methods Forget and Cut make them
// fail. In a silent direction the relay stops reading: nothing arrives, no
// connection is closed, and the sender notices only when its buffers are full. The
// relay doesn't forward the closing of a connection either, as when a device
// between the two ends has lost the connection's state. Forget makes the
// connections that are open at that moment silent for good while new ones work.
// Faults.Silent makes all connections silent until it is lifted, as in a network
// partition. Faults.Delay adds latency without reducing the bandwidth. Cut closes
// connections, and Faults.Refuse closes new ones at once. A relay that knows its clients apart
// can do both to one of them alone.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Direction is a direction of traffic through the relay.
type Direction string

const (
	// Forward is from the client, which connected to the relay, to the target.
	Forward Direction = "forward"
	// Backward is from the target to the client.
	Backward Direction = "backward"
	// Both is Forward and Backward.
	Both Direction = "both"
)

// chunkSize is the most that the relay reads at once, in bytes. queueLength is the
// largest number of chunks that wait for their delay in one direction.
const (
	chunkSize   = 16 << 10
	queueLength = 256
)

// Faults are the faults that apply to all connections until they are changed.
type Faults struct {
	// Silent is the silent direction, or empty for none.
	Silent Direction `json:"silent"`
	// Delay is added in each direction. In JSON it is in nanoseconds.
	Delay time.Duration `json:"delay_ns"`
	// Refuse makes the relay close new connections at once.
	Refuse bool `json:"refuse"`
}

// Relay forwards TCP connections to one target.
type Relay struct {
	listener net.Listener
	target   string
	// identify names the client of a connection; nil if the relay doesn't know its clients apart.
	identify func(client net.Conn) string
	done     sync.WaitGroup

	mu      sync.Mutex
	faults  Faults
	refused map[string]bool
	links   map[*link]struct{}
	changed chan struct{}
	closed  bool
}

// link is one connection through the relay.
type link struct {
	client, target net.Conn
	// name is the client's name, "" if unknown.
	name string
	// silenced is the direction that is silent for good, or empty for none.
	silenced Direction
	// closed is closed when the link has been cut, which wakes pipes that wait
	// while their direction is silent.
	closed chan struct{}
	once   sync.Once
}

// Start relays connections from listen (host:port, port 0 for any) to the address
// target.
func Start(listen, target string) (*Relay, error) { return StartIdentified(listen, target, nil) }

// StartIdentified is Start with a function that names the client of a connection.
func StartIdentified(listen, target string, identify func(client net.Conn) string) (*Relay, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", listen)
	}
	r := &Relay{
		listener: listener,
		target:   target,
		identify: identify,
		refused:  make(map[string]bool),
		links:    make(map[*link]struct{}),
		changed:  make(chan struct{}),
	}
	r.done.Add(1)
	go r.accept()
	return r, nil
}

// Address returns the host:port that the relay listens on.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Set replaces the faults that apply to all connections.
func (r *Relay) Set(faults Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = faults
	r.wakeWaiters()
}

// Faults returns the faults in force.
func (r *Relay) Faults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// Forget makes the connections that are open now silent for good, in one direction
// or both. New connections work.
func (r *Relay) Forget(direction Direction) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.silenced = direction
	}
	r.wakeWaiters()
}

// Cut closes all connections at both ends.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.cut()
	}
}

// Refuse makes the relay close a client's new connections at once, or no longer.
func (r *Relay) Refuse(client string, refuse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused[client] = refuse
}

// CutClient closes a client's connections at both ends.
func (r *Relay) CutClient(client string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		if l.name == client {
			l.cut()
		}
	}
}

// refuses returns the name of the client of a new connection, and whether to close it.
func (r *Relay) refuses(client net.Conn) (name string, refuse bool) {
	if r.identify != nil {
		name = r.identify(client)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return name, r.faults.Refuse || r.refused[name]
}

// Open returns the number of connections through the relay.
func (r *Relay) Open() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// Close stops the relay and closes its connections.
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Add(1)
		go r.serve(client)
	}
}

// serve relays one connection until both directions have ended.
func (r *Relay) serve(client net.Conn) {
	defer r.done.Done()
	name, refuse := r.refuses(client)
	if refuse {
		_ = client.Close()
		return
	}
	target, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = client.Close()
		return
	}
	l := &link{client: client, target: target, name: name, closed: make(chan struct{})}
	if !r.addLink(l) {
		l.cut()
		return
	}
	var pipes sync.WaitGroup
	pipes.Go(func() { r.pipe(l, Forward, client, target) })
	pipes.Go(func() { r.pipe(l, Backward, target, client) })
	pipes.Wait()
	l.cut()
	r.removeLink(l)
}

// addLink registers a link. It returns false if the relay is closed, and the link
// must then be cut.
func (r *Relay) addLink(l *link) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[l] = struct{}{}
	return !r.closed
}

func (r *Relay) removeLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

// wakeWaiters wakes the pipes in waitWhileSilent. The caller holds the mutex.
func (r *Relay) wakeWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// cut closes both connections of the link.
func (l *link) cut() {
	l.once.Do(func() {
		close(l.closed)
		_ = l.client.Close()
		_ = l.target.Close()
	})
}
