package control

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/document"
	"endiveplank/protocol"
)

const (
	// largeChange is the size in bytes from which a table is passed on from
	// router to router. Smaller ones reach all routers soon without that.
	largeChange = 4 << 10
	// relayFrom is the number of routers from which tables are passed on;
	// fewer take even a large one from the disk VMs in time.
	relayFrom = 24
	// leastPerRelay is how many routers of a data centre get tables and changes by
	// one of them, itself included, or the square root of all if that is more.
	leastPerRelay = 6
	// relayPatience is how long a router waits for the one that passes tables
	// on to it, before it asks a disk VM. It leaves a disk VM half of the time
	// in which a change has to be in force.
	relayPatience = 1200 * time.Millisecond
	// relayShare is the part of a router's link that what it passes on may take;
	// callers' answers need less than the rest.
	relayShare = 0.6
)

// Relay passes large tables and changes of upstreams on from router to router.
//
// Load: an operator adds a thousand routes at once, or a third of thousands of
// upstreams restarts, and all routers have to know. Harm prevented: the disk VMs
// alone would take many seconds on their links, and consensus would wait behind. Each
// router knows from the list of routers alone who passes on to whom, within a data
// centre, so that each byte goes to another one as seldom as can be.
//
// Failure guarded: a router's relay is gone. It asks a disk VM for the table after
// a while, and finds a change of upstreams by comparing lists, as it does with
// any other message that is lost.
type Relay struct {
	self Router
	// receivers are the routers that this one passes on to.
	receivers []protocol.RouterID
	others    []Router
	// position is this router's place among all, in an order that all share.
	position int
	// waits says that another router, own, passes on to this one.
	waits bool
	own   protocol.RouterID
	// relays are those of all data centres.
	relays []Router
	bulk   bucket
	// queue waits for room on the link, and last behind it.
	queue, last []queued
}

// queued is a message that waits for room on the link.
type queued struct {
	Send
	size int
}

// NewRelay returns the relay of a router whose link carries linkRate bytes a second.
func NewRelay(self Router, linkRate int) *Relay {
	return &Relay{self: self, bulk: newBucket(relayShare*float64(linkRate), bulkBurst)}
}

// SetRouters tells which other routers there are.
func (r *Relay) SetRouters(others []Router) {
	if slices.Equal(others, r.others) {
		return
	}
	r.others = slices.Clone(others)
	all := ranked(append(slices.Clone(others), r.self))
	r.position = slices.Index(all, r.self)
	r.receivers, r.relays = nil, nil
	r.waits, r.own = false, ""
	if len(all) < relayFrom {
		return
	}
	for _, near := range byDataCentre(all) {
		relays := relaysOf(near)
		r.relays = append(r.relays, relays...)
		if near[0].DataCentre == r.self.DataCentre {
			r.place(near, relays)
		}
	}
}

// relaysOf returns the routers of a data centre that pass on to the others there.
func relaysOf(near []Router) []Router {
	perRelay := max(leastPerRelay, int(math.Sqrt(float64(len(near)))))
	return ranked(near)[:(len(near)+perRelay-1)/perRelay]
}

// place finds this router's relay, or its receivers. Each router goes to the relay
// that is first for it by rendezvous hashing, so that one that comes or goes
// changes little for the others.
func (r *Relay) place(near, relays []Router) {
	r.waits = !slices.Contains(relays, r.self)
	for _, other := range near {
		if slices.Contains(relays, other) {
			continue
		}
		relay := first(relays, other)
		if other == r.self {
			r.own = relay.ID
		}
		if relay == r.self {
			r.receivers = append(r.receivers, other.ID)
		}
	}
}

// first returns the relay of a router.
func first(relays []Router, of Router) Router {
	weight := func(relay Router) uint64 { return xxhash.Sum64String(string(relay.ID) + string(of.ID)) }
	return slices.MaxFunc(relays, func(a, b Router) int { return cmp.Compare(weight(a), weight(b)) })
}

// Neighbours returns with whom this router exchanges its work.
func (r *Relay) Neighbours() balance.Neighbours {
	if len(r.others)+1 < balance.GroupingThreshold {
		return balance.Neighbours{Mesh: idsOf(r.others)}
	}
	if r.waits {
		return balance.Neighbours{Relay: r.own}
	}
	others := slices.DeleteFunc(slices.Clone(r.relays), func(other Router) bool { return other == r.self })
	return balance.Neighbours{Members: r.receivers, Relays: idsOf(others)}
}

// idsOf returns the names of routers.
func idsOf(routers []Router) []protocol.RouterID {
	var ids []protocol.RouterID
	for _, router := range routers {
		ids = append(ids, router.ID)
	}
	return ids
}

// ranked puts routers in an order that all share and that no name prefers.
func ranked(routers []Router) []Router {
	rank := func(r Router) uint64 { return xxhash.Sum64String(string(r.ID)) }
	slices.SortFunc(routers, func(a, b Router) int { return cmp.Compare(rank(a), rank(b)) })
	return routers
}

// PassOn returns a disk VM's changes of upstreams for the routers that get them
// from this one.
func (r *Relay) PassOn(c Changes) []Send {
	var sends []Send
	for _, id := range r.receivers {
		sends = append(sends, Send{To: id, Body: Changes{Entries: c.Entries, Packed: c.Packed}})
	}
	return sends
}

// Accepted passes on a change that has just been put in force here, in place of those
// that wait. Whole tables, for routers that have none, still go: they are served by an
// older one sooner.
func (r *Relay) Accepted(d Document) {
	r.queue = slices.DeleteFunc(r.queue, func(q queued) bool {
		waiting, is := q.Body.(Document)
		return is && waiting.Change.Base != document.Digest{}
	})
	if len(d.Change.Delta) < largeChange {
		return
	}
	for _, id := range r.receivers {
		r.send(id, d, len(d.Change.Delta))
	}
}

// send queues a message of a size in bytes for a router.
func (r *Relay) send(to protocol.RouterID, body any, size int) {
	r.queue = append(r.queue, queued{Send: Send{To: to, Body: body}, size: size})
}

// sendLast queues a message for a router behind all that send queues: callers wait for
// tables and lists.
func (r *Relay) sendLast(to protocol.RouterID, body any, size int) {
	r.last = append(r.last, queued{Send: Send{To: to, Body: body}, size: size})
}

// Due returns what the link has room for now.
func (r *Relay) Due(now time.Duration) []Send {
	sends := r.take(now, &r.queue)
	if len(r.queue) > 0 {
		return sends
	}
	return append(sends, r.take(now, &r.last)...)
}

// take returns the messages of a queue that the link has room for.
func (r *Relay) take(now time.Duration, queue *[]queued) []Send {
	var sends []Send
	for len(*queue) > 0 && r.bulk.take(now, (*queue)[0].size) {
		sends = append(sends, (*queue)[0].Send)
		*queue = (*queue)[1:]
	}
	return sends
}
