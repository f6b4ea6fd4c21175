package balance

import (
	"maps"
	"math/rand/v2"
	"slices"

	"endiveplank/protocol"
)

// SetReachable records whether this router can open connections to an upstream. It is no part
// of the upstream's health: other routers may reach it, and their reports don't change it.
func (b *Balancer) SetReachable(id protocol.UpstreamID, reachable bool) {
	u := b.upstreams[id]
	if u == nil || u.unreachable == !reachable {
		return
	}
	if u.pool != nil {
		u.pool.countUnreachable(u, -1)
	}
	u.unreachable = !reachable
	if u.pool != nil {
		u.pool.countUnreachable(u, 1)
	}
}

// SetIsolated records whether this router has no path to any upstream.
func (b *Balancer) SetIsolated(isolated bool) { b.isolated = isolated }

// needsProxy reports whether a request to an upstream has to go through another router.
func (b *Balancer) needsProxy(u *upstream) bool { return b.isolated || u.unreachable }

// prefersReachable reports whether upstreams that this router can't open connections to are
// passed over. If it reaches fewer than half, they would get the requests of all: it uses
// proxies for the others instead, and each upstream gets what it would get without the fault.
func (b *Balancer) prefersReachable(p *pool) bool {
	return !b.isolated && p.unreachable > 0 && p.unreachable*capacityDivisor <= len(p.ready)
}

// Sample returns a random upstream that accepts requests, "" if there is none.
func (b *Balancer) Sample(random *rand.Rand) protocol.UpstreamID {
	ready := 0
	for _, p := range b.pools {
		ready += len(p.ready)
	}
	if ready == 0 {
		return ""
	}
	for range sampleTries {
		if id := b.readyAt(random.IntN(ready)); b.upstreams[id] != nil && !b.upstreams[id].unreachable {
			return id
		}
	}
	return b.readyAt(random.IntN(ready))
}

// sampleTries is how many upstreams are drawn at most to find one that isn't known to be
// unreachable.
const sampleTries = 16

// readyAt returns the ready upstream at a position among all of them.
func (b *Balancer) readyAt(at int) protocol.UpstreamID {
	for _, service := range slices.Sorted(maps.Keys(b.pools)) {
		p := b.pools[service]
		if at < len(p.ready) {
			return p.ready[at].entry.ID
		}
		at -= len(p.ready)
	}
	return ""
}
