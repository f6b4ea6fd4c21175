package balance

import "math"

// Position is a router's place among all routers, in an order that all of them know.
type Position struct {
	Index, Routers int
}

// SetPosition sets this router's place among all routers.
func (b *Balancer) SetPosition(position Position) { b.position = position }

// sharedLimit returns how many requests all routers together may have on an upstream for a
// prompt to be sent there, 0 for no such limit.
//
// The operators' bound is by the mean load of all upstreams. If those that aren't evacuated or
// cold are fewer than one in Multiple, their load grows faster than the bound, and no way of
// spreading the requests keeps them within it: some have to be refused. By what routers know of
// each other's requests, old by up to a report interval, too few are refused and then too
// many. So each router gets a share of each upstream's limit, and needs no news to keep it.
//
// Plain requests end before such a share helps. A share smaller than one upstream for each
// router would leave most routers without any.
func (b *Balancer) sharedLimit(found *candidates) int {
	ready := len(found.pool.ready)
	left := ready - found.evacuated - found.cold
	if !found.request.HasPrompt || found.evacuated == 0 || float64(left)*b.settings.Multiple >= float64(ready) {
		return 0
	}
	carried := float64(b.loadOutsideEvacuated(found))
	bound := b.settings.Multiple*carried/float64(ready) + b.settings.Slack
	if carried/float64(left)+usualExcess(carried/float64(left)) < bound {
		return 0
	}
	limit := int(bound)
	if b.position.Routers == 0 || limit*left < b.position.Routers {
		return 0
	}
	return limit
}

// usualExcess returns how far the load of a few upstreams in a hundred exceeds the mean where
// requests are spread at random: two standard deviations of a Poisson distribution.
func usualExcess(mean float64) float64 { return 2 * math.Sqrt(mean) }

// loadOutsideEvacuated returns the requests in flight on upstreams that aren't evacuated. What
// still ends in evacuated data centres is left out, as it raises the mean for a moment only.
func (b *Balancer) loadOutsideEvacuated(found *candidates) int {
	load := found.pool.load + b.omittedLoad[serviceIDOf(found.request.Service)]
	for dataCentre := range b.evacuated {
		load -= found.pool.loadIn[dataCentre]
	}
	return load
}

// hasShareLeft reports whether this router may send another request to an upstream of which all
// routers together may have some in flight.
//
// Routers and upstreams are laid out on a ring, evenly spaced, and an upstream takes requests of
// the routers that follow it. So the shares of all routers add up to the limit, and every router
// has about as much of all upstreams together as any other.
func (b *Balancer) hasShareLeft(u *upstream, limit int) bool {
	routers := b.position.Routers
	start := u.place * routers / max(u.pool.places, 1)
	behind := (b.position.Index - start + routers) % routers
	share := limit / routers
	if behind < limit%routers {
		share++
	}
	return u.own.InFlight < share && u.load() < limit
}

// setPlaces numbers the upstreams of a pool that are ready and not evacuated.
func (b *Balancer) setPlaces(p *pool) {
	if p.placesSet {
		return
	}
	p.places, p.placesSet = 0, true
	for _, u := range p.ready {
		if !b.evacuated[u.entry.DataCentre] {
			u.place = p.places
			p.places++
		}
	}
}
