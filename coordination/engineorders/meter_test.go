package engineorders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

func work(engine protocol.UpstreamID, tenure protocol.Fence, done float64) Reply {
	return Reply{Upstream: engine, Verdict: Passed, ReadOnly: true, Tenure: tenure, Done: map[protocol.Model]float64{"m": done}}
}

// Engines do 500 and 300 tokens a second. One report is lost, one engine gets
// another owner, whose count begins at none, and one is not heard of for long.
// None of these may look like a fall in demand, or replicas go and come back.
func TestDemandDoesntFallWithLostReports(t *testing.T) {
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
		m.Reply(report.now, work("a", 1, report.a))
		m.Reply(report.now, work("b", 1, report.b))
	}
	assert.Equal(t, demand(90*time.Second), 800.0)
	order := work("a", 1, 45_000)
	order.Fence = 7
	m.Reply(91*time.Second, order)
	assert.Equal(t, demand(91*time.Second), 800.0)
	m.Reply(100*time.Second, work("b", 2, 0))
	assert.Equal(t, demand(100*time.Second), 1000.0)
	m.Reply(130*time.Second, work("b", 2, 9000))
	assert.Equal(t, demand(130*time.Second), 800.0)
	m.Reply(230*time.Second, work("b", 2, 39_000))
	assert.Equal(t, demand(230*time.Second), 600.0)
}
