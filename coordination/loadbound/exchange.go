package loadbound

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

// Timing of an Exchange.
const (
	// roundMargin is how much earlier than one period after the last totals a
	// leaf sends again, to leave time for the messages up and down the tree.
	roundMargin = 25 * time.Millisecond
	// roundSlack is how long after the end of a period a router sends although
	// it has not received messages from all children, because one of them is
	// lost or slow.
	roundSlack = 50 * time.Millisecond
)

// Exchange decides when a router sends its summary to which neighbour.
//
// With 330 owners, totals pass four levels of a tree and back. If each level
// sent on a timer of its own, a total would be a second old when it arrives,
// the allowance for work drained in that time would exceed the margin that the
// bound leaves above the mean, and engines at the mean would turn work away. So
// the tree works in rounds: leaves send up, a router sends up as soon as it has
// received messages from all children, the root then sends the totals down, and
// each router forwards them at once. Totals arrive after some milliseconds for
// each level, and each neighbour still gets one message a period. In a mesh
// every router sends on its own timer.
type Exchange struct {
	relay    bool
	parent   protocol.RouterID
	children []protocol.RouterID
	// received marks the children whose messages arrived since the last message
	// up, or down at the root.
	received map[protocol.RouterID]bool
	// totalsDue says that totals arrived from the parent and must be sent to
	// the children.
	totalsDue bool
	// next is the earliest time of the next round at the root and at a leaf of
	// the tree, and of the next messages in a mesh.
	next time.Duration
	// deadline is when the router sends even if messages of children are
	// missing.
	deadline time.Duration
}

// NewExchange returns the exchange of one router among the members, which are
// sorted and contain self. Start staggers the timers of different routers; it
// is at most ExchangePeriod after now.
func NewExchange(self protocol.RouterID, members []protocol.RouterID, start time.Duration) *Exchange {
	peers, relay := Neighbours(self, members)
	e := &Exchange{
		relay:    relay,
		received: make(map[protocol.RouterID]bool),
		next:     start,
		deadline: start + ExchangePeriod + roundSlack,
	}
	e.children = peers
	if relay && len(peers) > 0 && members[0] != self {
		e.parent = peers[0]
		e.children = peers[1:]
	}
	return e
}

// Relay reports whether messages include the summaries of other neighbours.
func (e *Exchange) Relay() bool { return e.relay }

// Peers returns the routers with which this router exchanges summaries.
func (e *Exchange) Peers() []protocol.RouterID {
	if e.parent == "" {
		return e.children
	}
	return append([]protocol.RouterID{e.parent}, e.children...)
}

// RecordReceived records a message from a neighbour; call Due after it.
func (e *Exchange) RecordReceived(now time.Duration, from protocol.RouterID) {
	if from == e.parent {
		e.totalsDue = true
		if len(e.children) == 0 {
			e.next = now + ExchangePeriod - roundMargin
		}
		return
	}
	if slices.Contains(e.children, from) {
		e.received[from] = true
	}
}

// Due returns the neighbours to which the summary must be sent now.
func (e *Exchange) Due(now time.Duration) []protocol.RouterID {
	if !e.relay {
		return e.mesh(now)
	}
	var due []protocol.RouterID
	if e.totalsDue {
		e.totalsDue = false
		due = append(due, e.children...)
	}
	if e.ready(now) {
		clear(e.received)
		e.next = now + ExchangePeriod - roundMargin
		e.deadline = now + ExchangePeriod + roundSlack
		if e.parent == "" {
			return append(due, e.children...)
		}
		due = append(due, e.parent)
	}
	return due
}

// mesh returns all neighbours when the timer is due.
func (e *Exchange) mesh(now time.Duration) []protocol.RouterID {
	if now < e.next {
		return nil
	}
	e.next = now + ExchangePeriod
	return e.children
}

// ready reports whether to send to the parent, or to the children at the root.
func (e *Exchange) ready(now time.Duration) bool {
	if len(e.children) == 0 {
		return now >= e.next
	}
	if now >= e.deadline {
		return true
	}
	return len(e.received) == len(e.children) && (e.parent != "" || now >= e.next)
}

// NextDue returns when Due must be called next if no message arrives before.
func (e *Exchange) NextDue() time.Duration {
	if !e.relay || len(e.children) == 0 {
		return e.next
	}
	if e.parent == "" && len(e.received) == len(e.children) {
		return min(max(e.next, 0), e.deadline)
	}
	return e.deadline
}
