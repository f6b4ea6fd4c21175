package engineorders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// The issuer is frozen with an order in its hands. Its successor finds the
// order open, sees it through and orders the next version. Then the first one
// thaws and its message reaches the owner. Callers would get the old version
// again; the engine must keep the new one.
func TestThawedIssuersOrderTakesNoEffect(t *testing.T) {
	bothKinds(t, func(t *testing.T, w *world) {
		w.hold = true
		w.issue(w.issuer, "v1")
		w.run(time.Second)
		frozen := w.held
		assert.Equal(t, len(frozen), 1)
		w.hold = false
		second := w.takeOffice()
		w.run(20 * time.Second)
		assert.Equal(t, w.ending(), Carried)
		w.issue(second, "v2")
		w.run(20 * time.Second)
		assert.Equal(t, w.version(), "v2")
		w.mail = append(w.mail, frozen...)
		w.run(20 * time.Second)
		assert.Equal(t, w.version(), "v2")
	})
}

// As above, but the successor gives the order up and issues none, so no higher
// number protects the engine. It would load a version that the state calls
// abandoned.
func TestAbandonedOrderOfThawedIssuerTakesNoEffect(t *testing.T) {
	bothKinds(t, func(t *testing.T, w *world) {
		w.hold = true
		w.issue(w.issuer, "v1")
		w.run(time.Second)
		frozen := w.held
		w.hold = false
		w.takeOffice()
		w.refuse = upstreamapi.StatusInvalid
		w.run(20 * time.Second)
		assert.Equal(t, w.ending(), EngineRefused)
		w.refuse = 0
		w.mail = append(w.mail, frozen...)
		w.run(10 * time.Second)
		assert.Equal(t, w.version(), "")
	})
}

// Ownership of the engine moves while an issuer's order is under way to the
// first owner, and the engine comes back to that router. The router's memory
// of numbers is of its former tenure, so it can't tell that the order is old.
// It must refuse what was meant for the tenure before.
func TestOrderForAnEarlierTenureTakesNoEffect(t *testing.T) {
	bothKinds(t, func(t *testing.T, w *world) {
		w.hold = true
		w.issue(w.issuer, "v1")
		w.run(time.Second)
		late := w.held
		w.hold = false
		w.run(20 * time.Second)
		w.issue(w.issuer, "v2")
		w.run(10 * time.Second)
		assert.Equal(t, w.version(), "v2")
		w.owner.Tenure = 2
		w.gate = NewGate()
		w.mail = append(w.mail, late...)
		w.run(10 * time.Second)
		assert.Equal(t, w.version(), "v2")
	})
}

// The link to the owner delivers an order a second time, minutes late, after
// the same issuer has ordered the next version. On an engine that ignores
// numbers, callers would get the old version. The owner must refuse it.
func TestRepeatedOldOrderOfOneIssuerTakesNoEffect(t *testing.T) {
	bothKinds(t, func(t *testing.T, w *world) {
		w.issue(w.issuer, "v1")
		w.run(stepTime)
		late := w.mail
		assert.Equal(t, len(late), 1)
		w.run(20 * time.Second)
		w.issue(w.issuer, "v2")
		w.run(20 * time.Second)
		w.mail = append(w.mail, late...)
		w.run(10 * time.Second)
		assert.Equal(t, w.version(), "v2")
	})
}

// The engine takes the order and its answer is lost, twice. The order must be
// sent again, must not be given up, and must take effect once.
func TestLostAnswersAreMadeUpFor(t *testing.T) {
	bothKinds(t, func(t *testing.T, w *world) {
		w.loseAnswers = 2
		w.issue(w.issuer, "v1")
		w.run(30 * time.Second)
		assert.Equal(t, w.ending(), Carried)
		assert.Equal(t, w.posts, 3)
	})
}

// The owner is just reading the engine when the order comes. The order must
// not wait as long as for an answer that may be lost.
func TestBusyEngineIsAskedAgainSoon(t *testing.T) {
	w := newWorld(t, true)
	w.busy = 1
	w.issue(w.issuer, "v1")
	w.run(4 * time.Second)
	assert.Equal(t, w.posts, 1)
}

