package loadlimit

import (
	"maps"
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
)

const (
	// demandTimeConstant is the time constant with which customers' demand decays: a
	// surge shows within a second, and passes within a few.
	demandTimeConstant = 2 * time.Second
	// levelTTL is how long a computed FairShares.level is used, and the minimum time
	// between two decays of the demand: the duration of a few requests.
	levelTTL = 50 * time.Millisecond
	// minDemand is the demand, in requests weighted by age, below which a customer is
	// dropped.
	minDemand = 0.01
	// headroomShare and headroomRoots are how far customers within their share may exceed
	// a limit. The share of the limit covers what other routers send until the next load
	// reports; the multiple of the limit's square root, a minimum, covers the random
	// variation of a load around its mean.
	headroomShare = 0.25
	headroomRoots = 1.5
)

// FairShares finds the customers that send more than their share of the requests that are
// admitted. It is not safe for concurrent use.
//
// One customer may send many times its usual rate, and more than all upstreams can do.
// With the same limit for every request, the customer that sends most would be served
// most, and most requests of all others would be refused for a surge that isn't theirs. A
// customer's share is its demand, up to a level that is the same for all (max-min
// fairness): no customer gets more by sending more while another gets less than its
// demand.
type FairShares struct {
	updatedAt time.Duration
	demand    map[protocol.CustomerID]float64
	admitted  float64
	// level is the demand up to which customers are within their share, as computed at
	// levelAt.
	level   float64
	levelAt time.Duration
}

// NewFairShares returns FairShares without customers.
func NewFairShares() *FairShares {
	return &FairShares{demand: map[protocol.CustomerID]float64{}, level: math.Inf(1)}
}

// Arrived records a customer's request.
func (s *FairShares) Arrived(now time.Duration, customer protocol.CustomerID) {
	s.decay(now)
	s.demand[customer]++
}

// Admitted records that a request got an upstream.
func (s *FairShares) Admitted(now time.Duration) {
	s.decay(now)
	s.admitted++
}

// Limit returns the load limit of a customer's next request. It is higher than the
// service's limit for customers within their share.
func (s *FairShares) Limit(now time.Duration, customer protocol.CustomerID, limit int) int {
	s.decay(now)
	if now-s.levelAt >= levelTTL {
		s.level, s.levelAt = s.computeLevel(), now
	}
	if limit == Unlimited || s.demand[customer] > s.level {
		return limit
	}
	return withHeadroom(limit)
}

// withHeadroom returns the load limit of a request that is within its customer's share.
func withHeadroom(limit int) int {
	if limit == Unlimited {
		return limit
	}
	headroom := max(headroomShare*float64(limit), headroomRoots*math.Sqrt(float64(limit)))
	return limit + int(headroom)
}

// computeLevel returns the level at which the shares of all customers, each its demand up
// to the level, add up to what is admitted.
func (s *FairShares) computeLevel() float64 {
	remaining := s.admitted
	demands := slices.Sorted(maps.Values(s.demand))
	for i, demand := range demands {
		others := float64(len(demands) - i)
		if demand*others >= remaining {
			return remaining / others
		}
		remaining -= demand
	}
	return math.Inf(1)
}

// decay reduces the weight of demand and admissions by their age.
func (s *FairShares) decay(now time.Duration) {
	if now-s.updatedAt < levelTTL {
		return
	}
	keep := math.Exp(-float64(now-s.updatedAt) / float64(demandTimeConstant))
	s.updatedAt = now
	s.admitted *= keep
	for customer, demand := range s.demand {
		s.demand[customer] = demand * keep
	}
	maps.DeleteFunc(s.demand, func(_ protocol.CustomerID, demand float64) bool { return demand < minDemand })
}
