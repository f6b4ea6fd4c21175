package tracebench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/coordination/kvmove"
	"endiveplank/protocol"
)

// Config describes a fleet and the events that disturb it.
type Config struct {
	Seed    uint64
	Routers int
	Engines int
	// Batch is how many streams an engine with capacity factor 1 runs at full
	// speed.
	Batch int
	// CacheTokens is the size of the prefix cache of such an engine.
	CacheTokens int
	// Unequal gives engines capacity factors of 1, 1.5, 0.75 and 1 in turn.
	Unequal bool
	// ChurnInterval is the mean time between two events, in each of which an
	// engine leaves, flaps or crashes, or a router is lost; 0 for none.
	ChurnInterval time.Duration
	// LossDetectionDelay is how long after the loss of a router the others
	// notice it.
	LossDetectionDelay time.Duration
	// EventLoss is the share of batches of cache events that are lost.
	EventLoss float64
	// PlannedLeaveInterval is the time between planned leaves of one engine
	// after the other, each for PlannedLeaveTime; 0 for none. With Moves, the
	// hot chats of the leaving engine are moved first.
	PlannedLeaveInterval time.Duration
	PlannedLeaveTime     time.Duration
	Moves                *kvmove.Costs
	// WarmUp is the time at the start that is not measured.
	WarmUp time.Duration
}

// Times of the model, see the package comment.
const (
	reportPeriod     = 500 * time.Millisecond
	reportLag        = 500 * time.Millisecond
	maxViewDelay     = 3 * time.Second
	ownerLease       = 5 * time.Second
	leaveTime        = time.Minute
	flapTime         = 5 * time.Second
	queuedRetryDelay = 20 * time.Millisecond
)

// placer decides where requests run.
type placer interface {
	// place returns the engine, or false when the request must wait.
	place(now time.Duration, r *request) (int, bool)
	// finished is called when a request has ended or, with lost, was cut off.
	finished(now time.Duration, r *request)
	// engineChanged is called when an engine comes or goes.
	engineChanged(now time.Duration, engine int)
	// viewChanged is called when a router's view of the engines has changed.
	viewChanged(now time.Duration, router int)
	// routerLost and routerReturned are called when a router dies or returns.
	routerLost(now time.Duration, router int)
	routerReturned(now time.Duration, router int)
	// reported is called when an engine's load report and cache events arrive.
	reported(now time.Duration, engine int, events eventBatch)
}

// simulation runs one strategy on one trace.
type simulation struct {
	eventQueue
	config  Config
	trace   *Trace
	rng     *rand.Rand
	engines []*engine
	routers []bool
	// views holds for each router which engines it considers up.
	views  [][]bool
	placer placer
	meter  meter
	end    time.Duration
}

// Run measures a strategy on a trace.
func Run(config Config, trace *Trace, strategy Strategy) Result {
	sim := &simulation{
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
		sim.engines = append(sim.engines, newEngine(id, capacity, int(factor*float64(config.CacheTokens))))
	}
	for range config.Routers {
		sim.routers = append(sim.routers, true)
		sim.views = append(sim.views, sim.upEngines())
	}
	sim.placer = strategy.build(sim)
	sim.scheduleReports()
	sim.scheduleChurn()
	sim.schedulePlanned()
	sim.scheduleTurn(0)
	sim.runUntil(sim.end)
	return sim.meter.result(sim)
}

// upEngines returns for each engine whether it is up.
func (sim *simulation) upEngines() []bool {
	up := make([]bool, len(sim.engines))
	for i, e := range sim.engines {
		up[i] = e.up
	}
	return up
}

// scheduleTurn schedules an arrival, which schedules the next one, so that the
// heap stays small.
func (sim *simulation) scheduleTurn(i int) {
	if i == len(sim.trace.turns) {
		return
	}
	sim.schedule(sim.trace.turns[i].at, func(now time.Duration) {
		sim.scheduleTurn(i + 1)
		sim.arrive(now, &request{turn: &sim.trace.turns[i], entry: sim.liveRouter()})
	})
}

// liveRouter draws the router that a request enters at.
func (sim *simulation) liveRouter() int {
	for {
		r := sim.rng.IntN(len(sim.routers))
		if sim.routers[r] {
			return r
		}
	}
}

// arrive places a request, or tries again a little later while it must wait.
func (sim *simulation) arrive(now time.Duration, r *request) {
	if !sim.routers[r.entry] {
		r.entry = sim.liveRouter()
	}
	chosen, ok := sim.placer.place(now, r)
	if !ok || !sim.engines[chosen].up {
		if ok {
			sim.placer.finished(now, r)
		}
		sim.meter.waits++
		sim.schedule(now+queuedRetryDelay, func(now time.Duration) { sim.arrive(now, r) })
		return
	}
	r.engine = chosen
	e := sim.engines[chosen]
	e.start(now, r)
	sim.meter.admitted(now, sim, r)
	sim.scheduleFinish(now, e)
}

