package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// reportTTL is how long another router's LoadReports count. Each router sends a full
// report every second, so two may be lost. The load of a router that died expires before
// its callers have come back through another router.
const reportTTL = 2500 * time.Millisecond

// FullReportInterval is how often a router sends a full report, which corrects the view
// of routers that have missed some.
const FullReportInterval = time.Second

// ShortID is a hash that stands for an upstream's ID in messages between routers: 5 bytes
// instead of a dozen or more. In one of a million cases, two of a hundred upstreams share
// a ShortID, and their loads are counted together.
type ShortID uint32

// shortIDOf returns an upstream's ShortID.
func shortIDOf(id protocol.UpstreamID) ShortID {
	return ShortID(xxhash.Sum64String(string(id)))
}

// UpstreamLoad is one router's load on an upstream, or the sum of several routers' if a
// relay sends it. It is encoded without the names of its fields.
type UpstreamLoad struct {
	ID ShortID `msgpack:"i"`
	// InFlight counts the requests that the router has sent and that haven't ended.
	InFlight int `msgpack:"n"`
	// Served and Failed count the requests that have ended since the router started.
	Served uint64 `msgpack:"s"`
	Failed uint64 `msgpack:"f"`
}

// LoadReport is what a router sends to other routers about its load, or a relay about the
// load of several routers.
type LoadReport struct {
	// Full says that the sender has nothing in flight on upstreams that the report omits.
	Full      bool           `msgpack:"w"`
	Upstreams []UpstreamLoad `msgpack:"u"`
	// Cached announces prefixes that engines have in their caches, because they have
	// recently begun to answer prompts with them.
	Cached []CachedPrefix `msgpack:"k,omitempty"`
	// Omitted is the load in flight on upstreams of each service that a relay knows of
	// beyond what its reports tell by upstream. It counts until the next report.
	Omitted []ServiceLoad `msgpack:"o,omitempty"`
}

// empty reports whether the report says nothing.
func (r LoadReport) empty() bool {
	return len(r.Upstreams) == 0 && len(r.Cached) == 0 && len(r.Omitted) == 0
}

// ServiceID is a hash that stands for a service's name in messages between routers.
type ServiceID uint32

// serviceIDOf returns the ServiceID of a service.
func serviceIDOf(service protocol.Service) ServiceID {
	return ServiceID(xxhash.Sum64String(string(service)))
}

// ServiceLoad is a load on the upstreams of one service.
type ServiceLoad struct {
	ID       ServiceID `msgpack:"i"`
	InFlight int       `msgpack:"n"`
}

// remoteLoads is what another router has reported.
type remoteLoads struct {
	loadSums
	receivedAt time.Duration
	omitted    []ServiceLoad
}

// upstream is this router's view of one upstream.
type upstream struct {
	entry roster.Entry
	// pool is the pool of its service, and key the hash of its ID.
	pool *pool
	key  uint64
	own  UpstreamLoad
	// reported is own as last reported to the other routers.
	reported UpstreamLoad
	// elsewhere is the number of the other routers' requests in flight, elsewhereAverage
	// its moving average.
	elsewhere        int
	elsewhereAverage movingAverage
	health           health
	// lastServed is when an upstream was last known to have answered a request.
	lastServed time.Duration
	// suspect says that it is in Balancer.suspects.
	suspect bool
	// reportedEjected is health.isEjected as last returned by HealthChanges.
	reportedEjected bool
}

// load returns the requests in flight on an upstream, as far as this router knows.
func (u *upstream) load() int { return u.own.InFlight + u.elsewhere }

// Balancer holds a router's view of the upstreams and chooses among them. It is not safe
// for concurrent use.
type Balancer struct {
	upstreams map[protocol.UpstreamID]*upstream
	byShortID map[ShortID]*upstream
	pools     map[protocol.Service]*pool
	// busy holds the upstreams that run requests of this router, and unreported those
	// whose own load has changed since the last report.
	busy, unreported map[*upstream]struct{}
	// omittedLoad is the load that other routers report by service alone.
	omittedLoad map[ServiceID]int
	// suspects holds the upstreams that failed or refused requests lately.
	suspects     map[*upstream]struct{}
	baselines    map[protocol.Service]baseline
	routers      map[protocol.RouterID]*remoteLoads
	cacheHolders *cacheHolders
	settings     Settings
	// neighbours are the routers that this one exchanges load reports with, and roles
	// what each of them is to this one.
	neighbours Neighbours
	roles      map[protocol.RouterID]role
	// relay and the queues of cached prefixes are in use if this router is a relay.
	relay              relaySums
	prefixesForMembers []queuedPrefix
	prefixesForRelays  []CachedPrefix
	// unrecorded holds the cached prefixes that are still to be sent to a disk VM.
	// restored holds those that a disk VM sent at restoredAt for upstreams that aren't
	// in the roster yet.
	unrecorded []CachedPrefix
	restored   []CachedPrefix
	restoredAt time.Duration
	// evacuated holds the data centres whose upstreams get no requests.
	evacuated map[protocol.DataCentre]bool
}

