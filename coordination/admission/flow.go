package admission

import (
	"time"

	"endiveplank/protocol"
)

// entry is one waiting request.
type entry struct {
	request Request
	flow    *flow
	// rank is arrival plus handicap; arrivalNumber breaks ties.
	rank          time.Duration
	arrivalNumber uint64
	rankAt        int
}

func (e *entry) less(other *entry) bool {
	if e.rank != other.rank {
		return e.rank < other.rank
	}
	return e.arrivalNumber < other.arrivalNumber
}

func (e *entry) position() int     { return e.rankAt }
func (e *entry) setPosition(i int) { e.rankAt = i }

// expiry places an entry in the heap of last moments to start.
type expiry struct {
	entry *entry
	at    int
}

func (x *expiry) less(other *expiry) bool {
	a, b := x.entry, other.entry
	if a.request.latestStart() != b.request.latestStart() {
		return a.request.latestStart() < b.request.latestStart()
	}
	return a.arrivalNumber < b.arrivalNumber
}

func (x *expiry) position() int     { return x.at }
func (x *expiry) setPosition(i int) { x.at = i }

// flow is one customer within one class.
type flow struct {
	customer protocol.CustomerID
	weight   float64
	waiting  indexedHeap[*entry]
	tokens   int
	// finish is the customer's virtual clock: where its last started request
	// ended.
	finish float64
	// start is the virtual start of the request at the head, set while the
	// flow is in its class's heap.
	start float64
	at    int
}

func (f *flow) less(other *flow) bool {
	if f.start != other.start {
		return f.start < other.start
	}
	return f.customer < other.customer
}

func (f *flow) position() int     { return f.at }
func (f *flow) setPosition(i int) { f.at = i }

// classQueue is the start-time fair queue of one priority class.
type classQueue struct {
	flows map[protocol.CustomerID]*flow
	// active holds the flows that have requests waiting.
	active indexedHeap[*flow]
	// virtual is the start of the request that was started last.
	virtual float64
	tokens  int
	count   int
	weight  float64 // sum over active flows
	credit  float64 // tokens owed by the minimum share
	rate    rate    // tokens started per second while the class waits
}

// flow returns the customer's flow with the weight of its latest request.
func (c *classQueue) flow(r Request) *flow {
	f := c.flows[r.Customer]
	if f == nil {
		f = &flow{customer: r.Customer, at: unplaced}
		c.flows[r.Customer] = f
	}
	if f.at != unplaced {
		c.weight += r.Weight - f.weight
	}
	f.weight = r.Weight
	return f
}

// add puts an entry in its customer's flow.
func (c *classQueue) add(e *entry) {
	f := e.flow
	f.waiting.add(e)
	f.tokens += e.request.Tokens
	c.tokens += e.request.Tokens
	c.count++
	if f.at == unplaced {
		f.start = max(c.virtual, f.finish)
		c.weight += f.weight
		c.active.add(f)
	}
}

// remove takes an entry out without starting it.
func (c *classQueue) remove(e *entry) {
	f := e.flow
	f.waiting.remove(e)
	f.tokens -= e.request.Tokens
	c.tokens -= e.request.Tokens
	c.count--
	if f.waiting.Len() == 0 {
		c.deactivate(f)
	}
}

// deactivate takes a flow without waiting requests out of the heap. A flow
// whose clock is behind the class's has nothing left to remember.
func (c *classQueue) deactivate(f *flow) {
	c.active.remove(f)
	c.weight -= f.weight
	if f.finish <= c.virtual {
		delete(c.flows, f.customer)
	}
	if c.active.Len() == 0 {
		// An empty sum is exactly zero; floating point may have left a rest.
		c.weight = 0
		c.credit = 0
		c.forget()
	}
}

// forget drops idle flows whose clocks no longer matter. It runs when the
// class falls idle, which ends a busy period of the fair queue: all customers
// then start even.
func (c *classQueue) forget() {
	clear(c.flows)
}

// head returns the request that fairness serves next.
func (c *classQueue) head() (*entry, bool) {
	f, ok := c.active.first()
	if !ok {
		return nil, false
	}
	return f.waiting.first()
}

// started charges the customer for a request taken from the head.
func (c *classQueue) started(e *entry) {
	f := e.flow
	c.virtual = max(c.virtual, f.start)
	f.finish = f.start + float64(e.request.Tokens)/f.weight
	f.start = f.finish
	f.waiting.remove(e)
	f.tokens -= e.request.Tokens
	c.tokens -= e.request.Tokens
	c.count--
	if f.waiting.Len() == 0 {
		c.deactivate(f)
		return
	}
	c.active.moved(f)
}
