package balance

import (
	"slices"
	"time"

	"endiveplank/protocol"
)

// reportTTL is how long another router's LoadReports count. Each router sends a full
// report every second, so two may be lost. The load of a router that died expires before
// its callers have come back through another router.
const reportTTL = 2500 * time.Millisecond

// FullReportInterval is how often a router sends a full report, which corrects the view
// of routers that have missed some.
const FullReportInterval = time.Second

// remoteLoads is what another router has reported.
type remoteLoads struct {
	loadSums
	receivedAt time.Duration
	omitted    []ServiceLoad
}

// ApplyLoadReport applies another router's report, or the total that a relay sends. It leaves
// alone what the report says about demand and capacity, also where it says nothing else.
func (b *Balancer) ApplyLoadReport(now time.Duration, from protocol.RouterID, report LoadReport) {
	if withoutLoads := !report.Full && !report.hasLoads() && !report.empty(); withoutLoads || !b.accepts(from) {
		return
	}
	remote := b.routers[from]
	if remote == nil {
		remote = &remoteLoads{loadSums: newLoadSums()}
		b.routers[from] = remote
	}
	remote.receivedAt = now
	if report.Full {
		b.endOmitted(now, from, report)
	}
	for _, load := range report.Upstreams {
		b.applyUpstreamLoad(now, from, load)
	}
	b.setOmitted(remote, report.Omitted)
	b.applyCached(now, report.Cached)
	b.queueForRelay(from, report.Cached)
}

// endOmitted sets another router's load to zero on the upstreams that its full report
// omits.
func (b *Balancer) endOmitted(now time.Duration, from protocol.RouterID, report LoadReport) {
	named := make(map[ShortID]bool, len(report.Upstreams))
	for _, load := range report.Upstreams {
		named[load.ID] = true
	}
	remote := b.routers[from]
	for id := range remote.busy {
		if named[id] {
			continue
		}
		load := remote.loads[id]
		load.InFlight = 0
		b.replaceLoad(now, from, load)
	}
}

// replaceLoad replaces another router's load on one upstream, and returns the one before.
func (b *Balancer) replaceLoad(now time.Duration, from protocol.RouterID, load UpstreamLoad) (before UpstreamLoad, known bool) {
	remote := b.routers[from]
	before, known = remote.loads[load.ID]
	before.ID = load.ID
	remote.set(load)
	if u := b.byShortID[load.ID]; u != nil && load.InFlight != before.InFlight {
		b.addElsewhere(now, u, load.InFlight-before.InFlight)
	}
	b.addToSums(from, before, load)
	return before, known
}

// setOmitted replaces the load that another router reports by service alone.
func (b *Balancer) setOmitted(remote *remoteLoads, omitted []ServiceLoad) {
	b.countOmitted(remote, -1)
	remote.omitted = omitted
	b.countOmitted(remote, 1)
}

// countOmitted adds what a router reports by service alone to the sums, or subtracts it if
// sign is -1.
func (b *Balancer) countOmitted(remote *remoteLoads, sign int) {
	for _, load := range remote.omitted {
		b.omittedLoad[load.ID] += sign * load.InFlight
	}
}

// DropLoad sets a router's load to zero until it reports again, and reports whether there
// was any. It keeps that of relays, which report for others.
//
// When half of the routers are killed at once, their requests end at once too. If their
// load counted until it expires, the others would take the mean for twice what it is, and
// fill engines beyond the operators' bound.
func (b *Balancer) DropLoad(now time.Duration, id protocol.RouterID) bool {
	remote := b.routers[id]
	if remote == nil || id == b.neighbours.Relay || b.isNeighbourRelay(id) {
		return false
	}
	b.endOmitted(now, id, LoadReport{Full: true})
	return true
}

// applyUpstreamLoad replaces another router's load on one upstream, and counts the
// requests that have ended since its last report. It counts none if there was no report
// before, or if the totals are lower than before, as after a restart of that router.
func (b *Balancer) applyUpstreamLoad(now time.Duration, from protocol.RouterID, load UpstreamLoad) {
	before, known := b.replaceLoad(now, from, load)
	u := b.byShortID[load.ID]
	if u == nil || !known || load.Failed < before.Failed || load.Served < before.Served {
		return
	}
	b.recordHealth(now, u, Failed, load.Failed-before.Failed)
	b.recordHealth(now, u, Served, load.Served-before.Served)
	if load.Served > before.Served {
		u.lastServed = now
	}
}

// Expire drops the load of routers that have stopped reporting, and returns their IDs. It
// also drops restored cache holders that have waited for the roster too long, and pauses that
// are over.
func (b *Balancer) Expire(now time.Duration) []protocol.RouterID {
	b.expireRestored(now)
	b.dropIdleLoads(now)
	b.endPauses(now)
	var silent []protocol.RouterID
	for id, remote := range b.routers {
		if now-remote.receivedAt > reportTTL {
			b.forgetRouter(id)
			silent = append(silent, id)
		}
	}
	slices.Sort(silent)
	return silent
}

// idleLoadTTL is how long a load without requests in flight is kept at least.
const idleLoadTTL = 30 * time.Second

// dropIdleLoads drops what other routers reported, and what was reported to them, about
// upstreams that they haven't used lately. A relay that exchanges loads with a hundred
// routers would in the course of hours remember each of ten thousand upstreams for each of
// them. Outcomes of such an upstream count from its second report on.
func (b *Balancer) dropIdleLoads(now time.Duration) {
	if !b.neighbours.grouped() || now-b.idleDroppedAt < idleLoadTTL {
		return
	}
	b.idleDroppedAt = now
	for id, remote := range b.routers {
		for _, load := range remote.idle() {
			delete(remote.loads, load.ID)
			b.addToSums(id, load, UpstreamLoad{ID: load.ID})
		}
	}
	if b.isRelay() {
		b.relay.relays.dropIdle()
		for _, member := range b.relay.members {
			member.dropIdle()
		}
	}
}

// forgetRouter drops all that another router has reported.
func (b *Balancer) forgetRouter(id protocol.RouterID) {
	remote := b.routers[id]
	b.setOmitted(remote, nil)
	delete(b.routers, id)
	for _, load := range remote.loads {
		if u := b.byShortID[load.ID]; u != nil {
			u.changeLoad(0, -load.InFlight)
		}
		b.addToSums(id, load, UpstreamLoad{ID: load.ID})
	}
}

// Routers returns the number of other routers whose load counts.
func (b *Balancer) Routers() int { return len(b.routers) }