// An engine refuses every load, for want of memory. The order must end with
// that reason, and the engine must be left alone for longer each time, while
// orders to others go on.
func TestRefusingEngineIsLeftAloneForLonger(t *testing.T) {
	w := newWorld(t, true)
	w.refuse = upstreamapi.StatusInvalid
	for _, rest := range []time.Duration{10 * time.Second, 20 * time.Second, 40 * time.Second} {
		assert.Equal(t, w.issue(w.issuer, "v1").Outcome, Done)
		w.run(time.Second)
		assert.Equal(t, w.ending(), EngineRefused)
		assert.Assert(t, !w.issuer.Rested(w.now+rest-2*time.Second, w.state, "e1"))
		assert.Assert(t, w.issuer.Rested(w.now+rest, w.state, "e1"))
	}
}

// An engine ignores numbers, and the former issuer's order is still under way
// in its owner's call when the next issuer takes office. Which of two calls
// comes last would decide. The new issuer must wait until no lease or call of
// before can be left.
func TestEngineThatIgnoresNumbersWaitsOutTheFormerIssuer(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(t, checks)
		second := w.takeOffice()
		w.issue(second, "v2")
		w.run(DefaultTiming().WaitOut - time.Second)
		assert.Equal(t, w.posts > 0, checks)
		w.run(2 * time.Second)
		assert.Equal(t, w.posts, 1)
	}
}

// The owner of an engine that ignores numbers is lost with an order in its
// call, which may still arrive. The issuer has the order sent by the next
// owner; it must do so only once that call can't be under way any more.
func TestEngineThatIgnoresNumbersWaitsOutAFormerOwner(t *testing.T) {
	for _, checks := range []bool{true, false} {
		w := newWorld(t, checks)
		w.owner = Owner{Router: "r2", Tenure: 2, ChecksFence: checks}
		w.gate = NewGate()
		w.issue(w.issuer, "v1")
		w.run(DefaultTiming().WaitOut - time.Second)
		assert.Equal(t, w.posts > 0, checks)
		w.run(10 * time.Second)
		assert.Equal(t, w.ending(), Carried)
		assert.Equal(t, w.version(), "v1")
	}
}

// An engine that ignores numbers is overrun by an older order, sent by a call
// that nothing could stop any more. Its state names the older number. The
// order must go out again, not be believed done.
func TestOlderOrderThatWonIsUndone(t *testing.T) {
	w := newWorld(t, false)
	w.issue(w.issuer, "v2")
	w.run(2 * time.Second)
	w.engine.Order(w.now, upstreamapi.EngineOrder{Fence: 1, Action: upstreamapi.ActionLoad, Model: "m", Version: "v1"})
	w.run(30 * time.Second)
	assert.Equal(t, w.version(), "v2")
	assert.Equal(t, w.ending(), Carried)
}

// Two processes hold themselves for the issuer: the first has lost office
// without knowing, and its proposals are committed late. They must change
// nothing, whatever they are.
func TestProposalsOfAFormerIssuerChangeNothing(t *testing.T) {
	w := newWorld(t, true)
	first := w.issuer
	w.issue(first, "v1")
	open := w.state.Open()[0]
	second := w.takeOffice()
	assert.Equal(t, w.issue(first, "v0").Outcome, OldOffice)
	settle := &Settle{Office: first.office, Upstream: "e1", Fence: open.Fence, Ending: Overdue}
	assert.Equal(t, w.apply(Command{Confirm: settle}).Outcome, OldOffice)
	assert.Equal(t, w.apply(Command{Abandon: settle}).Outcome, OldOffice)
	sends, commands := first.Step(w.now, w.state, w.ownerOf)
	assert.Equal(t, len(sends)+len(commands), 0)
	assert.Equal(t, w.issue(second, "v0").Outcome, EngineBusy)
}

// A bug or a second issuer wants a load on every engine at once. The weight
// store would serve the last of them after an hour. The state must hold the
// bound.
func TestOpenLoadsAreBounded(t *testing.T) {
	w := newWorld(t, true)
	opened := 0
	for _, engine := range []protocol.UpstreamID{"a", "b", "c", "d", "e", "f"} {
		issue := &Issue{Office: w.issuer.office, Upstream: engine, Intent: Intent{Action: upstreamapi.ActionLoad, Model: "m"}}
		if w.apply(Command{Issue: issue}).Outcome == Done {
			opened++
		}
	}
	assert.Equal(t, opened, MaxLoads)
}
