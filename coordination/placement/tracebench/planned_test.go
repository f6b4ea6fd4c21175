package tracebench

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/kvmove"
	"endiveplank/coordination/placement"
)

// leaving is a scenario in which an engine leaves every ten minutes and comes
// back cold after nine.
func leaving(scenario Scenario, moves *kvmove.Costs) Scenario {
	scenario.Fleet.Churn = 0
	scenario.Fleet.Planned = 10 * time.Minute
	scenario.Fleet.PlannedAway = 9 * time.Minute
	scenario.Fleet.Moves = moves
	return scenario
}

// idle gives the default costs with another longest idle time, and nil for
// none.
func idle(most time.Duration) *kvmove.Costs {
	if most == 0 {
		return nil
	}
	costs := kvmove.DefaultCosts()
	costs.MaxIdle = most
	return &costs
}

// BenchmarkPlannedLeave shows the reuse of the chats whose engine left and of
// all, without moves and with those of chats that ran lately, with caches that
// are full after minutes and such that have room.
func BenchmarkPlannedLeave(b *testing.B) {
	way := []Way{OwnerAdmission("owners", placement.DefaultPolicy(placement.ReuseFirst))}
	for _, cache := range []int{1_000_000, 4_000_000} {
		for _, most := range []time.Duration{0, 2 * time.Minute, 5 * time.Minute, 15 * time.Minute} {
			b.Run(fmt.Sprintf("cache=%d/idle=%v", cache, most), func(b *testing.B) {
				var r Result
				for b.Loop() {
					s := leaving(Today(), idle(most))
					s.Fleet.CacheTokens = cache
					r = Measure(s, seeds, way)[0]
				}
				b.ReportMetric(r.LeaverReusePct, "leaver-reuse-pct")
				b.ReportMetric(r.ReusePct, "reuse-pct")
				b.ReportMetric(float64(r.MovedTokens), "moved-tokens")
				b.ReportMetric(r.SkewMax, "skew-max/mean")
			})
		}
	}
}

// An engine leaves for maintenance. Its chats' next turns prefill whole
// prompts on the engines that take over, and all callers there wait longer.
// Moves must keep more of these prompts cached, and must not cost the rest of
// the fleet what they bring.
func TestMovesKeepTheReuseOfALeaversChats(t *testing.T) {
	way := []Way{OwnerAdmission("owners", placement.DefaultPolicy(placement.ReuseFirst))}
	without := Measure(leaving(Brief(), nil), seeds[:1], way)[0]
	costs := kvmove.DefaultCosts()
	with := Measure(leaving(Brief(), &costs), seeds[:1], way)[0]
	t.Logf("reuse of the leaver's chats %.1f%% without, %.1f%% with moves; of all %.1f%%, %.1f%%",
		without.LeaverReusePct, with.LeaverReusePct, without.ReusePct, with.ReusePct)
	assert.Assert(t, with.LeaverReusePct >= without.LeaverReusePct+5)
	assert.Assert(t, with.ReusePct >= without.ReusePct-0.5)
}
