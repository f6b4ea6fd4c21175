package diskvm

import (
	"sync"
	"time"
)

const (
	// maxTickGap is the longest time between two ticks of a process that runs. It is
	// below the second that an operator's call waits for its answer.
	maxTickGap = 700 * time.Millisecond
	// stallSettle is how long after a stall a call may still be one that arrived before
	// or during the stall.
	stallSettle = time.Second
)

// stallDetector finds out whether the process or its VM was stopped a moment ago. All times
// are since the VM's boot and include the time that the VM was suspended.
//
// It guards against this failure: a VM is suspended with an operator's call in its
// sockets. The operator sends the order again through another VM and later takes it back.
// The VM wakes, reads the first call, and would evacuate the data centre again although
// the operator was told that it is taken back. Nothing in the call says how old it is, so
// calls that are read during a stall or just after one aren't answered with an order.
//
// It is safe for concurrent use.
type stallDetector struct {
	mu sync.Mutex
	// last is when the process last ticked, if everRan.
	last    time.Duration
	everRan bool
	// stalledUntil is when the last stall ended, if everStalled.
	stalledUntil time.Duration
	everStalled  bool
}

// ran records a tick.
func (d *stallDetector) ran(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(now)
	d.last = now
	d.everRan = true
}

// stalled reports whether the process was stopped a moment ago.
func (d *stallDetector) stalled(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.note(now)
	return d.everStalled && now-d.stalledUntil < stallSettle
}

// note records a stall if the last tick is too long ago.
func (d *stallDetector) note(now time.Duration) {
	if d.everRan && now-d.last > maxTickGap {
		d.stalledUntil = now
		d.everStalled = true
	}
}
