package admission

import (
	"time"

	"endiveplank/protocol"
)

// entry is one waiting request.
type entry struct {
	request Request
	flow    *flow
	arrived time.Duration
	// latestStart is the last moment at which a start meets the deadline, by
	// the stream speed at arrival.
	latestStart time.Duration
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
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	return a.arrivalNumber < b.arrivalNumber
}

func (x *expiry) position() int     { return x.at }
func (x *expiry) setPosition(i int) { x.at = i }

// flowKey names a flow. A customer whose row changes class has a flow in each
// class until the old one has drained.
type flowKey struct {
	customer protocol.CustomerID
	class    Class
}

// flow is one customer within one class.
type flow struct {
	key flowKey
	// weight is the customer's weight times the class's guarantee.
	weight  float64
	waiting indexedHeap[*entry]
	tokens  int
	// clock is the virtual time up to which the customer has had its share:
	// where the next request starts.
	clock float64
	// standing says that the last started request waited longer than its class
	// should, and since when that has been so without a break.
	standing      bool
	standingSince time.Duration
	// cutUntil is until when its queue is held to the class's target.
	cutUntil time.Duration
	// at is the place in the class's heap while requests wait, else in the heap
	// of flows that are ahead of their share.
	at int
}

func (f *flow) less(other *flow) bool {
	if f.clock != other.clock {
		return f.clock < other.clock
	}
	if f.key.customer != other.key.customer {
		return f.key.customer < other.key.customer
	}
	return f.key.class < other.key.class
}

func (f *flow) position() int     { return f.at }
func (f *flow) setPosition(i int) { f.at = i }

// backlogged says whether the flow has requests waiting.
func (f *flow) backlogged() bool { return f.waiting.Len() > 0 }

// classQueue holds the flows of one priority class that have requests waiting.
type classQueue struct {
	active indexedHeap[*flow]
	tokens int
	count  int
	credit float64 // tokens owed by the minimum share
	rate   rate    // tokens started per second while the class waits
}

// head returns the request that fairness serves next in this class.
func (c *classQueue) head() (*entry, bool) {
	f, ok := c.active.first()
	if !ok {
		return nil, false
	}
	return f.waiting.first()
}
