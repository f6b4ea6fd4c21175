package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/codec"
	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
)

// frameBytes is what one message costs beside its content: the frame's length,
// the kind, and the TCP and IP headers of a packet of its own.
const frameBytes = 4 + 1 + 40

// leaderLease is how long a leader that is cut off goes on to hold its own
// lease; the next takes office after that.
const leaderLease = time.Second

// sim steps leaders and routers through simulated time. Each has its own
// clock; messages have latencies and get lost; routers freeze and are cut off;
// leaders are cut off and replaced. The committed state is one machine.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	serial  int
	events  simEvents
	machine *fleetstate.Machine
	index   uint64
	lead    *simLeader
	// old is a former leader that is cut off and does not know it.
	old     *simLeader
	routers []*simRouter
	timing  Timing
	// loss is the chance in percent that a message is lost; far is how much
	// longer than a millisecond it may take.
	loss      int
	far       time.Duration
	mutation  string
	upstreams []ownership.Upstream
	asked     map[Waiter]simChange
	inForce   []time.Duration
	revision  uint64
	broken    string
	checking  bool
}

type simChange struct {
	revision uint64
	at       time.Duration
}

// clock runs a little faster or slower than true time, from another start.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) read(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

type simLeader struct {
	clock   clock
	machine *fleetstate.Machine
	leader  *Leader
	cut     bool
	until   time.Duration
	sent    int
}

type simRouter struct {
	id          int
	clock       clock
	holder      *Holder
	guard       *ownership.Guard
	incarnation uint64
	opening     bool
	cut         bool
	frozen      time.Duration
	sent        int
	seen        uint64
}

type simEvent struct {
	at     time.Duration
	serial int
	router *simRouter
	run    func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSim(seed uint64, routers, upstreams int, mutation string) *sim {
	timing := DefaultTiming()
	if mutation == "leader waits no longer than the lease" {
		timing.Wait = timing.Lease
	}
	s := &sim{
		mutation: mutation,
		rng:      rand.New(rand.NewPCG(seed, 2)), timing: timing, far: 3 * time.Millisecond,
		machine: fleetstate.New(fleetstate.DefaultSettings()), asked: map[Waiter]simChange{},
	}
	for i := range upstreams {
		s.upstreams = append(s.upstreams, ownership.Upstream{ID: protocol.UpstreamID(fmt.Sprint("u", i)), DataCentre: "a", Capacity: 1})
	}
	s.lead = s.newLeader()
	for i := range routers {
		r := &simRouter{id: i, clock: s.clock(), incarnation: 1}
		s.start(r)
		s.routers = append(s.routers, r)
		s.after(time.Duration(s.rng.IntN(1000))*time.Millisecond, r, func() { s.routerLoop(r) })
	}
	s.leaderLoop(s.lead)
	return s
}

// start gives a router a new process.
func (s *sim) start(r *simRouter) {
	r.holder = NewHolder(s.timing, fleetstate.NewView())
	r.guard = ownership.NewGuard(simLease{r.holder, s.mutation}, r.holder.View().Assignment)
	r.opening = false
	r.seen = 0
}

// simLease lets a mutation take a check out.
type simLease struct {
	*Holder
	mutation string
}

func (l simLease) Valid(now time.Duration) bool {
	switch l.mutation {
	case "guard does not ask the lease":
		return true
	case "valid before it caught up":
		return now < l.until && l.session != ownership.NoSession
	}
	return l.Holder.Valid(now)
}

func (s *sim) clock() clock {
	return clock{rate: 0.97 + 0.06*s.rng.Float64(), offset: time.Duration(s.rng.IntN(1e9))}
}

func (s *sim) newLeader() *simLeader {
	l := &simLeader{clock: s.clock(), machine: s.machine, until: 1 << 62}
	l.leader = NewLeader(s.timing, s.machine)
	l.leader.TakeOffice(l.clock.read(s.now))
	if s.mutation == "new leader does not wait" {
		for _, session := range l.leader.tracker.sessions {
			session.renewedAt -= time.Hour
		}
	}
	return l
}

func (s *sim) after(wait time.Duration, router *simRouter, run func()) {
	s.serial++
	heap.Push(&s.events, simEvent{s.now + wait, s.serial, router, run})
}

func (s *sim) latency() time.Duration {
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(s.far)))
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until && s.broken == "" {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		if s.checking {
			s.check()
		}
		if e.router != nil && s.now < e.router.frozen {
			s.after(e.router.frozen-s.now, e.router, e.run)
			continue
		}
		e.run()
	}
	s.now = max(s.now, until)
}

// commit applies a command that the present leader proposed. In a storm one in
// five is sent and committed again, late.
func (s *sim) commit(l *simLeader, command fleetstate.Command, done func(fleetstate.Result)) {
	s.commitAfter(s.latency()+2*time.Millisecond, l, command, done)
	if s.checking && s.rng.IntN(5) == 0 {
		s.commitAfter(time.Duration(s.rng.IntN(2e9)), l, command, nil)
	}
}

