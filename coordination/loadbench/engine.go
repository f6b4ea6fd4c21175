package loadbench

import (
	"container/heap"
	"time"
)

// sharedEngine models an engine that batches continuously: each running request
// gets the same number of tokens per second, StreamSpeed while the batch is
// small and an equal part of Capacity above that.
type sharedEngine struct {
	clock    *Clock
	capacity float64 // tokens per second of the whole batch
	speed    float64 // tokens per second of one stream at most
	running  jobHeap
	// progress is how many tokens a request that runs since time zero would
	// have by now; a job ends when progress reaches its own end.
	progress float64
	ends     float64 // sum of the running jobs' ends
	updated  time.Duration
	version  int
	finished func(*job)
}

// job is one request on its way through a model.
type job struct {
	id       int
	tokens   int
	demand   *Demand
	sent     time.Duration
	deadline time.Duration
	started  time.Duration
	end      float64
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].end < h[j].end }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(x any)        { *h = append(*h, x.(*job)) }
func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// rate is the tokens per second of each running request.
func (e *sharedEngine) rate() float64 {
	return min(e.speed, e.capacity/float64(max(len(e.running), 1)))
}

// advance moves the progress to now and returns the tokens made since.
func (e *sharedEngine) advance() float64 {
	elapsed := (e.clock.Now() - e.updated).Seconds()
	e.updated = e.clock.Now()
	step := elapsed * e.rate()
	e.progress += step
	return step * float64(len(e.running))
}

// outstanding is the work of all running requests that is still to do.
func (e *sharedEngine) outstanding() float64 {
	return e.ends - float64(len(e.running))*e.progress
}

// start adds a request. The caller has called advance.
func (e *sharedEngine) start(j *job) {
	j.started = e.clock.Now()
	j.end = e.progress + float64(j.tokens)
	e.ends += j.end
	heap.Push(&e.running, j)
	e.schedule()
}

// setCapacity slows the engine down or restores it.
func (e *sharedEngine) setCapacity(capacity, speed float64) {
	e.advance()
	e.capacity = capacity
	e.speed = speed
	e.schedule()
}

// schedule sets the event at which the next request ends. An older one that is
// still queued sees that the version has changed and does nothing.
func (e *sharedEngine) schedule() {
	e.version++
	if len(e.running) == 0 {
		return
	}
	version := e.version
	left := (e.running[0].end - e.progress) / e.rate()
	e.clock.After(time.Duration(left*float64(time.Second))+1, func() {
		if version == e.version {
			e.finishNext()
		}
	})
}

func (e *sharedEngine) finishNext() {
	j := heap.Pop(&e.running).(*job)
	e.ends -= j.end
	e.finished(j)
	e.schedule()
}
