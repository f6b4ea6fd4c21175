package loadbound

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

// Timing of an Exchange.
const (
	// waveMargin is how much earlier than a period after the last totals a
	// leaf sends again, to make room for the way up and down.
	waveMargin = 25 * time.Millisecond
	// waveSlack is how long after a period a node sends without having heard
	// from all children: one of them is lost or slow.
	waveSlack = 50 * time.Millisecond
)

// Exchange decides when a router sends its summary to which neighbour.
//
// Load: 330 owners whose totals pass four levels of a tree and back. Harm:
// when each level sends on a timer of its own, a total is a second old when
// it arrives, the drain allowed for its age outweighs the room of the bound,
// and engines at the mean turn work away. So the tree works in waves: leaves
// send up, a router sends up as soon as all children have been heard, the
// root then sends the totals down, and each router passes them on at once.
// Totals arrive after some milliseconds for each level, and each neighbour
// still gets one message a period. In a mesh every router sends by its timer.
type Exchange struct {
	relay    bool
	parent   protocol.RouterID
	children []protocol.RouterID
	// heard marks the children heard since the last message up, or down at
	// the root.
	heard map[protocol.RouterID]bool
	// totals says that the parent was heard and children must be told.
	totals bool
	next   time.Duration
	// deadline sends in any case.
	deadline time.Duration
}

// NewExchange returns the exchange of one router among the members, which are
// sorted and hold self. Start spreads the timers of different routers; it is
// at most ExchangePeriod after now.
func NewExchange(self protocol.RouterID, members []protocol.RouterID, start time.Duration) *Exchange {
	peers, relay := Neighbours(self, members)
	e := &Exchange{
		relay:    relay,
		heard:    make(map[protocol.RouterID]bool),
		next:     start,
		deadline: start + ExchangePeriod + waveSlack,
	}
	e.children = peers
	if relay && len(peers) > 0 && members[0] != self {
		e.parent = peers[0]
		e.children = peers[1:]
	}
	return e
}

// Relay says whether messages carry what other neighbours said.
func (e *Exchange) Relay() bool { return e.relay }

// Peers returns the neighbours.
func (e *Exchange) Peers() []protocol.RouterID {
	if e.parent == "" {
		return e.children
	}
	return append([]protocol.RouterID{e.parent}, e.children...)
}

// Heard notes a message from a neighbour; call Due after it.
func (e *Exchange) Heard(now time.Duration, from protocol.RouterID) {
	if from == e.parent {
		e.totals = true
		if len(e.children) == 0 {
			e.next = now + ExchangePeriod - waveMargin
		}
		return
	}
	if slices.Contains(e.children, from) {
		e.heard[from] = true
	}
}

// Due returns the neighbours to send to now.
func (e *Exchange) Due(now time.Duration) []protocol.RouterID {
	if !e.relay {
		return e.mesh(now)
	}
	var due []protocol.RouterID
	if e.totals {
		e.totals = false
		due = append(due, e.children...)
	}
	if e.ready(now) {
		clear(e.heard)
		e.next = now + ExchangePeriod - waveMargin
		e.deadline = now + ExchangePeriod + waveSlack
		if e.parent == "" {
			return append(due, e.children...)
		}
		due = append(due, e.parent)
	}
	return due
}

// mesh sends to all on the timer.
func (e *Exchange) mesh(now time.Duration) []protocol.RouterID {
	if now < e.next {
		return nil
	}
	e.next = now + ExchangePeriod
	return e.children
}

// ready says whether to send up, or down at the root.
func (e *Exchange) ready(now time.Duration) bool {
	if len(e.children) == 0 {
		return now >= e.next
	}
	if now >= e.deadline {
		return true
	}
	return len(e.heard) == len(e.children) && (e.parent != "" || now >= e.next)
}

// Wake is when Due must be called next if nothing is heard before.
func (e *Exchange) Wake() time.Duration {
	if !e.relay || len(e.children) == 0 {
		return e.next
	}
	if e.parent == "" && len(e.heard) == len(e.children) {
		return min(max(e.next, 0), e.deadline)
	}
	return e.deadline
}
