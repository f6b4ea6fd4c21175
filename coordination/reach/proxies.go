package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// provenTTL is how long a router that has carried a request is known to be able to.
	provenTTL = 3 * time.Second
	// wantedProven is how many proxies an isolated router looks for, so that its requests
	// spread over several.
	wantedProven = 4
	// unsuitableFor is how long a router isn't chosen after it couldn't carry a request.
	unsuitableFor = time.Second
	// proxyProbes is how many routers are asked at a time whether they can be proxies, and
	// proxyProbeInterval how often.
	proxyProbes        = 3
	proxyProbeInterval = 100 * time.Millisecond
)

// proxy is what is known of another router as a proxy.
type proxy struct {
	provenAt        time.Duration
	unsuitableUntil time.Duration
}

// isProven reports whether the router carried a request or said that it can a moment ago.
func (p *proxy) isProven(now time.Duration) bool {
	return p != nil && p.provenAt > 0 && now-p.provenAt < provenTTL
}

// isUnsuitable reports whether the router couldn't carry a request a moment ago.
func (p *proxy) isUnsuitable(now time.Duration) bool { return p != nil && now < p.unsuitableUntil }

// Proxies keeps which other routers can send requests to upstreams for this one. It is not
// safe for concurrent use.
type Proxies struct {
	routers  []protocol.RouterID
	known    map[protocol.RouterID]*proxy
	probedAt time.Duration
}

// NewProxies returns Proxies without routers.
func NewProxies() *Proxies { return &Proxies{known: map[protocol.RouterID]*proxy{}} }

// SetRouters replaces the list of other routers, sorted by ID.
func (p *Proxies) SetRouters(routers []protocol.RouterID) {
	p.routers = routers
	for id := range p.known {
		if _, listed := slices.BinarySearch(routers, id); !listed {
			delete(p.known, id)
		}
	}
}

// Proven records that a router can send requests for this one.
func (p *Proxies) Proven(now time.Duration, id protocol.RouterID) {
	if known := p.record(id); known != nil {
		*known = proxy{provenAt: max(now, 1)}
	}
}

// Unsuitable records that a router can't send requests for this one at the moment.
func (p *Proxies) Unsuitable(now time.Duration, id protocol.RouterID) {
	if known := p.record(id); known != nil {
		*known = proxy{unsuitableUntil: now + unsuitableFor}
	}
}

// record returns what is known of a router, nil if it isn't listed.
func (p *Proxies) record(id protocol.RouterID) *proxy {
	if _, listed := slices.BinarySearch(p.routers, id); !listed {
		return nil
	}
	known := p.known[id]
	if known == nil {
		known = &proxy{}
		p.known[id] = known
	}
	return known
}

// Choose returns the proxy for a request, one of the proven ones if there is any, else one of
// which nothing is known. tried are the routers that couldn't carry it. False means that there
// is none.
func (p *Proxies) Choose(now time.Duration, random *rand.Rand, tried []protocol.RouterID) (protocol.RouterID, bool) {
	var proven []protocol.RouterID
	for id, known := range p.known {
		if known.isProven(now) && !slices.Contains(tried, id) {
			proven = append(proven, id)
		}
	}
	if len(proven) > 0 {
		slices.Sort(proven)
		return proven[random.IntN(len(proven))], true
	}
	return p.draw(now, random, tried)
}

// draw returns a random router of which nothing is known, false if there is none.
func (p *Proxies) draw(now time.Duration, random *rand.Rand, except []protocol.RouterID) (protocol.RouterID, bool) {
	if len(p.routers) == 0 {
		return "", false
	}
	start := random.IntN(len(p.routers))
	for i := range p.routers {
		id := p.routers[(start+i)%len(p.routers)]
		known := p.known[id]
		if !known.isUnsuitable(now) && !known.isProven(now) && !slices.Contains(except, id) {
			return id, true
		}
	}
	return "", false
}

// Probes returns the routers to ask now whether they can send requests for this one, while it
// needs proxies and knows too few.
func (p *Proxies) Probes(now time.Duration, random *rand.Rand) []protocol.RouterID {
	if now-p.probedAt < proxyProbeInterval {
		return nil
	}
	p.probedAt = now
	proven := 0
	for _, known := range p.known {
		if known.isProven(now) {
			proven++
		}
	}
	var due []protocol.RouterID
	for len(due) < min(proxyProbes, wantedProven-proven) {
		id, found := p.draw(now, random, due)
		if !found {
			break
		}
		due = append(due, id)
	}
	return due
}

// AnyProven reports whether any router is known to be able to send requests for this one.
func (p *Proxies) AnyProven(now time.Duration) bool {
	for _, known := range p.known {
		if known.isProven(now) {
			return true
		}
	}
	return false
}
