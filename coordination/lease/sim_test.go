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

// frameBytes is the overhead of one message: the frame's length, the kind, and
// the TCP and IP headers of a packet of its own.
const frameBytes = 4 + 1 + 40

// leaderLease is how long a partitioned leader continues to hold its own
// lease. The next leader starts its term after that.
const leaderLease = time.Second

// sim runs leaders and routers in simulated time. Each has its own clock.
// Messages have latencies and get lost, routers freeze and are partitioned,
// and leaders are partitioned and replaced. All share one committed state
// machine.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	serial  int
	events  simEvents
	machine *fleetstate.Machine
	index   uint64
	current *simLeader
	// old is a former leader that is partitioned and does not know that it was
	// replaced.
	old     *simLeader
	routers []*simRouter
	relays  []*simRelay
	timing  Timing
	// loss is the probability in percent that a message is lost. A message
	// takes a millisecond and up to extraLatency more.
	loss         int
	extraLatency time.Duration
	// mutation names the rule that is switched off, if any.
	mutation  string
	upstreams []ownership.Upstream
	awaited   map[Waiter]simChange
	// inForce holds, for each change that came into force, how long that took.
	inForce []time.Duration
	// inForceRevision is the newest revision that an operator was told is in
	// force.
	inForceRevision uint64
	// violation describes the first invariant that was broken. It ends the run.
	violation string
	// checking is set in runs with faults: each event checks the invariants.
	checking bool
}

// simChange is a change whose operator waits for it to be in force.
type simChange struct {
	revision uint64
	at       time.Duration
}

// clock runs slightly faster or slower than true time, from a start of its
// own.
type clock struct {
	rate   float64
	offset time.Duration
}

func (c clock) read(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

type simLeader struct {
	clock       clock
	machine     *fleetstate.Machine
	leader      *Leader
	partitioned bool
	// leaseUntil is when the leader's own lease ends, in true time.
	leaseUntil time.Duration
	sent       int
}

type simRouter struct {
	id    int
	clock clock
	*Member
	incarnation  uint64
	partitioned  bool
	frozenUntil  time.Duration
	sent         int
	lastRevision uint64
	lastArrival  time.Duration
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
		timing.ExpireAfter = timing.Lease
	}
	s := &sim{
		mutation: mutation,
		rng:      rand.New(rand.NewPCG(seed, 2)), timing: timing, extraLatency: 3 * time.Millisecond,
		machine: fleetstate.New(fleetstate.DefaultSettings()), awaited: map[Waiter]simChange{},
	}
	for i := range upstreams {
		s.upstreams = append(s.upstreams, ownership.Upstream{ID: protocol.UpstreamID(fmt.Sprint("u", i)), DataCentre: "a", Capacity: 1})
	}
	s.current = s.newLeader()
	for i := range routers {
		r := &simRouter{id: i, clock: s.clock(), incarnation: 1}
		s.startProcess(r)
		s.routers = append(s.routers, r)
		s.after(time.Duration(s.rng.IntN(1000))*time.Millisecond, r, func() { s.routerLoop(r) })
	}
	s.leaderLoop(s.current)
	s.pushLoop()
	return s
}

// startProcess gives a router a new process.
func (s *sim) startProcess(r *simRouter) {
	r.Member = NewMember(s.timing, ownership.Open{
		Router: protocol.RouterID(fmt.Sprint("router-", r.id)), Incarnation: r.incarnation,
		DataCentre: "a", Address: "10.0.0.1:7000", Capacity: 100,
	})
	r.guard = ownership.NewGuard(simLease{r.holder, s.mutation}, r.View().Assignment)
	r.lastRevision = 0
}

// simLease lets a mutation switch off a check of the lease.
type simLease struct {
	*Holder
	mutation string
}

func (l simLease) Valid(now time.Duration) bool {
	switch l.mutation {
	case "guard does not check the lease":
		return true
	case "valid before it caught up":
		return now < l.expiresAt && l.session != ownership.NoSession
	}
	return l.Holder.Valid(now)
}

func (s *sim) clock() clock {
	return clock{rate: 0.94 + 0.12*s.rng.Float64(), offset: time.Duration(s.rng.IntN(1e9))}
}

func (s *sim) newLeader() *simLeader {
	l := &simLeader{clock: s.clock(), machine: s.machine, leaseUntil: 1 << 62}
	l.leader = NewLeader(s.timing, s.machine)
	l.leader.StartTerm(l.clock.read(s.now))
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
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(s.extraLatency)))
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until && s.violation == "" {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		if s.checking {
			s.checkInvariants()
		}
		if e.router != nil && s.now < e.router.frozenUntil {
			s.after(e.router.frozenUntil-s.now, e.router, e.run)
			continue
		}
		e.run()
	}
	s.now = max(s.now, until)
}

// commit applies a command that the current leader proposed. In runs with
// faults, one command in five is committed a second time, late.
func (s *sim) commit(l *simLeader, command fleetstate.Command, done func(fleetstate.Result)) {
	s.commitAfter(s.latency()+2*time.Millisecond, l, command, done)
	if s.checking && s.rng.IntN(5) == 0 {
		s.commitAfter(time.Duration(s.rng.IntN(2e9)), l, command, nil)
	}
}

