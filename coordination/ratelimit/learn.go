package ratelimit

import (
	"math"
	"time"

	"endiveplank/coordination/demand"
)

const (
	// decisionInterval is the time between two decisions.
	decisionInterval = 250 * time.Millisecond
	// loadTimeConstant smooths the requests in flight, which reports tell at different times.
	loadTimeConstant = 50 * time.Millisecond
	// takenTimeConstant is that of the load by which a service is judged to be short.
	takenTimeConstant = 500 * time.Millisecond
	// reportAge is the typical age of the requests in flight that load reports state.
	reportAge = 250 * time.Millisecond
	// The requests in flight are brought to the allowed number within minCorrectionTime, or within
	// workPart of the time that a request takes on a slot if that is longer.
	minCorrectionTime = 250 * time.Millisecond
	workPart          = 0.3
	// maxCorrectionDown and maxCorrectionUp bound the correction, as parts of the limit.
	maxCorrectionDown = 0.8
	maxCorrectionUp   = 0.3
	// minAnswers is the least number of answers, in the last second or since the last decision, from
	// which a share of late answers is judged.
	minAnswers = 20
	// shortShare is the share of late answers above which a service is short of capacity.
	shortShare = 0.35
	// suddenShare is the share of late answers since the last decision above which a service is short
	// even if the average over a second isn't above shortShare yet.
	suddenShare = 0.5
	// takenPart is the part of the slots that must be taken for load to be the cause.
	takenPart = 0.5
	// shortDemand is the least demand at which a service is short, as a part of what the upstreams
	// could complete. Below it, late answers come from bursts, and a limit would refuse needlessly.
	shortDemand = 0.9
	// settleTime is how long no router must have joined the sums before a first limit: one learned
	// from some of the routers would be too low for all.
	settleTime = 350 * time.Millisecond
	// firstPart is the part of what upstreams answer that is the first limit.
	firstPart = 0.95
	// cutFactor cuts a limit while queues are long and don't get shorter.
	cutFactor = 0.85
	// The limit is cut by cutFactor while the load is above longQueue times the allowed one and above
	// shrinking times that of the last decision.
	longQueue = 2.0
	shrinking = 0.95
	// raiseRate is the part of the free slots that the limit is raised by in a decision.
	raiseRate = 0.8
	// integralRate is by what part a second the limit changes if the load is all above or below
	// the allowed one, and maxIntegral bounds this change in a decision.
	integralRate = 0.25
	maxIntegral  = 0.1
	// effectivePart detects the begin of a surge: the admitted rate exceeds the limit, and the latest
	// demand the average demand, by more than this factor. The queues then come from demand that the
	// shares didn't include yet, so the limit isn't cut for them.
	effectivePart = 1.15
	// minLoad and maxLoad bound the allowed load, in requests in flight per slot. In each decision it
	// falls by lessLoad times the share of late answers above regulatedShare, or rises by moreLoad
	// times what is missing to it.
	minLoad        = 0.75
	maxLoad        = 3.0
	lessLoad       = 0.4
	moreLoad       = 0.2
	regulatedShare = 0.35
	// The first allowed load is firstLoadPart of the load at which answers were late, within these
	// bounds, in requests per slot.
	firstLoadPart = 0.75
	minFirstLoad  = 1.5
	maxFirstLoad  = 2.0
	// drainedTime is how long after the load has come down to the allowed one answers are still late
	// because of what waited before.
	drainedTime = 500 * time.Millisecond
	// Above severeShare of late answers, the allowed load is multiplied by muchLessLoad in each
	// decision.
	severeShare  = 0.7
	muchLessLoad = 0.85
	// usedPart is the part of the allowed load that must be used for it to be raised.
	usedPart = 0.9
	// arrivalNoise is the variance of the number of arrivals divided by their mean; 1 would be Poisson,
	// and requests arrive in bursts. maxTrend bounds the factor between the latest demand and its
	// average. The change is measured over a time in which a rate decays to maxTrendKeep or less, at
	// least 0.22 s.
	arrivalNoise = 3.0
	maxTrend     = 2.5
	maxTrendKeep = 0.8
	// inTimePart is the part of the answers in time that a limit doesn't fall below.
	inTimePart = 0.9
	// unusedFactor is how far a limit may be above the demand. A limit ends once it has been
	// ampleFactor above it, and since then not below scarceFactor, for ampleTime.
	unusedFactor = 1.5
	ampleFactor  = 1.3
	scarceFactor = 1.1
	ampleTime    = 2 * time.Second
	// agreement is the part of the logarithmic difference to the mean reported limit that a decision
	// closes, and maxDisagreement bounds the factor between the two that it counts.
	agreement       = 0.3
	maxDisagreement = 2.0
	// aloneRaise and aloneCut change the limit in a decision of a router that knows only its own
	// counts.
	aloneRaise = 1.02
	aloneCut   = 0.95
	// If the number of routers in the sums changes by membershipFactor or more, this router has lost
	// or regained contact with many, and the limit is scaled by the change of the demand in the sums.
	// A smaller change that lasts membershipTime is of routers that stopped or started; their requests
	// go to the others, and the limit stays.
	membershipFactor = 2
	membershipTime   = time.Second
)

