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
	// hostTickInterval is how often a leader checks sessions, pushes and the plan.
	hostTickInterval = 50 * time.Millisecond
	// planInterval is how often a leader compares the owners with the upstreams. An upstream that
	// joins or has lost its owner waits at most that long for a plan.
	planInterval = 200 * time.Millisecond
	// proposeTimeout bounds one background task of the leader with all its proposals, and the
	// proposals of a router that stops as planned.
	proposeTimeout = 3 * time.Second
)

// ReplicatedLog is what the state host needs of the consensus replica.
type ReplicatedLog interface {
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns when all commands are applied that any leader accepted before the call.
	Barrier(ctx context.Context) error
	HoldsLease(now time.Duration) bool
	Leader() protocol.RouterID
}

// stateHost is the part of a voter or spare that applies the replicated state and, on the leader,
// grants leases, pushes changes, plans ownership and issues orders to engines. Its lock is held
// while the state is applied or read.
type stateHost struct {
	replicatedLog ReplicatedLog
	now           func() time.Duration
	log           zerolog.Logger
	push          func(to protocol.RouterID, push lease.Push)
	quit          chan struct{}
	done          sync.WaitGroup
	tasks         sync.WaitGroup

	mu      sync.Mutex
	machine *fleetstate.Machine
	leader  *lease.Leader
	// termStarted reports that this process leads and has started its duties for the term.
	termStarted bool
	// startingTerm reports that the barrier before the start of the term is in progress.
	startingTerm bool
	// closing holds the sessions whose end is being committed.
	closing map[ownership.SessionID]bool
	// planning reports that a plan is in progress. lastPlanned is when the last one was made.
	planning    bool
	lastPlanned time.Duration
	// waiters holds the callers that wait for their revision to be in force; lastWaiter is the number
	// of the latest.
	waiters    map[lease.Waiter]chan struct{}
	lastWaiter lease.Waiter
	// engineOrders issues orders to engines while this process leads, nil otherwise.
	// sendEngineRequest sends its requests to the owners without blocking.
	engineOrders      *orderIssuer
	self              protocol.RouterID
	sendEngineRequest func(to protocol.RouterID, request engineorders.Request)
}

