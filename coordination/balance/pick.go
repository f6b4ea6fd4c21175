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
	// Homes are the engines that keep the prompt's beginning, best first; none
	// for requests without a prompt.
	Homes []protocol.UpstreamID
	// Tried are upstreams that this request was sent to.
	Tried []protocol.UpstreamID
}

// Reason says why an upstream was chosen, for the log.
type Reason string

// The reasons.
const (
	// ReasonHome: it keeps the prompt's beginning.
	ReasonHome Reason = "home"
	// ReasonLeastLoaded: no upstream has less work.
	ReasonLeastLoaded Reason = "least-loaded"
	// ReasonHomeOverBound: the home has more work than the bound allows.
	ReasonHomeOverBound Reason = "home-over-bound"
	// ReasonLastResort: all upstreams that are left look bad.
	ReasonLastResort Reason = "last-resort"
	// ReasonNone: there is no upstream.
	ReasonNone Reason = "no-upstream"
)

// Choice is the upstream of a request.
type Choice struct {
	ID      protocol.UpstreamID
	Address string
	Reason  Reason
	// Load and Mean are what the choice was made from.
	Load int
	Mean float64
}

// usable returns the upstreams of a service that may take the request: ready
// and not tried, and of those the ones that aren't bad, if there are any.
func (b *Book) usable(now time.Duration, r Request) (list []*upstream, bad bool) {
	var well, rest []*upstream
	for _, u := range b.services[r.Service] {
		if u.entry.State != roster.Ready || slices.Contains(r.Tried, u.entry.ID) {
			continue
		}
		rest = append(rest, u)
		if !u.health.isBad(now) {
			well = append(well, u)
		}
	}
	if len(well) > 0 {
		return well, false
	}
	return rest, true
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

// bound returns the load up to which an upstream of a service may be chosen.
// One less than what may not be passed: other routers' latest requests aren't
// known yet.
func (b *Book) bound(mean float64) float64 {
	return b.settings.Multiple*mean + float64(b.settings.Slack) - 1
}

// Pick chooses the upstream of a request.
//
// Load: prompts whose beginning costs a tenth to half a second to read where it
// isn't cached, some of them asked for several times a second; plain requests
// of milliseconds. Harm prevented: a prompt that is read on many engines, and an
// engine that has a multiple of the others' work because its prompts are in
// demand. So the home is taken while its load is within the bound, then the
// next home, then the least loaded.
func (b *Book) Pick(now time.Duration, random *rand.Rand, r Request) Choice {
	list, bad := b.usable(now, r)
	if len(list) == 0 {
		return Choice{Reason: ReasonNone}
	}
	mean := b.mean(r.Service)
	reason := ReasonLeastLoaded
	if bad {
		reason = ReasonLastResort
	}
	for _, home := range r.Homes {
		at := slices.IndexFunc(list, func(u *upstream) bool { return u.entry.ID == home })
		if at < 0 {
			continue
		}
		if u := list[at]; float64(u.load()) <= b.bound(mean) {
			return choice(u, ReasonHome, mean)
		}
		reason = ReasonHomeOverBound
	}
	return choice(b.leastLoaded(random, list), reason, mean)
}

func choice(u *upstream, reason Reason, mean float64) Choice {
	return Choice{ID: u.entry.ID, Address: u.entry.Address, Reason: reason, Load: u.load(), Mean: mean}
}

// leastLoaded returns an upstream with the least work. Among equals the own
// data centre goes first, then chance, so that routers with the same view don't
// all take the same one.
func (b *Book) leastLoaded(random *rand.Rand, list []*upstream) *upstream {
	best := list[0]
	ties := 1
	for _, u := range list[1:] {
		switch order := b.compare(u, best); {
		case order < 0:
			best, ties = u, 1
		case order == 0:
			ties++
			if random.IntN(ties) == 0 {
				best = u
			}
		}
	}
	return best
}

// compare orders two upstreams by work, then by place.
func (b *Book) compare(x, y *upstream) int {
	if x.load() != y.load() {
		return x.load() - y.load()
	}
	return b.far(x) - b.far(y)
}

// far is 1 for an upstream in another data centre.
func (b *Book) far(u *upstream) int {
	if u.entry.DataCentre == b.settings.DataCentre {
		return 0
	}
	return 1
}

// rank orders upstreams for a key by rendezvous hashing: when one comes or goes,
// only the keys move that belong to it.
func rank(key uint64, id protocol.UpstreamID) uint64 {
	return xxhash.Sum64String(string(id)) ^ mix(key)
}

// mix spreads the bits of a key (the finaliser of SplitMix64).
func mix(key uint64) uint64 {
	key ^= key >> 30
	key *= 0xbf58476d1ce4e5b9
	key ^= key >> 27
	key *= 0x94d049bb133111eb
	return key ^ key>>31
}
