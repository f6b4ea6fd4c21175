package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// Request is what is known of a request when its upstream is chosen.
type Request struct {
	Service protocol.Service
	// Prompt is the key of the prompt's beginning, where HasPrompt is set.
	Prompt    uint64
	HasPrompt bool
	// Beginnings are the keys of the shorter beginnings that the prompt has in common
	// with others, the longest first.
	Beginnings []uint64
	// Once says that the request is lost if the upstream fails: it may not be
	// repeated, or was sent as often as it may be.
	Once bool
	// Limit is the least load with which an upstream doesn't get the request; 0 says
	// that there is none. Requests that were sent before have none: what was done for
	// them would be lost.
	Limit int
	// Tried are upstreams that this request was sent to.
	Tried []protocol.UpstreamID
	// Again says that it may go to one of those once more, where there is no other:
	// the last one answered, with an error.
	Again bool
}

// Reason says why an upstream was chosen, for the log.
type Reason string

// The reasons.
const (
	// ReasonKeeper: it keeps the prompt's beginning.
	ReasonKeeper Reason = "keeper"
	// ReasonOrder: none that keeps it is within the bound, and it is among the
	// first in the prompt's order.
	ReasonOrder Reason = "prompt-order"
	// ReasonLeastLoaded: it has little work, compared with the others.
	ReasonLeastLoaded Reason = "least-loaded"
	// ReasonLastResort: all upstreams that are left look bad.
	ReasonLastResort Reason = "last-resort"
	// ReasonNoRoom: too few upstreams have a load below the request's limit.
	ReasonNoRoom Reason = "no-room"
	// ReasonNone: there is no upstream.
	ReasonNone Reason = "no-upstream"
)

// Choice is the upstream of a request.
type Choice struct {
	ID      protocol.UpstreamID
	Address string
	Reason  Reason
	// CopyFrom is the address of an engine that keeps the prompt's beginning,
	// "" where the chosen one keeps it or nobody is known to.
	CopyFrom string
	// Load and Mean are what the choice was made from.
	Load int
	Mean float64
	// Limit is the request's limit, where there is no room for it.
	Limit int
	// PassedOver is how many upstreams weren't considered because they lose requests.
	PassedOver int
}

// usable returns the upstreams of a service that may take the request: ready
// and not tried, and of those the ones that aren't bad, if there are any.
//
// Load: a service has one upstream left, and one request in seven fails there by
// itself. Harm prevented: the caller gets no answer, not even the upstream's error,
// as no other one is left for the repeat; a third of the repeats are served.
func (b *Book) usable(now time.Duration, r Request) (list []*upstream, bad bool) {
	var well, rest, tried []*upstream
	for _, u := range b.services[r.Service] {
		switch {
		case u.entry.State != roster.Ready:
			continue
		case slices.Contains(r.Tried, u.entry.ID):
			tried = append(tried, u)
			continue
		}
		rest = append(rest, u)
		if !u.health.isBad(now) {
			well = append(well, u)
		}
	}
	switch {
	case len(well) > 0:
		return well, false
	case len(rest) == 0 && r.Again:
		return tried, true
	}
	return rest, true
}

// roomPart is the part of a service's upstreams, one in roomPart, that have to have
// room for a request.
const roomPart = 2

// below returns the upstreams whose load is below a limit, none if those are less
// than half.
//
// Load: much more than engines can do, on many routers that hear of each other now and
// then. Harm prevented: the few engines that look less busy than the limit get what all
// routers send until they hear of each other, beyond the operators' bound on load. Each
// one's own load is looked at, not the mean: engines that are slower than others have
// queues though the mean is low.
func below(limit int, list []*upstream) []*upstream {
	if limit <= 0 {
		return list
	}
	found := slices.DeleteFunc(slices.Clone(list), func(u *upstream) bool { return u.load() >= limit })
	if len(found)*roomPart < len(list) {
		return nil
	}
	return found
}

