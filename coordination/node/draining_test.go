package node_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node"
	"endiveplank/protocol"
)

// Guards: a request that comes late in a planned stop is sent on and cut when the process ends.
func TestLateRequestInAPlannedStopIsRefusedWithNotRun(t *testing.T) {
	f := newFleet(3)
	f.Input("r3", node.Drain{})
	early := f.Submit("r3", "q1", "key", "fuel?", 5)
	f.Input("r3", node.Drain{Refuse: true})
	called := 0
	f.OnCall = func(_ protocol.RouterID, call node.CallUpstream) {
		if call.Place.Attempt.Request == "q2" {
			called++
		}
	}
	late := f.Submit("r3", "q2", "key", "fuel?", 5)
	assert.Assert(t, late.Ended, "it is refused at once")
	assert.Equal(t, late.Status, 503)
	assert.Equal(t, late.Outcome, protocol.NotRun)
	f.Run(10 * time.Second)
	assert.Equal(t, called, 0)
	assertComplete(t, early, "fuel?", 5)
}
