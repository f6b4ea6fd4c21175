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
	// maxLoadsPerReport bounds the upstreams in one report of a relay, so that a report's
	// size doesn't grow with the fleet. Those whose known load is furthest from the
	// actual one go first.
	maxLoadsPerReport = 32
	// relaysPerRound is the number of other relays up to which a relay reports to them
	// in every round. Of more it reports in every second round, third round and so on,
	// so that it sends as many messages a second in a fleet of any size.
	relaysPerRound = 32
	// roundsPerFullReport is the least number of rounds between two full reports to the
	// other relays.
	roundsPerFullReport = int(FullReportInterval / groupReportInterval)
)

// relaySums is what a relay adds up and has sent.
type relaySums struct {
	// group is the load of this router and its members, total that of all routers.
	group, total loadSums
	// relays is what the other relays were sent, and members what each member was.
	relays  *reported
	members map[protocol.RouterID]*reported
	// rounds counts the rounds of reports, and fullRound is that of the last full report
	// to the other relays.
	rounds    int
	fullRound int
}

// reported is what a neighbour was sent. pending holds the upstreams whose load may have
// changed since.
type reported struct {
	sums    loadSums
	pending map[ShortID]struct{}
}

func newReported() *reported {
	return &reported{sums: newLoadSums(), pending: map[ShortID]struct{}{}}
}

// dropIdle forgets what was reported of upstreams that haven't been used lately.
func (r *reported) dropIdle() {
	for _, load := range r.sums.idle() {
		delete(r.sums.loads, load.ID)
	}
}

// isRelay reports whether this router aggregates for others.
func (b *Balancer) isRelay() bool { return b.neighbours.grouped() && b.neighbours.Relay == "" }

// startRelay makes the sums of a router that has become a relay.
func (b *Balancer) startRelay() {
	b.relay = relaySums{group: newLoadSums(), total: newLoadSums(), relays: newReported(), members: map[protocol.RouterID]*reported{}}
	for _, u := range b.upstreams {
		u.reported = UpstreamLoad{ID: u.own.ID}
		if u.own != u.reported {
			b.unreported[u] = struct{}{}
		}
	}
	for id, remote := range b.routers {
		for _, load := range remote.loads {
			b.addToSums(id, UpstreamLoad{ID: load.ID}, load)
		}
	}
}

// stopRelay drops what a router has that is no relay any more.
func (b *Balancer) stopRelay() {
	b.relay = relaySums{}
	b.prefixesForMembers, b.prefixesForRelays = nil, nil
}

// setMembers follows a changed list of members.
func (b *Balancer) setMembers(members []protocol.RouterID) {
	known := b.relay.members
	b.relay.members = map[protocol.RouterID]*reported{}
	for _, id := range members {
		b.relay.members[id] = known[id]
		if known[id] == nil {
			b.relay.members[id] = newReported()
		}
	}
}

// addToSums replaces a part of a relay's sums, which is another router's load or, if from is
// empty, its own.
func (b *Balancer) addToSums(from protocol.RouterID, before, after UpstreamLoad) {
	if !b.isRelay() || before == after {
		return
	}
	b.relay.total.replace(before, after)
	for _, member := range b.relay.members {
		member.pending[after.ID] = struct{}{}
	}
	if !b.isNeighbourRelay(from) {
		b.relay.group.replace(before, after)
		b.relay.relays.pending[after.ID] = struct{}{}
	}
}

// isNeighbourRelay reports whether a router is one of the other relays.
func (b *Balancer) isNeighbourRelay(id protocol.RouterID) bool {
	return b.roles[id] == roleRelay
}