// mean returns the mean load of a service's upstreams that take work.
func (b *Book) mean(service protocol.Service) float64 {
	sum, count := 0, 0
	for _, u := range b.services[service] {
		if u.entry.State == roster.Ready {
			sum += u.load()
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return float64(sum) / float64(count)
}

// bound returns the load up to which an upstream is chosen while others have less: the
// operators' bound less one, as other routers' latest requests aren't known yet.
//
// Load: prompts in demand on engines that have room for many times their work. Harm
// prevented: passed over at less, engines have their prompts copied elsewhere, and no
// more callers are answered in time, as an engine with some more requests is as quick.
// Where work weighs more, operators set a lower multiple.
func (b *Book) bound(mean float64) float64 {
	return b.settings.Multiple*mean + float64(b.settings.Slack) - 1
}

// Pick chooses the upstream of a request.
//
// Load: prompts whose beginning costs a tenth to half a second to read where it
// isn't cached, some of them asked for several times a second; plain requests
// of milliseconds. Harm prevented: a prompt that is read on many engines, and an
// engine that has a multiple of the others' work because its prompts are in
// demand. So a prompt goes to an engine that keeps its beginning while that one's
// load is within a bound, and one that doesn't keep it copies it from one that
// does, which takes a tenth of the time that reading it again would. Upstreams that
// lose answers are passed over as far as the others have room; see reliable.
func (b *Book) Pick(now time.Duration, random *rand.Rand, r Request) Choice {
	list, bad := b.usable(now, r)
	if len(list) == 0 {
		return Choice{Reason: ReasonNone}
	}
	mean := b.mean(r.Service)
	if list = below(r.Limit, list); len(list) == 0 {
		return Choice{Reason: ReasonNoRoom, Limit: r.Limit, Mean: mean}
	}
	passedOver := 0
	if reliable := b.reliable(now, r, list); firstWithin(b.bound(mean), reliable) != nil {
		passedOver = len(list) - len(reliable)
		list = reliable
	}
	var made Choice
	switch {
	case r.HasPrompt:
		made = b.pickForPrompt(now, random, r, list, mean)
	case bad:
		made = choice(b.leastLoaded(now, random, list), ReasonLastResort, mean)
	default:
		made = choice(b.leastLoaded(now, random, list), ReasonLeastLoaded, mean)
	}
	made.PassedOver = passedOver
	return made
}

// pickForPrompt chooses the engine of a prompt: of those that keep its beginning
// the one with the least work, if that is within the bound; else the first
// within the bound in the prompt's own order. That order is the same on every
// router and after every restart, so routers that have forgotten everything send
// most prompts where their beginnings are kept.
func (b *Book) pickForPrompt(now time.Duration, random *rand.Rand, r Request, list []*upstream, mean float64) Choice {
	bound := b.bound(mean)
	chosen, reason := within(bound, b.keepersOf(now, r.Prompt, list)), ReasonKeeper
	if chosen == nil {
		chosen, reason = firstWithin(bound, inOrderOf(r.Prompt, list)), ReasonOrder
	}
	if chosen == nil {
		chosen, reason = b.leastLoaded(now, random, list), ReasonLeastLoaded
	}
	made := choice(chosen, reason, mean)
	made.CopyFrom = b.sourceFor(now, r, chosen)
	b.keepers.note(now, r.Prompt, chosen)
	return made
}

// firstWithin returns the first upstream whose load is within a bound, nil if
// there is none.
func firstWithin(bound float64, list []*upstream) *upstream {
	for _, u := range list {
		if float64(u.load()) <= bound {
			return u
		}
	}
	return nil
}

// within returns the upstream with the least work, the earlier one among
// equals, nil if none is within the bound.
func within(bound float64, list []*upstream) *upstream {
	var best *upstream
	for _, u := range list {
		if float64(u.load()) <= bound && (best == nil || u.load() < best.load()) {
			best = u
		}
	}
	return best
}

func choice(u *upstream, reason Reason, mean float64) Choice {
	return Choice{ID: u.entry.ID, Address: u.entry.Address, Reason: reason, Load: u.load(), Mean: mean}
}

// leastLoaded returns an upstream with little work: of those with the least of this
// router's own, one in the own data centre that has no more than the others; else one
// drawn by chance, the likelier the less work the other routers have there on average.
//
// Load: many routers send short requests to a few servers. Each hears of the others'
// work when those requests have long ended. Harm prevented: all routers take the server
// that looked idle, and then the next one, and requests queue with half of the places
// free. What a router has there itself it knows exactly, and an average over a few
// messages tells a slow server from a moment's queue.
func (b *Book) leastLoaded(now time.Duration, random *rand.Rand, list []*upstream) *upstream {
	least := list[0].own.InFlight
	for _, u := range list {
		least = min(least, u.own.InFlight)
	}
	idle := slices.DeleteFunc(slices.Clone(list), func(u *upstream) bool { return u.own.InFlight > least })
	if near := b.nearAndFree(now, idle); len(near) > 0 {
		return near[random.IntN(len(near))]
	}
	return b.draw(now, random, idle)
}

// nearMargin is by how much the other routers' average work on an upstream in the own
// data centre may exceed the mean.
const nearMargin = 0.5

// nearAndFree returns the upstreams in the own data centre on which the other routers
// have no more work than on all of them, on average.
func (b *Book) nearAndFree(now time.Duration, list []*upstream) []*upstream {
	sum := 0.0
	for _, u := range list {
		sum += b.usual(now, u)
	}
	mean := sum / float64(len(list))
	return slices.DeleteFunc(slices.Clone(list), func(u *upstream) bool {
		return u.entry.DataCentre != b.settings.DataCentre || b.usual(now, u) > mean+nearMargin
	})
}

// draw returns one of some upstreams by chance, in inverse proportion to the square of
// the other routers' average work: with less than the square a slow one gets too much,
// with more a moment's difference moves everybody.
func (b *Book) draw(now time.Duration, random *rand.Rand, list []*upstream) *upstream {
	weights := make([]float64, len(list))
	sum := 0.0
	for i, u := range list {
		work := 1 + b.usual(now, u)
		weights[i] = 1 / (work * work)
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

// rank is an upstream's rank in a prompt's order.
func rank(key uint64, id protocol.UpstreamID) uint64 {
	return mix(xxhash.Sum64String(string(id)) ^ mix(key))
}

// mix spreads the bits of a key (the finaliser of SplitMix64).
func mix(key uint64) uint64 {
	key ^= key >> 30
	key *= 0xbf58476d1ce4e5b9
	key ^= key >> 27
	key *= 0x94d049bb133111eb
	return key ^ key>>31
}