// decide changes the limit if it is time to.
func (l *Limiter) decide(now time.Duration, reported float64) (Change, bool) {
	if l.capacity.Slots == 0 {
		return l.lift()
	}
	if l.observed && now-l.decidedAt < decisionInterval {
		return Change{}, false
	}
	passed := now - l.decidedAt
	l.answers.observe(now, l.totals)
	l.observeDemand(now)
	l.decidedAt = now
	if !l.observed {
		l.observed = true
		passed = decisionInterval
	}
	switch {
	case l.perSlot > 0:
		l.regulate(now, passed)
		l.agree(reported)
		return l.liftIfAmple(now)
	case reported > 0 && reported < ampleFactor*l.arrived:
		return l.adopt(reported), true
	case l.isShort() && now-l.membership.grownAt >= settleTime:
		return l.start(), true
	}
	return Change{}, false
}

// isShort reports whether many answers are late because of load.
func (l *Limiter) isShort() bool {
	if l.load.taken < takenPart {
		return false
	}
	all := l.totals.InTime + l.totals.Late
	latest := l.answers.latest >= minAnswers && l.answers.lateShare > suddenShare
	late := latest || (all >= minAnswers && l.totals.Late > shortShare*all)
	return late && l.arrived >= shortDemand*l.estimate()
}

// estimate returns how many requests a second the upstreams would complete if all slots were in use:
// what they complete, divided by the part of the slots that is in use for it. A burst makes answers
// late at a demand that is well below it.
func (l *Limiter) estimate() float64 { return l.completed() / max(l.load.busy, takenPart) }

// completed returns how many requests a second the upstreams answer.
func (l *Limiter) completed() float64 {
	completed := l.totals.InTime + l.totals.Late
	if admitted := demand.Sum(l.totals.Admitted); admitted > 0 {
		// Answers by which upstreams reject requests count as late, but not as admitted.
		completed = min(completed, admitted)
	}
	return completed
}

// start sets the first limit.
func (l *Limiter) start() Change {
	return l.limitTo(firstPart * l.completed())
}

// adopt takes the limit that other routers report.
func (l *Limiter) adopt(reported float64) Change {
	change := l.limitTo(reported)
	change.Adopted = true
	return change
}

func (l *Limiter) limitTo(limit float64) Change {
	l.perSlot = limit / float64(l.capacity.Slots)
	l.allowedLoad = min(max(firstLoadPart*l.load.perSlot, minFirstLoad), maxFirstLoad)
	l.ample = false
	return l.change(true)
}

func (l *Limiter) change(limited bool) Change {
	return Change{
		Limited:   limited,
		Limit:     l.perSlot * float64(l.capacity.Slots),
		Capacity:  l.capacity,
		LateShare: l.answers.lateShare,
		Arrived:   l.totals.Arrived,
	}
}

// lift ends the limit.
func (l *Limiter) lift() (Change, bool) {
	if l.perSlot == 0 {
		return Change{}, false
	}
	change := l.change(false)
	l.perSlot = 0
	return change, true
}