// Settings of a Balancer.
type Settings struct {
	// Multiple and Slack bound an upstream's load: at most Multiple times the mean load
	// of its service plus Slack.
	Multiple float64
	Slack    float64
	// DataCentre is the router's own; of equally loaded upstreams, those there are
	// preferred.
	DataCentre protocol.DataCentre
}

// NewBalancer returns a Balancer without upstreams.
func NewBalancer(settings Settings) *Balancer {
	return &Balancer{
		upstreams:    map[protocol.UpstreamID]*upstream{},
		byShortID:    map[ShortID]*upstream{},
		pools:        map[protocol.Service]*pool{},
		busy:         map[*upstream]struct{}{},
		unreported:   map[*upstream]struct{}{},
		suspects:     map[*upstream]struct{}{},
		omittedLoad:  map[ServiceID]int{},
		baselines:    map[protocol.Service]baseline{},
		routers:      map[protocol.RouterID]*remoteLoads{},
		cacheHolders: newCacheHolders(),
		settings:     settings,
	}
}

// SetEvacuated replaces the list of data centres whose upstreams get no requests. What
// runs there goes on, and engines elsewhere may copy prompt prefixes from there: a copy is
// no request, and it is the last chance to keep them.
func (b *Balancer) SetEvacuated(dataCentres []protocol.DataCentre) {
	b.evacuated = map[protocol.DataCentre]bool{}
	for _, dataCentre := range dataCentres {
		b.evacuated[dataCentre] = true
	}
}

// rebuildDivisor sets the share of the upstreams, one in rebuildDivisor, from which on
// changed entries cost less if the pools are made anew.
const rebuildDivisor = 16

