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

func loadRequest(f *nodetest.Fleet, term engineorders.Term, version string) engineorders.Request {
	return engineorders.Request{
		Upstream: "e1", OwnershipFence: f.OwnerFence("e1"), Term: term, Fence: protocol.Fence(term) + 1,
		Intent: engineorders.Intent{Action: upstreamapi.ActionLoad, Model: "m", Version: version},
	}
}

// withBothEngines runs a test with an engine that checks fencing numbers and with
// one that doesn't.
func withBothEngines(t *testing.T, test func(f *nodetest.Fleet)) {
	t.Helper()
	for _, checks := range []bool{true, false} {
		f := newFleet(3)
		f.Engines["e1"].ChecksFence = checks
		test(f)
	}
}

func version(f *nodetest.Fleet) string {
	if len(f.Engines["e1"].State.Models) == 0 {
		return ""
	}
	return f.Engines["e1"].State.Models[0].Version
}

func lastReply(t *testing.T, f *nodetest.Fleet) engineorders.Reply {
	t.Helper()
	assert.Assert(t, len(f.EngineReplies) > 0)
	return f.EngineReplies[len(f.EngineReplies)-1]
}

// The owner must pass an order to its engine and return the engine's answer and
// the state that it reads afterwards. A router that isn't the owner must refuse
// the request and call no engine.
func TestOrderGoesThroughTheOwnerAndIsReadBack(t *testing.T) {
	withBothEngines(t, func(f *nodetest.Fleet) {
		f.SendEngineRequest("r1", loadRequest(f, 10, "v1"))
		f.Run(time.Second)
		reply := lastReply(t, f)
		assert.Equal(t, reply.Status, 202)
		assert.Equal(t, reply.State.Fence, protocol.Fence(11))
		assert.Equal(t, version(f), "v1")
		f.SendEngineRequest("r2", loadRequest(f, 10, "v2"))
		f.Run(time.Second)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.NotOwner)
		assert.Equal(t, version(f), "v1")
	})
}

// The issuer reads how much work each engine has done, to follow demand. The
// owner must report the work since its present ownership began: two answers of
// 100 tokens, and after a change of owner none of the work before the change.
func TestOwnerReportsTheWorkOfItsOwnership(t *testing.T) {
	f := nodetest.New(seed, 2)
	f.AddEngine("e1", "r1", 1000, 8)
	f.Run(2 * time.Second)
	done := func() float64 {
		request := loadRequest(f, 10, "")
		request.Fence, request.ReadOnly = 0, true
		f.SendEngineRequest("r1", request)
		f.Run(time.Second)
		return lastReply(t, f).Completed["m"]
	}
	f.Submit("r2", "q1", "key", "fuel?", 100)
	f.Submit("r2", "q2", "key", "tyres?", 100)
	f.Run(10 * time.Second)
	assert.Assert(t, done() >= 200 && done() < 210, "%v", done())
	f.SetOwner("e1", "r2")
	f.SetOwner("e1", "r1")
	f.Run(time.Second)
	f.Submit("r2", "q3", "key", "oil?", 100)
	f.Run(10 * time.Second)
	assert.Assert(t, done() >= 100 && done() < 105, "%v", done())
}

// An issuer is frozen before it sends an order, its successor orders another
// version, and then the first issuer resumes and sends its order. The engine must
// keep the successor's version, even an engine that ignores fencing numbers.
func TestOwnerRefusesTheOrderOfAFormerIssuer(t *testing.T) {
	withBothEngines(t, func(f *nodetest.Fleet) {
		late := loadRequest(f, 10, "v1")
		f.SendEngineRequest("r1", loadRequest(f, 20, "v2"))
		f.Run(time.Second)
		f.SendEngineRequest("r1", late)
		f.Run(time.Second)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.FormerIssuer)
		assert.Equal(t, version(f), "v2")
	})
}

// The owner is frozen before it handles an order. Another router becomes the
// owner and passes the next order. When the former owner resumes, it handles the
// inputs that have arrived meanwhile. Its lease has expired, so it must not call
// the engine.
func TestThawedFormerOwnerPassesNoOrder(t *testing.T) {
	withBothEngines(t, func(f *nodetest.Fleet) {
		f.Freeze("r1")
		f.SendEngineRequest("r1", loadRequest(f, 10, "v1"))
		f.Run(4 * time.Second)
		f.SetOwner("e1", "r3")
		f.Run(time.Second)
		f.SendEngineRequest("r3", loadRequest(f, 20, "v2"))
		f.Run(time.Second)
		assert.Equal(t, version(f), "v2")
		f.Thaw("r1")
		f.Run(5 * time.Second)
		assert.Equal(t, version(f), "v2")
		assert.Equal(t, lastReply(t, f).Admission, engineorders.NotOwner)
	})
}

// The ownership moves while the former owner still relays an answer of the
// engine, and a request reaches the former owner. It must pass no order, because
// the new owner may pass one.
func TestFormerOwnerThatStillRelaysPassesNoOrder(t *testing.T) {
	f := newFleet(3)
	f.Submit("r3", "q", "key", "fuel?", 200)
	f.Run(time.Second)
	engine, former := protocol.UpstreamID("e1"), protocol.RouterID("r1")
	if f.Engines["e2"].Running() > 0 {
		engine, former = "e2", "r2"
	}
	f.SetOwner(engine, "r3")
	f.Run(time.Second)
	request := loadRequest(f, 10, "v1")
	request.Upstream = engine
	request.OwnershipFence = f.OwnerFence(engine)
	f.SendEngineRequest(former, request)
	f.Run(time.Second)
	assert.Equal(t, lastReply(t, f).Admission, engineorders.NotOwner)
}

// An order is delayed between the owner's decision and the call, by the network
// or the process, until the owner's lease has expired. It must not be sent then.
func TestOrderDelayedBeyondTheLeaseIsNotSent(t *testing.T) {
	withBothEngines(t, func(f *nodetest.Fleet) {
		f.Engines["e1"].OrderDelay = 10 * time.Second
		f.SendEngineRequest("r1", loadRequest(f, 10, "v1"))
		f.Run(20 * time.Second)
		assert.Equal(t, version(f), "")
		assert.Assert(t, lastReply(t, f).State == nil)
	})
}

// A second order reaches the owner while the call of the first one is slow. Two
// calls in flight could arrive in either order, so the owner must refuse the
// second order until the first call has ended.
func TestOneCallToAnEngineAtATime(t *testing.T) {
	withBothEngines(t, func(f *nodetest.Fleet) {
		f.Engines["e1"].OrderDelay = time.Second
		f.SendEngineRequest("r1", loadRequest(f, 10, "v1"))
		f.SendEngineRequest("r1", loadRequest(f, 10, "v1"))
		f.Run(500 * time.Millisecond)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.CallBusy)
		f.Run(time.Second)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.Admitted)
		f.SendEngineRequest("r1", loadRequest(f, 10, "v1"))
		f.Run(2 * time.Second)
		assert.Equal(t, lastReply(t, f).Admission, engineorders.Admitted)
	})
}
