package engineorders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

func completed(engine protocol.UpstreamID, ownership protocol.Fence, done float64) Reply {
	return Reply{Upstream: engine, Admission: Admitted, ReadOnly: true, OwnershipFence: ownership, Completed: map[protocol.Model]float64{"m": done}}
}

// Two engines run at 500 and 300 tokens a second. One report is lost, one engine
// gets another owner, whose count starts at 0, and one engine sends no report for
// long. None of these may look like a fall in demand, or replicas would be removed
// and added again.
func TestLostReportsDontLowerDemand(t *testing.T) {
	serving := map[protocol.UpstreamID]float64{"a": 1000, "b": 1000}
	m := NewMeter()
	demand := func(now time.Duration) float64 {
		d, _ := m.Demand(now, "m", serving)
		return d.Tokens
	}
	_, known := m.Demand(0, "m", serving)
	assert.Assert(t, !known)
	for _, report := range []struct {
		now  time.Duration
		a, b float64
	}{{0, 0, 100}, {30 * time.Second, 15_000, 9100}, {90 * time.Second, 45_000, 27_100}} {
		m.HandleReply(report.now, completed("a", 1, report.a))
		m.HandleReply(report.now, completed("b", 1, report.b))
	}
	assert.Equal(t, demand(90*time.Second), 800.0)
	order := completed("a", 1, 45_000)
	order.Fence = 7
	m.HandleReply(91*time.Second, order)
	assert.Equal(t, demand(91*time.Second), 800.0)
	m.HandleReply(100*time.Second, completed("b", 2, 0))
	assert.Equal(t, demand(100*time.Second), 1000.0)
	m.HandleReply(130*time.Second, completed("b", 2, 9000))
	assert.Equal(t, demand(130*time.Second), 800.0)
	m.HandleReply(230*time.Second, completed("b", 2, 39_000))
	assert.Equal(t, demand(230*time.Second), 600.0)
}
