package host

import (
	"sync"
	"time"
)

// Life follows one upstream through crashes and restarts.
type Life struct {
	host *Host
	// onCrash, when set, ends the process.
	onCrash      func()
	restartAfter time.Duration

	mu          sync.Mutex
	down        bool
	incarnation uint64
	sequence    uint64
}

// NewLife begins a life. A crash calls onCrash, or drops everything when that
// is nil; the upstream is then back after restartAfter, or never when that is
// zero.
func NewLife(host *Host, onCrash func(), restartAfter time.Duration) *Life {
	return &Life{
		host:         host,
		onCrash:      onCrash,
		restartAfter: restartAfter,
		// A restarted process must have a higher incarnation than before.
		incarnation: uint64(time.Now().UnixMilli()),
	}
}

// Crash ends the process or drops everything. reset forgets what a new process
// would not know.
func (l *Life) Crash(reset func()) {
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
	l.host.Drop()
	if l.restartAfter > 0 {
		time.AfterFunc(l.restartAfter, l.comeBack)
	}
}

// comeBack ends the downtime after a crash.
func (l *Life) comeBack() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.host.Reopen() != nil {
		time.AfterFunc(l.restartAfter, l.comeBack)
		return
	}
	l.down = false
	l.incarnation++
	l.sequence = 0
}

// Stamp returns the incarnation and the sequence of the next announcement. ok
// is false while the upstream is down.
func (l *Life) Stamp() (incarnation, sequence uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.incarnation, l.sequence, !l.down
}
