// Package timequeue provides a queue of what is due at some time, such as the events that a
// simulation still has to play.
package timequeue

import (
	"container/heap"
	"time"
)

// Queue holds events, the next one first. The zero value is an empty queue. Events of the same
// time come out in an order that depends on nothing but how they were added.
type Queue[E any] struct {
	events events[E]
}

// Push adds an event that happens at a time.
func (q *Queue[E]) Push(at time.Duration, event E) {
	heap.Push(&q.events, entry[E]{at, event})
}

// Pop removes and returns the next event. The queue must not be empty.
func (q *Queue[E]) Pop() (time.Duration, E) {
	next := heap.Pop(&q.events).(entry[E])
	return next.at, next.event
}

// Next returns the time of the next event, and false if there is none.
func (q *Queue[E]) Next() (time.Duration, bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].at, true
}

// entry is an event and its time.
type entry[E any] struct {
	at    time.Duration
	event E
}

// events implements heap.Interface.
type events[E any] []entry[E]

func (e events[E]) Len() int           { return len(e) }
func (e events[E]) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events[E]) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events[E]) Push(x any)        { *e = append(*e, x.(entry[E])) }
func (e *events[E]) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