func (s *sim) commitAfter(wait time.Duration, l *simLeader, command fleetstate.Command, done func(fleetstate.Result)) {
	s.after(wait, nil, func() {
		if l != s.lead || l.cut {
			return
		}
		if s.mutation == "a late release counts" && command.Release != nil {
			now, _ := s.machine.Ownership().Assignment(command.Release.Held[0].Upstream)
			command.Release.Held[0].Fence = now.Fence
		}
		s.index++
		result, _ := fleetstate.DecodeResult(s.machine.Apply(s.index, command.Encode()))
		l.leader.Applied(l.clock.read(s.now))
		if done != nil {
			done(result)
		}
		s.leaderOut(l)
	})
}

// leaderLoop is the leader's timer.
func (s *sim) leaderLoop(l *simLeader) {
	now := l.clock.read(s.now)
	for _, id := range l.leader.Tick(now) {
		s.commit(l, fleetstate.Command{Close: &ownership.Close{Session: id}}, nil)
	}
	state := l.machine.Ownership()
	plan := ownership.MakePlan(state.Sessions(), s.upstreams, state.Assignments())
	if s.mutation == "assigned while owned" {
		for _, a := range state.Assignments() {
			if _, open := l.leader.tracker.sessions[a.Owner]; open && s.rng.IntN(20) == 0 {
				s.commit(l, fleetstate.Command{Release: &ownership.Release{Session: a.Owner, Held: []ownership.Held{{Upstream: a.Upstream, Fence: a.Fence}}}}, nil)
			}
		}
	}
	if len(plan.Assign.Targets) > 0 {
		s.commit(l, fleetstate.Command{Assign: &plan.Assign}, nil)
	}
	if len(plan.Move.Upstreams) > 0 {
		s.commit(l, fleetstate.Command{Move: &plan.Move}, nil)
	}
	s.leaderOut(l)
	s.after(100*time.Millisecond, nil, func() { s.leaderLoop(l) })
}

// leaderOut sends pushes and notes what came into force.
func (s *sim) leaderOut(l *simLeader) {
	now := l.clock.read(s.now)
	for _, push := range l.leader.Pushes(now) {
		encoded := codec.MarshalArrays(&push)
		l.sent += len(encoded) + frameBytes
		for _, r := range s.routers {
			if r.holder.Session() == push.Session {
				s.toRouter(l, r, func() {
					var got Push
					_ = codec.Unmarshal(encoded, &got)
					r.holder.OnDelta(r.clock.read(s.now), got.Delta)
					s.routerOut(r)
				})
			}
		}
	}
	if !s.leading(l) {
		return
	}
	for _, waiter := range l.leader.TakeInForce() {
		change := s.asked[waiter]
		s.inForce = append(s.inForce, s.now-change.at)
		s.revision = max(s.revision, change.revision)
	}
}

func (s *sim) leading(l *simLeader) bool {
	return s.mutation == "old leader grants" || s.now < l.until
}

// toRouter delivers unless lost or cut off. The side of a cut-off leader is
// the cut-off routers.
func (s *sim) toRouter(l *simLeader, r *simRouter, run func()) {
	if s.rng.IntN(100) < s.loss || l.cut != r.cut {
		return
	}
	s.after(s.latency(), r, run)
}

func (s *sim) routerLoop(r *simRouter) {
	s.routerOut(r)
	wait := max(10*time.Millisecond, min(100*time.Millisecond, r.holder.NextDue()-r.clock.read(s.now)))
	s.after(wait, r, func() { s.routerLoop(r) })
}

// routerOut opens a session, renews, and releases what it is asked to.
func (s *sim) routerOut(r *simRouter) {
	now := r.clock.read(s.now)
	if r.holder.Session() == ownership.NoSession {
		s.openSession(r)
		return
	}
	if r.holder.RenewalDue(now) {
		s.renew(r, r.holder.Renew(now))
	}
	for _, upstream := range s.upstreams {
		a, _ := r.holder.View().Assignment(upstream.ID)
		if a.Moving && a.Owner == r.holder.Session() && !r.cut {
			held := r.guard.Release(a.Upstream)
			s.commit(s.lead, fleetstate.Command{Release: &ownership.Release{Session: a.Owner, Held: []ownership.Held{held}}}, nil)
		}
	}
}

func (s *sim) openSession(r *simRouter) {
	if r.opening || r.cut {
		return
	}
	r.opening = true
	holder := r.holder
	s.after(time.Second, nil, func() { r.opening = false })
	open := &ownership.Open{Router: protocol.RouterID(fmt.Sprint("router-", r.id)), Incarnation: r.incarnation, DataCentre: "a", Address: "10.0.0.1:7000", Capacity: 100}
	s.commit(s.lead, fleetstate.Command{Open: open}, func(result fleetstate.Result) {
		if result.Ownership.Outcome != ownership.Done {
			return
		}
		s.after(s.latency(), r, func() {
			if r.holder != holder {
				return
			}
			r.opening = false
			r.holder.Opened(r.clock.read(s.now), result.Ownership.Session)
			s.routerOut(r)
		})
	})
}

