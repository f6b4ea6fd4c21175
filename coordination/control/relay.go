package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// largeChangeBytes is the size in bytes from which routers relay a table's change.
	// Smaller ones reach all routers soon enough from the disk VMs.
	largeChangeBytes = 4 << 10
	// relayMinRouters is the number of routers from which tables are relayed. Fewer
	// routers get even a large table from the disk VMs in time.
	relayMinRouters = 24
	// minPerRelay is the minimum number of routers in a group with one relay, the relay
	// included. If the square root of the number of routers in the data centre is more,
	// groups have that size.
	minPerRelay = 6
	// relayTimeout is how long a router waits for its relay to send a table before it
	// asks a disk VM. It leaves the disk VM half of the time within which a change has
	// to be in force.
	relayTimeout = 1200 * time.Millisecond
	// relayShare is the share of a router's link that relayed messages may use. Answers
	// to callers need less than the rest.
	relayShare = 0.6
)

// Relay passes large tables and changes of upstreams on from router to router.
//
// When an operator adds a thousand routes at once, or a third of thousands of upstreams
// restarts, all routers have to learn it. If only the disk VMs sent it, that would take
// many seconds on their links, and consensus would wait behind. Every router computes
// from the list of routers alone which router relays to which. Relaying stays within a
// data centre, so that as few bytes as possible cross between data centres.
//
// If a router's relay is gone, the router asks a disk VM for the table after
// relayTimeout, and finds changes of upstreams by comparing lists, as it does after any
// other loss of a message.
type Relay struct {
	self Router
	// receivers are the routers that this one relays to.
	receivers []protocol.RouterID
	others    []Router
	// nearby are the others in this router's data centre.
	nearby []Router
	// position is this router's place among all routers, in an order that all compute
	// alike.
	position int
	// hasParent says that another router, parent, relays to this one.
	hasParent bool
	parent    protocol.RouterID
	// relays are all routers that relay to others, of all data centres.
	relays []Router
	// changes are those of upstreams that wait to be passed on, and changesSentAt is when
	// others last were.
	changes       []roster.Entry
	changesSentAt time.Duration
	// bulk limits the bytes of relayed messages.
	bulk tokenBucket
	// queue holds messages that wait for capacity on the link, and lowPriority those
	// that wait behind them.
	queue, lowPriority []queued
}

// queued is a message that waits for capacity on the link.
type queued struct {
	Message
	size int
}

// NewRelay returns the relay of a router whose link carries linkRate bytes a second.
func NewRelay(self Router, linkRate int) *Relay {
	return &Relay{self: self, bulk: newTokenBucket(relayShare*float64(linkRate), bulkBurst)}
}

// SetRouters sets the list of the other routers.
func (r *Relay) SetRouters(others []Router) {
	if slices.Equal(others, r.others) {
		return
	}
	r.others = slices.Clone(others)
	r.nearby = slices.DeleteFunc(slices.Clone(others), func(other Router) bool { return other.DataCentre != r.self.DataCentre })
	all := ranked(append(slices.Clone(others), r.self))
	r.position = slices.Index(all, r.self)
	r.receivers, r.relays = nil, nil
	r.hasParent, r.parent = false, ""
	if len(all) < relayMinRouters {
		return
	}
	for _, local := range byDataCentre(all) {
		relays := relaysOf(local)
		r.relays = append(r.relays, relays...)
		if local[0].DataCentre == r.self.DataCentre {
			r.assign(local, relays)
		}
	}
}

// relaysOf returns the relays of a data centre, given its routers.
func relaysOf(local []Router) []Router {
	perRelay := max(minPerRelay, int(math.Sqrt(float64(len(local)))))
	return ranked(local)[:(len(local)+perRelay-1)/perRelay]
}

// assign finds this router's parent, or its receivers. Each router gets the relay with
// the highest weight for it by rendezvous hashing, so that a relay that comes or goes
// changes little for the other routers.
func (r *Relay) assign(local, relays []Router) {
	r.hasParent = !slices.Contains(relays, r.self)
	for _, other := range local {
		if slices.Contains(relays, other) {
			continue
		}
		relay := relayFor(relays, other)
		if other == r.self {
			r.parent = relay.ID
		}
		if relay == r.self {
			r.receivers = append(r.receivers, other.ID)
		}
	}
}

