// Package lateness logs when a process was delayed: its VM was suspended, its processor was
// taken by others, or it did too much at once. An operator who looks for the cause of a late
// answer or an election finds it in the log.
package lateness

import (
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"
)

// tolerance is how late a tick may come without a log line: several times the delay of a
// busy VM's scheduler, and half of the delay that consensus tolerates.
const tolerance = 350 * time.Millisecond

// Monitor compares the times of ticks with two clocks. It is not safe for concurrent use.
type Monitor struct {
	log      zerolog.Logger
	last     time.Time
	lastBoot time.Duration
}

// New returns a Monitor that expects its first tick one interval from now.
func New(log zerolog.Logger) *Monitor {
	return &Monitor{log: log, last: time.Now(), lastBoot: BootTime()}
}

// BootTime returns the time since the VM's boot, including the time that the VM was suspended,
// which Go's monotonic clock leaves out.
func BootTime() time.Duration {
	var at unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &at); err != nil {
		// Without this clock no suspension is detected.
		return 0
	}
	return time.Duration(at.Nano())
}

// Tick records a tick that is due one interval after the one before.
func (m *Monitor) Tick(interval time.Duration) {
	now, boot := time.Now(), BootTime()
	ran := now.Sub(m.last)
	passed := boot - m.lastBoot
	m.last, m.lastBoot = now, boot
	m.check(interval, ran, passed)
}

// check writes a line if the process was delayed since the tick before. ran is the time by
// Go's monotonic clock, during which the process ran or waited for its processor. passed is
// the time on the VM, including suspension.
func (m *Monitor) check(interval, ran, passed time.Duration) {
	late := max(ran-interval, 0)
	suspended := max(passed-ran, 0)
	if late > tolerance || suspended > tolerance {
		m.log.Warn().Str("event", "held-up").Int64("late_ms", late.Milliseconds()).Int64("suspended_ms", suspended.Milliseconds()).Send()
	}
}
