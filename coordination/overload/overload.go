// Package overload decides how many new connections a process turns away because its processor is
// busy.
//
// The package guards against this failure: the load balancer hands most new connections of a data
// centre to one router. It reads more requests than its processor can handle, all of them wait for
// their turn, and nearly all are answered too late. Callers whose connection is closed with their
// request unread come back at another router at once, so a router reads only what it can serve.
//
// The measure is how long work that is ready to run has waited for the processor. It needs no
// knowledge of the VM, and other causes of slow answers, such as slow upstreams, don't change it.
package overload

import "time"

const (
	// targetDelay is how long work may wait for the processor: well above the delay of a busy
	// process, and a fraction of what callers of the quickest routes wait.
	targetDelay = 20 * time.Millisecond
	// severeDelay is a delay at which the process can't keep up by far.
	severeDelay = 100 * time.Millisecond
	// inRow is how many measurements in a row must be above targetDelay to count. A process that
	// stood still for a moment has one.
	inRow = 3
	// The share of connections that is taken is multiplied by severeFactor or factor with each
	// measurement above severeDelay or targetDelay, and by recoveryFactor with each one below.
	severeFactor   = 0.5
	factor         = 0.9
	recoveryFactor = 1.05
	// minTaken leaves a few connections while the process works off what it has read.
	minTaken = 0.01
)

// Shedder holds the share of new connections to turn away. It is not safe for concurrent use.
type Shedder struct {
	// taken is the share that is taken.
	taken float64
	// above counts the measurements in a row that were above targetDelay.
	above int
}

// NewShedder returns a shedder that turns nothing away.
func NewShedder() *Shedder { return &Shedder{taken: 1} }

// Observe takes a measurement of how long work has waited for the processor. There are some twenty
// a second.
func (s *Shedder) Observe(delay time.Duration) {
	if delay <= targetDelay {
		s.above = 0
		s.taken = min(s.taken*recoveryFactor, 1)
		return
	}
	s.above++
	switch {
	case s.above < inRow:
	case delay > severeDelay:
		s.taken = max(s.taken*severeFactor, minTaken)
	default:
		s.taken = max(s.taken*factor, minTaken)
	}
}

// TurnsAway returns the share of new connections to turn away, from 0 to 1.
func (s *Shedder) TurnsAway() float64 { return 1 - s.taken }

// Admits reports whether a new connection is taken, for a random number from 0 to 1.
func (s *Shedder) Admits(random float64) bool { return random < s.taken }
