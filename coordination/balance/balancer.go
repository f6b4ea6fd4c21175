package balance

import (
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

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
	// place is its number among the ready upstreams of its pool that aren't evacuated.
	place int
	// pause is nil if the upstream hasn't asked this router to pause.
	pause *pause
	// unreachable says that this router can open no connection to it.
	unreachable bool
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
	// idleDroppedAt is when idle loads were last dropped.
	idleDroppedAt time.Duration
	// suspects holds the upstreams that failed or refused requests lately.
	suspects map[*upstream]struct{}
	// pauses holds what upstreams asked for, also of those that aren't listed now.
	pauses       map[incarnation]*pause
	baselines    map[protocol.Service]baseline
	routers      map[protocol.RouterID]*remoteLoads
	cacheHolders *cacheHolders
	settings     Settings
	// neighbours are the routers that this one exchanges load reports with, and roles
	// what each of them is to this one.
	neighbours Neighbours
	position   Position
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
	// isolated says that this router can open no connection to any upstream.
	isolated bool
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
	// PrefixReplicas is how many engines hold a prefix that is in demand and has at least
	// ReplicaTokens tokens; 1 means that it is copied only when a request needs it elsewhere.
	PrefixReplicas int
	ReplicaTokens  int
	// BySpeed compares the loads of upstreams at their speeds, which Request.Slowness returns, when
	// a request without a prompt is sent. A prompt's engine is chosen by load alone.
	BySpeed bool
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
		pauses:       map[incarnation]*pause{},
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
	for _, p := range b.pools {
		p.placesSet = false
	}
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

// OwnInFlight returns this router's own requests in flight on an upstream.
func (b *Balancer) OwnInFlight(id protocol.UpstreamID) int {
	if u := b.upstreams[id]; u != nil {
		return u.own.InFlight
	}
	return 0
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
