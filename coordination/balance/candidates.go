package balance

import (
	"iter"
	"slices"
	"time"
)

// capacityDivisor sets the share of a service's upstreams, one in capacityDivisor, that
// must have capacity for a request.
const capacityDivisor = 2

// class says which upstreams a request may go to.
type class uint8

const (
	// available upstreams are untried and don't fail often.
	available class = iota
	// untried upstreams may be unavailable.
	untried
	// tried upstreams got the request before.
	tried
)

// candidates are the upstreams that may take a request: those of a pool that are ready,
// not evacuated, not paused, admitted, and of a class. No list of them is made, because
// almost all upstreams of a large pool are candidates.
type candidates struct {
	pool     *pool
	balancer *Balancer
	now      time.Duration
	request  Request
	class    class
	// evacuated and cold count the upstreams that were passed over, as in Choice.
	evacuated, cold int
	// throttled says that some were passed over by Request.Throttled.
	throttled bool
	// undoubtedOnly leaves out upstreams of Request.Doubted builds.
	undoubtedOnly bool
	// reachableOnly leaves out upstreams that this router can't open connections to.
	reachableOnly bool
	// sharedLimit is how many requests all routers together may have on each candidate that
	// isn't cold, 0 for no such limit.
	sharedLimit int
	// limit is the load from which on an upstream is no candidate, 0 for none.
	limit int
	// maxExcess is the highest failure rate beyond bestRate that a candidate may have, if
	// reliableOnly is set.
	reliableOnly        bool
	bestRate, maxExcess float64
}

// usable returns the upstreams of a service that may take the request: those that are
// ready, untried and available; if there are none, the untried ones, although they are
// unavailable; and if all were tried, the tried ones, if the request allows it. Upstreams in
// evacuated data centres, paused ones, and those that the request isn't admitted to are no
// last resort either.
//
// The tried ones count for a service that has one upstream left, on which one request in
// seven fails by itself: with no other upstream for the retry, the caller would get no
// answer, not even the upstream's error, although a third of the retries are served.
func (b *Balancer) usable(now time.Duration, r Request) candidates {
	c := candidates{pool: b.poolOf(r.Service), balancer: b, now: now, request: r}
	for dataCentre := range b.evacuated {
		c.evacuated += c.pool.readyIn[dataCentre]
	}
	c.cold = c.countCold()
	if c.undoubtedOnly = len(r.Doubted) > 0; c.undoubtedOnly && !c.any() {
		c.undoubtedOnly = false
	}
	c.reachableOnly = b.prefersReachable(c.pool)
	if c.any() {
		return c
	}
	if c.reachableOnly = false; c.any() || c.throttled {
		// Where those that could take the request are throttled, it is refused at once:
		// the others are known to fail.
		return c
	}
	if len(r.Tried) == 0 {
		b.noteCommonFailure(now, c.pool)
	}
	if c.class = untried; c.any() || !r.AllowTried {
		return c
	}
	c.class = tried
	return c
}

// countCold returns how many upstreams the request isn't admitted to.
func (c *candidates) countCold() int {
	if c.request.Admits == nil {
		return 0
	}
	cold := 0
	for _, u := range c.pool.ready {
		if !c.balancer.evacuated[u.entry.DataCentre] && !c.isOtherBuild(u) && !c.request.Admits(u.entry.ID) {
			cold++
		}
	}
	return cold
}

// has reports whether an upstream of the pool that is ready is a candidate.
func (c *candidates) has(u *upstream) bool {
	if u.isPaused(c.now) || c.reachableOnly && u.unreachable || c.isOtherBuild(u) {
		return false
	}
	if c.balancer.evacuated[u.entry.DataCentre] || c.request.Admits != nil && !c.request.Admits(u.entry.ID) {
		return false
	}
	if c.sharedLimit > 0 && !c.isCold(u) && !c.balancer.hasShareLeft(u, c.sharedLimit) {
		return false
	}
	if c.limit > 0 && u.load() >= c.limit {
		return false
	}
	if wasTried := slices.Contains(c.request.Tried, u.entry.ID); wasTried != (c.class == tried) {
		return false
	}
	if c.request.Throttled != nil && c.request.Throttled(u.entry.ID) {
		c.throttled = true
		return false
	}
	if !u.suspect {
		return true
	}
	return (c.class != available || !u.health.isUnavailable(c.now)) && c.isReliable(u)
}

