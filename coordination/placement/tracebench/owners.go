package tracebench

import (
	"fmt"
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Sizes of the tables of an owner in the model.
const (
	indexEntries   = 4096
	pointerEntries = 16384
)

// OwnerAdmission is the way of this project, with a policy.
func OwnerAdmission(name string, policy placement.Policy) Way {
	return Way{Name: name, build: func(w *world) strategy { return newOwners(w, policy) }}
}

// owners drives packages placement and loadbound.
type owners struct {
	w       *world
	policy  placement.Policy
	names   []protocol.RouterID
	numbers map[protocol.RouterID]int
	ledgers []*loadbound.Ledger
	owners  []*placement.Owner
	sets    []*placement.Set
	// exchanges are the live routers' exchanges, wakes when they are planned
	// to be called.
	exchanges []*loadbound.Exchange
	wakes     []time.Duration
	// ownerOf is the router that holds an engine's lease, -1 for none.
	ownerOf []int
	// live is the routers that live, sorted.
	live []protocol.RouterID
	// capacity is that of the engines that are up.
	capacity float64
}

// admitted is what a request keeps of its admission.
type admitted struct {
	router int
	answer placement.Answer
}

func newOwners(w *world, policy placement.Policy) *owners {
	s := &owners{w: w, policy: policy, numbers: make(map[protocol.RouterID]int)}
	s.w.meter.sent = make([]int, len(w.routers))
	for r := range w.routers {
		name := protocol.RouterID(fmt.Sprintf("r%03d", r))
		s.names = append(s.names, name)
		s.numbers[name] = r
		s.ledgers = append(s.ledgers, nil)
		s.owners = append(s.owners, nil)
		s.sets = append(s.sets, setOf(w, w.views[r]))
		s.exchanges = append(s.exchanges, nil)
		s.wakes = append(s.wakes, 0)
		s.fresh(r)
	}
	s.ownerOf = make([]int, len(w.engines))
	for i := range s.ownerOf {
		s.ownerOf[i] = -1
	}
	s.refreshLive()
	for i := range w.engines {
		s.grant(0, i, s.chooseOwner(i))
	}
	s.refreshCapacity()
	s.rewire(0)
	return s
}

// fresh gives a router the state of a process that has just started.
func (s *owners) fresh(router int) {
	config := loadbound.DefaultConfig()
	config.Multiple = s.policy.Multiple
	s.ledgers[router] = loadbound.NewLedger(config)
	s.owners[router] = placement.NewOwner(s.ledgers[router], s.policy, pointerEntries)
}

func (s *owners) refreshLive() {
	s.live = s.live[:0:0]
	for r, up := range s.w.routers {
		if up {
			s.live = append(s.live, s.names[r])
		}
	}
}

func (s *owners) refreshCapacity() {
	s.capacity = 0
	for _, e := range s.w.engines {
		if e.up {
			s.capacity += e.capacity
		}
	}
	for _, l := range s.ledgers {
		l.SetFleetCapacity(s.capacity)
	}
}

// chooseOwner is the first live router in the order that rendezvous hashing
// gives an engine which owns no more than its even share, rounded up.
func (s *owners) chooseOwner(engine int) int {
	var list []placement.Member
	for _, name := range s.live {
		list = append(list, placement.Member{ID: protocol.UpstreamID(name), Weight: 1})
	}
	set, err := placement.NewSet(0, list)
	if err != nil {
		panic("tracebench: routers are listed once: " + err.Error())
	}
	var order [placement.MaxChoices]int32
	key := chat.ChainHash(placement.ShortID(s.w.engines[engine].id))
	n := set.Order(placement.Key{Root: key}, order[:])
	share := (len(s.w.engines) + len(s.live) - 1) / len(s.live)
	for _, position := range order[:n] {
		if router := numberOf(set.Member(position).ID); s.owned(router) < share {
			return router
		}
	}
	return numberOf(set.Member(order[0]).ID)
}

// owned counts a router's engines.
func (s *owners) owned(router int) int {
	count := 0
	for _, owner := range s.ownerOf {
		if owner == router {
			count++
		}
	}
	return count
}

// grant gives an engine's lease to a router.
func (s *owners) grant(now time.Duration, engine, router int) {
	e := s.w.engines[engine]
	e.fence++
	s.ownerOf[engine] = router
	s.ledgers[router].Acquire(now, e.id, loadbound.Grant{
		Fence:     e.fence,
		ExpiresAt: s.w.end + time.Hour,
		Capacity:  e.capacity,
		Reported:  e.reported,
	})
	s.owners[router].Hold(now, e.id, e.incarnation, indexEntries)
	for _, r := range e.running {
		s.resume(now, engine, r)
	}
}

// resume is what the entry of a running request does at a new owner.
func (s *owners) resume(now time.Duration, engine int, r *request) {
	router := s.ownerOf[engine]
	a := r.own.(admitted)
	ticket, ok := s.ledgers[router].Resume(now, s.w.engines[engine].id, a.answer.Ticket.Cost)
	if !ok {
		panic("tracebench: an owner that was just granted takes running work")
	}
	a.router = router
	a.answer.Ticket = ticket
	r.own = a
}

// place walks the order as an entry router does.
func (s *owners) place(now time.Duration, r *request) (int, bool) {
	set := s.sets[r.entry]
	request := placement.Request{
		Chain:        r.turn.chain,
		Root:         rootLink,
		OutputTokens: r.turn.expected,
		Spread:       set.Spread(s.w.trace.shares[r.turn.customer]),
	}
	walk := placement.Begin(set, s.policy, request)
	for step, ok := walk.Next(); ok; step, ok = walk.Next() {
		walk.Answered(s.ask(now, step.Ask))
	}
	result := walk.Result()
	s.count(now, result)
	if result.Verdict != placement.Admitted {
		return 0, false
	}
	if result.Moved {
		if home := s.ownerOf[numberOf(result.Home)]; home >= 0 {
			s.owners[home].Moved(now, r.turn.chain[rootLink].Hash, result.Upstream)
		}
	}
	engine := numberOf(result.Upstream)
	s.measure(now, engine, result.Reason())
	r.own = admitted{router: s.ownerOf[engine], answer: result.Answer}
	return engine, true
}

// ask carries a question to the owner.
func (s *owners) ask(now time.Duration, ask placement.Ask) placement.Answer {
	engine := numberOf(ask.Upstream)
	owner := s.ownerOf[engine]
	if owner < 0 || !s.w.engines[engine].up {
		return placement.Silent
	}
	return s.owners[owner].Ask(now, ask)
}

func (s *owners) count(now time.Duration, result placement.Result) {
	m := &s.w.meter
	if now < s.w.config.WarmUp {
		return
	}
	m.asked++
	m.asks += result.Asks
	if result.Moved {
		m.moved++
	}
	if reason := result.Reason(); reason == loadbound.Idle || reason == loadbound.OneOver {
		m.few++
	}
}

// measure compares an admission with what all owners count together. At 790
// engines one admission in a hundred is enough.
func (s *owners) measure(now time.Duration, engine int, reason loadbound.Reason) {
	if now < s.w.config.WarmUp || reason != loadbound.WithinBound {
		return
	}
	if len(s.w.engines) > 100 && s.w.rng.IntN(100) != 0 {
		return
	}
	total := 0.0
	for i, owner := range s.ownerOf {
		load := s.w.engines[i].load
		if owner >= 0 {
			load, _, _ = s.ledgers[owner].Load(now, s.w.engines[i].id)
		}
		if s.w.engines[i].up {
			total += load
		}
	}
	load, _, _ := s.ledgers[s.ownerOf[engine]].Load(now, s.w.engines[engine].id)
	skew := load / s.w.engines[engine].capacity / (total / s.capacity)
	s.w.meter.counted = max(s.w.meter.counted, skew)
}

func (s *owners) finished(now time.Duration, r *request) {
	a := r.own.(admitted)
	cached := r.saved
	if r.lost {
		cached = -1
	}
	s.owners[a.router].Finished(now, a.answer.Ticket, a.answer.Hit, cached)
}

func (s *owners) members(_ time.Duration, router int) {
	s.sets[router] = setOf(s.w, s.w.views[router])
}

// pump sends the summaries that are due at a router and plans the next call.
func (s *owners) pump(now time.Duration, router int) {
	exchange := s.exchanges[router]
	for _, peer := range exchange.Due(now) {
		s.send(now, router, s.numbers[peer])
	}
	wake := max(exchange.NextDue(), now+time.Millisecond)
	if planned := s.wakes[router]; planned > now && planned <= wake {
		return
	}
	s.wakes[router] = wake
	s.w.schedule(wake, func(now time.Duration) {
		if s.exchanges[router] == exchange && s.wakes[router] <= now {
			s.pump(now, router)
		}
	})
}

// send carries one summary to a neighbour.
func (s *owners) send(now time.Duration, router, to int) {
	summary := s.ledgers[router].Summary(now, s.names[to], s.exchanges[router].Relay())
	s.w.meter.sent[router] += loadbound.SummaryBytes
	delay := time.Millisecond + time.Duration(s.w.rng.Int64N(int64(4*time.Millisecond)))
	target := s.exchanges[to]
	s.w.schedule(now+delay, func(now time.Duration) {
		if target == nil || s.exchanges[to] != target {
			return
		}
		s.ledgers[to].Receive(now, s.names[router], summary)
		target.RecordReceived(now, s.names[router])
		s.pump(now, to)
	})
}

// forget drops a lost router's summaries everywhere.
func (s *owners) forget(router int) {
	for _, l := range s.ledgers {
		l.RemoveNeighbour(s.names[router])
	}
}

// routerLost takes a router out: its engines are without an owner until its
// lease has run out, and membership notices only after a while.
func (s *owners) routerLost(now time.Duration, router int) {
	s.exchanges[router] = nil
	s.fresh(router)
	s.ledgers[router].SetFleetCapacity(s.capacity)
	notice := func(now time.Duration) {
		s.refreshLive()
		s.forget(router)
		s.rewire(now)
	}
	if s.w.config.DetectLoss == 0 {
		notice(now)
	} else {
		s.w.schedule(now+s.w.config.DetectLoss, notice)
	}
	for i, owner := range s.ownerOf {
		if owner != router {
			continue
		}
		s.ownerOf[i] = -1
		s.w.schedule(now+ownerLease, func(now time.Duration) { s.takeOver(now, i) })
	}
}

// takeOver gives an engine whose lease ran out to a live router.
func (s *owners) takeOver(now time.Duration, engine int) {
	s.grant(now, engine, s.chooseOwner(engine))
	if !s.w.engines[engine].up {
		s.ledgers[s.ownerOf[engine]].Release(s.w.engines[engine].id)
	}
}

// rewire starts the exchange anew among the live routers, and drops views
// along links that it no longer uses.
func (s *owners) rewire(now time.Duration) {
	for r := range s.w.routers {
		s.exchanges[r] = nil
		s.wakes[r] = 0
		if !s.w.routers[r] {
			continue
		}
		start := now + time.Duration(s.w.rng.Int64N(int64(loadbound.ExchangePeriod)))
		s.exchanges[r] = loadbound.NewExchange(s.names[r], s.live, start)
		s.ledgers[r].RetainNeighbours(s.exchanges[r].Peers())
		s.pump(now, r)
	}
}

// routerBack adds a router again; it takes engines only when owners change,
// so that a restart does not move them twice.
func (s *owners) routerBack(now time.Duration, _ int) {
	s.refreshLive()
	s.rewire(now)
}

// reported feeds an engine's late report and cache events to its owner.
func (s *owners) reported(now time.Duration, engine int, batch eventBatch) {
	owner := s.ownerOf[engine]
	e := s.w.engines[engine]
	if owner < 0 {
		return
	}
	s.ledgers[owner].HandleReport(now, e.id, e.reported)
	if batch.incarnation != e.incarnation {
		return
	}
	if len(batch.events) > 0 {
		s.owners[owner].CacheEvents(now, e.id, batch.first, batch.events)
	}
}

// engineChanged tells the owner, whom the engine itself has told. Work that a
// leaver still runs is no longer the fleet's; when it returns, what is left of
// it is the floor.
func (s *owners) engineChanged(now time.Duration, engine int) {
	s.refreshCapacity()
	owner := s.ownerOf[engine]
	if owner < 0 {
		return
	}
	if s.w.engines[engine].up {
		s.grant(now, engine, owner)
		return
	}
	s.ledgers[owner].Release(s.w.engines[engine].id)
}

// numberOf is the number in an engine's name.
func numberOf(id protocol.UpstreamID) int {
	number := 0
	for _, digit := range id[1:] {
		number = number*10 + int(digit-'0')
	}
	return number
}
