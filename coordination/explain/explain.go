// Package explain keeps the explained decisions of one router as a bounded ring of
// typed events, which operators query by request, upstream, customer or kind.
//
// Ring has a fixed size, so it uses the same memory however busy the router is; under
// load it covers less time. It keeps routine events, which come with every request, in a
// buffer of their own. Otherwise a burst of ordinary placements would overwrite the one
// refusal that an operator asks about.
package explain

import (
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
)

// Event is one explained decision.
type Event struct {
	// Sequence grows by one with each event of a router.
	Sequence uint64 `json:"sequence" msgpack:"s"`
	// UnixMS is the router's wall clock in milliseconds.
	UnixMS   int64               `json:"unix_ms" msgpack:"t"`
	Router   protocol.RouterID   `json:"router" msgpack:"r"`
	Request  protocol.RequestID  `json:"request,omitempty" msgpack:"q,omitempty"`
	Attempt  uint32              `json:"attempt,omitempty" msgpack:"a,omitempty"`
	Customer protocol.CustomerID `json:"customer,omitempty" msgpack:"c,omitempty"`
	Upstream protocol.UpstreamID `json:"upstream,omitempty" msgpack:"u,omitempty"`
	// Peer is the other router that took part in the decision.
	Peer protocol.RouterID `json:"peer,omitempty" msgpack:"p,omitempty"`
	// What is the kind of decision, for example placed or refused.
	What   string      `json:"what" msgpack:"w"`
	Reason reason.Code `json:"reason" msgpack:"o"`
	Detail string      `json:"detail,omitempty" msgpack:"d,omitempty"`
	Trace  string      `json:"trace,omitempty" msgpack:"x,omitempty"`
}

// Query selects events. An empty field matches all events.
type Query struct {
	Request  protocol.RequestID  `json:"request" msgpack:"q,omitempty"`
	Customer protocol.CustomerID `json:"customer" msgpack:"c,omitempty"`
	Upstream protocol.UpstreamID `json:"upstream" msgpack:"u,omitempty"`
	What     string              `json:"what" msgpack:"w,omitempty"`
	// Limit is the largest number of events returned; the newest are returned.
	Limit int `json:"limit" msgpack:"l"`
}

// MaxLimit is the largest number of events that one query returns. With events of
// about 200 bytes an answer stays below 50 KB.
const MaxLimit = 200

// routine is the set of the kinds of events that come with every request.
var routine = map[string]bool{"placed": true, "ended": true, "answered": true}

// Ring keeps the newest events. It isn't safe for concurrent use.
type Ring struct {
	sequence uint64
	routine  buffer
	notable  buffer
}

// NewRing returns a ring that keeps size routine events and as many others.
func NewRing(size int) *Ring {
	return &Ring{routine: newBuffer(size), notable: newBuffer(size)}
}

// Add numbers an event and stores it.
func (r *Ring) Add(event Event) {
	r.sequence++
	event.Sequence = r.sequence
	if routine[event.What] {
		r.routine.add(event)
		return
	}
	r.notable.add(event)
}

// Find returns the newest matching events, oldest first.
func (r *Ring) Find(query Query) []Event {
	limit := query.Limit
	if limit <= 0 || limit > MaxLimit {
		limit = MaxLimit
	}
	found := merge(r.routine.matching(query), r.notable.matching(query))
	if len(found) > limit {
		found = found[len(found)-limit:]
	}
	return found
}

// buffer is a circular list of events.
type buffer struct {
	events []Event
	next   int
}

func newBuffer(size int) buffer { return buffer{events: make([]Event, 0, size)} }

func (b *buffer) add(event Event) {
	if len(b.events) < cap(b.events) {
		b.events = append(b.events, event)
		return
	}
	b.events[b.next] = event
	b.next = (b.next + 1) % len(b.events)
}

// matching returns the matching events, oldest first.
func (b *buffer) matching(query Query) []Event {
	var found []Event
	for i := range b.events {
		event := b.events[(b.next+i)%len(b.events)]
		if query.matches(event) {
			found = append(found, event)
		}
	}
	return found
}

func (q Query) matches(event Event) bool {
	return (q.Request == "" || q.Request == event.Request) &&
		(q.Customer == "" || q.Customer == event.Customer) &&
		(q.Upstream == "" || q.Upstream == event.Upstream) &&
		(q.What == "" || q.What == event.What)
}

// merge merges two lists that are sorted by sequence.
func merge(a, b []Event) []Event {
	joined := make([]Event, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].Sequence < b[0].Sequence {
			joined, a = append(joined, a[0]), a[1:]
		} else {
			joined, b = append(joined, b[0]), b[1:]
		}
	}
	return append(append(joined, a...), b...)
}
