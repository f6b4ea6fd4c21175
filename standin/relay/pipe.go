package relay

import (
	"net"
	"time"
)

// chunk is bytes on their way, or the end of a direction when it is empty.
type chunk struct {
	bytes []byte
	due   time.Time
}

// pipe forwards one direction of a link. One goroutine reads and another
// writes, so that a delay holds up no bytes behind the delayed ones.
func (r *Relay) pipe(l *link, direction Direction, from, to net.Conn) {
	queue := make(chan chunk, queueLength)
	go r.read(l, direction, from, queue)
	for c := range queue {
		if !l.wait(time.Until(c.due)) || !r.pass(l, direction) {
			continue
		}
		if len(c.bytes) == 0 {
			closeWrite(to)
			continue
		}
		if _, err := to.Write(c.bytes); err != nil {
			l.cut()
		}
	}
}

// read fills the queue until its end closes, and closes it then.
func (r *Relay) read(l *link, direction Direction, from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for r.pass(l, direction) {
		buffer := make([]byte, chunkSize)
		n, err := from.Read(buffer)
		due := time.Now().Add(r.Faults().Delay)
		if n > 0 {
			queue <- chunk{bytes: buffer[:n], due: due}
		}
		if err != nil {
			queue <- chunk{due: due}
			return
		}
	}
}

// pass waits while the direction is silent. It returns false once the link has
// been cut. Both the reader and the writer call it, so that bytes which the
// relay already holds when the silence begins do not come through either.
func (r *Relay) pass(l *link, direction Direction) bool {
	for {
		r.mu.Lock()
		silent := covers(l.forgotten, direction) || covers(r.faults.Silent, direction)
		changed := r.changed
		r.mu.Unlock()
		if !silent {
			return true
		}
		select {
		case <-changed:
		case <-l.closed:
			return false
		}
	}
}

// wait lets a delay pass. It returns false when the link is cut before.
func (l *link) wait(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

// covers says whether a fault's direction takes in another.
func covers(fault, direction Direction) bool {
	return fault == Both || fault == direction
}

// closeWrite passes the end of a direction on.
func closeWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
