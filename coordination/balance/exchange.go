package balance

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// The report interval of a mesh is intervalPerRouter times its routers, at least
	// minReportInterval.
	minReportInterval = 100 * time.Millisecond
	intervalPerRouter = 5 * time.Millisecond
	// GroupingThreshold is the number of routers from which on relays aggregate the
	// reports. A mesh of that size would report too rarely, as its interval grows with
	// the number of routers.
	GroupingThreshold = 100
	// groupReportInterval is the report interval where relays aggregate the reports.
	groupReportInterval = 250 * time.Millisecond
)

// Neighbours are the routers that this one exchanges load reports with.
//
// If each of hundreds of routers reported to all others, messages and bytes would grow
// with the square of the number of routers; and if they reported rarely enough to bear
// that, requests would have ended before the others learn of them. In a large fleet a
// router reports to its relay instead. Relays add up their members' reports, exchange the
// totals, and send the total to their members.
//
// Failure guarded against: a relay is gone. Until the list of routers says so, for
// seconds, its members know only their own load, and choose as a router does that has
// just started.
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

// all returns the neighbours.
func (n Neighbours) all() []protocol.RouterID {
	all := slices.Concat(n.Mesh, n.Members, n.Relays)
	if n.Relay != "" {
		all = append(all, n.Relay)
	}
	return all
}

// grouped reports whether relays aggregate the load reports.
func (n Neighbours) grouped() bool {
	return n.Relay != "" || len(n.Members) > 0 || len(n.Relays) > 0
}

// equal reports whether n and other are the same routers in the same roles.
func (n Neighbours) equal(other Neighbours) bool {
	return n.Relay == other.Relay && slices.Equal(n.Mesh, other.Mesh) &&
		slices.Equal(n.Members, other.Members) && slices.Equal(n.Relays, other.Relays)
}

// role is what a neighbour is to this router.
type role uint8

const (
	// roleNone is that of a router that is no neighbour.
	roleNone role = iota
	// rolePeer is that of this router's relay or member, or of a router in a mesh.
	rolePeer
	// roleRelay is that of another relay, if this router is one.
	roleRelay
)

// roles returns the role of each neighbour.
func (n Neighbours) roles() map[protocol.RouterID]role {
	roles := map[protocol.RouterID]role{}
	for _, id := range n.all() {
		roles[id] = rolePeer
	}
	for _, id := range n.Relays {
		roles[id] = roleRelay
	}
	return roles
}

// accepts reports whether to apply a router's reports. A mesh accepts any router's: other
// routers receive reports of a router that has just started before their list names it.
func (b *Balancer) accepts(id protocol.RouterID) bool {
	return !b.neighbours.grouped() || b.roles[id] != roleNone
}

// SetNeighbours replaces the neighbours. If relays aggregate the reports, it drops what
// routers that are no neighbours any more have reported: a router that changes its relay
// would otherwise count the same load twice.
func (b *Balancer) SetNeighbours(n Neighbours) {
	if b.neighbours.equal(n) {
		return
	}
	roles, wasRelay := n.roles(), b.isRelay()
	for id := range b.routers {
		if n.grouped() && (roles[id] == roleNone || wasRelay && roles[id] != b.roles[id]) {
			b.forgetRouter(id)
		}
	}
	b.neighbours, b.roles = n, roles
	switch {
	case !b.isRelay():
		b.stopRelay()
		return
	case !wasRelay:
		b.startRelay()
	}
	b.setMembers(n.Members)
}

// ReportInterval returns how often this router reports its load. In a mesh the interval
// grows with the number of routers, so that a router receives the same number of messages
// a second whatever the size of the mesh.
func (b *Balancer) ReportInterval() time.Duration {
	if b.neighbours.grouped() {
		return groupReportInterval
	}
	return max(minReportInterval, time.Duration(len(b.neighbours.Mesh)+1)*intervalPerRouter)
}

// OutgoingReport is a load report to other routers.
type OutgoingReport struct {
	To     []protocol.RouterID
	Report LoadReport
}

// PendingReports returns the changes that the neighbours don't know yet, or full reports.
func (b *Balancer) PendingReports(full bool) []OutgoingReport {
	if b.isRelay() {
		return b.relayReports(full)
	}
	report, ok := b.OwnLoadReport(full)
	if !ok {
		return nil
	}
	return []OutgoingReport{{To: b.neighbours.all(), Report: report}}
}

// OwnLoadReport returns the part of this router's load that the other routers don't know
// yet, or all of it. False means that there is nothing to send.
func (b *Balancer) OwnLoadReport(full bool) (LoadReport, bool) {
	report := LoadReport{Full: full}
	for u := range b.unreported {
		if u.own != u.reported {
			report.Upstreams = append(report.Upstreams, u.own)
		}
	}
	if full {
		for u := range b.busy {
			if u.own == u.reported {
				report.Upstreams = append(report.Upstreams, u.own)
			}
		}
	}
	for u := range b.unreported {
		u.reported = u.own
	}
	clear(b.unreported)
	slices.SortFunc(report.Upstreams, func(x, y UpstreamLoad) int { return cmp.Compare(x.ID, y.ID) })
	report.Cached = b.cacheHolders.takeUnannounced()
	return report, full || len(report.Upstreams) > 0 || len(report.Cached) > 0
}
