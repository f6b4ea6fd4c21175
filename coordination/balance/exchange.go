package balance

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// leastTell and tellPerRouter make up the interval of a mesh.
	leastTell     = 100 * time.Millisecond
	tellPerRouter = 5 * time.Millisecond
	// GroupsFrom is the number of routers from which a mesh tells too seldom: the
	// intervals grow with the routers.
	GroupsFrom = 100
	// groupTell is the interval where work goes by way of relays.
	groupTell = 250 * time.Millisecond
)

// Neighbours are the routers that this one exchanges its work with.
//
// Load: hundreds of routers each tell all others of their work. Harm prevented:
// messages and bytes grow with the square of the routers, and told seldom enough
// to bear that, work has ended by the time the others hear of it. In a large
// fleet a router tells its relay; relays add up what their members told, tell
// each other, and tell their members the sum.
//
// Failure guarded: a relay is gone. Its members know only their own work for the
// seconds until the list of routers says so, and choose as a router does that has
// just started.
type Neighbours struct {
	// Mesh are all other routers, in a small fleet.
	Mesh []protocol.RouterID
	// Relay is who adds up for this router, "" if it does so itself.
	Relay protocol.RouterID
	// Members are those that this router adds up for, and Relays those that do
	// the same for others.
	Members []protocol.RouterID
	Relays  []protocol.RouterID
}

// all returns the neighbours.
func (n Neighbours) all() []protocol.RouterID {
	all := slices.Concat(n.Mesh, n.Members, n.Relays)
	if n.Relay != "" {
		all = append(all, n.Relay)
	}
	return all
}

// has reports whether a router's work is taken. In a mesh it is anybody's: a router
// that has just started is known to others before it is listed here.
func (n Neighbours) has(id protocol.RouterID) bool {
	return !n.grouped() || slices.Contains(n.all(), id)
}

// grouped reports whether work goes by way of relays.
func (n Neighbours) grouped() bool {
	return n.Relay != "" || len(n.Members) > 0 || len(n.Relays) > 0
}

// same compares neighbours.
func (n Neighbours) same(other Neighbours) bool {
	return n.Relay == other.Relay && slices.Equal(n.Mesh, other.Mesh) &&
		slices.Equal(n.Members, other.Members) && slices.Equal(n.Relays, other.Relays)
}

// SetNeighbours tells who the neighbours are. What others have told is dropped: a
// router that changes its relay would count the same work twice.
func (b *Book) SetNeighbours(n Neighbours) {
	if b.neighbours.same(n) {
		return
	}
	b.neighbours = n
	if !n.grouped() {
		return
	}
	all := n.all()
	maps.DeleteFunc(b.routers, func(id protocol.RouterID, _ *others) bool { return !slices.Contains(all, id) })
	maps.DeleteFunc(b.told, func(id protocol.RouterID, _ map[Short]Work) bool {
		return id != otherRelays && !slices.Contains(all, id)
	})
	b.sumElsewhere()
}

// TellInterval returns how often this router tells the others of its work. In a
// mesh each tells less often the more there are, so that all of them together
// cost a router the same messages a second whatever their number.
func (b *Book) TellInterval() time.Duration {
	if b.neighbours.grouped() {
		return groupTell
	}
	return max(leastTell, time.Duration(len(b.neighbours.Mesh)+1)*tellPerRouter)
}

// Tell is a message about work to another router.
type Tell struct {
	To    protocol.RouterID
	Loads Loads
}

// Tell returns what the neighbours don't know yet, or the whole.
func (b *Book) Tell(whole bool) []Tell {
	n := b.neighbours
	if n.grouped() && n.Relay == "" {
		return b.tellAsRelay(whole)
	}
	loads, any := b.OwnLoads(whole)
	if !any {
		return nil
	}
	var tells []Tell
	for _, id := range n.all() {
		tells = append(tells, Tell{To: id, Loads: loads})
	}
	return tells
}

// OwnLoads returns what the other routers don't know yet, or all of this
// router's work. False means that there is nothing to tell.
func (b *Book) OwnLoads(whole bool) (Loads, bool) {
	loads := Loads{Whole: whole}
	for _, u := range b.upstreams {
		if whole && u.own.InFlight > 0 || u.own != u.told {
			loads.Works = append(loads.Works, u.own)
		}
		u.told = u.own
	}
	slices.SortFunc(loads.Works, func(x, y Work) int { return cmp.Compare(x.ID, y.ID) })
	loads.Kept = b.keepers.takeNews()
	return loads, whole || len(loads.Works) > 0 || len(loads.Kept) > 0
}
