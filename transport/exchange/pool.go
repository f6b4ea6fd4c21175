package exchange

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/transport/bounded"
	"endiveplank/transport/strict"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the upstream
	// doesn't say how long it keeps one.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is how long before the upstream's own idle timeout a connection
	// is no longer reused: the upstream may already be closing it.
	idleMargin = 700 * time.Millisecond
	// maxIdlePerUpstream bounds the idle connections to one upstream.
	maxIdlePerUpstream = 16
	// bufferBytes is the size of each of a connection's buffers: enough for the
	// head of an answer and the events of a few milliseconds.
	bufferBytes = 4 << 10
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	// source is what reader reads from; it bounds the heads of answers. It reads from meter.
	source *bounded.Reader
	meter  *headMeter
	reader *bufio.Reader
	writer *bufio.Writer
	// idleTimeout is how long the connection may stay idle.
	idleTimeout time.Duration
	// idleSince is when its last answer ended.
	idleSince time.Time
	reused    bool
}

// Options configures a Pool.
type Options struct {
	// Dial opens a connection to an address; nil stands for a TCP connection with this
	// package's timeouts.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxIdle bounds how long an idle connection is kept, also if the upstream allows more; 0
	// stands for no bound of its own.
	MaxIdle time.Duration
	// MaxHeadBytes bounds the head of an answer; 0 stands for bounded.MaxHeadBytes.
	MaxHeadBytes int64
}

// Pool keeps idle connections to upstreams for reuse. It is safe for concurrent use.
type Pool struct {
	options Options

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed uint64
	reused uint64
	closed bool
}

// NewPool returns an empty pool.
func NewPool(options Options) *Pool {
	if options.Dial == nil {
		options.Dial = dial
	}
	if options.MaxHeadBytes == 0 {
		options.MaxHeadBytes = bounded.MaxHeadBytes
	}
	return &Pool{options: options, idle: map[string][]*conn{}}
}

// Counts returns how many connections were opened and how often an idle one was
// taken for reuse.
func (p *Pool) Counts() (dialed, reused uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed, p.reused
}

// get returns a connection to an address: a usable idle one if there is one, else a
// new one.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		idle := p.popIdle(address)
		if idle == nil {
			break
		}
		if time.Since(idle.idleSince) < idle.idleTimeout && isUsable(idle.Conn) {
			idle.reused = true
			return idle, nil
		}
		_ = idle.Close()
	}
	return p.open(ctx, address)
}

// probeSettleTime is how long an opened connection must stay open for a probe to succeed.
// Something between the two ends may accept every connection and close those that it can't
// forward.
const probeSettleTime = 30 * time.Millisecond

// errClosedAtOnce means that a connection was closed as soon as it was open.
var errClosedAtOnce = eris.New("exchange: the connection was closed as soon as it was open")

// Probe opens a connection to an address, to learn whether that is possible, and keeps it for
// the next request.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	time.Sleep(probeSettleTime)
	if !isUsable(c.Conn) {
		_ = c.Close()
		return errClosedAtOnce
	}
	p.put(address, c)
	return nil
}

// open opens a connection to an address.
func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	opened, err := p.options.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	checked := strict.NewConn(opened)
	meter := &headMeter{from: checked}
	source := bounded.NewReader(meter)
	return &conn{
		Conn:        opened,
		meter:       meter,
		source:      source,
		reader:      bufio.NewReaderSize(source, bufferBytes),
		writer:      bufio.NewWriterSize(checked, bufferBytes),
		idleTimeout: defaultIdleTimeout,
	}, nil
}

// popIdle removes and returns the most recently used idle connection, which is the
// least likely to have been closed. It returns nil if there is none.
func (p *Pool) popIdle(address string) *conn {
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

// put adds a connection whose answer was read to its end to the idle ones.
func (p *Pool) put(address string, c *conn) {
	c.idleSince = time.Now()
	if p.options.MaxIdle > 0 {
		c.idleTimeout = min(c.idleTimeout, p.options.MaxIdle)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[address]) >= maxIdlePerUpstream {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// Sweep closes connections that have been idle for too long or that the upstream
// has closed. It is needed because an upstream accepts only a limited number of
// connections from all routers together.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if time.Since(c.idleSince) < c.idleTimeout && isUsable(c.Conn) {
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

// CloseIdle closes the idle connections to the address of an upstream that has left.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Close closes all idle connections; those in use are closed when their answers
// end.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.CloseAllIdle()
}

// CloseAllIdle closes the idle connections to all addresses.
func (p *Pool) CloseAllIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	p.idle = map[string][]*conn{}
}
