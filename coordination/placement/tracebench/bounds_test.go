package tracebench

import (
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
	"endiveplank/protocol/chat"
)

// runBounds holds the limits of one scenario and strategy. All figures are
// counts on a fixed seed, the same on every machine.
type runBounds struct {
	// ReuseOfAllKnowing is the lowest allowed reuse, in per cent of that of
	// the all-knowing router on the same trace.
	ReuseOfAllKnowing float64 `json:"min-reuse-of-all-knowing-pct"`
	Skew              float64 `json:"max-skew-max/mean"`
	SkewCounted       float64 `json:"max-skew-counted-max/mean"`
	Over              float64 `json:"max-over-pct"`
	Queries           float64 `json:"max-asks/req"`
	Waits             float64 `json:"max-waits-pct"`
	Control           float64 `json:"max-ctl-most-B/s/node"`
}

// bounds is the content of bounds.json.
type bounds struct {
	OrderAllocs  float64                         `json:"max-order-allocs/op"`
	PlaceAllocs  float64                         `json:"max-place-allocs/op"`
	BytesPerChat float64                         `json:"max-B/chat"`
	SummaryBytes int                             `json:"max-summary-B"`
	Runs         map[string]map[string]runBounds `json:"runs"`
}

func readBounds(t *testing.T) bounds {
	t.Helper()
	raw, err := os.ReadFile("../bounds.json")
	assert.NilError(t, err)
	var b bounds
	assert.NilError(t, json.Unmarshal(raw, &b))
	return b
}

// A change to placement or the load bound may lower reuse, or raise skew,
// queries, waits or control traffic, without any wrong answer. Each strategy
// in bounds.json must stay within its limits on a fixed seed.
func TestRunsStayWithinBounds(t *testing.T) {
	scenarios := map[string]Scenario{"brief": Brief(), "brief-tree": BriefTree(), "brief-loss": Brief()}
	lossy := scenarios["brief-loss"]
	lossy.Fleet.EventLoss = 0.5
	scenarios["brief-loss"] = lossy
	late := Brief()
	late.Fleet.LossDetectionDelay = Today().Fleet.LossDetectionDelay
	scenarios["brief-detect"] = late
	for name, strategies := range readBounds(t).Runs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := []Strategy{Baselines()[0]}
			for _, strategy := range ownerStrategies() {
				if _, checked := strategies[strategy.Name]; checked {
					list = append(list, strategy)
				}
			}
			assert.Equal(t, len(list), len(strategies)+1, "a strategy in the file is unknown")
			results := Measure(scenarios[name], []uint64{1}, list)
			for i, strategy := range list[1:] {
				checkRun(t, strategy.Name, results[i+1], results[0], strategies[strategy.Name])
			}
		})
	}
}

func checkRun(t *testing.T, strategy string, r, allKnowing Result, b runBounds) {
	t.Helper()
	reuse := 100 * r.ReusePct / allKnowing.ReusePct
	t.Logf("%s: reuse %.2f%% skew %.3f counted %.3f over %.4f%% queries %.2f waits %.2f ctl %.0f",
		strategy, reuse, r.SkewMax, r.SkewCounted, r.OverPct, r.Queries, r.WaitPct, r.ControlMaxBytes)
	assert.Check(t, reuse >= b.ReuseOfAllKnowing, "%s: reuse %v", strategy, reuse)
	assert.Check(t, r.SkewMax <= b.Skew, "%s: skew %v", strategy, r.SkewMax)
	assert.Check(t, r.SkewCounted <= b.SkewCounted, "%s: counted skew %v", strategy, r.SkewCounted)
	assert.Check(t, r.OverPct <= b.Over, "%s: over %v", strategy, r.OverPct)
	assert.Check(t, r.Queries <= b.Queries, "%s: queries %v", strategy, r.Queries)
	assert.Check(t, r.WaitPct <= b.Waits, "%s: waits %v", strategy, r.WaitPct)
	assert.Check(t, r.ControlMaxBytes <= b.Control, "%s: control %v", strategy, r.ControlMaxBytes)
}

// Allocations at each decision, a larger index or a larger summary would cost
// memory and bandwidth on every router.
func TestDecisionsStayWithinBounds(t *testing.T) {
	b := readBounds(t)
	sim := &simulation{engines: []*engine{newEngine("e000", 1, 1), newEngine("e001", 1, 1)}}
	set := setOf(sim, []bool{true, true})
	var order [placement.MaxChoices]int32
	orderAllocs := testing.AllocsPerRun(100, func() { set.Order(placement.Key{Root: 5}, order[:]) })
	assert.Check(t, orderAllocs <= b.OrderAllocs)

	ledger := loadbound.NewLedger(loadbound.DefaultConfig())
	owner := placement.NewOwner(ledger, placement.DefaultPolicy(1), 100)
	for _, e := range sim.engines {
		ledger.Acquire(0, e.id, loadbound.Grant{Fence: 1, ExpiresAt: 1, Capacity: 1})
		owner.AddUpstream(0, e.id, 1, 100)
	}
	chain := []chat.Link{{Hash: 1, Tokens: 10}, {Hash: 2, Tokens: 20}}
	request := placement.Request{Chain: chain, RootIndex: 1, OutputTokens: 10}
	placeAllocs := testing.AllocsPerRun(100, func() {
		walk := placement.StartWalk(set, placement.DefaultPolicy(1), request)
		for step, ok := walk.Next(); ok; step, ok = walk.Next() {
			walk.HandleAnswer(owner.HandleQuery(0, step.Query))
		}
		answer := walk.Result().Answer
		owner.Finish(0, answer.Ticket, answer.Hit, -1)
	})
	assert.Check(t, placeAllocs <= b.PlaceAllocs)

	const chats = 100_000
	assert.Check(t, float64(placement.NewIndex(chats).Bytes())/chats <= b.BytesPerChat)
	assert.Check(t, len(loadbound.Summary{}.AppendBinary(nil)) <= b.SummaryBytes)
}
