package daemon

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/lease"
	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
	"endiveplank/protocol/fleet"
	"endiveplank/state/replica"
)

const (
	// hostTick is how often a leader looks at sessions, pushes and the plan.
	hostTick = 50 * time.Millisecond
	// planEvery is how often a leader compares owners with upstreams. An
	// upstream that joins or lost its owner waits that long at most.
	planEvery = 200 * time.Millisecond
	// proposeTimeout bounds one proposal of the leader's own.
	proposeTimeout = 3 * time.Second
)

// Log is the consensus member as the state host needs it.
type Log interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns when everything accepted anywhere before is applied.
	Barrier(ctx context.Context) error
	HoldsLease(now time.Duration) bool
	Leader() protocol.RouterID
}

// stateHost is the part of a voter that applies the replicated state and, on
// the leader, grants leases, pushes changes, and plans ownership. Its lock is
// held while the state is applied or read.
type stateHost struct {
	log   Log
	now   func() time.Duration
	zlog  zerolog.Logger
	push  func(to protocol.RouterID, push lease.Push)
	quit  chan struct{}
	done  sync.WaitGroup
	tasks sync.WaitGroup

	mu      sync.Mutex
	machine *fleetstate.Machine
	leader  *lease.Leader
	// inOffice says that the leader's side has started for this term.
	inOffice bool
	// entering says that a barrier for taking office is under way.
	entering bool
	closing  map[ownership.SessionID]bool
	planning bool
	planned  time.Duration
	waiters  map[lease.Waiter]chan struct{}
	waiter   lease.Waiter
	// orders is the issuer of orders to engines while in office; sendAsk
	// sends its requests to owners without blocking.
	orders            *orderOffice
	self              protocol.RouterID
	sendEngineRequest func(to protocol.RouterID, request engineorders.Request)
}

func newStateHost(now func() time.Duration, zlog zerolog.Logger, push func(protocol.RouterID, lease.Push)) *stateHost {
	machine := fleetstate.New(fleetstate.DefaultSettings())
	return &stateHost{
		now:     now,
		zlog:    zlog,
		push:    push,
		quit:    make(chan struct{}),
		machine: machine,
		leader:  lease.NewLeader(lease.DefaultTiming(), machine),
		closing: map[ownership.SessionID]bool{},
		waiters: map[lease.Waiter]chan struct{}{},
	}
}

// Apply implements replica.StateMachine.
func (h *stateHost) Apply(index uint64, command []byte) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := h.machine.Apply(index, command)
	if h.inOffice {
		h.leader.HandleApplied(h.now())
	}
	return result
}

// Snapshot implements replica.StateMachine.
func (h *stateHost) Snapshot() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Snapshot()
}

// Restore implements replica.StateMachine.
func (h *stateHost) Restore(data []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Restore(data)
}

// start begins the leader's work; log must be set.
func (h *stateHost) start() {
	h.done.Add(1)
	go func() {
		defer h.done.Done()
		ticker := time.NewTicker(hostTick)
		defer ticker.Stop()
		for {
			select {
			case <-h.quit:
				return
			case <-ticker.C:
				h.tick()
			}
		}
	}()
}

func (h *stateHost) stop() {
	close(h.quit)
	h.done.Wait()
	h.tasks.Wait()
}

// tick does the leader's work, or leaves office.
func (h *stateHost) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if !h.log.HoldsLease(now) {
		h.leaveOffice()
		return
	}
	if !h.inOffice {
		h.enterOffice()
		return
	}
	h.pushChanges(now)
	for _, session := range h.leader.Tick(now) {
		h.closeSession(session)
	}
	h.tellInForce()
	h.plan(now)
	h.orderEngines(now)
}

// leaveOffice ends the leader's side. Whoever waits for a revision to be in
// force is left to its own time-out, and asks the next leader.
func (h *stateHost) leaveOffice() {
	if !h.inOffice {
		return
	}
	h.inOffice = false
	h.orders = nil
	h.closing = map[ownership.SessionID]bool{}
	h.waiters = map[lease.Waiter]chan struct{}{}
	h.zlog.Info().Msg("state: left office")
}

// enterOffice starts the leader's side once all commands of former leaders
// are applied.
func (h *stateHost) enterOffice() {
	if h.entering {
		return
	}
	h.entering = true
	h.task(func(ctx context.Context) {
		err := h.log.Barrier(ctx)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.entering = false
		now := h.now()
		if err != nil || !h.log.HoldsLease(now) {
			return
		}
		h.inOffice = true
		h.leader.StartTerm(now)
		h.zlog.Info().Msg("state: took office")
	})
}

// task runs f on its own goroutine with a bounded time.
func (h *stateHost) task(f func(ctx context.Context)) {
	h.tasks.Add(1)
	go func() {
		defer h.tasks.Done()
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		f(ctx)
	}()
}

