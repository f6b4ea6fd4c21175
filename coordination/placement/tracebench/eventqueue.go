package tracebench

import "time"

// event is a function that runs at a simulated time.
type event struct {
	at time.Duration
	// sequence orders events of the same time, so that runs are repeatable.
	sequence uint64
	run      func(now time.Duration)
}

// eventQueue is a heap that runs events in order of time.
type eventQueue struct {
	heap     []event
	sequence uint64
	now      time.Duration
}

func (q *eventQueue) less(i, j int) bool {
	if q.heap[i].at != q.heap[j].at {
		return q.heap[i].at < q.heap[j].at
	}
	return q.heap[i].sequence < q.heap[j].sequence
}

// schedule adds an event.
func (q *eventQueue) schedule(at time.Duration, run func(now time.Duration)) {
	q.sequence++
	q.heap = append(q.heap, event{at: at, sequence: q.sequence, run: run})
	i := len(q.heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !q.less(i, parent) {
			return
		}
		q.heap[i], q.heap[parent] = q.heap[parent], q.heap[i]
		i = parent
	}
}

// schedulePeriodic runs f again and again, first at a time, until the end.
func (q *eventQueue) schedulePeriodic(first, period, end time.Duration, f func(now time.Duration)) {
	var again func(now time.Duration)
	again = func(now time.Duration) {
		f(now)
		if now+period < end {
			q.schedule(now+period, again)
		}
	}
	q.schedule(first, again)
}

// pop removes the earliest event.
func (q *eventQueue) pop() event {
	top := q.heap[0]
	last := len(q.heap) - 1
	q.heap[0] = q.heap[last]
	q.heap[last] = event{}
	q.heap = q.heap[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && q.less(child+1, child) {
			child++
		}
		if !q.less(child, i) {
			return top
		}
		q.heap[i], q.heap[child] = q.heap[child], q.heap[i]
		i = child
	}
}

// runUntil runs the events up to a time.
func (q *eventQueue) runUntil(end time.Duration) {
	for len(q.heap) > 0 && q.heap[0].at <= end {
		e := q.pop()
		q.now = e.at
		e.run(e.at)
	}
}
