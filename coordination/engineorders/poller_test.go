package engineorders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

func someOwner(protocol.UpstreamID) (Owner, bool) {
	return Owner{Router: "r1", OwnershipFence: 1}, true
}

// A leader stops that is also the owner of an engine. The next issuer asks the owner
// that it knows and gets no reply. The plan needs the engine's state, so the request
// must be repeated soon and not only after pollInterval.
func TestUnansweredPollIsRepeatedSoon(t *testing.T) {
	p := NewStatePoller(5)
	requests := 0
	run := func(from, until time.Duration) {
		for now := from; now < until; now += 200 * time.Millisecond {
			requests += len(p.Step(now, []protocol.UpstreamID{"e1"}, someOwner))
		}
	}
	run(0, 3*time.Second)
	assert.Equal(t, requests, 2)
	p.HandleReply(Reply{Upstream: "e1", Term: 4, State: &upstreamapi.EngineState{}})
	_, read := p.LastState("e1")
	assert.Assert(t, !read, "an answer to a former issuer")
	p.HandleReply(Reply{Upstream: "e1", Term: 5, State: &upstreamapi.EngineState{Role: "serve"}})
	run(3*time.Second, 31*time.Second)
	assert.Equal(t, requests, 2)
	run(31*time.Second, 34*time.Second)
	assert.Equal(t, requests, 3)
	p.Invalidate("e1")
	_, read = p.LastState("e1")
	assert.Assert(t, !read, "what an engine held before its order")
	run(34*time.Second, 35*time.Second)
	assert.Equal(t, requests, 4)
}

// An issuer's term starts in a fleet of 790 engines. The issuer must not ask all of
// them at the same moment, and must have asked all of them within ten seconds.
func TestPollsAreSpreadOverTime(t *testing.T) {
	var engines []protocol.UpstreamID
	for i := range 790 {
		engines = append(engines, protocol.UpstreamID(fmt.Sprint("e", i)))
	}
	p := NewStatePoller(5)
	asked := map[protocol.UpstreamID]bool{}
	for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
		requests := p.Step(now, engines, someOwner)
		assert.Assert(t, len(requests) <= maxPollsPerStep)
		for _, outgoing := range requests {
			asked[outgoing.Request.Upstream] = true
			assert.Assert(t, outgoing.Request.ReadOnly)
			p.HandleReply(Reply{Upstream: outgoing.Request.Upstream, Term: 5, State: &upstreamapi.EngineState{}})
		}
	}
	assert.Equal(t, len(asked), len(engines))
}
