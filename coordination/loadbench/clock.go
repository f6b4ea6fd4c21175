package loadbench

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their simulated times. Events of the same
// time run in the order in which they were added.
type Clock struct {
	now      time.Duration
	sequence int
	queue    events
}

// Now returns the simulated time.
func (c *Clock) Now() time.Duration { return c.now }

// At schedules callback for a simulated time, or for now if that time has passed.
func (c *Clock) At(at time.Duration, callback func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: max(at, c.now), sequence: c.sequence, callback: callback})
}

// After schedules callback for the time after a delay.
func (c *Clock) After(delay time.Duration, callback func()) {
	c.At(c.now+delay, callback)
}

// Run runs all events up to and including end, and sets the time to end.
func (c *Clock) Run(end time.Duration) {
	for c.queue.Len() > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.callback()
	}
	c.now = end
}

type event struct {
	at       time.Duration
	sequence int
	callback func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Quantile returns the quantile q, from 0 to 1, of durations, or zero if there are
// none.
func Quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := sortedCopy(durations)
	index := min(int(q*float64(len(sorted))), len(sorted)-1)
	return sorted[index]
}