// liftIfAmple ends the limit once it has been well above the demand for a while.
func (l *Limiter) liftIfAmple(now time.Duration) (Change, bool) {
	limit := l.Limit()
	switch {
	case limit < scarceFactor*l.arrived:
		l.ample = false
	case limit >= ampleFactor*l.arrived && !l.ample:
		l.ample, l.ampleSince = true, now
	}
	if !l.ample || now-l.ampleSince < ampleTime {
		return Change{}, false
	}
	return l.lift()
}

// regulate follows the load on the slots.
func (l *Limiter) regulate(now time.Duration, passed time.Duration) {
	if l.membership.alone {
		l.regulateAlone()
		return
	}
	l.allowLoad(now)
	load, before := l.load.perSlot, l.load.decided
	l.load.decided = load
	surging := l.admitted.latest > effectivePart*l.allowed() && l.arrived > effectivePart*demand.Sum(l.totals.Arrived)
	switch {
	case load > longQueue*l.allowedLoad && load > shrinking*before && !surging:
		l.perSlot *= cutFactor
	case load > l.allowedLoad && (load < before || surging):
		// Unchanged: the queues get shorter, or will once the shares include the new demand.
	default:
		change := integralRate * passed.Seconds() * (1 - load/l.allowedLoad)
		free := max(min(l.allowedLoad, 1)-load, 0)
		l.perSlot *= 1 + min(max(change, -maxIntegral), maxIntegral) + raiseRate*free
	}
	l.bound(now)
}

// allowLoad changes the load that is allowed by how many answers are late.
func (l *Limiter) allowLoad(now time.Duration) {
	late, load := l.answers.lateShare, l.load.perSlot
	if load > l.allowedLoad/usedPart {
		l.load.aboveAt = now
	}
	switch {
	case now-l.load.aboveAt < drainedTime:
	case late > severeShare:
		l.allowedLoad *= muchLessLoad
	case late > regulatedShare:
		l.allowedLoad *= 1 - lessLoad*(late-regulatedShare)
	case load > usedPart*l.allowedLoad:
		l.allowedLoad *= 1 + moreLoad*(regulatedShare-late)
	}
	l.allowedLoad = min(max(l.allowedLoad, minLoad), maxLoad)
}

// regulateAlone follows this router's own answers: the load of the others isn't known.
func (l *Limiter) regulateAlone() {
	if all := l.totals.InTime + l.totals.Late; all > 0 && l.totals.Late > shortShare*all {
		l.perSlot *= aloneCut
		return
	}
	l.perSlot *= aloneRaise
}

// bound keeps the limit above what is answered in time, and near the demand.
func (l *Limiter) bound(now time.Duration) {
	slots := float64(l.capacity.Slots)
	l.perSlot = min(l.perSlot, unusedFactor*l.arrived/slots)
	if now-l.load.changedAt > 2*demand.TimeConstant {
		l.perSlot = max(l.perSlot, inTimePart*l.totals.InTime/slots)
	}
	l.perSlot = max(l.perSlot, 1/slots)
}

// agree moves the limit towards what other routers report.
func (l *Limiter) agree(reported float64) {
	own := l.perSlot * float64(l.capacity.Slots)
	if reported <= 0 || own <= 0 {
		return
	}
	l.perSlot *= math.Pow(min(max(reported/own, 1/maxDisagreement), maxDisagreement), agreement)
}

// rescale keeps the part of the demand that is admitted when the counts of many routers leave the
// sums or join them: the sums are of fewer or more requests then, and the limit is for these.
func (l *Limiter) rescale(now time.Duration) {
	m, arrived := &l.membership, demand.Sum(l.totals.Arrived)
	if l.totals.Routers > m.last {
		m.grownAt = now
	}
	m.last = l.totals.Routers
	fewer, more := min(m.last, m.routers), max(m.last, m.routers)
	switch {
	case fewer == more:
		m.arrived, m.confirmedAt = arrived, now
		return
	case more < membershipFactor*fewer && now-m.confirmedAt < membershipTime:
		return
	case more >= membershipFactor*fewer && m.arrived > 0 && arrived > 0:
		l.perSlot *= arrived / m.arrived
		m.alone = m.last <= 1
	}
	m.routers, m.arrived, m.confirmedAt = m.last, arrived, now
}
