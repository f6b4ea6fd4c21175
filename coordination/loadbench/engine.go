package loadbench

import (
	"container/heap"
	"time"
)

// batchingEngine models an engine with continuous batching. All running requests
// get the same number of tokens per second: maxStreamSpeed while the batch is
// small, and an equal part of capacity when it is larger.
type batchingEngine struct {
	clock          *Clock
	capacity       float64 // tokens per second of the whole batch
	maxStreamSpeed float64 // maximum tokens per second of one stream
	running        jobHeap
	// progress is the number of tokens that a request running since time zero
	// would have by now. A job ends when progress reaches its endProgress.
	progress       float64
	endProgressSum float64 // sum over the running jobs
	updatedAt      time.Duration
	version        int
	onFinish       func(*job)
}

// job is one request in the Serving or the SlowEngines model.
type job struct {
	id          int
	tokens      int
	demand      *Demand
	sentAt      time.Duration
	deadline    time.Duration
	startedAt   time.Duration
	endProgress float64
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].endProgress < h[j].endProgress }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// streamRate returns the tokens per second of each running request.
func (e *batchingEngine) streamRate() float64 {
	return min(e.maxStreamSpeed, e.capacity/float64(max(len(e.running), 1)))
}

// advance updates progress to now and returns the number of tokens that all
// requests generated since the last update.
func (e *batchingEngine) advance() float64 {
	elapsed := (e.clock.Now() - e.updatedAt).Seconds()
	e.updatedAt = e.clock.Now()
	step := elapsed * e.streamRate()
	e.progress += step
	return step * float64(len(e.running))
}

// outstandingTokens returns the number of tokens that the running requests still
// have to generate.
func (e *batchingEngine) outstandingTokens() float64 {
	return e.endProgressSum - float64(len(e.running))*e.progress
}

// start adds a request. The caller must have called advance.
func (e *batchingEngine) start(j *job) {
	j.startedAt = e.clock.Now()
	j.endProgress = e.progress + float64(j.tokens)
	e.endProgressSum += j.endProgress
	heap.Push(&e.running, j)
	e.schedule()
}

// setCapacity changes the capacity and the maximum speed of a stream, to slow the
// engine down or to restore its speed.
func (e *batchingEngine) setCapacity(capacity, speed float64) {
	e.advance()
	e.capacity = capacity
	e.maxStreamSpeed = speed
	e.schedule()
}

// schedule adds the event at which the next request ends. An older event that is
// still queued finds another version and does nothing.
func (e *batchingEngine) schedule() {
	e.version++
	if len(e.running) == 0 {
		return
	}
	version := e.version
	remaining := (e.running[0].endProgress - e.progress) / e.streamRate()
	e.clock.After(time.Duration(remaining*float64(time.Second))+1, func() {
		if version == e.version {
			e.finishNext()
		}
	})
}

func (e *batchingEngine) finishNext() {
	j := heap.Pop(&e.running).(*job)
	e.endProgressSum -= j.endProgress
	e.onFinish(j)
	e.schedule()
}
