package balance

import (
	"cmp"
	"slices"

	"endiveplank/coordination/builds"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// pool holds the upstreams of one service. Its lists and sums follow each change, so that
// choosing an upstream among ten thousand looks at few of them.
type pool struct {
	// all are the upstreams of the service, and ready those of them that accept requests,
	// both sorted by ID. keys are the hashes of the ready ones' IDs, in the same order.
	all   []*upstream
	ready []*upstream
	keys  []uint64
	// load is the number of requests in flight on the ready ones.
	load int
	// readyIn counts the ready ones by data centre, and loadIn their requests in flight.
	readyIn, loadIn map[protocol.DataCentre]int
	// slotsIn sums the slots that the ready ones announce, by data centre, and unannouncedIn
	// counts those that announce none.
	slotsIn, unannouncedIn map[protocol.DataCentre]int
	// builds counts the upstreams that haven't left by their build.
	builds map[string]int
	// places is the number of ready upstreams that aren't evacuated, if placesSet says that
	// they are numbered.
	places    int
	placesSet bool
	// suspects is how many of all are in Balancer.suspects.
	suspects int
	// paused is how many of the ready ones have a pause that isn't known to be over, and
	// unreachable how many this router can't open connections to.
	paused, unreachable int
	// allFail says that all upstreams failed often when none was left for a request. It is set until
	// one has served again.
	allFail bool
}

func newPool() *pool {
	return &pool{
		readyIn: map[protocol.DataCentre]int{}, loadIn: map[protocol.DataCentre]int{},
		slotsIn: map[protocol.DataCentre]int{}, unannouncedIn: map[protocol.DataCentre]int{},
		builds: map[string]int{},
	}
}

// byID compares an upstream with an ID.
func byID(u *upstream, id protocol.UpstreamID) int { return cmp.Compare(u.entry.ID, id) }

// insert adds an upstream.
func (p *pool) insert(u *upstream) {
	at, _ := slices.BinarySearchFunc(p.all, u.entry.ID, byID)
	p.all = slices.Insert(p.all, at, u)
	p.count(u, 1)
	if u.entry.State != roster.Ready {
		return
	}
	at, _ = slices.BinarySearchFunc(p.ready, u.entry.ID, byID)
	p.ready = slices.Insert(p.ready, at, u)
	p.keys = slices.Insert(p.keys, at, u.key)
}

// remove removes an upstream, whose entry must be as it was when it was added.
func (p *pool) remove(u *upstream) {
	if at, found := slices.BinarySearchFunc(p.all, u.entry.ID, byID); found {
		p.all = slices.Delete(p.all, at, at+1)
		p.count(u, -1)
	}
	if at, found := slices.BinarySearchFunc(p.ready, u.entry.ID, byID); found {
		p.ready = slices.Delete(p.ready, at, at+1)
		p.keys = slices.Delete(p.keys, at, at+1)
	}
}

// count adds an upstream to the sums, or subtracts it if sign is -1.
func (p *pool) count(u *upstream, sign int) {
	if u.suspect {
		p.suspects += sign
	}
	p.countBuild(u, sign)
	if u.entry.State != roster.Ready {
		return
	}
	p.countPaused(u, sign)
	p.countUnreachable(u, sign)
	p.placesSet = false
	p.load += sign * u.load()
	p.loadIn[u.entry.DataCentre] += sign * u.load()
	p.readyIn[u.entry.DataCentre] += sign
	p.countSlots(u, sign)
	if p.readyIn[u.entry.DataCentre] == 0 {
		delete(p.readyIn, u.entry.DataCentre)
		delete(p.loadIn, u.entry.DataCentre)
		delete(p.slotsIn, u.entry.DataCentre)
		delete(p.unannouncedIn, u.entry.DataCentre)
	}
}

// countBuild adds an upstream to those of its build, or subtracts it if sign is -1.
func (p *pool) countBuild(u *upstream, sign int) {
	if u.entry.State == roster.Gone {
		return
	}
	p.builds[u.entry.Build] += sign
	if p.builds[u.entry.Build] == 0 {
		delete(p.builds, u.entry.Build)
	}
}

// countSlots adds a ready upstream's slots to those of its data centre, or subtracts them if
// sign is -1.
func (p *pool) countSlots(u *upstream, sign int) {
	if u.entry.Slots <= 0 {
		p.unannouncedIn[u.entry.DataCentre] += sign
		return
	}
	p.slotsIn[u.entry.DataCentre] += sign * u.entry.Slots
}

// countPaused adds an upstream to the paused ones if it is one, or subtracts it if sign is -1.
func (p *pool) countPaused(u *upstream, sign int) {
	if u.pause != nil && u.entry.State == roster.Ready {
		p.paused += sign
	}
}

// countUnreachable adds an upstream to the unreachable ones if it is one, or subtracts it if
// sign is -1.
func (p *pool) countUnreachable(u *upstream, sign int) {
	if u.unreachable && u.entry.State == roster.Ready {
		p.unreachable += sign
	}
}

// noPool stands for the pool of an unknown service.
var noPool = newPool()

// poolOf returns the pool of a service.
func (b *Balancer) poolOf(service protocol.Service) *pool {
	if p := b.pools[service]; p != nil {
		return p
	}
	return noPool
}

// mean returns the mean load of a service's upstreams that accept requests.
func (b *Balancer) mean(service protocol.Service) float64 {
	p := b.poolOf(service)
	if len(p.ready) == 0 {
		return 0
	}
	return float64(p.load+b.omittedLoad[serviceIDOf(service)]) / float64(len(p.ready))
}

// addToPool puts an upstream into the pool of its service.
func (b *Balancer) addToPool(u *upstream) {
	p := b.pools[u.entry.Service]
	if p == nil {
		p = newPool()
		b.pools[u.entry.Service] = p
	}
	u.pool = p
	p.insert(u)
}

// rebuildPools makes all pools anew.
func (b *Balancer) rebuildPools() {
	b.pools = map[protocol.Service]*pool{}
	for _, u := range b.upstreams {
		p := b.pools[u.entry.Service]
		if p == nil {
			p = newPool()
			b.pools[u.entry.Service] = p
		}
		u.pool = p
		p.all = append(p.all, u)
		p.count(u, 1)
	}
	for _, p := range b.pools {
		slices.SortFunc(p.all, func(x, y *upstream) int { return cmp.Compare(x.entry.ID, y.entry.ID) })
		for _, u := range p.all {
			if u.entry.State == roster.Ready {
				p.ready = append(p.ready, u)
				p.keys = append(p.keys, u.key)
			}
		}
	}
}

// changeLoad changes the number of requests in flight on an upstream: this router's by own,
// and the other routers' by elsewhere.
func (u *upstream) changeLoad(own, elsewhere int) {
	u.own.InFlight += own
	u.elsewhere += elsewhere
	if u.pool != nil && u.entry.State == roster.Ready {
		u.pool.load += own + elsewhere
		u.pool.loadIn[u.entry.DataCentre] += own + elsewhere
	}
}

// Builds returns the builds of all upstreams that haven't left, by service.
func (b *Balancer) Builds() []builds.Pair {
	var pairs []builds.Pair
	for service, p := range b.pools {
		for build := range p.builds {
			pairs = append(pairs, builds.Pair{Service: service, Build: build})
		}
	}
	return pairs
}