func (s *sim) commitAfter(wait time.Duration, l *simLeader, command fleetstate.Command, done func(fleetstate.Result)) {
	s.after(wait, nil, func() {
		if l != s.current || l.partitioned {
			return
		}
		if s.mutation == "a late release is accepted" && command.Release != nil {
			now, _ := s.machine.Ownership().Assignment(command.Release.Held[0].Upstream)
			command.Release.Held[0].Fence = now.Fence
		}
		s.index++
		result, _ := fleetstate.DecodeResult(s.machine.Apply(s.index, command.Encode()))
		l.leader.HandleApplied(l.clock.read(s.now))
		if command.Release != nil || command.Close != nil {
			s.plan(l)
		}
		if done != nil {
			done(result)
		}
		s.flushLeader(l)
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
	s.flushLeader(l)
	s.after(100*time.Millisecond, nil, func() { s.leaderLoop(l) })
}

// pushLoop sends the pushes that Timing.MinPushInterval delayed.
func (s *sim) pushLoop() {
	s.flushLeader(s.current)
	gap := 10 * time.Millisecond
	if s.checking {
		gap = 50 * time.Millisecond
	}
	s.after(gap, nil, s.pushLoop)
}

// plan proposes the planner's commands. It runs on the leader's timer and
// after each command that may have freed an upstream.
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

// flushLeader sends the leader's pushes and records the changes that came into
// force.
func (s *sim) flushLeader(l *simLeader) {
	now := l.clock.read(s.now)
	for _, push := range l.leader.Pushes(now) {
		encoded := codec.MarshalArrays(&push)
		l.sent += len(encoded) + frameBytes
		for _, r := range s.routers {
			if r.holder.Session() == push.Session {
				s.sendToRouter(l, r, func() {
					var got Push
					_ = codec.Unmarshal(encoded, &got)
					s.execute(r, r.HandlePush(r.clock.read(s.now), got))
				})
			}
		}
	}
	if !s.holdsLease(l) {
		return
	}
	for _, waiter := range l.leader.TakeInForce() {
		change := s.awaited[waiter]
		s.inForce = append(s.inForce, s.now-change.at)
		s.inForceRevision = max(s.inForceRevision, change.revision)
	}
}

func (s *sim) holdsLease(l *simLeader) bool {
	return s.mutation == "old leader grants" || s.now < l.leaseUntil
}

// sendToRouter delivers a leader's message unless it is lost or the partition
// separates the two. A partitioned leader reaches only partitioned routers.
func (s *sim) sendToRouter(l *simLeader, r *simRouter, run func()) {
	if s.rng.IntN(100) < s.loss || l.partitioned != r.partitioned {
		return
	}
	s.deliver(r, run)
}

func (s *sim) deliver(r *simRouter, run func()) {
	at := s.now + s.latency()
	if !s.checking {
		// A single connection keeps the order of messages. Runs with faults do
		// not rely on that order.
		at = max(at, r.lastArrival)
		r.lastArrival = at
	}
	s.after(at-s.now, r, run)
}

func (s *sim) routerLoop(r *simRouter) {
	s.tickRouter(r)
	wait := max(10*time.Millisecond, min(100*time.Millisecond, r.holder.NextRenewal()-r.clock.read(s.now)))
	s.after(wait, r, func() { s.routerLoop(r) })
}

func (s *sim) tickRouter(r *simRouter) { s.execute(r, r.Tick(r.clock.read(s.now))) }

// execute carries out the outputs of a router's Member.
func (s *sim) execute(r *simRouter, outputs []Output) {
	for _, output := range outputs {
		switch out := output.(type) {
		case SendRenewal:
			s.renew(r, out.Renewal)
		case Propose:
			if !r.partitioned {
				s.propose(r, out.Command)
			}
		}
	}
}

func (s *sim) propose(r *simRouter, command fleetstate.Command) {
	member := r.Member
	s.commit(s.current, command, func(result fleetstate.Result) {
		if command.Open == nil {
			return
		}
		s.after(s.latency(), r, func() {
			if r.Member == member {
				r.HandleOpened(r.clock.read(s.now), *result.Ownership)
				s.tickRouter(r)
			}
		})
	})
}

// renew sends a renewal to the leader that is on the router's side of a
// partition.
func (s *sim) renew(r *simRouter, renewal Renewal) {
	holder, encoded := r.holder, codec.MarshalArrays(&renewal)
	r.sent += len(encoded) + frameBytes
	if len(s.relays) > 0 && !r.partitioned {
		s.renewThroughRelay(r, renewal)
		return
	}
	l := s.current
	if r.partitioned && s.old != nil {
		l = s.old
	}
	if s.rng.IntN(100) < s.loss || l.partitioned != r.partitioned {
		return
	}
	s.after(s.latency(), nil, func() {
		var got Renewal
		_ = codec.Unmarshal(encoded, &got)
		if session := l.leader.tracker.sessions[got.Session]; session != nil && s.mutation == "expired session is granted a lease" {
			session.expired = false
			session.renewedAt = l.clock.read(s.now)
		}
		reply := l.leader.HandleRenewal(l.clock.read(s.now), s.holdsLease(l), got)
		encoded := codec.MarshalArrays(&reply)
		l.sent += len(encoded) + frameBytes
		s.flushLeader(l)
		s.sendToRouter(l, r, func() {
			if r.holder == holder {
				s.deliverReply(r, encoded)
			}
		})
	})
}

func (s *sim) deliverReply(r *simRouter, encoded []byte) {
	var reply Reply
	_ = codec.Unmarshal(encoded, &reply)
	now := r.clock.read(s.now)
	outputs := r.HandleReply(now, reply)
	if s.mutation == "lease counts from the reply" && reply.Outcome == Granted {
		r.holder.expiresAt = now + s.timing.Lease
	}
	s.execute(r, outputs)
}