// isOtherBuild reports whether an upstream has a build that the request isn't sent to.
func (c *candidates) isOtherBuild(u *upstream) bool {
	if c.request.OnlyBuild && u.entry.Build != c.request.Build {
		return true
	}
	return c.undoubtedOnly && slices.Contains(c.request.Doubted, u.entry.Build)
}

// anyOfBuild reports whether an upstream that accepts requests has the request's build.
func (c *candidates) anyOfBuild() bool {
	return slices.ContainsFunc(c.pool.ready, func(u *upstream) bool { return !c.isOtherBuild(u) })
}

// isCold reports whether an upstream is cold, so that another limit holds for it.
func (c *candidates) isCold(u *upstream) bool {
	return c.request.IsCold != nil && c.request.IsCold(u.entry.ID)
}

// limitToShare leaves out upstreams of which this router has used up its share of a limit. It
// reports whether any is left.
func (c *candidates) limitToShare(limit int) bool {
	if limit > 0 {
		c.balancer.setPlaces(c.pool)
		c.sharedLimit = limit
	}
	return c.any()
}

// isReliable reports whether an upstream fails as rarely as candidates must.
func (c *candidates) isReliable(u *upstream) bool {
	return !c.reliableOnly || u.excessFailureRate(c.now, c.bestRate) <= c.maxExcess
}

// all iterates over the candidates, in the order of their IDs.
func (c *candidates) all() iter.Seq[*upstream] {
	return func(yield func(*upstream) bool) {
		for _, u := range c.pool.ready {
			if c.has(u) && !yield(u) {
				return
			}
		}
	}
}

// any reports whether there is a candidate.
func (c *candidates) any() bool {
	for range c.all() {
		return true
	}
	return false
}

// anyWithin reports whether the load of any candidate is within a bound.
func (c *candidates) anyWithin(bound float64) bool {
	for u := range c.all() {
		if float64(u.load()) <= bound {
			return true
		}
	}
	return false
}

// limitLoad leaves out upstreams whose load has reached a limit. It leaves out all if the
// others are fewer than half. If too few of the reachable ones are below the limit, those that
// this router can't reach are candidates too.
//
// Under an overload, and with many routers that exchange their loads only now and then,
// the few engines below the limit would otherwise get the requests of all routers until
// the next reports, and exceed the operators' load bound. Each upstream's own load is
// compared, not the mean: engines that are slower than others have queues even if the
// mean is low.
func (c *candidates) limitLoad(limit int) (enough bool) {
	if limit <= 0 {
		return c.any()
	}
	enough = c.setLimit(limit)
	if !enough && c.reachableOnly {
		// Other routers may reach those that this one can't open connections to.
		c.reachableOnly = false
		enough = c.setLimit(limit)
	}
	return enough
}

// setLimit leaves out upstreams whose load has reached a limit, and reports whether enough are left.
func (c *candidates) setLimit(limit int) bool {
	c.limit = 0
	all, below := 0, 0
	for u := range c.all() {
		all++
		if u.load() < limit {
			below++
		}
	}
	c.limit = limit
	return below > 0 && below*capacityDivisor >= all
}

// noneReason says why there is no candidate.
func (c *candidates) noneReason() Reason {
	switch {
	case c.throttled:
		return ReasonNoCapacity
	case len(c.pool.ready) > 0 && !c.anyOfBuild():
		return ReasonOtherBuild
	case c.cold > 0:
		return ReasonCold
	case c.balancer.nextPauseEnd(c.now, c.pool) > 0:
		return ReasonPaused
	case c.evacuated > 0:
		return ReasonEvacuated
	}
	return ReasonNoUpstream
}
