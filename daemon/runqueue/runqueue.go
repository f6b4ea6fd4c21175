// Package runqueue measures how long a goroutine that is ready to run waits for the processor.
package runqueue

import (
	"sync"
	"time"
)

// Meter measures the wait of a goroutine that does nothing else. It is safe for concurrent use.
type Meter struct {
	mu      sync.Mutex
	began   time.Time
	pending bool
	wait    time.Duration
}

// Measure returns the wait that began with the last call, as long as it has taken so far if it
// hasn't ended, and begins the next one.
func (m *Meter) Measure() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pending {
		return time.Since(m.began)
	}
	m.pending, m.began = true, time.Now()
	go m.end()
	// A goroutine that is started runs next. Starting another one puts the first at the end of the
	// queue, behind all that is ready.
	go func() {}()
	return m.wait
}

// end records the wait.
func (m *Meter) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending, m.wait = false, time.Since(m.began)
}
