package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/document"
	"endiveplank/protocol"
)

const (
	// largeChange is the size in bytes from which a table is passed on from
	// router to router. Below it, 87 routers cost five disk VMs with links of
	// 3 Mbit/s less than 0.1 s.
	largeChange = 4 << 10
	// relayFrom is the number of routers from which tables are passed on;
	// fewer take even a large one from the disk VMs in time.
	relayFrom = 24
	// routersPerRelay is how many routers get a table by one of them, itself
	// included: a table of 50 KB takes a link of 10 Mbit/s 0.3 s then, and the
	// disk VMs send it to a sixth of the routers.
	routersPerRelay = 6
	// relayPatience is how long a router waits for the one that passes tables
	// on to it, before it asks a disk VM. It leaves a disk VM half of the time
	// in which a change has to be in force.
	relayPatience = 1200 * time.Millisecond
)

// Relay passes large tables on from router to router.
//
// Load: an operator adds 1,200 routes at once, 50 KB compressed, for 87 routers,
// while the disk VMs' links carry 3 Mbit/s each. Harm prevented: the disk VMs
// alone would take six seconds, and consensus would wait behind the tables. Each
// router knows from the list of routers alone who passes tables on to whom; one
// whose relay is gone asks a disk VM after a while.
type Relay struct {
	self protocol.RouterID
	// receivers are the routers that this one passes tables on to.
	receivers []protocol.RouterID
	others    []protocol.RouterID
	// position is this router's place among all, in an order that all share.
	position int
	// waits says that another router passes tables on to this one.
	waits bool
	bulk  bucket
	queue []Send
}

// NewRelay returns the relay of a router whose tables may take linkRate bytes a
// second of its link.
func NewRelay(self protocol.RouterID, linkRate int) *Relay {
	return &Relay{self: self, bulk: bucket{perSecond: float64(linkRate), tokens: bulkBurst}}
}

// SetRouters tells which other routers there are.
func (r *Relay) SetRouters(others []protocol.RouterID) {
	if slices.Equal(others, r.others) {
		return
	}
	r.others = slices.Clone(others)
	all := append(slices.Clone(others), r.self)
	rank := func(id protocol.RouterID) uint64 { return xxhash.Sum64String(string(id)) }
	slices.SortFunc(all, func(a, b protocol.RouterID) int { return cmp.Compare(rank(a), rank(b)) })
	r.position = slices.Index(all, r.self)
	r.receivers = nil
	r.waits = false
	if len(all) < relayFrom {
		return
	}
	relays := all[:(len(all)+routersPerRelay-1)/routersPerRelay]
	r.waits = !slices.Contains(relays, r.self)
	for at, id := range all[len(relays):] {
		if relays[at%len(relays)] == r.self {
			r.receivers = append(r.receivers, id)
		}
	}
}

// Accepted passes on a change that has just been put in force here.
func (r *Relay) Accepted(change document.Change) {
	r.queue = nil
	if len(change.Delta) < largeChange {
		return
	}
	for _, id := range r.receivers {
		r.send(id, change)
	}
}

// send queues a change for a router.
func (r *Relay) send(to protocol.RouterID, change document.Change) {
	r.queue = append(r.queue, Send{To: to, Body: Document{Change: change}})
}

// Due returns what the link has room for now.
func (r *Relay) Due(now time.Duration) []Send {
	due := 0
	for due < len(r.queue) {
		document := r.queue[due].Body.(Document)
		if !r.bulk.take(now, len(document.Change.Delta)) {
			break
		}
		due++
	}
	sends := r.queue[:due]
	r.queue = r.queue[due:]
	return sends
}
