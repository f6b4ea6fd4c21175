package loadlimit

import (
	"time"

	"endiveplank/protocol"
)

// Limiter limits the load of one service's upstreams. It is not safe for concurrent use.
type Limiter struct {
	curve  LatencyCurve
	shares *FairShares
}

// NewLimiter returns a Limiter that knows no limit.
func NewLimiter() *Limiter { return &Limiter{shares: NewFairShares()} }

// Arrived records a customer's request, and returns the load from which on upstreams
// don't get it.
func (l *Limiter) Arrived(now time.Duration, customer protocol.CustomerID) int {
	l.shares.Arrived(now, customer)
	return l.LimitFor(now, customer)
}

// LimitFor returns the load from which on upstreams don't get a customer's request, without
// counting a request.
func (l *Limiter) LimitFor(now time.Duration, customer protocol.CustomerID) int {
	return l.shares.Limit(now, customer, l.curve.Limit(now))
}

// AdmittedLimit returns the load from which on upstreams don't get a request that is within its
// customer's share of a rate limit that all routers keep together. It counts no request. allowed is
// the load that the rate limit allows, 0 if that isn't known. A router whose own limit is lower would
// get no requests through while the others keep the upstreams above it, and so learn no higher one.
func (l *Limiter) AdmittedLimit(now time.Duration, allowed int) int {
	return withHeadroom(max(l.curve.Limit(now), allowed))
}

// Admitted records that a request got an upstream.
func (l *Limiter) Admitted(now time.Duration) { l.shares.Admitted(now) }

// Record counts an answer of an upstream that had a given load; timely says whether
// it began in time.
func (l *Limiter) Record(now time.Duration, load int, timely bool) { l.curve.Record(now, load, timely) }

// Limit returns the load from which on answers begin late, Unlimited if there is none.
func (l *Limiter) Limit(now time.Duration) int { return l.curve.Limit(now) }
