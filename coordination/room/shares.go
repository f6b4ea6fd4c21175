package room

import (
	"maps"
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// demandMemory is the time constant with which what customers ask for is
	// forgotten: a surge shows within a second, and passes within a few.
	demandMemory = 2 * time.Second
	// levelLife is how long a computed level is used: some requests' time.
	levelLife = 50 * time.Millisecond
	// leastDemand is the demand, in requests weighed by age, below which a customer
	// is forgotten.
	leastDemand = 0.01
	// reservePart and reserveRoots are how far above a limit customers within their
	// share may go: a part of it, for what the others send until routers hear of each
	// other, and no less than some roots of it, by which a load differs from its mean
	// by chance.
	reservePart  = 0.25
	reserveRoots = 1.5
)

// Shares tells which customers ask for more than their share of what is served. It
// is not safe for concurrent use.
//
// Load: one customer sends many times its usual, and more than all upstreams can do.
// Harm prevented: each request meets the same limit, so who sends most is served most,
// and most requests of all the others are refused for a surge that isn't theirs.
// A customer's share is what it asks for, up to a level that is the same for all:
// nobody gets more by asking for more while somebody gets less than asked for.
type Shares struct {
	at     time.Duration
	demand map[protocol.CustomerID]float64
	served float64
	// level is the share, as computed at levelAt.
	level   float64
	levelAt time.Duration
}

// NewShares returns Shares that know of no customer.
func NewShares() *Shares {
	return &Shares{demand: map[protocol.CustomerID]float64{}, level: math.Inf(1)}
}

// Asked notes a request of a customer.
func (s *Shares) Asked(now time.Duration, customer protocol.CustomerID) {
	s.forget(now)
	s.demand[customer]++
}

// Served notes that a request found room.
func (s *Shares) Served(now time.Duration) {
	s.forget(now)
	s.served++
}

// Limit returns the limit of load that holds for a customer's next request: some more
// than the service's for customers within their share.
func (s *Shares) Limit(now time.Duration, customer protocol.CustomerID, limit int) int {
	s.forget(now)
	if now-s.levelAt >= levelLife {
		s.level, s.levelAt = s.share(), now
	}
	if limit == Unlimited || s.demand[customer] > s.level {
		return limit
	}
	reserve := max(reservePart*float64(limit), reserveRoots*math.Sqrt(float64(limit)))
	return limit + int(reserve)
}

// share returns the level at which all customers together, each with what it asks for
// up to the level, have what is served.
func (s *Shares) share() float64 {
	left := s.served
	demands := slices.Sorted(maps.Values(s.demand))
	for i, demand := range demands {
		others := float64(len(demands) - i)
		if demand*others >= left {
			return left / others
		}
		left -= demand
	}
	return math.Inf(1)
}

// forget weighs what is known by its age.
func (s *Shares) forget(now time.Duration) {
	if now-s.at < levelLife {
		return
	}
	keep := math.Exp(-float64(now-s.at) / float64(demandMemory))
	s.at = now
	s.served *= keep
	for customer, demand := range s.demand {
		s.demand[customer] = demand * keep
	}
	maps.DeleteFunc(s.demand, func(_ protocol.CustomerID, demand float64) bool { return demand < leastDemand })
}
