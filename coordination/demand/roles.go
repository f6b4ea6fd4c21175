package demand

import (
	"math"
	"slices"

	"endiveplank/protocol"
)

// singleRow is the number of relays up to which each reports to all others.
const singleRow = 12

// Neighbours are the routers that this one exchanges reports with: balance.Neighbours, which
// can be converted to it.
type Neighbours struct {
	// Mesh are all other routers, in a small fleet.
	Mesh []protocol.RouterID
	// Relay is the router that aggregates for this one, "" if this router is a relay
	// itself or part of a mesh.
	Relay protocol.RouterID
	// Members are the routers for which this one aggregates, and Relays the other relays.
	Members []protocol.RouterID
	Relays  []protocol.RouterID
}

// grouped reports whether relays aggregate the reports.
func (n Neighbours) grouped() bool {
	return n.Relay != "" || len(n.Members) > 0 || len(n.Relays) > 0
}

func (n Neighbours) equal(other Neighbours) bool {
	return n.Relay == other.Relay && slices.Equal(n.Mesh, other.Mesh) &&
		slices.Equal(n.Members, other.Members) && slices.Equal(n.Relays, other.Relays)
}

// place is where a relay is among all relays.
type place struct{ row, column int }

// roles are what the neighbours are to this router.
//
// Relays form rows of nearly equal length. A relay sends the sum of its group to the relays of
// its row, and the sum of its row to one relay in each column of the other rows. So it sends some
// 2*sqrt(n) reports in place of n, and every relay has all groups after two steps.
type roles struct {
	neighbours Neighbours
	members    map[protocol.RouterID]bool
	// places are those of all relays, this router included, and rows the relays by place.
	places map[protocol.RouterID]place
	rows   [][]protocol.RouterID
	self   place
}

func newRoles(self protocol.RouterID, n Neighbours) roles {
	r := roles{neighbours: n, members: map[protocol.RouterID]bool{}, places: map[protocol.RouterID]place{}}
	for _, id := range n.Members {
		r.members[id] = true
	}
	relays := append(slices.Clone(n.Relays), self)
	slices.Sort(relays)
	count := 1
	if len(relays) > singleRow {
		count = int(math.Sqrt(float64(len(relays))))
	}
	for row := range count {
		ids := relays[row*len(relays)/count : (row+1)*len(relays)/count]
		r.rows = append(r.rows, ids)
		for column, id := range ids {
			r.places[id] = place{row, column}
		}
	}
	r.self = r.places[self]
	return r
}

// isRelay reports whether this router aggregates for others.
func (r roles) isRelay() bool { return r.neighbours.grouped() && r.neighbours.Relay == "" }

// accepts reports whether a neighbour's report is used: a router's own counts from members and in
// a mesh, and sums from those that have to send them. Otherwise routers would count twice while
// their lists differ. A mesh accepts any router's: other routers receive reports of a router that
// has just started before their list names it. A member accepts the total of any relay, so that it
// has that of the relay before until the next one reports.
func (r roles) accepts(from protocol.RouterID, scope Scope) bool {
	switch {
	case !r.neighbours.grouped():
		return scope == ScopeRouter
	case !r.isRelay():
		return scope == ScopeOthers
	case r.members[from]:
		return scope == ScopeRouter
	}
	place, isRelay := r.places[from]
	if place.row == r.self.row {
		return isRelay && scope == ScopeGroup
	}
	return isRelay && scope == ScopeRow
}

// sumOf returns the number of the sum that a relay reports, false if no other relay reports it.
func (r roles) sumOf(from protocol.RouterID, scope Scope) (number int, ok bool) {
	switch scope {
	case ScopeOthers:
		return -1, true
	case ScopeRow:
		return r.places[from].row, true
	}
	return 0, false
}

// rowMates returns the other relays of this router's row.
func (r roles) rowMates(self protocol.RouterID) []protocol.RouterID {
	return slices.DeleteFunc(slices.Clone(r.rows[r.self.row]), func(id protocol.RouterID) bool { return id == self })
}

// rowReceivers returns the relays of other rows to which this router sends the sum of its row:
// those in its column. A shorter row's relays have further columns, and those of a relay that is
// gone belong to the next one.
func (r roles) rowReceivers(self protocol.RouterID, gone map[protocol.RouterID]bool) []protocol.RouterID {
	var receivers []protocol.RouterID
	for i, row := range r.rows {
		if i == r.self.row {
			continue
		}
		for column, id := range row {
			if r.senderFor(column, gone) == self {
				receivers = append(receivers, id)
			}
		}
	}
	return receivers
}

// senderFor returns the relay of this router's row that sends the row's sum to a column.
func (r roles) senderFor(column int, gone map[protocol.RouterID]bool) protocol.RouterID {
	row := r.rows[r.self.row]
	for i := range row {
		if id := row[(column+i)%len(row)]; !gone[id] {
			return id
		}
	}
	return ""
}
