package tracebench

import (
	"fmt"
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Sizes of the tables of an owner in the simulation.
const (
	indexEntries   = 4096
	pointerEntries = 16384
)

// OwnerAdmission returns the strategy of packages placement and loadbound, in
// which owners admit requests, with a policy.
func OwnerAdmission(name string, policy placement.Policy) Strategy {
	return Strategy{Name: name, build: func(sim *simulation) placer { return newOwnersPlacer(sim, policy) }}
}

// ownersPlacer runs packages placement and loadbound for all routers.
type ownersPlacer struct {
	sim     *simulation
	policy  placement.Policy
	names   []protocol.RouterID
	numbers map[protocol.RouterID]int
	ledgers []*loadbound.Ledger
	owners  []*placement.Owner
	sets    []*placement.Set
	// exchanges are the exchanges of the live routers, nil for the others.
	// wakeAt is when each is planned to be called next.
	exchanges []*loadbound.Exchange
	wakeAt    []time.Duration
	// ownerOf is the router that holds an engine's lease, -1 for none.
	ownerOf []int
	// live holds the routers that are up, sorted.
	live []protocol.RouterID
	// capacity is the sum over the engines that are up.
	capacity float64
}

// ownersState is what a request keeps of its admission.
type ownersState struct {
	router int
	answer placement.Answer
}

func newOwnersPlacer(sim *simulation, policy placement.Policy) *ownersPlacer {
	s := &ownersPlacer{sim: sim, policy: policy, numbers: make(map[protocol.RouterID]int)}
	s.sim.meter.sent = make([]int, len(sim.routers))
	for r := range sim.routers {
		name := protocol.RouterID(fmt.Sprintf("r%03d", r))
		s.names = append(s.names, name)
		s.numbers[name] = r
		s.ledgers = append(s.ledgers, nil)
		s.owners = append(s.owners, nil)
		s.sets = append(s.sets, setOf(sim, sim.views[r]))
		s.exchanges = append(s.exchanges, nil)
		s.wakeAt = append(s.wakeAt, 0)
		s.resetRouter(r)
	}
	s.ownerOf = make([]int, len(sim.engines))
	for i := range s.ownerOf {
		s.ownerOf[i] = -1
	}
	s.refreshLive()
	for i := range sim.engines {
		s.grant(0, i, s.chooseOwner(i))
	}
	s.refreshCapacity()
	s.rebuildExchanges(0)
	return s
}

// resetRouter gives a router the state of a process that has just started.
func (s *ownersPlacer) resetRouter(router int) {
	config := loadbound.DefaultConfig()
	config.Multiple = s.policy.Multiple
	s.ledgers[router] = loadbound.NewLedger(config)
	s.owners[router] = placement.NewOwner(s.ledgers[router], s.policy, pointerEntries)
}

func (s *ownersPlacer) refreshLive() {
	s.live = s.live[:0:0]
	for r, up := range s.sim.routers {
		if up {
			s.live = append(s.live, s.names[r])
		}
	}
}

func (s *ownersPlacer) refreshCapacity() {
	s.capacity = 0
	for _, e := range s.sim.engines {
		if e.up {
			s.capacity += e.capacity
		}
	}
	for _, l := range s.ledgers {
		l.SetFleetCapacity(s.capacity)
	}
}

// chooseOwner returns the first live router, in the rendezvous order for the
// engine, that owns less than its even share of the engines, rounded up, or
// the first of that order if none does.
func (s *ownersPlacer) chooseOwner(engine int) int {
	var list []placement.Member
	for _, name := range s.live {
		list = append(list, placement.Member{ID: protocol.UpstreamID(name), Weight: 1})
	}
	set, err := placement.NewSet(0, list)
	if err != nil {
		panic("tracebench: routers are listed once: " + err.Error())
	}
	var order [placement.MaxChoices]int32
	key := chat.ChainHash(placement.ShortID(s.sim.engines[engine].id))
	n := set.Order(placement.Key{Root: key}, order[:])
	share := (len(s.sim.engines) + len(s.live) - 1) / len(s.live)
	for _, position := range order[:n] {
		if router := numberOf(set.Member(position).ID); s.owned(router) < share {
			return router
		}
	}
	return numberOf(set.Member(order[0]).ID)
}

// owned is the number of engines that a router owns.
func (s *ownersPlacer) owned(router int) int {
	count := 0
	for _, owner := range s.ownerOf {
		if owner == router {
			count++
		}
	}
	return count
}

// grant gives an engine's lease to a router.
func (s *ownersPlacer) grant(now time.Duration, engine, router int) {
	e := s.sim.engines[engine]
	e.fence++
	s.ownerOf[engine] = router
	s.ledgers[router].Acquire(now, e.id, loadbound.Grant{
		Fence:     e.fence,
		ExpiresAt: s.sim.end + time.Hour,
		Capacity:  e.capacity,
		Reported:  e.reported,
	})
	s.owners[router].AddUpstream(now, e.id, e.incarnation, indexEntries)
	for _, r := range e.running {
		s.resume(now, engine, r)
	}
}

// resume adds a running request to the load at the engine's new owner, as its
// entry router would.
func (s *ownersPlacer) resume(now time.Duration, engine int, r *request) {
	router := s.ownerOf[engine]
	a := r.placerState.(ownersState)
	ticket, ok := s.ledgers[router].Resume(now, s.sim.engines[engine].id, a.answer.Ticket.Cost)
	if !ok {
		panic("tracebench: an owner that was just granted takes running work")
	}
	a.router = router
	a.answer.Ticket = ticket
	r.placerState = a
}

// place walks the order as an entry router does.
func (s *ownersPlacer) place(now time.Duration, r *request) (int, bool) {
	set := s.sets[r.entry]
	request := placement.Request{
		Chain:        r.turn.chain,
		RootIndex:    rootIndex,
		OutputTokens: r.turn.expected,
		GroupShare:   set.GroupShare(s.sim.trace.shares[r.turn.customer]),
	}
	walk := placement.StartWalk(set, s.policy, request)
	for step, ok := walk.Next(); ok; step, ok = walk.Next() {
		walk.HandleAnswer(s.sendQuery(now, step.Query))
	}
	result := walk.Result()
	s.countQueries(now, result)
	if result.Verdict != placement.Admitted {
		return 0, false
	}
	if result.Moved {
		if owner := s.ownerOf[numberOf(result.FirstChoice)]; owner >= 0 {
			s.owners[owner].RecordMove(now, r.turn.chain[rootIndex].Hash, result.Upstream)
		}
	}
	engine := numberOf(result.Upstream)
	s.measureCounted(now, engine, result.Reason())
	r.placerState = ownersState{router: s.ownerOf[engine], answer: result.Answer}
	return engine, true
}

// sendQuery passes a query to the owner.
func (s *ownersPlacer) sendQuery(now time.Duration, query placement.Query) placement.Answer {
	engine := numberOf(query.Upstream)
	owner := s.ownerOf[engine]
	if owner < 0 || !s.sim.engines[engine].up {
		return placement.NoAnswer
	}
	return s.owners[owner].HandleQuery(now, query)
}

func (s *ownersPlacer) countQueries(now time.Duration, result placement.Result) {
	m := &s.sim.meter
	if now < s.sim.config.WarmUp {
		return
	}
	m.walks++
	m.queries += result.Queries
	if result.Moved {
		m.moved++
	}
	if reason := result.Reason(); reason == loadbound.Idle || reason == loadbound.OneOver {
		m.idleOrOneOver++
	}
}

// measureCounted compares an admission with the sum that all owners count.
// With 790 engines it measures one admission in a hundred, which is enough.
func (s *ownersPlacer) measureCounted(now time.Duration, engine int, reason loadbound.Reason) {
	if now < s.sim.config.WarmUp || reason != loadbound.WithinBound {
		return
	}
	if len(s.sim.engines) > 100 && s.sim.rng.IntN(100) != 0 {
		return
	}
	total := 0.0
	for i, owner := range s.ownerOf {
		load := s.sim.engines[i].load
		if owner >= 0 {
			load, _, _ = s.ledgers[owner].Load(now, s.sim.engines[i].id)
		}
		if s.sim.engines[i].up {
			total += load
		}
	}
	load, _, _ := s.ledgers[s.ownerOf[engine]].Load(now, s.sim.engines[engine].id)
	skew := load / s.sim.engines[engine].capacity / (total / s.capacity)
	s.sim.meter.counted = max(s.sim.meter.counted, skew)
}

func (s *ownersPlacer) finished(now time.Duration, r *request) {
	a := r.placerState.(ownersState)
	cached := r.saved
	if r.lost {
		cached = -1
	}
	s.owners[a.router].Finish(now, a.answer.Ticket, a.answer.Hit, cached)
}

func (s *ownersPlacer) viewChanged(_ time.Duration, router int) {
	s.sets[router] = setOf(s.sim, s.sim.views[router])
}

// sendDue sends the load summaries that are due at a router and schedules its
// next call.
func (s *ownersPlacer) sendDue(now time.Duration, router int) {
	exchange := s.exchanges[router]
	for _, peer := range exchange.Due(now) {
		s.send(now, router, s.numbers[peer])
	}
	wake := max(exchange.NextDue(), now+time.Millisecond)
	if planned := s.wakeAt[router]; planned > now && planned <= wake {
		return
	}
	s.wakeAt[router] = wake
	s.sim.schedule(wake, func(now time.Duration) {
		if s.exchanges[router] == exchange && s.wakeAt[router] <= now {
			s.sendDue(now, router)
		}
	})
}

// send sends one summary to a neighbour.
func (s *ownersPlacer) send(now time.Duration, router, to int) {
	summary := s.ledgers[router].Summary(now, s.names[to], s.exchanges[router].Relay())
	s.sim.meter.sent[router] += loadbound.SummaryBytes
	delay := time.Millisecond + time.Duration(s.sim.rng.Int64N(int64(4*time.Millisecond)))
	target := s.exchanges[to]
	s.sim.schedule(now+delay, func(now time.Duration) {
		if target == nil || s.exchanges[to] != target {
			return
		}
		s.ledgers[to].Receive(now, s.names[router], summary)
		target.RecordReceived(now, s.names[router])
		s.sendDue(now, to)
	})
}

// forgetRouter removes a lost router's summaries from all ledgers.
func (s *ownersPlacer) forgetRouter(router int) {
	for _, l := range s.ledgers {
		l.RemoveNeighbour(s.names[router])
	}
}

// routerLost removes a router. Its engines have no owner until its lease has
// expired, and the other routers notice its loss only after
// LossDetectionDelay.
func (s *ownersPlacer) routerLost(now time.Duration, router int) {
	s.exchanges[router] = nil
	s.resetRouter(router)
	s.ledgers[router].SetFleetCapacity(s.capacity)
	notice := func(now time.Duration) {
		s.refreshLive()
		s.forgetRouter(router)
		s.rebuildExchanges(now)
	}
	if s.sim.config.LossDetectionDelay == 0 {
		notice(now)
	} else {
		s.sim.schedule(now+s.sim.config.LossDetectionDelay, notice)
	}
	for i, owner := range s.ownerOf {
		if owner != router {
			continue
		}
		s.ownerOf[i] = -1
		s.sim.schedule(now+ownerLease, func(now time.Duration) { s.takeOver(now, i) })
	}
}

// takeOver grants an engine whose owner's lease has expired to a live router.
func (s *ownersPlacer) takeOver(now time.Duration, engine int) {
	s.grant(now, engine, s.chooseOwner(engine))
	if !s.sim.engines[engine].up {
		s.ledgers[s.ownerOf[engine]].Release(s.sim.engines[engine].id)
	}
}

// rebuildExchanges starts new exchanges among the live routers, and drops the
// views of neighbours that a router no longer has.
func (s *ownersPlacer) rebuildExchanges(now time.Duration) {
	for r := range s.sim.routers {
		s.exchanges[r] = nil
		s.wakeAt[r] = 0
		if !s.sim.routers[r] {
			continue
		}
		start := now + time.Duration(s.sim.rng.Int64N(int64(loadbound.ExchangePeriod)))
		s.exchanges[r] = loadbound.NewExchange(s.names[r], s.live, start)
		s.ledgers[r].RetainNeighbours(s.exchanges[r].Peers())
		s.sendDue(now, r)
	}
}

// routerReturned adds a router again. It owns no engine until some engine
// needs a new owner, so that a restart does not move engines twice.
func (s *ownersPlacer) routerReturned(now time.Duration, _ int) {
	s.refreshLive()
	s.rebuildExchanges(now)
}

// reported passes an engine's late load report and cache events to its owner.
func (s *ownersPlacer) reported(now time.Duration, engine int, batch eventBatch) {
	owner := s.ownerOf[engine]
	e := s.sim.engines[engine]
	if owner < 0 {
		return
	}
	s.ledgers[owner].HandleReport(now, e.id, e.reported)
	if batch.incarnation != e.incarnation {
		return
	}
	if len(batch.events) > 0 {
		s.owners[owner].HandleCacheEvents(now, e.id, batch.first, batch.events)
	}
}

// engineChanged updates the owner, which learns of the change from the engine
// itself. Work that a leaving engine still runs no longer counts in the
// fleet's load. When the engine returns, what is left of this work is the
// floor of its load.
func (s *ownersPlacer) engineChanged(now time.Duration, engine int) {
	s.refreshCapacity()
	owner := s.ownerOf[engine]
	if owner < 0 {
		return
	}
	if s.sim.engines[engine].up {
		s.grant(now, engine, owner)
		return
	}
	s.ledgers[owner].Release(s.sim.engines[engine].id)
}

// numberOf is the number in the ID of an engine or router.
func numberOf(id protocol.UpstreamID) int {
	number := 0
	for _, digit := range id[1:] {
		number = number*10 + int(digit-'0')
	}
	return number
}
