package tracebench

import "time"

// event is one thing that happens at a time.
type event struct {
	at time.Duration
	// order breaks ties, so that replays are exact.
	order uint64
	run   func(now time.Duration)
}

// clock runs events in order of time.
type clock struct {
	heap  []event
	order uint64
	now   time.Duration
}

func (c *clock) less(i, j int) bool {
	if c.heap[i].at != c.heap[j].at {
		return c.heap[i].at < c.heap[j].at
	}
	return c.heap[i].order < c.heap[j].order
}

// schedule adds an event.
func (c *clock) schedule(at time.Duration, run func(now time.Duration)) {
	c.order++
	c.heap = append(c.heap, event{at: at, order: c.order, run: run})
	i := len(c.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !c.less(i, parent) {
			return
		}
		c.heap[i], c.heap[parent] = c.heap[parent], c.heap[i]
		i = parent
	}
}

// every runs f again and again, first at a time, until the end.
func (c *clock) every(first, period, end time.Duration, f func(now time.Duration)) {
	var again func(now time.Duration)
	again = func(now time.Duration) {
		f(now)
		if now+period < end {
			c.schedule(now+period, again)
		}
	}
	c.schedule(first, again)
}

// pop removes the earliest event.
func (c *clock) pop() event {
	top := c.heap[0]
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = event{}
	c.heap = c.heap[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && c.less(child+1, child) {
			child++
		}
		if !c.less(child, i) {
			return top
		}
		c.heap[i], c.heap[child] = c.heap[child], c.heap[i]
		i = child
	}
}

// runUntil runs the events up to a time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= end {
		e := c.pop()
		c.now = e.at
		e.run(e.at)
	}
}
