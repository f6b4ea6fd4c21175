package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
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
	relays  []*simRelay
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
	id    int
	clock clock
	*Member
	incarnation uint64
	cut         bool
	frozen      time.Duration
	sent        int
	seen        uint64
	arrival     time.Duration
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
	s.pushLoop()
	return s
}

// start gives a router a new process.
func (s *sim) start(r *simRouter) {
	r.Member = NewMember(s.timing, ownership.Open{
		Router: protocol.RouterID(fmt.Sprint("router-", r.id)), Incarnation: r.incarnation,
		DataCentre: "a", Address: "10.0.0.1:7000", Capacity: 100,
	})
	r.guard = ownership.NewGuard(simLease{r.holder, s.mutation}, r.View().Assignment)
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
	return clock{rate: 0.94 + 0.12*s.rng.Float64(), offset: time.Duration(s.rng.IntN(1e9))}
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
		if command.Release != nil || command.Close != nil {
			s.plan(l)
		}
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
	if s.mutation == "assigned while owned" {
		for _, a := range l.machine.Ownership().Assignments() {
			if _, open := l.leader.tracker.sessions[a.Owner]; open && s.rng.IntN(20) == 0 {
				s.commit(l, fleetstate.Command{Release: &ownership.Release{Session: a.Owner, Held: []ownership.Held{{Upstream: a.Upstream, Fence: a.Fence}}}}, nil)
			}
		}
	}
	s.plan(l)
	s.leaderOut(l)
	s.after(100*time.Millisecond, nil, func() { s.leaderLoop(l) })
}

// pushLoop sends what the gap between pushes held back.
func (s *sim) pushLoop() {
	s.leaderOut(s.lead)
	gap := 10 * time.Millisecond
	if s.checking {
		gap = 50 * time.Millisecond
	}
	s.after(gap, nil, s.pushLoop)
}

// plan proposes what the planner wants; it runs by the timer and after each
// command that may have freed an upstream.
func (s *sim) plan(l *simLeader) {
	state := l.machine.Ownership()
	plan := ownership.MakePlan(state.Sessions(), s.upstreams, state.Assignments())
	if len(plan.Assign.Targets) > 0 {
		s.commit(l, fleetstate.Command{Assign: &plan.Assign}, nil)
	}
	if len(plan.Move.Upstreams) > 0 {
		s.commit(l, fleetstate.Command{Move: &plan.Move}, nil)
	}
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
					s.carryOut(r, r.OnPush(r.clock.read(s.now), got))
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
	s.deliver(r, run)
}

func (s *sim) deliver(r *simRouter, run func()) {
	at := s.now + s.latency()
	if !s.checking {
		// One connection keeps the order; storms do without it.
		at = max(at, r.arrival)
		r.arrival = at
	}
	s.after(at-s.now, r, run)
}

func (s *sim) routerLoop(r *simRouter) {
	s.routerOut(r)
	wait := max(10*time.Millisecond, min(100*time.Millisecond, r.holder.NextDue()-r.clock.read(s.now)))
	s.after(wait, r, func() { s.routerLoop(r) })
}

func (s *sim) routerOut(r *simRouter) { s.carryOut(r, r.Step(r.clock.read(s.now))) }

// carryOut does what a router's member wants done.
func (s *sim) carryOut(r *simRouter, outputs []Output) {
	for _, output := range outputs {
		switch out := output.(type) {
		case SendRenewal:
			s.renew(r, out.Renewal)
		case Propose:
			if !r.cut {
				s.propose(r, out.Command)
			}
		}
	}
}

func (s *sim) propose(r *simRouter, command fleetstate.Command) {
	member := r.Member
	s.commit(s.lead, command, func(result fleetstate.Result) {
		if command.Open == nil {
			return
		}
		s.after(s.latency(), r, func() {
			if r.Member == member {
				r.OnOpened(r.clock.read(s.now), *result.Ownership)
				s.routerOut(r)
			}
		})
	})
}

// renew sends to whichever leader is on the router's side of a cut.
func (s *sim) renew(r *simRouter, renewal Renewal) {
	holder, encoded := r.holder, codec.MarshalArrays(&renewal)
	r.sent += len(encoded) + frameBytes
	if len(s.relays) > 0 && !r.cut {
		s.renewThroughRelay(r, renewal)
		return
	}
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
	outputs := r.OnReply(now, reply)
	if s.mutation == "lease counts from the answer" && reply.Verdict == Granted {
		r.holder.until = now + s.timing.Lease
	}
	s.carryOut(r, outputs)
}
