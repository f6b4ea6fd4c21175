package ratelimit

import "time"

// Settings are the parts of the limit that don't follow the order of urgency.
type Settings struct {
	// Reserve is the part of the limit that is left to the most urgent rank alone.
	Reserve float64
	// Floor is the part of what a rank or customer would get if all were served alike that it
	// gets in any case.
	Floor float64
}

// DefaultSettings returns the usual settings.
func DefaultSettings() Settings { return Settings{Reserve: 0.05, Floor: 0.3} }

// Capacity is what the upstreams of a service announce, and the load on them.
type Capacity struct {
	// Slots is how many requests the ready upstreams run at once, 0 if they don't announce it.
	Slots int
	// InFlight is how many requests all routers have in flight on them.
	InFlight int
}

// Change is a change of a Limiter's assessment, with its inputs, for the log.
type Change struct {
	// Limited says that a limit came into force, otherwise that it was lifted.
	Limited bool
	// Limit is in requests a second over all routers: the new one, or the one that ended.
	Limit    float64
	Capacity Capacity
	// LateShare is the share of the latest answers that were late.
	LateShare float64
	// Arrived is the demand of each rank in requests a second.
	Arrived [Ranks]float64
	// Adopted says that the limit was taken from other routers' reports.
	Adopted bool
}

// Limiter learns the rate limit of one service. It is not safe for concurrent use.
type Limiter struct {
	settings Settings
	totals   Totals
	capacity Capacity
	// perSlot is the limit of each slot in requests a second, 0 if there is no limit.
	perSlot float64
	shares  shares
}

// New returns a Limiter without a limit.
func New(settings Settings) *Limiter { return &Limiter{settings: settings} }

// Observe takes the sums of all routers' counts, the capacity, and the limit that other routers
// report (requests a second over the fleet, 0 for none). It is called some twenty times a second.
// It returns a Change if the limit came into force or ended.
func (l *Limiter) Observe(now time.Duration, totals Totals, capacity Capacity, reported float64) (Change, bool) {
	l.totals, l.capacity = totals, capacity
	return Change{}, false
}

// Limit returns the limit in requests a second over all routers, 0 if there is none.
func (l *Limiter) Limit(now time.Duration) float64 {
	return l.perSlot * float64(l.capacity.Slots)
}
