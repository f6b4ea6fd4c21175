package membership

import "time"

const (
	// maxDoubt bounds the stretch to four times, so that even an unsound
	// member finds a dead one.
	maxDoubt = 6
	// frozenPenalty is for a process that did not run for a while: it may
	// happen again at once.
	frozenPenalty = 2
)

// health is how far this member doubts itself. Load: its own process is slow
// or its own network loses packets. Harm prevented: it would find everyone
// else late. It gives others more time for each point.
type health struct{ doubt int }

func (h *health) worse(by int) { h.doubt = min(maxDoubt, h.doubt+by) }

func (h *health) better() { h.doubt = max(0, h.doubt-1) }

// stretch lengthens a timeout by half for each point.
func (h *health) stretch(d time.Duration) time.Duration {
	return d + d*time.Duration(h.doubt)/2
}
