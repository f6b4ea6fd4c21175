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
	// latestStart is the latest start that meets the deadline, by the stream
	// speed at arrival.
	latestStart time.Duration
	// rank is the arrival time plus the penalty for length; arrivalNumber
	// breaks ties.
	rank          time.Duration
	arrivalNumber uint64
	heapIndex     int
}

func (e *entry) less(other *entry) bool {
	if e.rank != other.rank {
		return e.rank < other.rank
	}
	return e.arrivalNumber < other.arrivalNumber
}

func (e *entry) position() int     { return e.heapIndex }
func (e *entry) setPosition(i int) { e.heapIndex = i }

// expiry is an entry's element in the heap that is ordered by latestStart.
type expiry struct {
	entry     *entry
	heapIndex int
}

func (x *expiry) less(other *expiry) bool {
	a, b := x.entry, other.entry
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	return a.arrivalNumber < b.arrivalNumber
}

func (x *expiry) position() int     { return x.heapIndex }
func (x *expiry) setPosition(i int) { x.heapIndex = i }

// flowKey identifies a flow. A customer whose row in the table changes class
// has a flow in each class until the old one has drained.
type flowKey struct {
	customer protocol.CustomerID
	class    Class
}

// flow holds the waiting requests and the virtual clock of one customer within
// one class.
type flow struct {
	key flowKey
	// weight is the customer's weight times Config.ClassWeight of the class.
	weight  float64
	waiting indexedHeap[*entry]
	tokens  int // of the waiting requests
	// clock is the virtual time up to which the customer has used its share, at
	// which its next request starts.
	clock float64
	// standing says that the last started request waited longer than the target
	// of its class. standingSince is when the uninterrupted series of such
	// waits began.
	standing      bool
	standingSince time.Duration
	// targetUntil is the time until which TargetWait is enforced for this flow.
	targetUntil time.Duration
	// heapIndex is the place in the class's heap while requests wait, else in
	// shares.ahead. It is notInHeap while the flow is idle.
	heapIndex int
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

func (f *flow) position() int     { return f.heapIndex }
func (f *flow) setPosition(i int) { f.heapIndex = i }

// backlogged says whether the flow has requests waiting.
func (f *flow) backlogged() bool { return f.waiting.Len() > 0 }

// classQueue holds the flows of one priority class that have requests waiting.
type classQueue struct {
	active indexedHeap[*flow]
	tokens int     // of the waiting requests
	count  int     // of the waiting requests
	credit float64 // tokens owed by the minimum share
	rate   rate    // tokens started per second while the class waits
}

// head returns the class's next request: the first of the flow whose clock is
// lowest.
func (c *classQueue) head() (*entry, bool) {
	f, ok := c.active.first()
	if !ok {
		return nil, false
	}
	return f.waiting.first()
}
