package quarantine

import (
	"time"

	"endiveplank/protocol"
)

// claim is a suspect's turn on an upstream. From opens to closes no fresh request
// starts there, so that the ones in flight get proven and the suspect can run
// alone. Before opens, fresh requests have their turn: without it, a row of
// suspects would keep them off the upstream for as long as the row lasts.
type claim struct {
	holder Digest
	age    time.Duration
	opens  time.Duration
	closes time.Duration
}

// claimGrace is how much later than possible the holder of a claim may start.
const claimGrace = 250 * time.Millisecond

// claimTrial lets a suspect start if it would be alone, and else gives it the
// claim if the claim is free. A suspect that was younger at the crash goes
// first: most requests that crash an engine do so early in their run.
func (t *Tracker) claimTrial(now time.Duration, upstream protocol.UpstreamID, d Digest, by time.Duration) StartDecision {
	c := t.claims[upstream]
	if c.closes > 0 && now >= c.closes {
		// The holder did not start in time. Fresh requests get their turn all
		// the same, or a row of such claims would starve them.
		c = claim{opens: c.closes + t.config.FreshWindow}
		t.claims[upstream] = c
	}
	age := t.suspects[d.short()].age
	switch {
	case now < c.opens:
		return StartDecision{Hold: HoldTrial, CheckAt: min(c.opens, by)}
	case now < c.closes && c.holder != d && c.age <= age:
		return StartDecision{Hold: HoldTrial, CheckAt: min(c.closes, by)}
	}
	proven := t.allProven(t.upstreams[upstream])
	if now >= proven {
		return StartDecision{}
	}
	t.claims[upstream] = claim{holder: d, age: age, opens: c.opens, closes: proven + claimGrace}
	return StartDecision{Hold: HoldYoung, CheckAt: min(proven, by)}
}

// trialTime is how long a suspect must run before it counts as having outlived
// the point of the crash.
func (t *Tracker) trialTime(s *suspect) time.Duration {
	span := time.Duration(t.config.TrialFactor * float64(s.age))
	return min(max(span, t.config.MinTrial), t.config.MaxTrial)
}

// allProven returns when the youngest run will be proven.
func (t *Tracker) allProven(runs map[Digest]*run) time.Duration {
	var latest time.Duration
	for _, r := range runs {
		latest = max(latest, r.started+t.config.Proven)
	}
	return latest
}

// trialEnds returns when the last trial among runs ends.
func trialEnds(runs map[Digest]*run) time.Duration {
	var latest time.Duration
	for _, r := range runs {
		latest = max(latest, r.trialEnds)
	}
	return latest
}

// spoilTrials marks that another request started beside a suspect on trial, so a
// crash doesn't prove the suspect's guilt any more.
func spoilTrials(now time.Duration, runs map[Digest]*run) {
	for _, r := range runs {
		if now < r.trialEnds {
			r.alone = false
		}
	}
}