// renew sends to whichever leader is on the router's side of a cut.
func (s *sim) renew(r *simRouter, renewal Renewal) {
	holder, encoded := r.holder, codec.MarshalArrays(&renewal)
	r.sent += len(encoded) + frameBytes
	l := s.lead
	if r.cut && s.old != nil {
		l = s.old
	}
	if s.rng.IntN(100) < s.loss || l.cut != r.cut {
		return
	}
	s.after(s.latency(), nil, func() {
		var got Renewal
		_ = codec.Unmarshal(encoded, &got)
		if session := l.leader.tracker.sessions[got.Session]; session != nil && s.mutation == "run-out session is granted" {
			session.expired = false
			session.renewedAt = l.clock.read(s.now)
		}
		reply := l.leader.OnRenewal(l.clock.read(s.now), s.leading(l), got)
		encoded := codec.MarshalArrays(&reply)
		l.sent += len(encoded) + frameBytes
		s.leaderOut(l)
		s.toRouter(l, r, func() {
			if r.holder == holder {
				s.replied(r, encoded)
			}
		})
	})
}

func (s *sim) replied(r *simRouter, encoded []byte) {
	var reply Reply
	_ = codec.Unmarshal(encoded, &reply)
	now := r.clock.read(s.now)
	r.holder.OnReply(now, reply)
	if s.mutation == "lease counts from the answer" && reply.Verdict == Granted {
		r.holder.until = now + s.timing.Lease
	}
	s.routerOut(r)
}

// cutLeader puts the leader and some routers on the far side of a partition
// for a while. It keeps its copy of the state; a new leader takes office once
// the old one's lease has run out.
func (s *sim) cutLeader(length time.Duration) {
	if s.old != nil || s.lead.cut {
		return
	}
	old := s.lead
	copied := fleetstate.New(fleetstate.DefaultSettings())
	if err := copied.Restore(s.machine.Snapshot()); err != nil {
		panic(err)
	}
	old.cut, old.machine, old.leader.machine = true, copied, copied
	old.until = s.now + leaderLease
	s.old = old
	for _, r := range s.routers {
		r.cut = s.rng.IntN(2) == 0
	}
	s.after(leaderLease, nil, func() {
		s.lead = s.newLeader()
		s.leaderLoop(s.lead)
	})
	s.after(leaderLease+length, nil, func() {
		s.old = nil
		for _, r := range s.routers {
			r.cut = false
		}
	})
}

// change lets an operator write one row and wait for it to be in force.
func (s *sim) change(key string) {
	at := s.now
	lead := s.lead
	cells := []table.Cell{{Column: "weight", Value: fmt.Sprint(1 + s.rng.IntN(999))}}
	expect := s.machine.Table().Revision(table.Customers, key)
	if expect == 0 {
		cells = append(cells, table.Cell{Column: "key_hashes", Value: fmt.Sprintf("%064x", s.rng.Uint64())})
	}
	s.serial++
	waiter := Waiter(s.serial)
	change := &table.Change{ID: fmt.Sprint(waiter), Who: "ana", Edits: []table.Edit{{Sheet: table.Customers, Key: key, Expect: expect, Cells: cells}}}
	s.commit(lead, fleetstate.Command{Change: change}, func(result fleetstate.Result) {
		if result.Change.Outcome == table.Committed {
			s.asked[waiter] = simChange{result.Change.Revision, at}
			lead.leader.Await(result.Change.Revision, waiter)
		}
	})
}

// check looks whether a promise is broken at this moment.
func (s *sim) check() {
	for _, upstream := range s.upstreams {
		owners := 0
		for _, r := range s.routers {
			if s.now < r.frozen {
				continue
			}
			if _, verdict := r.guard.MayAdmit(r.clock.read(s.now), upstream.ID); verdict == ownership.Allowed {
				owners++
			}
		}
		if owners > 1 {
			s.broken = fmt.Sprintf("%d routers admit to %s at %v", owners, upstream.ID, s.now)
		}
	}
	for _, r := range s.routers {
		revision := r.holder.View().Revision()
		if s.now >= r.frozen && revision < s.revision && (simLease{r.holder, s.mutation}).Valid(r.clock.read(s.now)) {
			s.broken = fmt.Sprintf("router %d serves revision %d, but %d is in force at %v", r.id, revision, s.revision, s.now)
		}
		if revision < r.seen {
			s.broken = fmt.Sprintf("router %d went back to revision %d at %v", r.id, revision, s.now)
		}
		r.seen = revision
	}
}
