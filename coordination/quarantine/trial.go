package quarantine

import (
	"time"

	"endiveplank/protocol"
)

// reservation reserves an upstream for the trial of one suspect. From opens to
// closes no request that isn't a suspect starts there, so that those in flight
// become proven and the suspect can run alone. Before opens, only such other
// requests may start: otherwise a series of suspects would keep them off the
// upstream for as long as the series lasts.
type reservation struct {
	holder Digest
	age    time.Duration // how long the holder had run at its latest crash
	opens  time.Duration
	closes time.Duration
}

// reservationGrace is how long a reservation lasts beyond the earliest start of
// its holder.
const reservationGrace = 250 * time.Millisecond

// reserveTrial lets a suspect start if it would be alone. Otherwise it gives
// the suspect the reservation if that is free. A suspect that was younger at
// the crash goes first, because most requests that crash an engine do so early
// in their run.
func (t *Tracker) reserveTrial(now time.Duration, upstream protocol.UpstreamID, d Digest, by time.Duration) StartDecision {
	reserved := t.reservations[upstream]
	if reserved.closes > 0 && now >= reserved.closes {
		// The holder didn't start in time. Requests that aren't suspects may
		// start nevertheless, or a series of such reservations would starve
		// them.
		reserved = reservation{opens: reserved.closes + t.config.MinTrialGap}
		t.reservations[upstream] = reserved
	}
	age := t.suspects[d.short()].age
	switch {
	case now < reserved.opens:
		return StartDecision{Hold: HoldTrial, CheckAt: min(reserved.opens, by)}
	case now < reserved.closes && reserved.holder != d && reserved.age <= age:
		return StartDecision{Hold: HoldTrial, CheckAt: min(reserved.closes, by)}
	}
	proven := t.allProven(t.upstreams[upstream])
	if now >= proven {
		return StartDecision{}
	}
	t.reservations[upstream] = reservation{holder: d, age: age, opens: reserved.opens, closes: proven + reservationGrace}
	return StartDecision{Hold: HoldRecentStart, CheckAt: min(proven, by)}
}

// trialTime returns how long a suspect must run until it has run clearly longer
// than before the crash.
func (t *Tracker) trialTime(s *suspect) time.Duration {
	span := time.Duration(t.config.TrialFactor * float64(s.age))
	return min(max(span, t.config.MinTrial), t.config.MaxTrial)
}

// allProven returns when the most recently started run will be proven.
func (t *Tracker) allProven(runs map[Digest]*run) time.Duration {
	var latest time.Duration
	for _, r := range runs {
		latest = max(latest, r.started+t.config.ProvenAfter)
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

// invalidateTrials records that another request started beside a suspect on
// trial, so that a crash doesn't prove any more that the suspect caused it.
func invalidateTrials(now time.Duration, runs map[Digest]*run) {
	for _, r := range runs {
		if now < r.trialEnds {
			r.alone = false
		}
	}
}