// pushChanges sends new changes to the routers.
func (h *stateHost) pushChanges(now time.Duration) {
	for _, push := range h.leader.Pushes(now) {
		if session, open := h.machine.Ownership().Session(push.Session); open {
			h.push(session.Router, push)
		}
	}
}

// closeSession commits the end of a session whose lease ran out.
func (h *stateHost) closeSession(session ownership.SessionID) {
	if h.closing[session] {
		return
	}
	h.closing[session] = true
	h.zlog.Warn().Uint64("session", uint64(session)).Msg("state: lease ran out, closing session")
	command := fleetstate.Command{Close: &ownership.Close{Session: session}}
	h.task(func(ctx context.Context) {
		_, _ = h.log.Propose(ctx, command.Encode())
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.closing, session)
	})
}

// tellInForce answers those whose revision came into force.
func (h *stateHost) tellInForce() {
	for _, waiter := range h.leader.TakeInForce() {
		if done := h.waiters[waiter]; done != nil {
			close(done)
			delete(h.waiters, waiter)
		}
	}
}

// plan proposes what ownership lacks. One plan is under way at a time, so
// that the next one sees its effect.
func (h *stateHost) plan(now time.Duration) {
	if h.planning || now-h.planned < planEvery {
		return
	}
	h.planned = now
	state := h.machine.Ownership()
	plan := ownership.MakePlan(state.Sessions(), h.liveUpstreams(), state.Assignments())
	if plan.Empty() {
		return
	}
	h.planning = true
	h.task(func(ctx context.Context) {
		for _, command := range planCommands(plan) {
			if _, err := h.log.Propose(ctx, command.Encode()); err != nil {
				break
			}
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.planning = false
	})
}

func (h *stateHost) liveUpstreams() []ownership.Upstream {
	descriptors := h.machine.Registry().All()
	live := make([]ownership.Upstream, 0, len(descriptors))
	for _, descriptor := range descriptors {
		live = append(live, ownership.Upstream{ID: descriptor.ID, DataCentre: descriptor.DataCentre, Capacity: descriptor.Capacity})
	}
	return live
}

// planCommands lists the commands of a plan, the urgent ones first.
func planCommands(plan ownership.Plan) []fleetstate.Command {
	var commands []fleetstate.Command
	if len(plan.Assign.Targets) > 0 {
		commands = append(commands, fleetstate.Command{Assign: &plan.Assign})
	}
	if len(plan.Move.Upstreams) > 0 {
		commands = append(commands, fleetstate.Command{Move: &plan.Move})
	}
	if len(plan.Forget.Upstreams) > 0 {
		commands = append(commands, fleetstate.Command{Forget: &plan.Forget})
	}
	return commands
}

// renew answers a router's renewal.
func (h *stateHost) renew(renewal lease.Renewal) lease.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	reply := h.leader.HandleRenewal(now, h.inOffice && h.log.HoldsLease(now), renewal)
	h.tellInForce()
	return reply
}

// propose commits a command and, if asked, waits until its revision is in
// force.
func (h *stateHost) propose(ctx context.Context, request fleet.Propose) fleet.ProposeReply {
	reply := fleet.ProposeReply{ID: request.ID}
	result, err := h.log.Propose(ctx, request.Command)
	if err != nil {
		reply.Verdict, reply.Leader = h.verdictOf(err)
		return reply
	}
	if request.InForce && !h.awaitInForce(ctx, result) {
		reply.Verdict = fleet.VerdictUnknown
		return reply
	}
	reply.Verdict = fleet.VerdictCommitted
	reply.Result = result
	return reply
}

// verdictOf maps the log's errors: only some say that nothing was done.
func (h *stateHost) verdictOf(err error) (fleet.Verdict, protocol.RouterID) {
	var notLeader replica.ErrNotLeader
	var busy replica.ErrBusy
	switch {
	case errors.As(err, &notLeader):
		return fleet.VerdictNotLeader, h.log.Leader()
	case errors.As(err, &busy):
		return fleet.VerdictBusy, ""
	}
	return fleet.VerdictUnknown, ""
}

// awaitInForce waits until a committed change is in force everywhere.
func (h *stateHost) awaitInForce(ctx context.Context, result []byte) bool {
	decoded, err := fleetstate.DecodeResult(result)
	if err != nil || decoded.Change == nil || decoded.Change.Revision == 0 {
		return true
	}
	h.mu.Lock()
	if !h.inOffice {
		h.mu.Unlock()
		return false
	}
	h.waiter++
	waiter := h.waiter
	done := make(chan struct{})
	h.waiters[waiter] = done
	h.leader.Await(decoded.Change.Revision, waiter)
	h.tellInForce()
	h.mu.Unlock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-h.quit:
		return false
	}
}

// read runs f on the state.
func (h *stateHost) read(f func(*fleetstate.Machine)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.machine)
}

// encodeArrays is the compact form of the messages that go out each second.
func encodeArrays(message any) []byte { return codec.MarshalArrays(message) }
