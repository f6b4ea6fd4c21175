package balance

import (
	"cmp"
	"maps"
	"slices"

	"endiveplank/protocol"
)

const (
	// maxPrefixesPerReport bounds the cached prefixes in one report of a relay, and
	// maxQueuedPrefixes those that wait; the oldest are dropped.
	maxPrefixesPerReport = 512
	maxQueuedPrefixes    = 8 * maxPrefixesPerReport
	// otherRelays is the key in Balancer.reported for the loads last sent to the other
	// relays. All of them get the same loads, so they share one entry.
	otherRelays protocol.RouterID = ""
)

// relayReports returns the reports of a relay. The other relays get the total load of this
// router and its members; each member gets the total load of all routers but itself.
func (b *Balancer) relayReports(full bool) []OutgoingReport {
	group, total := b.loadTotals()
	queued := b.takeQueued()
	groupLoads := b.unreportedLoads(otherRelays, full, group, nil)
	var reports []OutgoingReport
	for _, id := range b.neighbours.Relays {
		reports = append(reports, OutgoingReport{To: id, Report: LoadReport{Full: full, Upstreams: groupLoads, Cached: prefixesFor(id, queued, b.neighbours.Relays)}})
	}
	for _, id := range b.neighbours.Members {
		loads := b.unreportedLoads(id, full, total, b.routers[id])
		reports = append(reports, OutgoingReport{To: id, Report: LoadReport{Full: full, Upstreams: loads, Cached: prefixesFor(id, queued, nil)}})
	}
	return slices.DeleteFunc(reports, func(t OutgoingReport) bool {
		return !full && len(t.Report.Upstreams) == 0 && len(t.Report.Cached) == 0
	})
}

// loadTotals returns the load of this router and its members, and that of all routers.
func (b *Balancer) loadTotals() (group, total map[ShortID]UpstreamLoad) {
	group = b.ownLoads()
	for _, id := range b.neighbours.Members {
		addTo(group, b.routers[id])
	}
	total = maps.Clone(group)
	for _, id := range b.neighbours.Relays {
		addTo(total, b.routers[id])
	}
	return group, total
}

// takeQueued removes and returns the cached prefixes to send now.
func (b *Balancer) takeQueued() []queuedPrefix {
	for _, prefix := range b.cacheHolders.takeUnannounced() {
		b.relayQueue = append(b.relayQueue, queuedPrefix{CachedPrefix: prefix})
	}
	b.relayQueue = b.relayQueue[max(0, len(b.relayQueue)-maxQueuedPrefixes):]
	taken := b.relayQueue[:min(len(b.relayQueue), maxPrefixesPerReport)]
	b.relayQueue = slices.Clone(b.relayQueue[len(taken):])
	return taken
}

// ownLoads returns this router's load by upstream.
func (b *Balancer) ownLoads() map[ShortID]UpstreamLoad {
	loads := map[ShortID]UpstreamLoad{}
	for _, u := range b.upstreams {
		if u.own != (UpstreamLoad{ID: u.own.ID}) {
			loads[u.own.ID] = u.own
		}
	}
	return loads
}

// addTo adds the load that another router has reported.
func addTo(sum map[ShortID]UpstreamLoad, remote *remoteLoads) {
	if remote == nil {
		return
	}
	for id, load := range remote.upstreams {
		sum[id] = plus(sum[id], load)
	}
}

// plus adds loads on one upstream.
func plus(sum, load UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{
		ID: load.ID, InFlight: sum.InFlight + load.InFlight,
		Served: sum.Served + load.Served, Failed: sum.Failed + load.Failed,
	}
}

// minus subtracts a load that is part of a sum.
func minus(sum, load UpstreamLoad) UpstreamLoad {
	return UpstreamLoad{
		ID: sum.ID, InFlight: sum.InFlight - load.InFlight,
		Served: sum.Served - load.Served, Failed: sum.Failed - load.Failed,
	}
}

// unreportedLoads returns the part of a sum, without the neighbour's own part, that the
// neighbour doesn't know yet; if full is set, also everything in flight.
func (b *Balancer) unreportedLoads(to protocol.RouterID, full bool, sum map[ShortID]UpstreamLoad, own *remoteLoads) []UpstreamLoad {
	reported := b.reported[to]
	if reported == nil {
		reported = map[ShortID]UpstreamLoad{}
		b.reported[to] = reported
	}
	var loads []UpstreamLoad
	for id, load := range sum {
		if own != nil {
			load = minus(load, own.upstreams[id])
		}
		if load != reported[id] && load != (UpstreamLoad{ID: id}) || full && load.InFlight > 0 {
			loads = append(loads, load)
		}
		reported[id] = load
	}
	slices.SortFunc(loads, func(x, y UpstreamLoad) int { return cmp.Compare(x.ID, y.ID) })
	return loads
}

// queuedPrefix is a cached prefix that a relay forwards.
type queuedPrefix struct {
	CachedPrefix
	// from is the router that announced it, "" for this router.
	from protocol.RouterID
}

// queueForRelay queues cached prefixes to be forwarded, if this router is a relay.
func (b *Balancer) queueForRelay(from protocol.RouterID, prefixes []CachedPrefix) {
	if !b.neighbours.grouped() || b.neighbours.Relay != "" {
		return
	}
	for _, p := range prefixes {
		b.relayQueue = append(b.relayQueue, queuedPrefix{CachedPrefix: p, from: from})
	}
}

// prefixesFor returns the prefixes for a neighbour, without those it announced itself and
// those announced by a router in exclude: relays send each other only what comes from
// their members.
func prefixesFor(to protocol.RouterID, queued []queuedPrefix, exclude []protocol.RouterID) []CachedPrefix {
	var prefixes []CachedPrefix
	for _, q := range queued {
		if q.from != to && (q.from == "" || !slices.Contains(exclude, q.from)) {
			prefixes = append(prefixes, q.CachedPrefix)
		}
	}
	return prefixes
}
