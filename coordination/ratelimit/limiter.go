package ratelimit

import (
	"math"
	"slices"
	"time"

	"endiveplank/coordination/demand"
)

// Settings are how a limit is divided. Both are parts from 0 to 1.
type Settings struct {
	// Reserve is the part of the limit that is left to the most urgent rank alone.
	Reserve float64
	// Floor is the part of what a rank or customer would get if all were served alike that it
	// gets in any case.
	Floor float64
}

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
	arrived float64
	trends  [demand.Ranks]trend
	// trendFactor is the latest demand of each rank as a multiple of the decaying rate.
	trendFactor [demand.Ranks]float64
	admitted    trend
	answers     answers
	load        load
	membership  membership
	// perSlot is the limit of each slot in requests a second without the correction for the
	// requests in flight, 0 if there is no limit.
	perSlot float64
	// allowedLoad is how many requests may be in flight for each slot.
	allowedLoad float64
	observed    bool
	decidedAt   time.Duration
	// ampleSince is when the limit rose well above the demand, if ample is set.
	ample      bool
	ampleSince time.Duration
	shares     shares
	pace       pace
}

// New returns a Limiter without a limit.
func New(settings Settings) *Limiter { return &Limiter{settings: settings} }

// Observe takes the sums of all routers' counts, the capacity, and the limit that other routers
// report (requests a second over the fleet, 0 for none). It is called some twenty times a second.
// It returns a Change if the limit came into force or ended.
func (l *Limiter) Observe(now time.Duration, totals demand.Totals, capacity Capacity, reported float64) (Change, bool) {
	l.totals, l.capacity = totals, capacity
	l.load.expect(now, l.correction()*l.perSlot)
	l.load.observe(now, capacity)
	l.rescale(now)
	change, changed := l.decide(now, reported)
	if l.perSlot > 0 {
		l.shares = newShares(l.settings, l.allowed(), l.latest())
	}
	return change, changed
}

// Limit returns the learned limit in requests a second over all routers, 0 if there is none. It is
// what other routers are told; the correction for the requests in flight isn't in it.
func (l *Limiter) Limit() float64 { return l.perSlot * float64(l.capacity.Slots) }

// AllowedLoad returns how many requests may be in flight for each slot, 0 if there is no limit or the
// counts of the other routers aren't known.
func (l *Limiter) AllowedLoad() float64 {
	if l.perSlot == 0 || l.membership.alone {
		return 0
	}
	return l.allowedLoad
}

// allowed returns how many requests a second are admitted by all routers together.
func (l *Limiter) allowed() float64 {
	return l.perSlot * float64(l.capacity.Slots) * (1 + l.correction())
}

// correction returns by what part the limit is raised or lowered to bring the requests in flight
// to the number that is allowed.
func (l *Limiter) correction() float64 {
	if l.perSlot == 0 || l.membership.alone {
		return 0
	}
	excess := (l.allowedLoad - l.load.perSlot - l.load.expected) / (l.perSlot * l.correctionTime())
	return min(max(excess, -maxCorrectionDown), maxCorrectionUp)
}

// correctionTime returns the time in seconds within which the requests in flight are brought to the
// allowed number.
func (l *Limiter) correctionTime() float64 {
	return max(minCorrectionTime.Seconds(), workPart/l.perSlot)
}

// load is a short average of the requests in flight for each slot.
type load struct {
	perSlot float64
	// taken is a longer average, to judge whether load is the cause of late answers.
	taken float64
	// busy is the part of the slots that is in use, averaged as the counts are.
	busy  float64
	slots int
	// expected is by how much corrections that reports don't show yet will change perSlot.
	expected float64
	// decided is perSlot at the last decision.
	decided float64
	at      time.Duration
	// aboveAt is when it was last above the allowed one.
	aboveAt time.Duration
	// changedAt is when the number of slots last changed.
	changedAt time.Duration
}

// expect takes the correction since the last observation, in requests a second on each slot.
func (o *load) expect(now time.Duration, correction float64) {
	passed := now - o.at
	if o.at == 0 || passed <= 0 {
		return
	}
	o.expected = (o.expected + correction*passed.Seconds()) * (1 - weight(passed, reportAge))
}

