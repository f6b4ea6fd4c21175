package upstream

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/node"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/transport/strict/stricttest"
)

// Guards: the relay fleet passes an answer on whose status is no status, or whose head has a name with
// a blank or a control byte.
func TestAnswerWithABrokenHeadIsNone(t *testing.T) {
	for name, raw := range stricttest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			address, _ := serveRaw(t, text(raw))
			end, sink := call(t, address)
			assert.Assert(t, end.Sent && !end.Complete)
			assert.Equal(t, len(sink.chunks), 0, "status %d", end.Status)
		})
	}
	for name, raw := range stricttest.LegalHeads() {
		t.Run(name, func(t *testing.T) {
			address, _ := serveRaw(t, text(raw))
			end, sink := call(t, address)
			assert.Assert(t, end.Sent && end.Complete)
			assert.Equal(t, len(sink.chunks), 1)
			assert.Equal(t, string(sink.chunks[0].Data), "fuel")
		})
	}
}

// Guards: an order to an engine counts as accepted, or a report as the engine's state, though the head of
// the answer isn't HTTP.
func TestOrderIsNotAcceptedByABrokenHead(t *testing.T) {
	for name, raw := range stricttest.BrokenHeads() {
		t.Run(name, func(t *testing.T) {
			raw = strings.Replace(raw, "fuel", "{}  ", 1)
			address, _ := serveRaw(t, text(raw))
			sink := make(channelSink, 1)
			client := New(sink, nil)
			client.Order(node.OrderEngine{Address: address, Request: engineorders.Request{
				Upstream: "e1", Fence: 7, Intent: engineorders.Intent{Action: upstreamapi.ActionRole, Role: "prefill"},
			}}, 5*time.Second)
			answered := (<-sink).(node.EngineAnswered)
			assert.Equal(t, answered.Status, 0)
			assert.Assert(t, answered.State == nil)
			client.Wait()
		})
	}
}
