package engineorders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// An issuer is frozen just before its order is sent. The next issuer finds the order
// open, completes it and orders the next version. Then the first issuer resumes and
// its message reaches the owner. The engine must keep the new version, or callers
// would get the old one again.
func TestLateOrderOfFrozenIssuerHasNoEffect(t *testing.T) {
	withAndWithoutFenceCheck(t, func(t *testing.T, w *world) {
		w.holdRequests = true
		w.issue(w.issuer, "v1")
		w.run(time.Second)
		frozen := w.held
		assert.Equal(t, len(frozen), 1)
		w.holdRequests = false
		second := w.startTerm()
		w.run(20 * time.Second)
		assert.Equal(t, w.resolution(), Executed)
		w.issue(second, "v2")
		w.run(20 * time.Second)
		assert.Equal(t, w.version(), "v2")
		w.inTransit = append(w.inTransit, frozen...)
		w.run(20 * time.Second)
		assert.Equal(t, w.version(), "v2")
	})
}

// As above, but the next issuer abandons the order and issues no other, so no higher
// fencing number protects the engine. The engine must not load a version whose
// order was abandoned.
func TestLateAbandonedOrderOfFrozenIssuerHasNoEffect(t *testing.T) {
	withAndWithoutFenceCheck(t, func(t *testing.T, w *world) {
		w.holdRequests = true
		w.issue(w.issuer, "v1")
		w.run(time.Second)
		frozen := w.held
		w.holdRequests = false
		w.startTerm()
		w.refuse = upstreamapi.StatusInvalid
		w.run(20 * time.Second)
		assert.Equal(t, w.resolution(), EngineRefused)
		w.refuse = 0
		w.inTransit = append(w.inTransit, frozen...)
		w.run(10 * time.Second)
		assert.Equal(t, w.version(), "")
	})
}

// An issuer's order is in flight to the engine's owner when another router becomes
// the owner, and then the first router again. That router no longer knows the
// fencing numbers of its earlier ownership, so it can't tell that the order is old.
// It must refuse the order because it was meant for the earlier ownership.
func TestOrderForEarlierOwnershipHasNoEffect(t *testing.T) {
	withAndWithoutFenceCheck(t, func(t *testing.T, w *world) {
		w.holdRequests = true
		w.issue(w.issuer, "v1")
		w.run(time.Second)
		late := w.held
		w.holdRequests = false
		w.run(20 * time.Second)
		w.issue(w.issuer, "v2")
		w.run(10 * time.Second)
		assert.Equal(t, w.version(), "v2")
		w.owner.OwnershipFence = 2
		w.gate = NewGate()
		w.inTransit = append(w.inTransit, late...)
		w.run(10 * time.Second)
		assert.Equal(t, w.version(), "v2")
	})
}

// The link to the owner delivers an order a second time, minutes late, after the
// same issuer has ordered the next version. The owner must refuse it: an engine that
// ignores fencing numbers would load the old version again.
func TestLateDuplicateOrderHasNoEffect(t *testing.T) {
	withAndWithoutFenceCheck(t, func(t *testing.T, w *world) {
		w.issue(w.issuer, "v1")
		w.run(stepTime)
		late := w.inTransit
		assert.Equal(t, len(late), 1)
		w.run(20 * time.Second)
		w.issue(w.issuer, "v2")
		w.run(20 * time.Second)
		w.inTransit = append(w.inTransit, late...)
		w.run(10 * time.Second)
		assert.Equal(t, w.version(), "v2")
	})
}

// The engine accepts an order and its answer is lost, twice. The order must be sent
// again and must not be abandoned.
func TestOrderIsResentAfterLostAnswers(t *testing.T) {
	withAndWithoutFenceCheck(t, func(t *testing.T, w *world) {
		w.loseAnswers = 2
		w.issue(w.issuer, "v1")
		w.run(30 * time.Second)
		assert.Equal(t, w.resolution(), Executed)
		assert.Equal(t, w.orderCalls, 3)
	})
}

// The owner is reading the engine's state when an order comes, and replies CallBusy.
// The order must be sent again sooner than after a lost reply.
func TestBusyEngineIsRetriedSoon(t *testing.T) {
	w := newWorld(t, true)
	w.busy = 1
	w.issue(w.issuer, "v1")
	w.run(4 * time.Second)
	assert.Equal(t, w.orderCalls, 1)
}

