package ratelimit

import (
	"math"
	"time"

	"endiveplank/coordination/demand"
)

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
	// Adopted says that the limit was taken from other routers' reports.
	Adopted bool
	// Limit is in requests a second over all routers: the new one, or the one that ended.
	Limit    float64
	Capacity Capacity
	// LateShare is the share of the latest answers that were late.
	LateShare float64
	// Arrived is the demand of each rank in requests a second.
	Arrived [demand.Ranks]float64
}

// Limiter learns the rate limit of one service. It is not safe for concurrent use.
type Limiter struct {
	settings Settings
	totals   demand.Totals
	capacity Capacity
	// arrived is the demand of all ranks in requests a second.
	arrived    float64
	answers    answers
	load       load
	membership membership
	// perSlot is the limit of each slot in requests a second without the correction for the
	// requests in flight, 0 if there is no limit.
	perSlot float64
	// allowedWaiting is how many requests may wait for each slot.
	allowedWaiting float64
	observed       bool
	observedAt     time.Duration
	decidedAt      time.Duration
	// ampleSince is since when the limit has been well above the demand.
	ample      bool
	ampleSince time.Duration
	shares     shares
}

// New returns a Limiter without a limit.
func New(settings Settings) *Limiter { return &Limiter{settings: settings} }

// Observe takes the sums of all routers' counts, the capacity, and the limit that other routers
// report (requests a second over the fleet, 0 for none). It is called some twenty times a second.
// It returns a Change if the limit came into force or ended.
func (l *Limiter) Observe(now time.Duration, totals demand.Totals, capacity Capacity, reported float64) (Change, bool) {
	l.totals, l.capacity = totals, capacity
	l.arrived = sum(totals.Arrived)
	l.load.observe(now, capacity)
	l.rescale(now)
	change, changed := l.decide(now, reported)
	if l.perSlot > 0 {
		l.shares = newShares(l.settings, l.Limit(now), totals)
	}
	return change, changed
}

// Limit returns the limit in requests a second over all routers, 0 if there is none.
func (l *Limiter) Limit(now time.Duration) float64 {
	return l.base() * (1 + l.correction())
}

// base returns the limit without the correction for the requests in flight.
func (l *Limiter) base() float64 { return l.perSlot * float64(l.capacity.Slots) }

// correction returns by what part the limit is raised or lowered to bring the requests in flight
// to the number that is allowed.
func (l *Limiter) correction() float64 {
	if l.perSlot == 0 || l.membership.alone {
		return 0
	}
	excess := (1 + l.allowedWaiting - l.load.perSlot) / (l.perSlot * correctionTime.Seconds())
	return min(max(excess, -maxCorrectionDown), maxCorrectionUp)
}

func sum(rates [demand.Ranks]float64) float64 {
	total := 0.0
	for _, rate := range rates {
		total += rate
	}
	return total
}

// load is a short average of the requests in flight for each slot.
type load struct {
	perSlot float64
	slots   int
	// decided is perSlot at the last decision.
	decided float64
	at      time.Duration
	// changedAt is when the number of slots last changed.
	changedAt time.Duration
}

func (o *load) observe(now time.Duration, capacity Capacity) {
	if capacity.Slots != o.slots {
		o.slots, o.changedAt = capacity.Slots, now
	}
	if capacity.Slots == 0 {
		o.perSlot = 0
		return
	}
	weight := 1 - math.Exp(-float64(now-o.at)/float64(loadTimeConstant))
	o.perSlot += weight * (float64(capacity.InFlight)/float64(capacity.Slots) - o.perSlot)
	o.at = now
}

// answers separates the answers since the last decision from the decaying rates.
type answers struct {
	inTime, late float64
	at           time.Duration
	// lateShare is the share of the answers since the last decision that were late.
	lateShare float64
}

func (a *answers) observe(now time.Duration, totals demand.Totals) {
	keep := math.Exp(-float64(now-a.at) / float64(countTimeConstant))
	inTime := max(totals.InTime-a.inTime*keep, 0)
	late := max(totals.Late-a.late*keep, 0)
	if inTime+late > 0 {
		a.lateShare = late / (inTime + late)
	}
	a.inTime, a.late, a.at = totals.InTime, totals.Late, now
}

// membership notes whose counts are in the sums.
type membership struct {
	// routers is the number of routers that the limit is for, and arrived their demand when
	// the sums were last of as many routers, at confirmedAt.
	routers     int
	arrived     float64
	confirmedAt time.Duration
	// last is the latest number of routers, and grownAt when it last grew.
	last    int
	grownAt time.Duration
	// alone says that the counts of the other routers have left the sums.
	alone bool
}
