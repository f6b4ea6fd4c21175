package engineorders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

func someOwner(protocol.UpstreamID) (Owner, bool) { return Owner{Router: "r1", Tenure: 1}, true }

// A leader stops, and with it the owner of an engine. The next issuer asks the
// owner it knows, which is gone. The plan waits for what the engine holds; it
// must not wait for a whole survey.
func TestUnansweredSurveyIsRepeatedSoon(t *testing.T) {
	s := NewSurvey(5)
	asks := 0
	run := func(from, until time.Duration) {
		for now := from; now < until; now += 200 * time.Millisecond {
			asks += len(s.Step(now, []protocol.UpstreamID{"e1"}, someOwner))
		}
	}
	run(0, 3*time.Second)
	assert.Equal(t, asks, 2)
	s.Reply(Reply{Upstream: "e1", Office: 4, State: &upstreamapi.EngineState{}})
	_, read := s.Read("e1")
	assert.Assert(t, !read, "an answer to a former issuer")
	s.Reply(Reply{Upstream: "e1", Office: 5, State: &upstreamapi.EngineState{Role: "serve"}})
	run(3*time.Second, 31*time.Second)
	assert.Equal(t, asks, 2)
	run(31*time.Second, 34*time.Second)
	assert.Equal(t, asks, 3)
	s.Settled("e1")
	_, read = s.Read("e1")
	assert.Assert(t, !read, "what an engine held before its order")
	run(34*time.Second, 35*time.Second)
	assert.Equal(t, asks, 4)
}

// An issuer takes office over 790 engines. It must not ask all of them in one
// moment, and must have asked all of them within ten seconds.
func TestSurveyIsSpread(t *testing.T) {
	var engines []protocol.UpstreamID
	for i := range 790 {
		engines = append(engines, protocol.UpstreamID(fmt.Sprint("e", i)))
	}
	s := NewSurvey(5)
	asked := map[protocol.UpstreamID]bool{}
	for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
		sends := s.Step(now, engines, someOwner)
		assert.Assert(t, len(sends) <= surveyAtOnce)
		for _, send := range sends {
			asked[send.Ask.Upstream] = true
			assert.Assert(t, send.Ask.ReadOnly)
			s.Reply(Reply{Upstream: send.Ask.Upstream, Office: 5, State: &upstreamapi.EngineState{}})
		}
	}
	assert.Equal(t, len(asked), len(engines))
}