// An engine refuses every load, for example for lack of memory. Each order must be
// settled as EngineRefused, and the engine's backoff must double each time.
func TestBackoffGrowsForRefusingEngine(t *testing.T) {
	w := newWorld(t, true)
	w.refuse = upstreamapi.StatusInvalid
	for _, backoff := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second} {
		assert.Equal(t, w.issue(w.issuer, "v1").Outcome, Done)
		w.run(time.Second)
		assert.Equal(t, w.resolution(), EngineRefused)
		assert.Assert(t, !w.issuer.BackoffExpired(w.now+backoff-2*time.Second, w.state, "e1"))
		assert.Assert(t, w.issuer.BackoffExpired(w.now+backoff, w.state, "e1"))
	}
}

// An engine ignores fencing numbers, and the former issuer's order may still be in
// flight when the next issuer's term starts. Whichever call comes last would take
// effect. The new issuer must wait until no lease or call of the former issuer can
// be left. An engine that checks fencing numbers gets its order at once.
func TestUnfencedEngineGetsNoOrderWhileFormerIssuerMaySend(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(t, checks)
		second := w.startTerm()
		w.issue(second, "v2")
		w.run(DefaultTiming().UnfencedDelay - time.Second)
		assert.Equal(t, w.orderCalls > 0, checks)
		w.run(2 * time.Second)
		assert.Equal(t, w.orderCalls, 1)
	}
}

// The owner of an engine that ignores fencing numbers fails while its call with an
// order is in flight, and the call may still arrive. The issuer sends the order
// through the next owner, but only when that call can no longer be in flight.
func TestUnfencedEngineGetsNoOrderWhileFormerOwnerMaySend(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(t, checks)
		w.owner = Owner{Router: "r2", OwnershipFence: 2, ChecksFence: checks}
		w.gate = NewGate()
		w.issue(w.issuer, "v1")
		w.run(DefaultTiming().UnfencedDelay - time.Second)
		assert.Equal(t, w.orderCalls > 0, checks)
		w.run(10 * time.Second)
		assert.Equal(t, w.resolution(), Executed)
		assert.Equal(t, w.version(), "v1")
	}
}

// An older order overwrites the newer one on an engine that ignores fencing numbers,
// in a call that nothing could stop. The engine's state shows the older fencing
// number. The newer order must be sent again and must not count as executed.
func TestOrderIsResentAfterOlderOrderOverwroteIt(t *testing.T) {
	w := newWorld(t, false)
	w.issue(w.issuer, "v2")
	w.run(2 * time.Second)
	w.engine.Order(w.now, upstreamapi.EngineOrder{Fence: 1, Action: upstreamapi.ActionLoad, Model: "m", Version: "v1"})
	w.run(30 * time.Second)
	assert.Equal(t, w.version(), "v2")
	assert.Equal(t, w.resolution(), Executed)
}

// Two processes each consider themselves the issuer: the first one's term is over,
// but it doesn't know, and its proposals are committed late. None of them may change
// anything.
func TestFormerIssuersProposalsChangeNothing(t *testing.T) {
	w := newWorld(t, true)
	first := w.issuer
	w.issue(first, "v1")
	open := w.state.Open()[0]
	second := w.startTerm()
	assert.Equal(t, w.issue(first, "v0").Outcome, OldTerm)
	settle := &Settle{Term: first.term, Upstream: "e1", Fence: open.Fence, Resolution: TimedOut}
	assert.Equal(t, w.apply(Command{Confirm: settle}).Outcome, OldTerm)
	assert.Equal(t, w.apply(Command{Abandon: settle}).Outcome, OldTerm)
	requests, commands := first.Step(w.now, w.state, w.ownerOf)
	assert.Equal(t, len(requests)+len(commands), 0)
	assert.Equal(t, w.issue(second, "v0").Outcome, EngineBusy)
}

// A bug or a second issuer proposes a load on every engine at once. The weight store
// would finish the last of them after an hour. The state must refuse loads beyond
// MaxOpenLoads.
func TestOpenLoadsAreBounded(t *testing.T) {
	w := newWorld(t, true)
	opened := 0
	for _, engine := range []protocol.UpstreamID{"a", "b", "c", "d", "e", "f"} {
		issue := &Issue{Term: w.issuer.term, Upstream: engine, Intent: Intent{Action: upstreamapi.ActionLoad, Model: "m"}}
		if w.apply(Command{Issue: issue}).Outcome == Done {
			opened++
		}
	}
	assert.Equal(t, opened, MaxOpenLoads)
}
