package forward

import (
	"time"

	"endiveplank/coordination/balance"
)

// inTimeShare is the share of a route's objective within which an answer has to begin
// to count as in time. An answer that hasn't waited at the upstream begins within it. The
// rest is a margin for the load that is added before other routers learn of this router's
// requests.
const inTimeShare = 0.5

// timing reports to the fleet once per attempt whether its answer began in time, as
// soon as that is known.
type timing struct {
	sent        time.Time
	inTimeLimit time.Duration
	// proxied says that the answer comes through another router, which may be what takes long.
	proxied bool
	// report is nil before an attempt and after it has been called.
	report func(inTime bool)
}

// startTiming returns the timing of an attempt that is about to be sent.
func (f *forwarding) startTiming(choice balance.Choice) timing {
	return timing{
		sent:        time.Now(),
		inTimeLimit: time.Duration(inTimeShare * float64(f.job.Route.Objective)),
		proxied:     choice.Proxy != "",
		report:      func(inTime bool) { f.handler.options.Fleet.AnswerTimed(f.job, choice, inTime) },
	}
}

// began records that the answer begins.
func (t *timing) began() {
	inTime := time.Since(t.sent) <= t.inTimeLimit
	if inTime || !t.proxied {
		t.reportOnce(inTime)
	}
}

// refused records that the upstream refused the request for lack of capacity. That counts
// as late, because requests that wait there are answered late.
func (t *timing) refused() { t.reportOnce(false) }

// ended records the end of an attempt; reached says that it was sent to the upstream. An
// attempt without an answer counts as late if it lasted longer than inTimeLimit. Time that
// was lost on the way to the upstream tells nothing about the upstream's load.
func (t *timing) ended(reached bool) {
	if reached && !t.proxied && time.Since(t.sent) > t.inTimeLimit {
		t.reportOnce(false)
	}
}

// reportOnce reports the first result of the attempt, and only on routes that have an
// objective.
func (t *timing) reportOnce(inTime bool) {
	if t.report == nil || t.inTimeLimit <= 0 {
		return
	}
	t.report(inTime)
	t.report = nil
}
