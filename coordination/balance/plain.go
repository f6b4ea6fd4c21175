package balance

import (
	"math"
	"math/rand/v2"
	"slices"

	"endiveplank/protocol"
)

// leastLoaded returns an upstream with a low load. Among those with the fewest requests
// of this router it prefers one in the router's own data centre whose load from other
// routers isn't above average; else it draws one at random, weighted by the other
// routers' average load.
//
// Many routers send short requests to a few servers, and learn of the others' requests
// when these have long ended. If they chose by that stale load, all routers would send to
// the server that looked idle, then all to the next one, and requests would queue with
// half of the capacity unused. A router knows its own load exactly, and an average over a
// few reports tells a slow server from a momentary queue.
func (b *Balancer) leastLoaded(random *rand.Rand, found *candidates) *upstream {
	idle := fewestOwn(found.sample(random, b.settings.DataCentre))
	if near := b.localCandidates(found, idle); len(near) > 0 {
		return near[random.IntN(len(near))]
	}
	return b.drawWeighted(found, random, idle)
}

// fewestOwn returns the upstreams with the fewest requests of this router. It reuses the
// list.
func fewestOwn(list []*upstream) []*upstream {
	least := math.MaxInt
	for _, u := range list {
		least = min(least, u.own.InFlight)
	}
	return slices.DeleteFunc(list, func(u *upstream) bool { return u.own.InFlight > least })
}

// maxCompared is the number of upstreams up to which a request without a prompt compares
// all. Of more it compares a random sample: among many, one with a low load is found
// nearly as well.
const maxCompared = 256

// sample returns all candidates, or some of them if the pool is large.
func (c *candidates) sample(random *rand.Rand, dataCentre protocol.DataCentre) []*upstream {
	if len(c.pool.ready) > maxCompared {
		if some := c.drawn(random, dataCentre); len(some) > 0 {
			return some
		}
	}
	list := make([]*upstream, 0, len(c.pool.ready))
	for u := range c.all() {
		list = append(list, u)
	}
	return list
}

// drawn returns a random sample of a large pool's candidates, some of them more than once.
// Half of the sample is from one data centre, if it has enough of the pool.
func (c *candidates) drawn(random *rand.Rand, dataCentre protocol.DataCentre) []*upstream {
	some := make([]*upstream, 0, maxCompared)
	for draw := 0; draw < maxCompared*len(c.pool.readyIn) && len(some) < maxCompared; draw++ {
		u := c.pool.ready[random.IntN(len(c.pool.ready))]
		local := draw >= maxCompared/2
		if (!local || u.entry.DataCentre == dataCentre) && c.has(u) {
			some = append(some, u)
		}
	}
	return some
}

// localMargin is how far the other routers' average load on an upstream in the own data
// centre may exceed the mean.
const localMargin = 0.5

// localCandidates returns the upstreams in the own data centre on which the other
// routers' average load isn't above the mean of the list by more than localMargin.
func (b *Balancer) localCandidates(found *candidates, list []*upstream) []*upstream {
	sum := 0.0
	for _, u := range list {
		sum += found.atItsSpeed(u, b.averageElsewhere(found.now, u))
	}
	mean := sum / float64(len(list))
	return slices.DeleteFunc(slices.Clone(list), func(u *upstream) bool {
		return u.entry.DataCentre != b.settings.DataCentre || found.atItsSpeed(u, b.averageElsewhere(found.now, u)) > mean+localMargin
	})
}

// drawWeighted returns a random upstream, with a weight inversely proportional to the
// square of the other routers' average load. With a lower power than the square a slow
// upstream gets too much; with a higher one, a momentary difference shifts all requests.
func (b *Balancer) drawWeighted(found *candidates, random *rand.Rand, list []*upstream) *upstream {
	weights := make([]float64, len(list))
	sum := 0.0
	for i, u := range list {
		load := found.atItsSpeed(u, 1+b.averageElsewhere(found.now, u))
		weights[i] = 1 / (load * load)
		sum += weights[i]
	}
	point := random.Float64() * sum
	for i, u := range list {
		if point -= weights[i]; point < 0 {
			return u
		}
	}
	return list[len(list)-1]
}
