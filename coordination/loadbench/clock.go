package loadbench

import (
	"container/heap"
	"time"
)

// Clock runs events in the order of their simulated times; events of one time
// run in the order in which they were added.
type Clock struct {
	now   time.Duration
	added int
	queue events
}

// Now returns the simulated time.
func (c *Clock) Now() time.Duration { return c.now }

// At runs do at a time, at once if that has passed.
func (c *Clock) At(at time.Duration, do func()) {
	c.added++
	heap.Push(&c.queue, event{at: max(at, c.now), number: c.added, do: do})
}

// After runs do after a delay.
func (c *Clock) After(delay time.Duration, do func()) {
	c.At(c.now+delay, do)
}

// Run runs all events up to end.
func (c *Clock) Run(end time.Duration) {
	for c.queue.Len() > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.do()
	}
	c.now = end
}

type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].number < e[j].number
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Quantile returns a quantile of durations, or zero without any.
func Quantile(durations []time.Duration, q float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sorted := sortedCopy(durations)
	index := min(int(q*float64(len(sorted))), len(sorted)-1)
	return sorted[index]
}
