package tracebench

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/kvmove"
	"endiveplank/coordination/placement"
)

// withPlannedLeaves returns the scenario with an engine that leaves every ten
// minutes and returns with an empty cache after nine, and without other churn.
func withPlannedLeaves(scenario Scenario, moves *kvmove.Costs) Scenario {
	scenario.Fleet.ChurnInterval = 0
	scenario.Fleet.PlannedLeaveInterval = 10 * time.Minute
	scenario.Fleet.PlannedLeaveTime = 9 * time.Minute
	scenario.Fleet.Moves = moves
	return scenario
}

// costsWithMaxIdle returns the default costs with another MaxIdle, and nil for
// 0.
func costsWithMaxIdle(maxIdle time.Duration) *kvmove.Costs {
	if maxIdle == 0 {
		return nil
	}
	costs := kvmove.DefaultCosts()
	costs.MaxIdle = maxIdle
	return &costs
}

// BenchmarkPlannedLeave measures the reuse of the chats whose engine left and
// of all chats, without moves and with moves of chats that ran recently. One
// cache size is full after minutes, the other has spare capacity.
func BenchmarkPlannedLeave(b *testing.B) {
	strategies := []Strategy{OwnerAdmission("owners", placement.DefaultPolicy(placement.ReuseFirst))}
	for _, cache := range []int{1_000_000, 4_000_000} {
		for _, maxIdle := range []time.Duration{0, 2 * time.Minute, 5 * time.Minute, 15 * time.Minute} {
			b.Run(fmt.Sprintf("cache=%d/idle=%v", cache, maxIdle), func(b *testing.B) {
				var r Result
				for b.Loop() {
					s := withPlannedLeaves(Today(), costsWithMaxIdle(maxIdle))
					s.Fleet.CacheTokens = cache
					r = Measure(s, seeds, strategies)[0]
				}
				b.ReportMetric(r.LeaverReusePct, "leaver-reuse-pct")
				b.ReportMetric(r.ReusePct, "reuse-pct")
				b.ReportMetric(float64(r.MovedTokens), "moved-tokens")
				b.ReportMetric(r.SkewMax, "skew-max/mean")
			})
		}
	}
}

// An engine leaves for maintenance. The next turns of its chats prefill whole
// prompts on the engines that take over, and all callers there wait longer.
// Moves must keep more of these prompts cached, and must not lower the reuse
// of the whole fleet by more than half a percentage point.
func TestMovesKeepTheReuseOfALeavingEnginesChats(t *testing.T) {
	strategies := []Strategy{OwnerAdmission("owners", placement.DefaultPolicy(placement.ReuseFirst))}
	without := Measure(withPlannedLeaves(Brief(), nil), seeds[:1], strategies)[0]
	costs := kvmove.DefaultCosts()
	with := Measure(withPlannedLeaves(Brief(), &costs), seeds[:1], strategies)[0]
	t.Logf("reuse of the leaving engine's chats %.1f%% without, %.1f%% with moves; of all %.1f%%, %.1f%%",
		without.LeaverReusePct, with.LeaverReusePct, without.ReusePct, with.ReusePct)
	assert.Assert(t, with.LeaverReusePct >= without.LeaverReusePct+5)
	assert.Assert(t, with.ReusePct >= without.ReusePct-0.5)
}
