package upstream

import (
	"testing"

	"gotest.tools/v3/assert"

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
