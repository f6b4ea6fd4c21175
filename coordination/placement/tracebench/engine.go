package tracebench

import (
	"container/heap"
	"math"
	"time"

	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// streamSpeed is the highest speed of one stream in tokens a second.
const streamSpeed = 37

// prefillSpeedup is how many prompt tokens an engine prefills in the time of
// one generated token.
const prefillSpeedup = 10

// request is a turn that is being placed or runs.
type request struct {
	turn   *turn
	entry  int
	engine int
	saved  int
	// cost is the load that the request counts as, in generated tokens.
	cost float64
	// endsAt is the engine's virtual time at which the request ends.
	endsAt float64
	lost   bool
	// placerState is what the placer stores with the request.
	placerState any
}

// engine models a model server. Its streams share its capacity when there are
// more than its batch holds (processor sharing). Virtual time counts the
// tokens that each running stream has generated since the start.
type engine struct {
	id       protocol.UpstreamID
	capacity float64
	cache    *promptCache
	// up says that the engine takes requests.
	up          bool
	incarnation uint64
	fence       protocol.Fence

	running     requestHeap
	load        float64
	virtualTime float64
	updatedAt   time.Duration
	// finishNumber is the number of the last finish that was scheduled.
	// Earlier ones are ignored.
	finishNumber uint64

	reported upstreamapi.Load
	events   []placement.Event
	nextID   uint64
}

// requestHeap orders requests by their end.
type requestHeap []*request

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h requestHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a request, for container/heap.
func (h *requestHeap) Push(x any) { *h = append(*h, x.(*request)) }

// Pop removes the last request, for container/heap.
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newEngine(id protocol.UpstreamID, capacity float64, cacheTokens int) *engine {
	e := &engine{id: id, capacity: capacity, up: true, incarnation: 1, fence: 1, nextID: 1}
	e.cache = newPromptCache(cacheTokens)
	e.cache.evicted = e.evicted
	return e
}

func (e *engine) evicted(deepest chat.ChainHash) {
	e.events = append(e.events, placement.Event{Op: placement.Evicted, Hash: deepest})
}

// speed is the present speed of each stream in tokens a second.
func (e *engine) speed() float64 {
	if len(e.running) == 0 {
		return streamSpeed
	}
	return math.Min(streamSpeed, e.capacity/float64(len(e.running)))
}

// advance brings virtual time up to now.
func (e *engine) advance(now time.Duration) {
	e.virtualTime += e.speed() * (now - e.updatedAt).Seconds()
	e.updatedAt = now
}

// start adds a request to those that run.
func (e *engine) start(now time.Duration, r *request) {
	e.advance(now)
	prompt := r.turn.prompt()
	r.saved = e.cache.saved(r.turn.chain)
	e.cache.use(r.turn.chain, prompt)
	e.cache.recordTurn(now, r.turn)
	prefill := float64(prompt-r.saved) / prefillSpeedup
	r.cost = prefill + float64(r.turn.expected)
	r.endsAt = e.virtualTime + prefill + float64(r.turn.output)
	e.load += r.cost
	heap.Push(&e.running, r)
}

// nextEnd returns when the next request ends if no other one starts.
func (e *engine) nextEnd(now time.Duration) (time.Duration, bool) {
	if len(e.running) == 0 {
		return 0, false
	}
	left := math.Max(0, e.running[0].endsAt-e.virtualTime)
	return now + seconds(left/e.speed()) + 1, true
}

// finish removes and returns the requests that have ended.
func (e *engine) finish(now time.Duration) []*request {
	e.advance(now)
	var done []*request
	for len(e.running) > 0 && e.running[0].endsAt <= e.virtualTime+1e-6 {
		r := heap.Pop(&e.running).(*request)
		e.load -= r.cost
		e.cache.use(r.turn.chain, r.turn.prompt()+r.turn.output)
		done = append(done, r)
	}
	if len(e.running) == 0 {
		e.load = 0
	}
	return done
}

// crash empties the cache and returns the requests that are lost.
func (e *engine) crash(now time.Duration) []*request {
	e.advance(now)
	lost := e.running
	e.running = nil
	e.load = 0
	e.restart()
	return lost
}

// restart empties the cache and starts a new incarnation.
func (e *engine) restart() {
	e.cache = newPromptCache(e.cache.capacity)
	e.cache.evicted = e.evicted
	e.incarnation++
	e.events = nil
	e.nextID = 1
}

// report is the engine's own count of its load.
func (e *engine) report() upstreamapi.Load {
	return upstreamapi.Load{Running: len(e.running), OutstandingTokens: int(e.load)}
}