// relayReports returns the reports of a relay. The other relays get the total load of this
// router and its members; each member gets the total load of all routers but itself.
func (b *Balancer) relayReports(full bool) []OutgoingReport {
	b.addOwnToSums()
	b.queueOwnPrefixes()
	b.relay.rounds++
	var reports []OutgoingReport
	if every := 1 + (len(b.neighbours.Relays)-1)/relaysPerRound; b.relay.rounds%every == 0 {
		reports = append(reports, OutgoingReport{To: b.neighbours.Relays, Report: b.reportForRelays()})
	}
	cached := takePrefixes(&b.prefixesForMembers)
	inFlight := b.loadByService(b.relay.total)
	for _, id := range b.neighbours.Members {
		report := b.reportFor(b.relay.members[id], b.relay.total, b.routers[id], full)
		report.Omitted = b.omitted(b.relay.members[id], inFlight, b.routers[id])
		report.Cached = prefixesFor(id, cached)
		reports = append(reports, OutgoingReport{To: []protocol.RouterID{id}, Report: report})
	}
	return slices.DeleteFunc(reports, func(t OutgoingReport) bool {
		return len(t.To) == 0 || !t.Report.Full && t.Report.empty()
	})
}

// reportForRelays returns the report to the other relays, a full one if the last is some time
// ago.
func (b *Balancer) reportForRelays() LoadReport {
	full := b.relay.fullRound == 0 || b.relay.rounds-b.relay.fullRound >= roundsPerFullReport
	if full {
		b.relay.fullRound = b.relay.rounds
	}
	report := b.reportFor(b.relay.relays, b.relay.group, nil, full)
	report.Omitted = b.omitted(b.relay.relays, b.loadByService(b.relay.group), nil)
	report.Cached = takePrefixes(&b.prefixesForRelays)
	return report
}

// addOwnToSums adds the changes of this router's own load to the sums.
func (b *Balancer) addOwnToSums() {
	for u := range b.unreported {
		b.addToSums("", u.reported, u.own)
		u.reported = u.own
	}
	clear(b.unreported)
}

// reportFor returns the part of a sum, without the neighbour's own part, that the neighbour
// doesn't know yet; if full is set, everything in flight, as far as a report has room.
func (b *Balancer) reportFor(to *reported, sum loadSums, own *remoteLoads, full bool) LoadReport {
	if full {
		for id := range sum.busy {
			to.pending[id] = struct{}{}
		}
		for id := range to.sums.busy {
			to.pending[id] = struct{}{}
		}
	}
	due := b.dueLoads(to, sum, own, full)
	if full {
		b.omit(to, due)
	}
	for _, load := range due {
		to.sums.set(load)
		delete(to.pending, load.ID)
	}
	slices.SortFunc(due, func(x, y UpstreamLoad) int { return cmp.Compare(x.ID, y.ID) })
	return LoadReport{Full: full, Upstreams: due}
}

// dueLoads returns the loads to send to a neighbour, at most maxLoadsPerReport.
func (b *Balancer) dueLoads(to *reported, sum loadSums, own *remoteLoads, full bool) []UpstreamLoad {
	type due struct {
		load   UpstreamLoad
		weight int
	}
	var all []due
	for id := range to.pending {
		load := sum.loads[id]
		load.ID = id
		if own != nil {
			load = minus(load, own.loads[id])
		}
		known := to.sums.loads[id]
		known.ID = id
		if b.mustReport(known, load) || full && load.InFlight > 0 {
			all = append(all, due{load, b.reportWeight(known, load, full)})
		} else {
			delete(to.pending, id)
		}
	}
	if len(all) > maxLoadsPerReport {
		slices.SortFunc(all, func(x, y due) int { return cmp.Or(cmp.Compare(y.weight, x.weight), cmp.Compare(x.load.ID, y.load.ID)) })
		all = all[:maxLoadsPerReport]
	}
	loads := make([]UpstreamLoad, 0, len(all))
	for _, d := range all {
		loads = append(loads, d.load)
	}
	return loads
}

// mustReport reports whether a neighbour needs to know a load. Answers alone matter only
// beside failures.
func (b *Balancer) mustReport(known, load UpstreamLoad) bool {
	if load.InFlight != known.InFlight || load.Failed != known.Failed {
		return true
	}
	u := b.byShortID[load.ID]
	return load.Served != known.Served && u != nil && u.suspect
}

// failureWeight is the weight of a new failure in a report, as a difference in load.
const failureWeight = 4

