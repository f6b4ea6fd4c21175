package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/node/nodetest"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

func loadAsk(f *nodetest.Fleet, office engineorders.Term, version string) engineorders.Request {
	return engineorders.Request{
		Upstream: "e1", OwnershipFence: f.Tenure("e1"), Term: office, Fence: protocol.Fence(office) + 1,
		Intent: engineorders.Intent{Action: upstreamapi.ActionLoad, Model: "m", Version: version},
	}
}

// bothEngines runs a story with an engine that checks fencing numbers and one
// that doesn't.
func bothEngines(t *testing.T, story func(f *nodetest.Fleet)) {
	t.Helper()
	for _, checks := range []bool{true, false} {
		f := newFleet(3)
		f.Engines["e1"].ChecksFence = checks
		story(f)
	}
}

func version(f *nodetest.Fleet) string {
	if len(f.Engines["e1"].Held.Models) == 0 {
		return ""
	}
	return f.Engines["e1"].Held.Models[0].Version
}

func lastReply(t *testing.T, f *nodetest.Fleet) engineorders.Reply {
	t.Helper()
	assert.Assert(t, len(f.Replies) > 0)
	return f.Replies[len(f.Replies)-1]
}

// An order goes to the engine's owner, and what the engine then holds comes
// back with the engine's answer.
func TestOrderGoesThroughTheOwnerAndIsReadBack(t *testing.T) {
	bothEngines(t, func(f *nodetest.Fleet) {
		f.Ask("r1", loadAsk(f, 10, "v1"))
		f.Run(time.Second)
		reply := lastReply(t, f)
		assert.Equal(t, reply.Status, 202)
		assert.Equal(t, reply.State.Fence, protocol.Fence(11))
		assert.Equal(t, version(f), "v1")
		f.Ask("r2", loadAsk(f, 10, "v2"))
		f.Run(time.Second)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.NotOwner)
		assert.Equal(t, version(f), "v1")
	})
}

// The issuer asks what an engine has done, to follow demand. The owner must
// tell the work of its own tenure: two answers of 100 tokens, and after a
// change of owner nothing of what was before.
func TestOwnerTellsTheWorkOfItsTenure(t *testing.T) {
	f := nodetest.New(seed, 2)
	f.AddEngine("e1", "r1", 1000, 8)
	f.Run(2 * time.Second)
	done := func() float64 {
		ask := loadAsk(f, 10, "")
		ask.Fence, ask.ReadOnly = 0, true
		f.Ask("r1", ask)
		f.Run(time.Second)
		return lastReply(t, f).Completed["m"]
	}
	f.Submit("r2", "q1", "key", "fuel?", 100)
	f.Submit("r2", "q2", "key", "tyres?", 100)
	f.Run(10 * time.Second)
	assert.Assert(t, done() >= 200 && done() < 210, "%v", done())
	f.Own("e1", "r2")
	f.Own("e1", "r1")
	f.Run(time.Second)
	f.Submit("r2", "q3", "key", "oil?", 100)
	f.Run(10 * time.Second)
	assert.Assert(t, done() >= 100 && done() < 105, "%v", done())
}

// An issuer is frozen with an order to the owner in its hands, its successor
// orders another version, and the first one thaws. The engine must keep the
// successor's version, also where it ignores numbers.
func TestOwnerRefusesTheOrderOfAFormerIssuer(t *testing.T) {
	bothEngines(t, func(f *nodetest.Fleet) {
		late := loadAsk(f, 10, "v1")
		f.Ask("r1", loadAsk(f, 20, "v2"))
		f.Run(time.Second)
		f.Ask("r1", late)
		f.Run(time.Second)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.FormerIssuer)
		assert.Equal(t, version(f), "v2")
	})
}

// The owner is frozen before it handles an order; another router becomes the
// owner and passes the next one. Thawed, the former owner handles what piled
// up. Its lease is over, and it must call no engine.
func TestThawedFormerOwnerPassesNoOrder(t *testing.T) {
	bothEngines(t, func(f *nodetest.Fleet) {
		f.Freeze("r1")
		f.Ask("r1", loadAsk(f, 10, "v1"))
		f.Run(4 * time.Second)
		f.Own("e1", "r3")
		f.Run(time.Second)
		f.Ask("r3", loadAsk(f, 20, "v2"))
		f.Run(time.Second)
		assert.Equal(t, version(f), "v2")
		f.Thaw("r1")
		f.Run(5 * time.Second)
		assert.Equal(t, version(f), "v2")
		assert.Equal(t, lastReply(t, f).Admission, engineorders.NotOwner)
	})
}

// Ownership moves while the former owner still relays an answer of the engine,
// and an ask goes to it by mistake. It must pass nothing: the new owner may.
func TestFormerOwnerThatStillRelaysPassesNoOrder(t *testing.T) {
	f := newFleet(3)
	f.Submit("r3", "q", "key", "fuel?", 200)
	f.Run(time.Second)
	engine, former := protocol.UpstreamID("e1"), protocol.RouterID("r1")
	if f.Engines["e2"].Running() > 0 {
		engine, former = "e2", "r2"
	}
	f.Own(engine, "r3")
	f.Run(time.Second)
	ask := loadAsk(f, 10, "v1")
	ask.Upstream = engine
	ask.OwnershipFence = f.Tenure(engine)
	f.Ask(former, ask)
	f.Run(time.Second)
	assert.Equal(t, lastReply(t, f).Admission, engineorders.NotOwner)
}

// The network or the process holds an order up between the owner's decision
// and the call, until after the owner's lease. Nobody may send it then.
func TestOrderHeldUpBeyondTheLeaseIsNotSent(t *testing.T) {
	bothEngines(t, func(f *nodetest.Fleet) {
		f.Engines["e1"].OrderTime = 10 * time.Second
		f.Ask("r1", loadAsk(f, 10, "v1"))
		f.Run(20 * time.Second)
		assert.Equal(t, version(f), "")
		assert.Assert(t, lastReply(t, f).State == nil)
	})
}

// Two orders of one issuer reach the owner while the first call is slow. Both
// calls at once could arrive in either order. The second must wait.
func TestOneCallToAnEngineAtATime(t *testing.T) {
	bothEngines(t, func(f *nodetest.Fleet) {
		f.Engines["e1"].OrderTime = time.Second
		f.Ask("r1", loadAsk(f, 10, "v1"))
		f.Ask("r1", loadAsk(f, 10, "v1"))
		f.Run(500 * time.Millisecond)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.CallBusy)
		f.Run(time.Second)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.Admitted)
		f.Ask("r1", loadAsk(f, 10, "v1"))
		f.Run(2 * time.Second)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.Admitted)
	})
}
