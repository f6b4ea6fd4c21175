package tracebench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/coordination/kvmove"
	"endiveplank/protocol"
)

// Config describes a fleet and what happens to it.
type Config struct {
	Seed    uint64
	Routers int
	Engines int
	// Batch is the streams an engine of capacity factor 1 runs at full speed.
	Batch int
	// CacheTokens is the prompt cache of such an engine.
	CacheTokens int
	// Unequal gives engines capacity factors of 1, 1.5, 0.75 and 1 in turn.
	Unequal bool
	// Churn is the mean time between events of joining, leaving, flapping,
	// crashing and losing a router; 0 for none.
	Churn time.Duration
	// DetectLoss is how long after a router's loss the others notice it.
	DetectLoss time.Duration
	// EventLoss is the share of batches of cache events that are lost.
	EventLoss float64
	// Planned is the time between planned leaves of one engine after the
	// other, each for PlannedAway; 0 for none. With Moves, the leaver's hot
	// chats are moved first.
	Planned     time.Duration
	PlannedAway time.Duration
	Moves       *kvmove.Costs
	// WarmUp is not measured.
	WarmUp time.Duration
}

// Times of the model, see the package comment.
const (
	reportPeriod = 500 * time.Millisecond
	reportLag    = 500 * time.Millisecond
	viewSpread   = 3 * time.Second
	ownerLease   = 5 * time.Second
	leaveFor     = time.Minute
	flapFor      = 5 * time.Second
	retryQueued  = 20 * time.Millisecond
)

// strategy decides where requests run.
type strategy interface {
	// place returns the engine, or false when the request must wait.
	place(now time.Duration, r *request) (int, bool)
	// finished says that a request has ended or, with lost, was cut off.
	finished(now time.Duration, r *request)
	// engineChanged says that an engine came or went.
	engineChanged(now time.Duration, engine int)
	// members says that a router has learnt of it.
	members(now time.Duration, router int)
	// routerLost and routerBack change the set of routers.
	routerLost(now time.Duration, router int)
	routerBack(now time.Duration, router int)
	// reported says that an engine's load report and events arrived.
	reported(now time.Duration, engine int, events eventBatch)
}

// world runs one strategy on one trace.
type world struct {
	clock
	config  Config
	trace   *Trace
	rng     *rand.Rand
	engines []*engine
	routers []bool
	// views holds for each router the engines it believes up.
	views [][]bool
	way   strategy
	meter meter
	end   time.Duration
}

// Run measures a strategy on a trace.
func Run(config Config, trace *Trace, way Way) Result {
	w := &world{
		config: config,
		trace:  trace,
		rng:    rand.New(rand.NewPCG(config.Seed, 2)),
		end:    trace.config.Duration,
	}
	for i := range config.Engines {
		factor := 1.0
		if config.Unequal {
			factor = []float64{1, 1.5, 0.75, 1}[i%4]
		}
		id := protocol.UpstreamID(fmt.Sprintf("e%03d", i))
		capacity := factor * float64(config.Batch) * streamSpeed
		w.engines = append(w.engines, newEngine(id, capacity, int(factor*float64(config.CacheTokens))))
	}
	for range config.Routers {
		w.routers = append(w.routers, true)
		w.views = append(w.views, w.truth())
	}
	w.way = way.build(w)
	w.scheduleReports()
	w.scheduleChurn()
	w.schedulePlanned()
	w.scheduleTurn(0)
	w.runUntil(w.end)
	return w.meter.result(w)
}

// truth is the engines that are up.
func (w *world) truth() []bool {
	up := make([]bool, len(w.engines))
	for i, e := range w.engines {
		up[i] = e.up
	}
	return up
}

// scheduleTurn chains the arrivals, so that the heap stays small.
func (w *world) scheduleTurn(i int) {
	if i == len(w.trace.turns) {
		return
	}
	w.schedule(w.trace.turns[i].at, func(now time.Duration) {
		w.scheduleTurn(i + 1)
		w.arrive(now, &request{turn: &w.trace.turns[i], entry: w.liveRouter()})
	})
}

// liveRouter is the router that the balancer gives a request to.
func (w *world) liveRouter() int {
	for {
		r := w.rng.IntN(len(w.routers))
		if w.routers[r] {
			return r
		}
	}
}