// reportWeight returns how much a neighbour needs to know a load: by how much it differs
// from what it knows, or, in a full report, how high it is.
func (b *Balancer) reportWeight(known, load UpstreamLoad, full bool) int {
	weight := load.InFlight - known.InFlight
	if full {
		weight = load.InFlight
	}
	if load.Failed != known.Failed {
		weight = max(weight, -weight) + failureWeight
	}
	return max(weight, -weight)
}

// omit notes that a full report leaves out what isn't due: its receiver takes that load for
// zero.
func (b *Balancer) omit(to *reported, due []UpstreamLoad) {
	sent := map[ShortID]bool{}
	for _, load := range due {
		sent[load.ID] = true
	}
	for id := range to.sums.busy {
		if !sent[id] {
			load := to.sums.loads[id]
			load.InFlight = 0
			to.sums.set(load)
		}
	}
}

// loadByService returns what is in flight on the upstreams of each service.
func (b *Balancer) loadByService(sums loadSums) map[ServiceID]int {
	inFlight := map[ServiceID]int{}
	for id := range sums.busy {
		if u := b.byShortID[id]; u != nil {
			inFlight[serviceIDOf(u.entry.Service)] += sums.loads[id].InFlight
		}
	}
	return inFlight
}

// omitted returns the load of each service beyond what a neighbour was sent and what it
// reported itself, so that it knows the mean load of all upstreams.
func (b *Balancer) omitted(to *reported, inFlight map[ServiceID]int, own *remoteLoads) []ServiceLoad {
	left := maps.Clone(inFlight)
	for service, sent := range b.loadByService(to.sums) {
		left[service] -= sent
	}
	if own != nil {
		for service, its := range b.loadByService(own.loadSums) {
			left[service] -= its
		}
	}
	var loads []ServiceLoad
	for service, load := range left {
		if load != 0 {
			loads = append(loads, ServiceLoad{ID: service, InFlight: load})
		}
	}
	slices.SortFunc(loads, func(x, y ServiceLoad) int { return cmp.Compare(x.ID, y.ID) })
	return loads
}

// queuedPrefix is a cached prefix that a relay forwards.
type queuedPrefix struct {
	CachedPrefix
	// from is the router that announced it, "" for this router.
	from protocol.RouterID
}

// queueOwnPrefixes queues the cached prefixes that this router announces.
func (b *Balancer) queueOwnPrefixes() {
	b.queueForRelay("", b.cacheHolders.takeUnannounced())
}

// queueForRelay queues cached prefixes to be forwarded, if this router is a relay. Relays
// send each other only what comes from their members.
func (b *Balancer) queueForRelay(from protocol.RouterID, prefixes []CachedPrefix) {
	if !b.isRelay() {
		return
	}
	for _, p := range prefixes {
		b.prefixesForMembers = append(b.prefixesForMembers, queuedPrefix{CachedPrefix: p, from: from})
	}
	b.prefixesForMembers = b.prefixesForMembers[max(0, len(b.prefixesForMembers)-maxQueuedPrefixes):]
	if !b.isNeighbourRelay(from) {
		b.prefixesForRelays = append(b.prefixesForRelays, prefixes...)
		b.prefixesForRelays = b.prefixesForRelays[max(0, len(b.prefixesForRelays)-maxQueuedPrefixes):]
	}
}

// takePrefixes removes and returns the prefixes of a queue to send now.
func takePrefixes[T any](queue *[]T) []T {
	count := min(len(*queue), maxPrefixesPerReport)
	if count == 0 {
		return nil
	}
	taken := (*queue)[:count]
	*queue = slices.Clone((*queue)[count:])
	return taken
}

// prefixesFor returns the prefixes for a member, without those that it announced itself.
func prefixesFor(to protocol.RouterID, queued []queuedPrefix) []CachedPrefix {
	var prefixes []CachedPrefix
	for _, q := range queued {
		if q.from != to {
			prefixes = append(prefixes, q.CachedPrefix)
		}
	}
	return prefixes
}