// SetRoster replaces the list of upstreams. Upstreams that are no longer listed are kept
// until this router's requests to them have ended. SetRoster returns the entries whose
// state, address or incarnation changed, or that have become cold.
func (b *Balancer) SetRoster(entries []roster.Entry) []roster.Entry {
	listed := make(map[protocol.UpstreamID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	all := slices.Clone(entries)
	for id := range b.upstreams {
		if !listed[id] {
			all = append(all, roster.Entry{ID: id, State: roster.Gone})
		}
	}
	return b.ApplyEntries(all)
}

// ApplyEntries takes over entries that have changed. It returns those whose state, address
// or incarnation changed, or that have become cold. Upstreams that are gone are kept until
// this router's requests to them have ended.
func (b *Balancer) ApplyEntries(entries []roster.Entry) []roster.Entry {
	rebuild := len(entries)*rebuildDivisor > len(b.upstreams)
	var changed []roster.Entry
	for _, e := range entries {
		u, differs := b.applyEntry(e, rebuild)
		if differs {
			changed = append(changed, u.entry)
		}
	}
	if rebuild {
		b.rebuildPools()
	}
	b.applyRestored()
	return changed
}

// applyEntry takes over one entry, and reports whether it differs in what matters to
// requests. If rebuild is set, the caller makes the pools anew.
func (b *Balancer) applyEntry(e roster.Entry, rebuild bool) (u *upstream, differs bool) {
	u = b.upstreams[e.ID]
	if u == nil {
		if e.State == roster.Gone {
			return nil, false
		}
		u = b.addUpstream(e.ID)
	}
	if e.State == roster.Gone {
		// The entry may be all that is left of a removed upstream.
		e = u.entry
		e.State = roster.Gone
	}
	before := u.entry
	if before.StartedAt != e.StartedAt {
		u.health, u.lastServed, u.elsewhereAverage = health{}, 0, movingAverage{}
	}
	if u.pool != nil && !rebuild {
		u.pool.remove(u)
	}
	u.entry = e
	switch {
	case e.State == roster.Gone && u.own.InFlight == 0:
		b.removeUpstream(u)
	case !rebuild:
		b.addToPool(u)
	}
	return u, before.State != e.State || before.Address != e.Address || before.StartedAt != e.StartedAt || before.ColdCount != e.ColdCount
}

// addUpstream adds an upstream without an entry.
func (b *Balancer) addUpstream(id protocol.UpstreamID) *upstream {
	short := shortIDOf(id)
	u := &upstream{key: xxhash.Sum64String(string(id)), own: UpstreamLoad{ID: short}, reported: UpstreamLoad{ID: short}}
	b.upstreams[id] = u
	b.byShortID[short] = u
	for _, remote := range b.routers {
		u.elsewhere += remote.loads[short].InFlight
	}
	return u
}

// removeUpstream removes an upstream, which its pool no longer holds.
func (b *Balancer) removeUpstream(u *upstream) {
	delete(b.upstreams, u.entry.ID)
	if b.byShortID[u.own.ID] == u {
		delete(b.byShortID, u.own.ID)
	}
	delete(b.busy, u)
	delete(b.unreported, u)
	delete(b.suspects, u)
}

// AnyReady reports whether any upstream accepts requests.
func (b *Balancer) AnyReady() bool {
	for _, p := range b.pools {
		if len(p.ready) > 0 {
			return true
		}
	}
	return false
}

// Entry returns an upstream's roster entry.
func (b *Balancer) Entry(id protocol.UpstreamID) (roster.Entry, bool) {
	u := b.upstreams[id]
	if u == nil {
		return roster.Entry{}, false
	}
	return u.entry, true
}

// Load returns the requests in flight on an upstream and whether the upstream is known.
func (b *Balancer) Load(id protocol.UpstreamID) (int, bool) {
	u := b.upstreams[id]
	if u == nil {
		return 0, false
	}
	return u.load(), true
}

// LastServed returns when an upstream was last known to have answered a request, from this
// router or another one; 0 if it never was.
func (b *Balancer) LastServed(id protocol.UpstreamID) time.Duration {
	u := b.upstreams[id]
	if u == nil {
		return 0
	}
	return u.lastServed
}

// Started records that a request was sent to an upstream.
func (b *Balancer) Started(id protocol.UpstreamID) {
	if u := b.upstreams[id]; u != nil {
		u.changeLoad(1, 0)
		b.busy[u] = struct{}{}
		b.unreported[u] = struct{}{}
	}
}

// Ended records how a request ended.
func (b *Balancer) Ended(now time.Duration, id protocol.UpstreamID, result Result) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	if u.own.InFlight > 0 {
		u.changeLoad(-1, 0)
	}
	if u.own.InFlight == 0 {
		delete(b.busy, u)
	}
	b.recordResult(now, u, result)
	if u.entry.State == roster.Gone && u.own.InFlight == 0 {
		u.pool.remove(u)
		b.removeUpstream(u)
	}
}

// recordResult counts a result, for this router's decisions and for its load reports.
func (b *Balancer) recordResult(now time.Duration, u *upstream, result Result) {
	switch result {
	case Served:
		u.own.Served++
		u.lastServed = now
	case Failed, Unreachable:
		u.own.Failed++
	}
	b.unreported[u] = struct{}{}
	b.recordHealth(now, u, result, 1)
}

// recordHealth counts outcomes for outlier detection.
func (b *Balancer) recordHealth(now time.Duration, u *upstream, result Result, count uint64) {
	u.health.record(now, result, count)
	if count > 0 && result != Served && result != Abandoned {
		b.suspect(u)
	}
}

// suspect adds an upstream to the suspects.
func (b *Balancer) suspect(u *upstream) {
	if u.suspect {
		return
	}
	u.suspect = true
	b.suspects[u] = struct{}{}
	if u.pool != nil {
		u.pool.suspects++
	}
}

// acquit removes an upstream from the suspects.
func (b *Balancer) acquit(u *upstream) {
	u.suspect = false
	delete(b.suspects, u)
	if u.pool != nil {
		u.pool.suspects--
	}
}

// RecordResult records the result of a request without ending it: Ended records the end,
// as Abandoned if the result was not known then.
func (b *Balancer) RecordResult(now time.Duration, id protocol.UpstreamID, result Result) {
	if u := b.upstreams[id]; u != nil {
		b.recordResult(now, u, result)
	}
}

// Overdue records that the answer to a request is overdue. It counts as a failure even if
// the answer comes in the end.
func (b *Balancer) Overdue(now time.Duration, id protocol.UpstreamID) {
	b.RecordResult(now, id, Failed)
}

// HealthChange says that outlier detection has ejected an upstream, or accepts it again.
type HealthChange struct {
	ID protocol.UpstreamID
	// Ejected says that the upstream gets no requests while others can take them.
	Ejected bool
	// Failed and Served are the outcomes behind the decision, weighted by age.
	Failed, Served float64
	// Backoff is how long no request is sent to it, if no connection could be made.
	Backoff time.Duration
}

// HealthChanges returns the changes since the last call, sorted by ID.
func (b *Balancer) HealthChanges(now time.Duration) []HealthChange {
	var changed []HealthChange
	for u := range b.suspects {
		ejected := u.health.isEjected(now)
		if ejected != u.reportedEjected {
			u.reportedEjected = ejected
			changed = append(changed, HealthChange{
				ID: u.entry.ID, Ejected: ejected, Failed: u.health.failed, Served: u.health.served, Backoff: u.health.backoff,
			})
		}
		if !ejected && u.health.isClean(now) {
			b.acquit(u)
		}
	}
	slices.SortFunc(changed, func(x, y HealthChange) int { return cmp.Compare(x.ID, y.ID) })
	return changed
}

// ApplyLoadReport applies another router's report, or the total that a relay sends.
func (b *Balancer) ApplyLoadReport(now time.Duration, from protocol.RouterID, report LoadReport) {
	if !b.accepts(from) {
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
// also drops restored cache holders that have waited for the roster too long.
func (b *Balancer) Expire(now time.Duration) []protocol.RouterID {
	b.expireRestored(now)
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
