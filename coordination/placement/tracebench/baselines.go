package tracebench

import (
	"math"
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
)

// Way is a way to place requests.
type Way struct {
	Name  string
	build func(w *world) strategy
}

// Baselines returns the ways that do without owners, and the all-knowing
// single router that reuse is compared with.
func Baselines() []Way {
	return []Way{
		{Name: "all-knowing", build: func(w *world) strategy { return &allKnowing{blind{w: w}} }},
		{Name: "two-choices-lagged", build: func(w *world) strategy { return &twoChoices{blind{w: w}} }},
		{Name: "least-load-lagged", build: func(w *world) strategy { return &leastLoad{blind{w: w}} }},
		{Name: "rendezvous", build: func(w *world) strategy { return newHashing(w, 0) }},
		{Name: "bounded-per-router", build: func(w *world) strategy { return newHashing(w, loadbound.DefaultMultiple) }},
	}
}

// blind is a strategy that keeps nothing; others embed it.
type blind struct{ w *world }

func (blind) finished(time.Duration, *request)        {}
func (blind) members(time.Duration, int)              {}
func (blind) engineChanged(time.Duration, int)        {}
func (blind) routerLost(time.Duration, int)           {}
func (blind) routerBack(time.Duration, int)           {}
func (blind) reported(time.Duration, int, eventBatch) {}

// allKnowing is one router that sees every cache and load as it is. Within
// the bound it takes the engine that saves most, else the least loaded.
type allKnowing struct{ blind }

func (s *allKnowing) place(_ time.Duration, r *request) (int, bool) {
	load, capacity := 0.0, 0.0
	for _, e := range s.w.engines {
		if e.up {
			load += e.load
			capacity += e.capacity
		}
	}
	best, least := -1, -1
	bestSaved := -1
	for i, e := range s.w.engines {
		if !e.up {
			continue
		}
		if least < 0 || e.load/e.capacity < s.w.engines[least].load/s.w.engines[least].capacity {
			least = i
		}
		saved := e.cache.saved(r.turn.chain)
		cost := float64(r.turn.prompt()-saved)/prefillSpeedup + float64(r.turn.expected)
		if (e.load+cost)/e.capacity > loadbound.DefaultMultiple*(load+cost)/capacity {
			continue
		}
		better := saved > bestSaved
		if saved == bestSaved {
			better = e.load/e.capacity < s.w.engines[best].load/s.w.engines[best].capacity
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

// lagged is an engine's load by its last report.
func (s *blind) lagged(i int) float64 {
	return float64(s.w.engines[i].reported.OutstandingTokens) / s.w.engines[i].capacity
}

// twoChoices draws two engines, by capacity, and takes the one with the
// lower reported load.
type twoChoices struct{ blind }

func (s *twoChoices) place(_ time.Duration, r *request) (int, bool) {
	a, b := s.draw(r.entry), s.draw(r.entry)
	if s.lagged(b) < s.lagged(a) {
		a = b
	}
	return a, true
}

func (s *twoChoices) draw(router int) int {
	for {
		i := s.w.rng.IntN(len(s.w.engines))
		if s.w.views[router][i] && s.w.rng.Float64()*1.5 < s.w.engines[i].capacity/s.w.engines[0].capacity {
			return i
		}
	}
}

// leastLoad takes the engine with the lowest reported load.
type leastLoad struct{ blind }

func (s *leastLoad) place(_ time.Duration, r *request) (int, bool) {
	best := -1
	for i := range s.w.engines {
		if s.w.views[r.entry][i] && (best < 0 || s.lagged(i) < s.lagged(best)) {
			best = i
		}
	}
	return best, best >= 0
}

// hashing is weighted rendezvous hashing; with a multiple each router bounds
// an engine's share of the work that it has sent itself.
type hashing struct {
	blind
	multiple float64
	sets     []*placement.Set
	// sent is the outstanding cost by router and engine.
	sent  [][]float64
	total []float64
}

func newHashing(w *world, multiple float64) *hashing {
	s := &hashing{blind: blind{w: w}, multiple: multiple}
	s.sets = make([]*placement.Set, len(w.routers))
	s.total = make([]float64, len(w.routers))
	for r := range w.routers {
		s.sent = append(s.sent, make([]float64, len(w.engines)))
		s.members(0, r)
	}
	return s
}

func (s *hashing) members(_ time.Duration, router int) {
	s.sets[router] = setOf(s.w, s.w.views[router])
}

// setOf builds the placement set of a view.
func setOf(w *world, view []bool) *placement.Set {
	var list []placement.Member
	for i, e := range w.engines {
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

// engineOf is the number of the engine at a position.
func engineOf(set *placement.Set, position int32) int {
	return numberOf(set.Member(position).ID)
}

func (s *hashing) place(_ time.Duration, r *request) (int, bool) {
	var order [placement.MaxChoices]int32
	set := s.sets[r.entry]
	n := set.Order(placement.Key{Root: r.turn.chain[rootLink].Hash}, order[:])
	if n == 0 {
		return 0, false
	}
	chosen := engineOf(set, order[0])
	if s.multiple > 0 {
		chosen = s.bounded(r, set, order[:n])
	}
	cost := float64(r.turn.expected) + float64(r.turn.prompt())/prefillSpeedup
	s.sent[r.entry][chosen] += cost
	s.total[r.entry] += cost
	r.own = hashed{router: r.entry, engine: chosen, cost: cost}
	return chosen, true
}

// hashed is what a request was counted as.
type hashed struct {
	router, engine int
	cost           float64
}

// bounded takes the first choice under the router's own bound, rounded up to
// one request, or the least loaded.
func (s *hashing) bounded(r *request, set *placement.Set, order []int32) int {
	cost := float64(r.turn.expected) + float64(r.turn.prompt())/prefillSpeedup
	capacity := 0.0
	for i, e := range s.w.engines {
		if s.w.views[r.entry][i] {
			capacity += e.capacity
		}
	}
	least, leastLoad := 0, math.Inf(1)
	for _, position := range order {
		i := engineOf(set, position)
		load := s.sent[r.entry][i] / s.w.engines[i].capacity
		bound := s.multiple * (s.total[r.entry] + cost) / capacity
		if s.sent[r.entry][i] == 0 || load+cost/s.w.engines[i].capacity <= bound {
			return i
		}
		if load < leastLoad {
			least, leastLoad = i, load
		}
	}
	return least
}

func (s *hashing) finished(_ time.Duration, r *request) {
	h := r.own.(hashed)
	s.sent[h.router][h.engine] -= h.cost
	s.total[h.router] -= h.cost
}
