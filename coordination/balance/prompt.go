package balance

import (
	"math/rand/v2"

	"endiveplank/protocol"
)

// pickForPrompt chooses the engine of a prompt: one of its cache holders within the bound;
// else the first within the bound by rendezvous hashing. That order is the same on every
// router and after every restart, so routers that have lost their view of the cache holders
// still send most prompts to them.
func (b *Balancer) pickForPrompt(random *rand.Rand, found *candidates, mean, bound float64) Choice {
	r := found.request
	holders := b.holdersOf(found, r.Prompt)
	chosen, reason := b.pickReplica(mean, found, holders), ReasonReplica
	if chosen == nil {
		chosen, reason = pickHolder(random, bound, holders), ReasonCacheHolder
	}
	if chosen == nil {
		chosen, reason = pickInOrder(random, bound, r.Prompt, found, len(holders)), ReasonRendezvous
	}
	if chosen == nil {
		chosen, reason = b.leastLoaded(random, found), ReasonLeastLoaded
	}
	choice := newChoice(chosen, reason, mean)
	choice.CopyFrom = b.copySourceFor(found.now, r, chosen)
	b.cacheHolders.add(found.now, r.Prompt, chosen)
	return choice
}

// pickHolder draws one of the cache holders within the bound, nil if there is none. The
// chance of a holder is proportional to how far its load is below the bound.
//
// All routers know much the same loads, as of the last reports. If each chose the holder
// with the least load, a prompt that is in demand would go from all of them to one engine
// until the next reports, and take it beyond the operators' bound within tenths of a
// second.
func pickHolder(random *rand.Rand, bound float64, holders []*upstream) *upstream {
	sum := 0.0
	for _, u := range holders {
		sum += headroom(bound, u)
	}
	point := random.Float64() * sum
	for _, u := range holders {
		if point -= headroom(bound, u); point < 0 {
			return u
		}
	}
	return nil
}

// headroom returns how many requests an upstream may get until its load exceeds a bound.
func headroom(bound float64, u *upstream) float64 {
	if float64(u.load()) > bound {
		return 0
	}
	return bound + 1 - float64(u.load())
}

// alternatives is how many engines a prompt is spread over that needs another holder
// although it has several.
const alternatives = 2

// pickInOrder returns the first candidate within the bound by rendezvous hashing of a
// prompt, nil if there is none. Of a prompt that is in demand, with several holders beyond
// the bound, all routers would send the same next engine everything until its load is
// known, so it draws one of the first two.
func pickInOrder(random *rand.Rand, bound float64, prompt uint64, found *candidates, holders int) *upstream {
	first, second := firstInOrder(bound, prompt, found)
	if holders < alternatives || second == nil || random.IntN(alternatives) == 0 {
		return first
	}
	return second
}

// firstInOrder returns the first two candidates within the bound by rendezvous hashing.
// The order is the same on every router, and when an upstream joins or leaves, only the
// prompts move that belong to it.
func firstInOrder(bound float64, prompt uint64, found *candidates) (first, second *upstream) {
	firstRank, secondRank := uint64(0), uint64(0)
	mixed := protocol.Mix(prompt)
	for at, key := range found.pool.keys {
		r := protocol.Mix(key ^ mixed)
		if second != nil && r <= secondRank {
			continue
		}
		u := found.pool.ready[at]
		if float64(u.load()) > bound || !found.has(u) {
			continue
		}
		if first == nil || r > firstRank {
			first, firstRank, second, secondRank = u, r, first, firstRank
		} else {
			second, secondRank = u, r
		}
	}
	return first, second
}
