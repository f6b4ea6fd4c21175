package forward

import (
	"time"

	"endiveplank/coordination/balance"
)

// timelyPart is the part of a route's objective within which an answer begins that
// hasn't waited at the upstream. The rest is for what the load grows by until other
// routers know of it.
const timelyPart = 0.5

// timing tells the fleet once of each attempt whether its answer began in time, as
// soon as that is known.
type timing struct {
	sent   time.Time
	within time.Duration
	// tell is nil before an attempt and once it has been called.
	tell func(inTime bool)
}

// timeOf starts the timing of an attempt that is about to be sent.
func (f *flight) timeOf(choice balance.Choice) timing {
	return timing{
		sent:   time.Now(),
		within: time.Duration(timelyPart * float64(f.job.Route.Objective)),
		tell:   func(inTime bool) { f.handler.options.Fleet.Timed(f.job, choice, inTime) },
	}
}

// began notes that the answer begins.
func (t *timing) began() { t.know(time.Since(t.sent) <= t.within) }

// full notes that the upstream had no room: whatever waits there is late.
func (t *timing) full() { t.know(false) }

// ended notes that the attempt is over. One without an answer is late if it had the
// time for it.
func (t *timing) ended() {
	if time.Since(t.sent) > t.within {
		t.know(false)
	}
}

// know tells what has become known, the first time, on routes that have an objective.
func (t *timing) know(inTime bool) {
	if t.tell == nil || t.within <= 0 {
		return
	}
	t.tell(inTime)
	t.tell = nil
}
