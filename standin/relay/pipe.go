package relay

import (
	"net"
	"time"
)

// chunk holds bytes that the relay has read and not yet written. An empty chunk
// marks the end of the stream in one direction.
type chunk struct {
	bytes []byte
	due   time.Time // when the bytes may be written
}

// pipe forwards one direction of a link. Reading and writing run in separate
// goroutines, so that a delay adds latency without reducing the throughput.
func (r *Relay) pipe(l *link, direction Direction, from, to net.Conn) {
	queue := make(chan chunk, queueLength)
	go r.read(l, direction, from, queue)
	for c := range queue {
		if !l.wait(time.Until(c.due)) || !r.waitWhileSilent(l, direction) {
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

// read reads from a connection into the queue until the connection ends or the
// link is cut. Then it closes the queue.
func (r *Relay) read(l *link, direction Direction, from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for r.waitWhileSilent(l, direction) {
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

// waitWhileSilent waits while the direction is silent. It returns false once the
// link has been cut. The reader and the writer both call it, so that bytes which
// the relay has read before the silence starts aren't written during it.
func (r *Relay) waitWhileSilent(l *link, direction Direction) bool {
	for {
		r.mu.Lock()
		silent := includes(l.silenced, direction) || includes(r.faults.Silent, direction)
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

// wait waits for a delay. It returns false if the link is cut meanwhile.
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

// includes reports whether a fault in the direction fault affects direction.
func includes(fault, direction Direction) bool {
	return fault == Both || fault == direction
}

// closeWrite forwards the end of the stream in one direction.
func closeWrite(conn net.Conn) {
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}
