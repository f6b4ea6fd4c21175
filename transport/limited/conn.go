package limited

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"endiveplank/coordination/intake"
)

// Memory that a head takes while it is read and until its request is served, for each byte and for
// each line of it: a field takes a name, a list of values and a place in a map.
const (
	headByteBytes = 2
	headLineBytes = 192
)

// conn is a connection that is charged for what is read from it.
type conn struct {
	net.Conn
	listener *Listener
	budgets  *Budgets
	// writingSince is when the write began that hasn't ended, since the start of the process, 0 for none.
	writingSince atomic.Int64
	closed       chan struct{}
	closeOnce    sync.Once

	// The rest is guarded by the lock of the budgets.

	stage intake.Stage
	since time.Duration
	// inHead says that what comes belongs to a head.
	inHead bool
	// closing says that the connection is being closed and takes no further request.
	closing            bool
	worker             intake.Worker
	head, body, answer intake.Holding
}

func newConn(accepted net.Conn, l *Listener) *conn {
	return &conn{Conn: accepted, listener: l, budgets: l.budgets, closed: make(chan struct{}), stage: intake.Incomplete, since: l.budgets.now(), inHead: true}
}

// state returns the stage. The lock is held.
func (c *conn) state() intake.Connection {
	if since := c.writingSince.Load(); since > 0 {
		return intake.Connection{Stage: intake.Unread, Since: time.Duration(since)}
	}
	return intake.Connection{Stage: c.stage, Since: c.since}
}

// Read implements net.Conn. It waits while the connection has used more than its part of the
// processor.
//
// A read of a single byte is the server's own, which waits for the end of the connection while a
// request is served: it isn't charged, as the server waits for its end before the next request.
func (c *conn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 || len(buffer) == 1 {
		return n, err
	}
	wait, held := c.charge(buffer[:n])
	c.pause(wait)
	if held > 0 && !c.budgets.take(c.budgets.heads, c, &c.head, held) {
		c.reset()
		return 0, ErrNoRoom
	}
	return n, err
}

// charge charges the connection for bytes that were read. It returns how long to wait before they are
// handled, and how much memory they take then.
func (c *conn) charge(data []byte) (wait time.Duration, held int64) {
	c.budgets.mu.Lock()
	defer c.budgets.mu.Unlock()
	now := c.budgets.now()
	lines := bytes.Count(data, []byte{'\n'})
	if c.stage == intake.Idle {
		c.stage, c.since = intake.Incomplete, now
	}
	if !c.inHead {
		return c.budgets.work.ReadBody(now, &c.worker, len(data), lines), 0
	}
	held = int64(len(data)*headByteBytes + lines*headLineBytes)
	return c.budgets.work.ReadHead(now, &c.worker, len(data), lines), held
}

// pause waits for a time, or until the connection is closed.
func (c *conn) pause(wait time.Duration) {
	if wait == 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.closed:
	}
	c.budgets.mu.Lock()
	defer c.budgets.mu.Unlock()
	c.budgets.counts.Paused++
	c.budgets.work.Resume(&c.worker)
}

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) {
	c.writingSince.Store(int64(c.budgets.now()))
	defer c.writingSince.Store(0)
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// CloseWrite ends the direction to the client, so that the server can wait until the client has read
// its answer.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return c.Conn.Close()
}

// SetLinger says how long Close waits for bytes that weren't sent, as net.TCPConn does.
func (c *conn) SetLinger(seconds int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// reset ends the connection at once.
func (c *conn) reset() {
	c.end()
	resetAndClose(c.Conn)
}

// end gives back what the connection holds.
func (c *conn) end() {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.remove(c)
		c.budgets.mu.Lock()
		defer c.budgets.mu.Unlock()
		c.closing = true
		if c.stage == intake.Incomplete {
			c.release()
		}
	})
}

// release gives back what the request holds. The lock is held.
func (c *conn) release() {
	c.budgets.release(c.budgets.heads, &c.head)
	c.budgets.release(c.budgets.bodies, &c.body)
	c.budgets.release(c.budgets.answers, &c.answer)
}
