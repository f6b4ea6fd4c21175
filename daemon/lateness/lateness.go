// Package lateness tells in the log when a process was held up: its VM was
// suspended, its processor was taken, or it did too much at once. Whoever looks
// for the cause of a late answer or an election finds it there.
package lateness

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// tolerated is how late a tick may come without a line: several times what a
// busy VM's scheduler takes, and half of what consensus bears.
const tolerated = 350 * time.Millisecond

// Pace compares ticks with clocks. It is not safe for concurrent use.
type Pace struct {
	log      zerolog.Logger
	last     time.Time
	lastBoot time.Duration
}

// New starts at the present moment.
func New(log zerolog.Logger) *Pace {
	return &Pace{log: log, last: time.Now(), lastBoot: bootTime()}
}

// bootTime is the time since the VM's start, with the time of suspension, which
// Go's own clock leaves out.
func bootTime() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Without the clock a suspension shows as no time at all.
		return 0
	}
	return time.Duration(at.Nano())
}

// Note takes a tick that should come an interval after the one before.
func (p *Pace) Note(interval time.Duration) {
	now, boot := time.Now(), bootTime()
	ran := now.Sub(p.last)
	passed := boot - p.lastBoot
	p.last, p.lastBoot = now, boot
	p.note(interval, ran, passed)
}

// note writes a line if the process was held up: it ran, or waited for its
// processor, for some time since the tick before, while on the VM another time
// passed.
func (p *Pace) note(interval, ran, passed time.Duration) {
	late := max(ran-interval, 0)
	suspended := max(passed-ran, 0)
	if late > tolerated || suspended > tolerated {
		p.log.Warn().Str("event", "held-up").Int64("late_ms", late.Milliseconds()).Int64("suspended_ms", suspended.Milliseconds()).Send()
	}
}