// arrive places a request, now or, while it must wait, a little later.
func (w *world) arrive(now time.Duration, r *request) {
	if !w.routers[r.entry] {
		r.entry = w.liveRouter()
	}
	chosen, ok := w.way.place(now, r)
	if !ok || !w.engines[chosen].up {
		if ok {
			w.way.finished(now, r)
		}
		w.meter.waits++
		w.schedule(now+retryQueued, func(now time.Duration) { w.arrive(now, r) })
		return
	}
	r.engine = chosen
	e := w.engines[chosen]
	e.start(now, r)
	w.meter.admitted(now, w, r)
	w.plan(now, e)
}

// plan schedules an engine's next finish.
func (w *world) plan(now time.Duration, e *engine) {
	at, ok := e.nextEnd(now)
	if !ok {
		return
	}
	e.planned++
	number := e.planned
	w.schedule(at, func(now time.Duration) {
		if e.planned != number {
			return
		}
		for _, r := range e.finish(now) {
			w.way.finished(now, r)
		}
		w.plan(now, e)
	})
}

// eventBatch is a run of cache events on its way to the owner.
type eventBatch struct {
	incarnation uint64
	first       uint64
	events      eventList
}

// scheduleReports lets each engine report load and cache events, late.
func (w *world) scheduleReports() {
	for i, e := range w.engines {
		first := time.Duration(w.rng.Int64N(int64(reportPeriod)))
		w.every(first, reportPeriod, w.end, func(now time.Duration) {
			load := e.report()
			batch := eventBatch{incarnation: e.incarnation, first: e.nextID, events: e.events}
			e.nextID += uint64(len(e.events))
			e.events = nil
			if w.rng.Float64() < w.config.EventLoss {
				batch.events = nil
			}
			w.schedule(now+reportLag, func(now time.Duration) {
				e.reported = load
				w.way.reported(now, i, batch)
			})
		})
	}
}

// scheduleChurn draws the events of joining, leaving and loss.
func (w *world) scheduleChurn() {
	if w.config.Churn == 0 {
		return
	}
	for at := w.config.Churn; at < w.end; at += seconds(w.rng.ExpFloat64() * w.config.Churn.Seconds()) {
		kind := w.rng.IntN(4)
		target := w.rng.IntN(len(w.engines))
		router := w.rng.IntN(len(w.routers))
		w.schedule(at, func(now time.Duration) {
			switch kind {
			case 0:
				w.leave(now, target, leaveFor, true)
			case 1:
				w.leave(now, target, flapFor, false)
			case 2:
				w.crash(now, target)
			default:
				w.loseRouter(now, router)
			}
		})
	}
}

// leave takes an engine out; its running work ends on it.
func (w *world) leave(now time.Duration, i int, away time.Duration, cold bool) {
	e := w.engines[i]
	if !e.up || w.upCount() <= len(w.engines)/2 {
		return
	}
	e.up = false
	w.announce(now, i)
	w.schedule(now+away, func(now time.Duration) {
		if cold {
			e.restart()
		}
		e.up = true
		w.announce(now, i)
	})
}

// crash loses an engine's work, which is placed again at once.
func (w *world) crash(now time.Duration, i int) {
	e := w.engines[i]
	if !e.up || w.upCount() <= len(w.engines)/2 {
		return
	}
	e.up = false
	e.planned++
	for _, r := range e.crash(now) {
		r.lost = true
		w.way.finished(now, r)
		again := &request{turn: r.turn, entry: r.entry}
		w.schedule(now+retryQueued, func(now time.Duration) { w.arrive(now, again) })
	}
	w.announce(now, i)
	w.schedule(now+leaveFor, func(now time.Duration) {
		e.up = true
		w.announce(now, i)
	})
}

func (w *world) upCount() int {
	count := 0
	for _, e := range w.engines {
		if e.up {
			count++
		}
	}
	return count
}

// announce lets each router learn the present set at a time of its own.
func (w *world) announce(now time.Duration, engine int) {
	w.way.engineChanged(now, engine)
	truth := w.truth()
	for r := range w.routers {
		delay := time.Duration(w.rng.Int64N(int64(viewSpread)))
		w.schedule(now+delay, func(now time.Duration) {
			w.views[r] = slices.Clone(truth)
			w.way.members(now, r)
		})
	}
}

// loseRouter kills a router, which returns after a minute without state.
func (w *world) loseRouter(now time.Duration, router int) {
	live := 0
	for _, up := range w.routers {
		if up {
			live++
		}
	}
	if !w.routers[router] || live <= len(w.routers)/2 {
		return
	}
	w.routers[router] = false
	w.way.routerLost(now, router)
	w.schedule(now+leaveFor, func(now time.Duration) {
		w.routers[router] = true
		w.way.routerBack(now, router)
	})
}
