package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// keepIdle is how long an unused connection is kept where the upstream
	// says nothing of it.
	keepIdle = 8 * time.Second
	// idleMargin is how much before the time that the upstream names a
	// connection isn't used any more: it may be closing it already.
	idleMargin = 700 * time.Millisecond
	// keepPerUpstream bounds the unused connections to one upstream.
	keepPerUpstream = 16
	// bufferBytes is the size of a connection's buffers: an answer's head and
	// the events of a few milliseconds.
	bufferBytes = 4 << 10
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// keep is how long it may stay unused.
	keep time.Duration
	// unusedSince is when its last answer ended.
	unusedSince time.Time
	reused      bool
}

// Pool keeps connections. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	dialed uint64
	reused uint64
	closed bool
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: map[string][]*conn{}}
}

// Counts returns how many connections were made and how often a kept one was
// used again.
func (p *Pool) Counts() (dialed, reused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed, p.reused
}

// get returns a connection to an address, a kept one if there is one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		kept := p.take(address)
		if kept == nil {
			break
		}
		if time.Since(kept.unusedSince) < kept.keep && isQuiet(kept.Conn) {
			kept.reused = true
			return kept, nil
		}
		_ = kept.Close()
	}
	opened, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	return &conn{
		Conn:   opened,
		reader: bufio.NewReaderSize(opened, bufferBytes),
		writer: bufio.NewWriterSize(opened, bufferBytes),
		keep:   keepIdle,
	}, nil
}

// take removes the connection that was used last, which is the least likely to
// have been closed.
func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	p.reused++
	return last
}

// put keeps a connection whose answer has been read to its end.
func (p *Pool) put(address string, c *conn) {
	c.unusedSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[address]) >= keepPerUpstream {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes connections that have been unused for too long or that the
// upstream has closed. An upstream accepts a bounded number of connections from
// all routers together.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.unusedSince) < c.keep && isQuiet(c.Conn) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// Forget closes the unused connections to an address whose upstream has left.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Close closes all unused connections; those in use are closed when their
// answers end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}