func newStateHost(now func() time.Duration, log zerolog.Logger, push func(protocol.RouterID, lease.Push)) *stateHost {
	machine := fleetstate.New(fleetstate.DefaultSettings())
	return &stateHost{
		now:     now,
		log:     log,
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
	if h.termStarted {
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

// start begins the periodic work of a leader. replicatedLog must be set.
func (h *stateHost) start() {
	h.done.Add(1)
	go func() {
		defer h.done.Done()
		ticker := time.NewTicker(hostTickInterval)
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

// tick does the periodic work of the leader, or ends the term on a process that lost the leader's
// lease.
func (h *stateHost) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if !h.replicatedLog.HoldsLease(now) {
		h.endTerm()
		return
	}
	if !h.termStarted {
		h.startTerm()
		return
	}
	h.pushChanges(now)
	for _, session := range h.leader.Tick(now) {
		h.closeSession(session)
	}
	h.notifyInForce()
	h.planOwnership(now)
	h.stepEngineOrders(now)
}

// endTerm stops the duties of the leader. A caller that waits for a revision to be in force gets
// no reply: it times out and asks the next leader.
func (h *stateHost) endTerm() {
	if !h.termStarted {
		return
	}
	h.termStarted = false
	h.engineOrders = nil
	h.closing = map[ownership.SessionID]bool{}
	h.waiters = map[lease.Waiter]chan struct{}{}
	h.log.Info().Msg("state: leader lease lost, term ended")
}

// startTerm starts the duties of the leader once all commands of earlier leaders are applied.
func (h *stateHost) startTerm() {
	if h.startingTerm {
		return
	}
	h.startingTerm = true
	h.runTask(func(ctx context.Context) {
		err := h.replicatedLog.Barrier(ctx)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.startingTerm = false
		now := h.now()
		if err != nil || !h.replicatedLog.HoldsLease(now) {
			return
		}
		h.termStarted = true
		h.leader.StartTerm(now)
		h.log.Info().Msg("state: leader lease held, term started")
	})
}

// runTask runs f on a goroutine of its own, for at most proposeTimeout.
func (h *stateHost) runTask(f func(ctx context.Context)) {
	h.tasks.Add(1)
	go func() {
		defer h.tasks.Done()
		ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
		defer cancel()
		f(ctx)
	}()
}

// pushChanges sends the pushes that are due to the routers.
func (h *stateHost) pushChanges(now time.Duration) {
	for _, push := range h.leader.Pushes(now) {
		if session, open := h.machine.Ownership().Session(push.Session); open {
			h.push(session.Router, push)
		}
	}
}

// closeSession commits the end of a session whose lease has expired.
func (h *stateHost) closeSession(session ownership.SessionID) {
	if h.closing[session] {
		return
	}
	h.closing[session] = true
	h.log.Warn().Uint64("session", uint64(session)).Msg("state: lease expired, closing session")
	command := fleetstate.Command{Close: &ownership.Close{Session: session}}
	h.runTask(func(ctx context.Context) {
		_, _ = h.replicatedLog.Propose(ctx, command.Encode())
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.closing, session)
	})
}

// notifyInForce wakes the callers whose revision is in force by now.
func (h *stateHost) notifyInForce() {
	for _, waiter := range h.leader.TakeInForce() {
		if done := h.waiters[waiter]; done != nil {
			close(done)
			delete(h.waiters, waiter)
		}
	}
}

// planOwnership proposes the changes of ownership that are missing. At most one plan is in
// progress at a time, so that the next one sees its effect.
func (h *stateHost) planOwnership(now time.Duration) {
	if h.planning || now-h.lastPlanned < planInterval {
		return
	}
	h.lastPlanned = now
	state := h.machine.Ownership()
	plan := ownership.MakePlan(state.Sessions(), h.registeredUpstreams(), state.Assignments())
	if plan.Empty() {
		return
	}
	h.planning = true
	h.runTask(func(ctx context.Context) {
		for _, command := range planCommands(plan) {
			if _, err := h.replicatedLog.Propose(ctx, command.Encode()); err != nil {
				break
			}
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		h.planning = false
	})
}

func (h *stateHost) registeredUpstreams() []ownership.Upstream {
	descriptors := h.machine.Registry().All()
	upstreams := make([]ownership.Upstream, 0, len(descriptors))
	for _, descriptor := range descriptors {
		upstreams = append(upstreams, ownership.Upstream{ID: descriptor.ID, DataCentre: descriptor.DataCentre, Capacity: descriptor.Capacity})
	}
	return upstreams
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

// handleRenewal returns the reply to a router's renewal.
func (h *stateHost) handleRenewal(renewal lease.Renewal) lease.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	reply := h.leader.HandleRenewal(now, h.termStarted && h.replicatedLog.HoldsLease(now), renewal)
	h.notifyInForce()
	return reply
}

// propose commits a command and, if the request says so, waits until its revision is in force.
func (h *stateHost) propose(ctx context.Context, request fleet.Propose) fleet.ProposeReply {
	reply := fleet.ProposeReply{ID: request.ID}
	result, err := h.replicatedLog.Propose(ctx, request.Command)
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

// verdictOf maps an error of the log to a verdict. Only two errors mean that the command was
// certainly not committed; after any other the outcome is unknown.
func (h *stateHost) verdictOf(err error) (fleet.Verdict, protocol.RouterID) {
	var notLeader replica.ErrNotLeader
	var busy replica.ErrBusy
	switch {
	case errors.As(err, &notLeader):
		return fleet.VerdictNotLeader, h.replicatedLog.Leader()
	case errors.As(err, &busy):
		return fleet.VerdictBusy, ""
	}
	return fleet.VerdictUnknown, ""
}

// awaitInForce waits until a committed change is in force, that is until every open session has
// acknowledged it. It returns false if the context ends first, if this process doesn't lead, or
// if it stops.
func (h *stateHost) awaitInForce(ctx context.Context, result []byte) bool {
	decoded, err := fleetstate.DecodeResult(result)
	if err != nil || decoded.Change == nil || decoded.Change.Revision == 0 {
		return true
	}
	h.mu.Lock()
	if !h.termStarted {
		h.mu.Unlock()
		return false
	}
	h.lastWaiter++
	waiter := h.lastWaiter
	done := make(chan struct{})
	h.waiters[waiter] = done
	h.leader.Await(decoded.Change.Revision, waiter)
	h.notifyInForce()
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

// read calls f with the state, under the lock.
func (h *stateHost) read(f func(*fleetstate.Machine)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.machine)
}

// encodeArrays encodes the lease messages, which are sent every second, in a compact form: without
// the names of the fields.
func encodeArrays(message any) []byte { return codec.MarshalArrays(message) }
