package host

import (
	"sync"
	"time"
)

// Lifecycle simulates the crashes and restarts of one upstream and numbers its
// announcements.
type Lifecycle struct {
	host *Host
	// onCrash, if set, ends the process.
	onCrash      func()
	restartAfter time.Duration

	mu          sync.Mutex
	down        bool
	incarnation uint64
	sequence    uint64
}

// NewLifecycle returns the lifecycle of an upstream that is up. A crash calls
// onCrash. If that is nil, a crash closes host, and the upstream restarts after
// restartAfter, or never if that is zero.
func NewLifecycle(host *Host, onCrash func(), restartAfter time.Duration) *Lifecycle {
	return &Lifecycle{
		host:         host,
		onCrash:      onCrash,
		restartAfter: restartAfter,
		// A restarted process must have a higher incarnation than the one before
		// it, which it doesn't know.
		incarnation: uint64(time.Now().UnixMilli()),
	}
}

// Crash simulates a crash of the upstream's process, as NewLifecycle describes. It
// calls reset to discard the state that a new process would not have.
func (l *Lifecycle) Crash(reset func()) {
	if l.onCrash != nil {
		l.onCrash()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return
	}
	l.down = true
	reset()
	l.host.Close()
	if l.restartAfter > 0 {
		time.AfterFunc(l.restartAfter, l.restart)
	}
}

// restart brings the upstream back after a crash. While the address can't be
// listened on, it tries again after restartAfter.
func (l *Lifecycle) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.host.Reopen() != nil {
		time.AfterFunc(l.restartAfter, l.restart)
		return
	}
	l.down = false
	l.incarnation++
	l.sequence = 0
}

// NextSequence returns the incarnation and the sequence number of the next
// announcement. ok is false while the upstream is down.
func (l *Lifecycle) NextSequence() (incarnation, sequence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.incarnation, l.sequence, !l.down
}