// scheduleFinish schedules the next end of a request on an engine.
func (sim *simulation) scheduleFinish(now time.Duration, e *engine) {
	at, ok := e.nextEnd(now)
	if !ok {
		return
	}
	e.finishNumber++
	number := e.finishNumber
	sim.schedule(at, func(now time.Duration) {
		if e.finishNumber != number {
			return
		}
		for _, r := range e.finish(now) {
			sim.placer.finished(now, r)
		}
		sim.scheduleFinish(now, e)
	})
}

// eventBatch is a batch of cache events that the owner has not received yet.
type eventBatch struct {
	incarnation uint64
	first       uint64
	events      eventList
}

// scheduleReports makes each engine report its load and cache events, which
// arrive late.
func (sim *simulation) scheduleReports() {
	for i, e := range sim.engines {
		first := time.Duration(sim.rng.Int64N(int64(reportPeriod)))
		sim.schedulePeriodic(first, reportPeriod, sim.end, func(now time.Duration) {
			load := e.report()
			batch := eventBatch{incarnation: e.incarnation, first: e.nextID, events: e.events}
			e.nextID += uint64(len(e.events))
			e.events = nil
			if sim.rng.Float64() < sim.config.EventLoss {
				batch.events = nil
			}
			sim.schedule(now+reportLag, func(now time.Duration) {
				e.reported = load
				sim.placer.reported(now, i, batch)
			})
		})
	}
}

// scheduleChurn draws when engines leave, flap or crash and routers are lost.
func (sim *simulation) scheduleChurn() {
	if sim.config.ChurnInterval == 0 {
		return
	}
	for at := sim.config.ChurnInterval; at < sim.end; at += seconds(sim.rng.ExpFloat64() * sim.config.ChurnInterval.Seconds()) {
		kind := sim.rng.IntN(4)
		target := sim.rng.IntN(len(sim.engines))
		router := sim.rng.IntN(len(sim.routers))
		sim.schedule(at, func(now time.Duration) {
			switch kind {
			case 0:
				sim.leave(now, target, leaveTime, true)
			case 1:
				sim.leave(now, target, flapTime, false)
			case 2:
				sim.crash(now, target)
			default:
				sim.killRouter(now, router)
			}
		})
	}
}

// leave takes an engine out for a time. Its running requests end on it.
func (sim *simulation) leave(now time.Duration, i int, away time.Duration, emptyCache bool) {
	e := sim.engines[i]
	if !e.up || sim.upCount() <= len(sim.engines)/2 {
		return
	}
	e.up = false
	sim.announce(now, i)
	sim.schedule(now+away, func(now time.Duration) {
		if emptyCache {
			e.restart()
		}
		e.up = true
		sim.announce(now, i)
	})
}

// crash loses an engine's requests, which are placed again after the delay of a
// retry.
func (sim *simulation) crash(now time.Duration, i int) {
	e := sim.engines[i]
	if !e.up || sim.upCount() <= len(sim.engines)/2 {
		return
	}
	e.up = false
	e.finishNumber++
	for _, r := range e.crash(now) {
		r.lost = true
		sim.placer.finished(now, r)
		again := &request{turn: r.turn, entry: r.entry}
		sim.schedule(now+queuedRetryDelay, func(now time.Duration) { sim.arrive(now, again) })
	}
	sim.announce(now, i)
	sim.schedule(now+leaveTime, func(now time.Duration) {
		e.up = true
		sim.announce(now, i)
	})
}

func (sim *simulation) upCount() int {
	count := 0
	for _, e := range sim.engines {
		if e.up {
			count++
		}
	}
	return count
}

// announce updates each router's view with the present engines after a random
// delay.
func (sim *simulation) announce(now time.Duration, engine int) {
	sim.placer.engineChanged(now, engine)
	up := sim.upEngines()
	for r := range sim.routers {
		delay := time.Duration(sim.rng.Int64N(int64(maxViewDelay)))
		sim.schedule(now+delay, func(now time.Duration) {
			sim.views[r] = slices.Clone(up)
			sim.placer.viewChanged(now, r)
		})
	}
}

// killRouter kills a router, which returns after a minute without its state.
func (sim *simulation) killRouter(now time.Duration, router int) {
	live := 0
	for _, up := range sim.routers {
		if up {
			live++
		}
	}
	if !sim.routers[router] || live <= len(sim.routers)/2 {
		return
	}
	sim.routers[router] = false
	sim.placer.routerLost(now, router)
	sim.schedule(now+leaveTime, func(now time.Duration) {
		sim.routers[router] = true
		sim.placer.routerReturned(now, router)
	})
}