// relayFor returns the relay of a router.
func relayFor(relays []Router, of Router) Router {
	weight := func(relay Router) uint64 { return xxhash.Sum64String(string(relay.ID) + string(of.ID)) }
	return slices.MaxFunc(relays, func(a, b Router) int { return cmp.Compare(weight(a), weight(b)) })
}

// Position returns this router's place among all routers.
func (r *Relay) Position() balance.Position {
	return balance.Position{Index: r.position, Routers: len(r.others) + 1}
}

// Neighbours returns the routers with which this one exchanges load reports.
func (r *Relay) Neighbours() balance.Neighbours {
	if len(r.others)+1 < balance.GroupingThreshold {
		return balance.Neighbours{Mesh: IDsOf(r.others)}
	}
	if r.hasParent {
		return balance.Neighbours{Relay: r.parent}
	}
	return balance.Neighbours{Members: r.receivers, Relays: r.OtherRelays()}
}

// OtherRelays returns all routers but this one that relay to others.
func (r *Relay) OtherRelays() []protocol.RouterID {
	return IDsOf(slices.DeleteFunc(slices.Clone(r.relays), func(other Router) bool { return other == r.self }))
}

// IDsOf returns the IDs of routers.
func IDsOf(routers []Router) []protocol.RouterID {
	var ids []protocol.RouterID
	for _, router := range routers {
		ids = append(ids, router.ID)
	}
	return ids
}

// ranked sorts routers in place by a hash of their IDs: an order that all routers
// compute alike and that doesn't depend on how IDs are chosen.
func ranked(routers []Router) []Router {
	rank := func(r Router) uint64 { return xxhash.Sum64String(string(r.ID)) }
	slices.SortFunc(routers, func(a, b Router) int { return cmp.Compare(rank(a), rank(b)) })
	return routers
}

// passOnInterval is the minimum time between two messages with changes of upstreams to a
// receiver. Ten disk VMs may each send a relay changes many times a second.
const passOnInterval = 150 * time.Millisecond

// PassOnChanges takes a disk VM's changes of upstreams for the receivers. Due sends them.
func (r *Relay) PassOnChanges(entries []roster.Entry) {
	if len(r.receivers) > 0 {
		r.changes = append(r.changes, entries...)
	}
}

// dueChanges returns the changes of upstreams as messages to the receivers, if the last
// ones were sent passOnInterval ago.
func (r *Relay) dueChanges(now time.Duration) []Message {
	if len(r.changes) == 0 || now-r.changesSentAt < passOnInterval {
		return nil
	}
	r.changesSentAt = now
	body := newChanges(r.changes)
	r.changes = nil
	var messages []Message
	for _, id := range r.receivers {
		messages = append(messages, Message{To: id, Body: body})
	}
	return messages
}

// PassOnTable queues the table that has just been put in force here for the receivers,
// if its change is large. It replaces queued changes to earlier tables. Whole tables
// stay queued: they are for routers that have none, which can serve sooner with an older
// table.
func (r *Relay) PassOnTable(d Document) {
	r.queue = slices.DeleteFunc(r.queue, func(q queued) bool {
		waiting, is := q.Body.(Document)
		return is && waiting.Change.Base != document.Digest{}
	})
	if len(d.Change.Delta) < largeChangeBytes {
		return
	}
	for _, id := range r.receivers {
		r.send(id, d, len(d.Change.Delta))
	}
}

// send queues a message, whose size is in bytes, for a router.
func (r *Relay) send(to protocol.RouterID, body any, size int) {
	r.queue = append(r.queue, queued{Message: Message{To: to, Body: body}, size: size})
}

// sendLowPriority queues a message for a router behind all that send queues, because
// callers wait for tables and lists.
func (r *Relay) sendLowPriority(to protocol.RouterID, body any, size int) {
	r.lowPriority = append(r.lowPriority, queued{Message: Message{To: to, Body: body}, size: size})
}

// Due returns the messages that the link has capacity for now.
func (r *Relay) Due(now time.Duration) []Message {
	messages := append(r.dueChanges(now), r.dequeue(now, &r.queue)...)
	if len(r.queue) > 0 {
		return messages
	}
	return append(messages, r.dequeue(now, &r.lowPriority)...)
}

// dequeue removes from the front of a queue the messages that the link has capacity for,
// and returns them.
func (r *Relay) dequeue(now time.Duration, queue *[]queued) []Message {
	var messages []Message
	for len(*queue) > 0 && r.bulk.take(now, (*queue)[0].size) {
		messages = append(messages, (*queue)[0].Message)
		*queue = (*queue)[1:]
	}
	return messages
}
