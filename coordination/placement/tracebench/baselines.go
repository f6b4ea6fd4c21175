package tracebench

import (
	"math"
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
)

// Strategy is a named method of placing requests. Run builds its placer.
type Strategy struct {
	Name  string
	build func(sim *simulation) placer
}

// Baselines returns the strategies that do without owners, and a single router
// that knows everything, which reuse is compared with.
func Baselines() []Strategy {
	return []Strategy{
		{Name: "all-knowing", build: func(sim *simulation) placer { return &allKnowing{noState{sim: sim}} }},
		{Name: "two-choices-lagged", build: func(sim *simulation) placer { return &twoChoices{noState{sim: sim}} }},
		{Name: "least-load-lagged", build: func(sim *simulation) placer { return &leastLoad{noState{sim: sim}} }},
		{Name: "rendezvous", build: func(sim *simulation) placer { return newRendezvousHashing(sim, 0) }},
		{Name: "bounded-per-router", build: func(sim *simulation) placer { return newRendezvousHashing(sim, loadbound.DefaultMultiple) }},
	}
}

// noState is embedded by placers. It ignores all events.
type noState struct{ sim *simulation }

func (noState) finished(time.Duration, *request)        {}
func (noState) viewChanged(time.Duration, int)          {}
func (noState) engineChanged(time.Duration, int)        {}
func (noState) routerLost(time.Duration, int)           {}
func (noState) routerReturned(time.Duration, int)       {}
func (noState) reported(time.Duration, int, eventBatch) {}

// allKnowing is a single router that knows the present content of every cache
// and every load. Within the bound it takes the engine that saves most,
// otherwise the least loaded.
type allKnowing struct{ noState }

func (s *allKnowing) place(_ time.Duration, r *request) (int, bool) {
	load, capacity := 0.0, 0.0
	for _, e := range s.sim.engines {
		if e.up {
			load += e.load
			capacity += e.capacity
		}
	}
	best, least := -1, -1
	bestSaved := -1
	for i, e := range s.sim.engines {
		if !e.up {
			continue
		}
		if least < 0 || e.load/e.capacity < s.sim.engines[least].load/s.sim.engines[least].capacity {
			least = i
		}
		saved := e.cache.saved(r.turn.chain)
		cost := float64(r.turn.prompt()-saved)/prefillSpeedup + float64(r.turn.expected)
		if (e.load+cost)/e.capacity > loadbound.DefaultMultiple*(load+cost)/capacity {
			continue
		}
		better := saved > bestSaved
		if saved == bestSaved {
			better = e.load/e.capacity < s.sim.engines[best].load/s.sim.engines[best].capacity
		}
		if better {
			best, bestSaved = i, saved
		}
	}
	if best < 0 {
		best = least
	}
	return best, best >= 0
}

// reportedLoad is an engine's load over capacity in its last report.
func (s *noState) reportedLoad(i int) float64 {
	return float64(s.sim.engines[i].reported.OutstandingTokens) / s.sim.engines[i].capacity
}

// twoChoices draws two engines, with probabilities in proportion to capacity,
// and takes the one with the lower reported load.
type twoChoices struct{ noState }

func (s *twoChoices) place(_ time.Duration, r *request) (int, bool) {
	a, b := s.draw(r.entry), s.draw(r.entry)
	if s.reportedLoad(b) < s.reportedLoad(a) {
		a = b
	}
	return a, true
}

func (s *twoChoices) draw(router int) int {
	for {
		i := s.sim.rng.IntN(len(s.sim.engines))
		if s.sim.views[router][i] && s.sim.rng.Float64()*1.5 < s.sim.engines[i].capacity/s.sim.engines[0].capacity {
			return i
		}
	}
}

// leastLoad takes the engine with the lowest reported load.
type leastLoad struct{ noState }

func (s *leastLoad) place(_ time.Duration, r *request) (int, bool) {
	best := -1
	for i := range s.sim.engines {
		if s.sim.views[r.entry][i] && (best < 0 || s.reportedLoad(i) < s.reportedLoad(best)) {
			best = i
		}
	}
	return best, best >= 0
}

// rendezvousHashing places requests by weighted rendezvous hashing. With a
// multiple, each router bounds an engine's share of the work that this router
// has sent.
type rendezvousHashing struct {
	noState
	multiple float64
	sets     []*placement.Set
	// sent is the cost in flight by router and engine.
	sent  [][]float64
	total []float64
}

func newRendezvousHashing(sim *simulation, multiple float64) *rendezvousHashing {
	s := &rendezvousHashing{noState: noState{sim: sim}, multiple: multiple}
	s.sets = make([]*placement.Set, len(sim.routers))
	s.total = make([]float64, len(sim.routers))
	for r := range sim.routers {
		s.sent = append(s.sent, make([]float64, len(sim.engines)))
		s.viewChanged(0, r)
	}
	return s
}

func (s *rendezvousHashing) viewChanged(_ time.Duration, router int) {
	s.sets[router] = setOf(s.sim, s.sim.views[router])
}

// setOf builds the placement set of a router's view.
func setOf(sim *simulation, view []bool) *placement.Set {
	var list []placement.Member
	for i, e := range sim.engines {
		if view[i] {
			list = append(list, placement.Member{ID: e.id, Weight: e.capacity})
		}
	}
	set, err := placement.NewSet(0, list)
	if err != nil {
		panic("tracebench: engines have positive capacity: " + err.Error())
	}
	return set
}

// engineOf is the number of the engine at a position of the set.
func engineOf(set *placement.Set, position int32) int {
	return numberOf(set.Member(position).ID)
}

func (s *rendezvousHashing) place(_ time.Duration, r *request) (int, bool) {
	var order [placement.MaxChoices]int32
	set := s.sets[r.entry]
	n := set.Order(placement.Key{Root: r.turn.chain[rootIndex].Hash}, order[:])
	if n == 0 {
		return 0, false
	}
	chosen := engineOf(set, order[0])
	if s.multiple > 0 {
		chosen = s.chooseWithinBound(r, set, order[:n])
	}
	cost := float64(r.turn.expected) + float64(r.turn.prompt())/prefillSpeedup
	s.sent[r.entry][chosen] += cost
	s.total[r.entry] += cost
	r.placerState = hashingState{router: r.entry, engine: chosen, cost: cost}
	return chosen, true
}

// hashingState is what a request was counted as.
type hashingState struct {
	router, engine int
	cost           float64
}

// chooseWithinBound takes the first choice within the router's own bound,
// which always allows one request, or else the least loaded choice.
func (s *rendezvousHashing) chooseWithinBound(r *request, set *placement.Set, order []int32) int {
	cost := float64(r.turn.expected) + float64(r.turn.prompt())/prefillSpeedup
	capacity := 0.0
	for i, e := range s.sim.engines {
		if s.sim.views[r.entry][i] {
			capacity += e.capacity
		}
	}
	least, leastLoad := 0, math.Inf(1)
	for _, position := range order {
		i := engineOf(set, position)
		load := s.sent[r.entry][i] / s.sim.engines[i].capacity
		bound := s.multiple * (s.total[r.entry] + cost) / capacity
		if s.sent[r.entry][i] == 0 || load+cost/s.sim.engines[i].capacity <= bound {
			return i
		}
		if load < leastLoad {
			least, leastLoad = i, load
		}
	}
	return least
}

func (s *rendezvousHashing) finished(_ time.Duration, r *request) {
	h := r.placerState.(hashingState)
	s.sent[h.router][h.engine] -= h.cost
	s.total[h.router] -= h.cost
}
