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
}

// remoteLoads is what another router has reported.
type remoteLoads struct {
	receivedAt time.Duration
	upstreams  map[ShortID]UpstreamLoad
}

// upstream is this router's view of one upstream.
type upstream struct {
	entry roster.Entry
	own   UpstreamLoad
	// reported is own as last reported to the other routers.
	reported UpstreamLoad
	// elsewhere is the number of the other routers' requests in flight, elsewhereAverage
	// its moving average.
	elsewhere        int
	elsewhereAverage movingAverage
	health           health
	// lastServed is when an upstream was last known to have answered a request.
	lastServed time.Duration
	// reportedEjected is health.isEjected as last returned by HealthChanges.
	reportedEjected bool
}

// load returns the requests in flight on an upstream, as far as this router knows.
func (u *upstream) load() int { return u.own.InFlight + u.elsewhere }

// Balancer holds a router's view of the upstreams and chooses among them. It is not safe
// for concurrent use.
type Balancer struct {
	upstreams    map[protocol.UpstreamID]*upstream
	byShortID    map[ShortID]*upstream
	services     map[protocol.Service][]*upstream
	baselines    map[protocol.Service]baseline
	routers      map[protocol.RouterID]*remoteLoads
	cacheHolders *cacheHolders
	settings     Settings
	// neighbours are the routers that this one exchanges load reports with. If this
	// router is a relay, reported is the load as last sent to each neighbour, and
	// relayQueue holds the cached prefixes that are still to be sent.
	neighbours Neighbours
	reported   map[protocol.RouterID]map[ShortID]UpstreamLoad
	relayQueue []queuedPrefix
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
		services:     map[protocol.Service][]*upstream{},
		baselines:    map[protocol.Service]baseline{},
		routers:      map[protocol.RouterID]*remoteLoads{},
		cacheHolders: newCacheHolders(),
		settings:     settings,
		reported:     map[protocol.RouterID]map[ShortID]UpstreamLoad{},
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

// SetRoster replaces the list of upstreams. Upstreams that are no longer listed are kept
// until this router's requests to them have ended. SetRoster returns the entries whose
// state, address or incarnation changed, or that have become cold.
func (b *Balancer) SetRoster(entries []roster.Entry) []roster.Entry {
	listed := map[protocol.UpstreamID]bool{}
	var changed []roster.Entry
	for _, e := range entries {
		listed[e.ID] = true
		u := b.upstreams[e.ID]
		if u == nil {
			if e.State == roster.Gone {
				continue
			}
			short := shortIDOf(e.ID)
			u = &upstream{own: UpstreamLoad{ID: short}, reported: UpstreamLoad{ID: short}}
			b.upstreams[e.ID] = u
		}
		if u.entry.State != e.State || u.entry.Address != e.Address || u.entry.StartedAt != e.StartedAt || u.entry.ColdCount != e.ColdCount {
			changed = append(changed, e)
		}
		if u.entry.StartedAt != e.StartedAt {
			u.health = health{}
		}
		u.entry = e
	}
	for id, u := range b.upstreams {
		if !listed[id] {
			u.entry.State = roster.Gone
		}
		if u.entry.State == roster.Gone && u.own.InFlight == 0 {
			delete(b.upstreams, id)
		}
	}
	b.index()
	b.sumElsewhere()
	b.applyRestored()
	return changed
}

// index rebuilds the maps by service and by ShortID. The upstreams of a service are
// sorted by ID.
func (b *Balancer) index() {
	b.services = map[protocol.Service][]*upstream{}
	b.byShortID = map[ShortID]*upstream{}
	for _, u := range b.upstreams {
		b.byShortID[u.own.ID] = u
		b.services[u.entry.Service] = append(b.services[u.entry.Service], u)
	}
	for _, list := range b.services {
		slices.SortFunc(list, func(x, y *upstream) int { return cmp.Compare(x.entry.ID, y.entry.ID) })
	}
}

// AnyReady reports whether any upstream accepts requests.
func (b *Balancer) AnyReady() bool {
	for _, u := range b.upstreams {
		if u.entry.State == roster.Ready {
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
		u.own.InFlight++
	}
}

// Ended records how a request ended.
func (b *Balancer) Ended(now time.Duration, id protocol.UpstreamID, result Result) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	u.own.InFlight = max(0, u.own.InFlight-1)
	u.recordResult(now, result)
	if u.entry.State == roster.Gone && u.own.InFlight == 0 {
		delete(b.upstreams, id)
		b.index()
	}
}

// recordResult counts a result, for this router's decisions and for its load reports.
func (u *upstream) recordResult(now time.Duration, result Result) {
	switch result {
	case Served:
		u.own.Served++
		u.lastServed = now
	case Failed, Unreachable:
		u.own.Failed++
	}
	u.health.record(now, result, 1)
}

// RecordResult records the result of a request without ending it: Ended records the end,
// as Abandoned if the result was not known then.
func (b *Balancer) RecordResult(now time.Duration, id protocol.UpstreamID, result Result) {
	if u := b.upstreams[id]; u != nil {
		u.recordResult(now, result)
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
	for id, u := range b.upstreams {
		ejected := u.health.isEjected(now)
		if ejected == u.reportedEjected {
			continue
		}
		u.reportedEjected = ejected
		changed = append(changed, HealthChange{
			ID: id, Ejected: ejected, Failed: u.health.failed, Served: u.health.served, Backoff: u.health.backoff,
		})
	}
	slices.SortFunc(changed, func(x, y HealthChange) int { return cmp.Compare(x.ID, y.ID) })
	return changed
}

// ApplyLoadReport applies another router's report, or the total that a relay sends.
func (b *Balancer) ApplyLoadReport(now time.Duration, from protocol.RouterID, report LoadReport) {
	if !b.neighbours.accepts(from) {
		return
	}
	remote := b.routers[from]
	if remote == nil {
		remote = &remoteLoads{upstreams: map[ShortID]UpstreamLoad{}}
		b.routers[from] = remote
	}
	remote.receivedAt = now
	if report.Full {
		b.endOmitted(now, remote, report)
	}
	for _, load := range report.Upstreams {
		b.applyUpstreamLoad(now, remote, load)
	}
	b.applyCached(now, report.Cached)
	b.queueForRelay(from, report.Cached)
}

// endOmitted sets another router's load to zero on the upstreams that its full report
// omits.
func (b *Balancer) endOmitted(now time.Duration, remote *remoteLoads, report LoadReport) {
	named := map[ShortID]bool{}
	for _, load := range report.Upstreams {
		named[load.ID] = true
	}
	for id, before := range remote.upstreams {
		if named[id] || before.InFlight == 0 {
			continue
		}
		if u := b.byShortID[id]; u != nil {
			b.addElsewhere(now, u, -before.InFlight)
		}
		before.InFlight = 0
		remote.upstreams[id] = before
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
	if remote == nil || id == b.neighbours.Relay || slices.Contains(b.neighbours.Relays, id) {
		return false
	}
	b.endOmitted(now, remote, LoadReport{Full: true})
	return true
}

// applyUpstreamLoad replaces another router's load on one upstream, and counts the
// requests that have ended since its last report. It counts none if there was no report
// before, or if the totals are lower than before, as after a restart of that router.
func (b *Balancer) applyUpstreamLoad(now time.Duration, remote *remoteLoads, load UpstreamLoad) {
	before, known := remote.upstreams[load.ID]
	remote.upstreams[load.ID] = load
	u := b.byShortID[load.ID]
	if u == nil {
		return
	}
	b.addElsewhere(now, u, load.InFlight-before.InFlight)
	if known && load.Failed >= before.Failed && load.Served >= before.Served {
		u.health.record(now, Failed, load.Failed-before.Failed)
		u.health.record(now, Served, load.Served-before.Served)
		if load.Served > before.Served {
			u.lastServed = now
		}
	}
}

// Expire drops the load of routers that have stopped reporting, and returns their IDs. It
// also drops restored cache holders that have waited for the roster too long.
func (b *Balancer) Expire(now time.Duration) []protocol.RouterID {
	b.expireRestored(now)
	var silent []protocol.RouterID
	for id, remote := range b.routers {
		if now-remote.receivedAt > reportTTL {
			delete(b.routers, id)
			silent = append(silent, id)
		}
	}
	if len(silent) > 0 {
		b.sumElsewhere()
	}
	slices.Sort(silent)
	return silent
}

// Routers returns the number of other routers whose load counts.
func (b *Balancer) Routers() int { return len(b.routers) }

// sumElsewhere recomputes the other routers' load on every upstream.
func (b *Balancer) sumElsewhere() {
	for _, u := range b.upstreams {
		u.elsewhere = 0
	}
	for _, remote := range b.routers {
		for id, load := range remote.upstreams {
			if u := b.byShortID[id]; u != nil {
				u.elsewhere += load.InFlight
			}
		}
	}
}