func (o *load) observe(now time.Duration, capacity Capacity) {
	if capacity.Slots != o.slots {
		o.slots, o.changedAt = capacity.Slots, now
	}
	if capacity.Slots == 0 {
		o.perSlot, o.taken, o.busy = 0, 0, 0
		return
	}
	latest := float64(capacity.InFlight) / float64(capacity.Slots)
	o.perSlot += weight(now-o.at, loadTimeConstant) * (latest - o.perSlot)
	o.taken += weight(now-o.at, takenTimeConstant) * (latest - o.taken)
	o.busy += weight(now-o.at, demand.TimeConstant) * (min(latest, 1) - o.busy)
	o.at = now
}

// weight returns the weight of a value in an average that it enters after some time.
func weight(passed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-float64(passed)/float64(timeConstant))
}

// trend estimates the latest value of a decaying rate, so that a change needn't last as long as its
// time constant until it is known.
type trend struct {
	// before are the last two measurements.
	before [2]measurement
	// latest is the rate since the one before the last.
	latest float64
}

// measurement is a rate at a time, summed over a number of routers.
type measurement struct {
	rate    float64
	at      time.Duration
	routers int
}

// observe takes the decaying rate, summed over a number of routers, and returns an estimate of the
// latest rate. It differs from the decaying one only as far as their difference is statistically
// significant, and not if routers have joined or left since the measurement before: what they add or
// take away is no change of the rate.
func (t *trend) observe(now time.Duration, rate float64, routers int) float64 {
	oldest := t.before[0]
	t.before = [2]measurement{t.before[1], {rate, now, routers}}
	t.latest = rate
	keep := math.Exp(-float64(now-oldest.at) / float64(demand.TimeConstant))
	if !sameRouters(oldest.routers, routers) || oldest.rate == 0 || rate == 0 || keep > maxTrendKeep {
		return rate
	}
	t.latest = max(rate-keep*oldest.rate, 0) / (1 - keep)
	variance := arrivalNoise / (rate * (now - oldest.at).Seconds())
	factor := 1 + significant(t.latest/rate-1, variance)
	return rate * min(max(factor, 1/maxTrend), maxTrend)
}

// sameRouters reports whether sums over two numbers of routers can be compared. A difference of one in
// twenty is allowed, as a rolling restart of a large fleet always has a small one: it changes the latest
// rate by a fifth at most.
func sameRouters(x, y int) bool { return 20*max(x-y, y-x) <= max(x, y) }

// significant shrinks a difference towards 0, the more the larger its variance by chance is.
func significant(difference, variance float64) float64 {
	square := difference * difference
	return difference * square / (square + variance)
}

// latest returns totals with the latest demand.
func (l *Limiter) latest() demand.Totals {
	totals := l.totals
	before := demand.Sum(totals.Arrived)
	for rank := range totals.Arrived {
		totals.Arrived[rank] *= l.trendFactor[rank]
	}
	if before == 0 {
		return totals
	}
	factor := demand.Sum(totals.Arrived) / before
	totals.Customers = slices.Clone(totals.Customers)
	for n := range totals.Customers {
		totals.Customers[n].Arrived *= factor
	}
	totals.RestArrived *= factor
	return totals
}

// observeDemand estimates the latest demand.
func (l *Limiter) observeDemand(now time.Duration) {
	l.arrived = 0
	for rank, arrived := range l.totals.Arrived {
		latest := l.trends[rank].observe(now, arrived, l.totals.Routers)
		l.trendFactor[rank] = 1
		if arrived > 0 {
			l.trendFactor[rank] = latest / arrived
		}
		l.arrived += latest
	}
	l.admitted.observe(now, demand.Sum(l.totals.Admitted), l.totals.Routers)
}

// answers separates the answers since the last decision from the decaying rates.
type answers struct {
	inTime, late float64
	at           time.Duration
	// latest is the number of answers since the last decision, and lateShare the share of them that
	// were late.
	latest, lateShare float64
}

func (a *answers) observe(now time.Duration, totals demand.Totals) {
	keep := math.Exp(-float64(now-a.at) / float64(demand.TimeConstant))
	inTime := max(totals.InTime-a.inTime*keep, 0)
	late := max(totals.Late-a.late*keep, 0)
	a.latest = (inTime + late) * demand.TimeConstant.Seconds()
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
