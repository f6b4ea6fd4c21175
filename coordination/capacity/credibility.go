package capacity

import (
	"math"
	"time"

	"endiveplank/protocol/dialect"
)

const (
	// A report of fewer requests than these many times those in flight is contradicted: requests
	// and answers that are under way are in flight here and neither run nor wait there.
	inFlightFactor = 2
	inFlightSlack  = 4
	// fleetFactor and fleetSlack do the same for averages over all routers' requests.
	fleetFactor = 2.0
	fleetSlack  = 3.0
	// averageTime is the time constant of these averages, maxAverageWeight bounds the weight of a
	// report, as a router may see few, and minAveraged is the number of reports from which on the
	// averages are compared.
	averageTime      = time.Second
	maxAverageWeight = 0.25
	minAveraged      = 5
	// quickFactor is how many times the usual time an answer may take that contradicts a report of
	// a full upstream.
	quickFactor = 1.5
	// paceFactor is by how much the reported pace may differ from what answers show: it changes many
	// times a second, and requests differ.
	paceFactor = 3.0
	// distrustAt is the number of contradicted reports, less the others, from which on an upstream
	// is not believed; it is believed again once the difference is 0.
	distrustAt = 5
	// forgetAfter is how long after its last observed report an upstream is judged anew.
	forgetAfter = 10 * time.Second
	// usualWeight is the weight of a new answer in the usual time of its kind.
	usualWeight = 0.1
	// maxKinds bounds the kinds of requests of a service whose usual time is kept.
	maxKinds = 64
)

// credibility says whether an upstream's reports agree with what this router sees.
type credibility struct {
	// score counts contradicted reports, less the others.
	score      int8
	distrusted bool
	// observed counts the reports in the averages, up to minAveraged.
	observed uint8
	at       time.Duration
	// reported and fleet are averages of the requests that the upstream reports, and of those that
	// all routers have in flight there.
	reported, fleet float32
	// pace is an average of the reported paces, and took one of how many times the usual time answers
	// took that didn't wait, both as factors.
	pace, took float32
}

// distrusts reports whether the upstream is not believed.
func (c credibility) distrusts(now time.Duration) bool {
	return c.distrusted && now-c.at <= forgetAfter
}

// judge compares a report with what this router sees, and reports whether they contradict each
// other.
func (u *upstream) judge(now time.Duration, o Observation) bool {
	if now-u.credibility.at > forgetAfter {
		u.credibility = credibility{}
	}
	u.credibility.average(now, o, u.service.usual[o.Kind])
	contradicted := u.saysIdle(o) || u.saysFull(o) || u.credibility.saysOtherPace()
	u.credibility.count(contradicted)
	u.noteUsual(o)
	return contradicted
}

// average adds a report to the averages.
func (c *credibility) average(now time.Duration, o Observation, usual time.Duration) {
	weight := 1 - math.Exp(-float64(now-c.at)/float64(averageTime))
	if weight = min(weight, maxAverageWeight); c.observed == 0 {
		weight = 1
	}
	c.at = now
	c.observed = min(c.observed+1, minAveraged)
	c.reported += float32(weight) * (float32(o.Load.Running+o.Load.Waiting) - c.reported)
	c.fleet += float32(weight) * (float32(o.FleetInFlight) - c.fleet)
	if usual > 0 && o.unqueued() {
		c.pace += float32(weight) * (float32(o.Load.Pace)/dialect.UsualPace - c.pace)
		c.took += float32(weight) * (float32(o.Took)/float32(usual) - c.took)
	}
}

// unqueued reports whether the answer tells how long work takes, without a wait.
func (o Observation) unqueued() bool {
	return o.Took > 0 && o.Load.Running < o.Load.Slots && o.Load.Waiting == 0
}

// count counts a report.
func (c *credibility) count(contradicted bool) {
	if contradicted {
		c.score = min(c.score+1, distrustAt)
	} else {
		c.score = max(c.score-1, 0)
	}
	switch c.score {
	case distrustAt:
		c.distrusted = true
	case 0:
		c.distrusted = false
	}
}

// saysIdle reports whether more requests are in flight at the upstream than it says.
func (u *upstream) saysIdle(o Observation) bool {
	if o.InFlight > inFlightFactor*(o.Load.Running+o.Load.Waiting)+inFlightSlack {
		return true
	}
	c := u.credibility
	return c.observed == minAveraged && c.fleet > fleetFactor*c.reported+fleetSlack
}

// saysFull reports whether the upstream says that it has no free slot and answers as quickly as
// those that have some. A full upstream whose queue is short, or only just long, may answer quickly,
// so on average its queue has to be as long as its slots, or it has to report many more requests
// than routers have there.
func (u *upstream) saysFull(o Observation) bool {
	usual := u.service.usual[o.Kind]
	if o.Load.Running < o.Load.Slots || o.Took <= 0 || usual == 0 {
		return false
	}
	if float64(o.Took) > quickFactor*float64(usual) {
		return false
	}
	c := u.credibility
	if c.observed < minAveraged {
		return false
	}
	return c.reported >= 2*float32(o.Load.Slots) || c.reported > fleetFactor*c.fleet+fleetSlack
}

// saysOtherPace reports whether the upstream says that it is faster or slower than its answers show.
func (c credibility) saysOtherPace() bool {
	if c.observed < minAveraged || c.took == 0 {
		return false
	}
	return c.pace > paceFactor*c.took || c.took > paceFactor*c.pace
}

// noteUsual learns how long answers of upstreams with free slots take.
func (u *upstream) noteUsual(o Observation) {
	if !o.unqueued() {
		return
	}
	usual, known := u.service.usual[o.Kind]
	switch {
	case known:
		usual += time.Duration(usualWeight * float64(o.Took-usual))
	case len(u.service.usual) >= maxKinds:
		return
	default:
		usual = o.Took
	}
	u.service.usual[o.Kind] = usual
}
