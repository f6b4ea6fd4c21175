package limited

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"endiveplank/coordination/intake"
)

// ErrNoRoom means that a request can't be held in memory now. It hasn't run.
var ErrNoRoom = eris.New("requests fill the memory that they may have")

// Shares of a process's memory.
const (
	// headShare is for the heads of requests, bodyShare for their bodies and answerShare for answers
	// that their callers haven't taken yet.
	headShare   = 0.08
	bodyShare   = 0.1
	answerShare = 0.08
	// connectionShare is for open connections, each of which takes connectionBytes: the kernel's
	// buffers of both directions, and the stacks and buffers of the process.
	connectionShare = 0.5
	connectionBytes = 2*socketBufferBytes + 32<<10
	// socketBufferBytes bounds what the kernel holds of a connection in each direction.
	socketBufferBytes = 32 << 10
	// reservedDescriptors are for files, and for the connections that the process opens itself.
	reservedDescriptors = 200
	// maxDescriptors stands for a process without a limit on its descriptors.
	maxDescriptors = 1 << 20
)

// Options are what a process has.
type Options struct {
	MemoryBytes int64
	// Processor is the share of a processor.
	Processor float64
	// Descriptors is how many files and connections may be open, 0 for the limit of the process.
	Descriptors int
}

// Counts are totals since the start.
type Counts struct {
	// Closed counts connections that were closed for a new one, TurnedAway those that weren't taken,
	// and NoRoom requests that found no memory or gave way to others.
	Closed, TurnedAway, NoRoom int64
	// Paused counts waits of connections for their part of the processor.
	Paused int64
	// HeldBytes is what requests and unread answers hold at the moment.
	HeldBytes int64
}

// Budgets are the budgets of a process. They are safe for concurrent use.
type Budgets struct {
	options Options
	started time.Time

	mu                     sync.Mutex
	heads, bodies, answers *intake.Memory
	work                   *intake.Work
	owners                 map[*intake.Holding]*conn
	counts                 Counts
}

// New returns the budgets of a process.
func New(options Options) *Budgets {
	if limit := descriptorLimit(); options.Descriptors == 0 || options.Descriptors > limit {
		options.Descriptors = limit
	}
	options.Descriptors = max(options.Descriptors-reservedDescriptors, 1)
	memory := func(share float64) *intake.Memory {
		return intake.NewMemory(int64(share * float64(options.MemoryBytes)))
	}
	return &Budgets{
		options: options, started: time.Now(),
		heads: memory(headShare), bodies: memory(bodyShare), answers: memory(answerShare),
		work: intake.NewWork(options.Processor), owners: map[*intake.Holding]*conn{},
	}
}

// descriptorLimit returns how many descriptors the process may have.
func descriptorLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > maxDescriptors {
		return maxDescriptors
	}
	return int(limit.Cur)
}

// Connections returns how many connections a listener may have open that may use a share of the
// descriptors. Without budgets there is no bound, and it returns 0.
func (b *Budgets) Connections(share float64) int {
	if b == nil {
		return 0
	}
	byMemory := connectionShare * float64(b.options.MemoryBytes) / connectionBytes
	return max(int(min(share*float64(b.options.Descriptors), byMemory)), 1)
}

// Counts returns the totals.
func (b *Budgets) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := b.counts
	counts.HeldBytes = b.heads.Used() + b.bodies.Used() + b.answers.Used()
	return counts
}

// SetGauges sets the gauges of the totals.
func (b *Budgets) SetGauges(set func(name string, value int64)) {
	if b == nil {
		return
	}
	counts := b.Counts()
	set("client_connections_closed_total", counts.Closed)
	set("client_connections_refused_total", counts.TurnedAway)
	set("client_requests_without_memory_total", counts.NoRoom)
	set("client_reads_delayed_total", counts.Paused)
	set("client_bytes_held", counts.HeldBytes)
}

// now returns the time since the start.
func (b *Budgets) now() time.Duration { return time.Since(b.started) }

// take lets a request of a connection hold n further bytes, and closes the connections that give
// way. It reports whether the request may.
func (b *Budgets) take(from *intake.Memory, c *conn, h *intake.Holding, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	granted, evicted := from.Take(b.now(), h, n)
	for _, victim := range evicted {
		b.counts.NoRoom++
		go b.owners[victim].reset()
		delete(b.owners, victim)
	}
	if !granted {
		b.counts.NoRoom++
		return false
	}
	b.owners[h] = c
	return true
}

// release ends what a request holds. The lock is held.
func (b *Budgets) release(from *intake.Memory, h *intake.Holding) {
	from.Release(h)
	delete(b.owners, h)
}
