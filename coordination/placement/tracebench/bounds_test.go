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

// runBounds are the limits of one scenario and way. All are counts on a fixed
// seed and the same on every machine.
type runBounds struct {
	// ReuseOfAllKnowing is the least reuse, in per cent of what the
	// all-knowing router reaches on the same trace.
	ReuseOfAllKnowing float64 `json:"min-reuse-of-all-knowing-pct"`
	Skew              float64 `json:"max-skew-max/mean"`
	SkewCounted       float64 `json:"max-skew-counted-max/mean"`
	Over              float64 `json:"max-over-pct"`
	Asks              float64 `json:"max-asks/req"`
	Waits             float64 `json:"max-waits-pct"`
	Control           float64 `json:"max-ctl-most-B/s/node"`
}

// bounds is the file that CI checks.
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

func TestRunsStayWithinBounds(t *testing.T) {
	scenarios := map[string]Scenario{"brief": Brief(), "brief-tree": BriefTree(), "brief-loss": Brief()}
	lossy := scenarios["brief-loss"]
	lossy.Fleet.EventLoss = 0.5
	scenarios["brief-loss"] = lossy
	late := Brief()
	late.Fleet.DetectLoss = Today().Fleet.DetectLoss
	scenarios["brief-detect"] = late
	for name, ways := range readBounds(t).Runs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			list := []Way{Baselines()[0]}
			for _, way := range ownerWays() {
				if _, checked := ways[way.Name]; checked {
					list = append(list, way)
				}
			}
			assert.Equal(t, len(list), len(ways)+1, "a way in the file is unknown")
			results := Measure(scenarios[name], []uint64{1}, list)
			for i, way := range list[1:] {
				checkRun(t, way.Name, results[i+1], results[0], ways[way.Name])
			}
		})
	}
}

func checkRun(t *testing.T, way string, r, allKnowing Result, b runBounds) {
	t.Helper()
	reuse := 100 * r.ReusePct / allKnowing.ReusePct
	t.Logf("%s: reuse %.2f%% skew %.3f counted %.3f over %.4f%% asks %.2f waits %.2f ctl %.0f",
		way, reuse, r.SkewMax, r.SkewCounted, r.OverPct, r.Asks, r.WaitPct, r.ControlMost)
	assert.Check(t, reuse >= b.ReuseOfAllKnowing, "%s: reuse %v", way, reuse)
	assert.Check(t, r.SkewMax <= b.Skew, "%s: skew %v", way, r.SkewMax)
	assert.Check(t, r.SkewCounted <= b.SkewCounted, "%s: counted skew %v", way, r.SkewCounted)
	assert.Check(t, r.OverPct <= b.Over, "%s: over %v", way, r.OverPct)
	assert.Check(t, r.Asks <= b.Asks, "%s: asks %v", way, r.Asks)
	assert.Check(t, r.WaitPct <= b.Waits, "%s: waits %v", way, r.WaitPct)
	assert.Check(t, r.ControlMost <= b.Control, "%s: control %v", way, r.ControlMost)
}

func TestDecisionsStayWithinBounds(t *testing.T) {
	b := readBounds(t)
	w := &world{engines: []*engine{newEngine("e000", 1, 1), newEngine("e001", 1, 1)}}
	set := setOf(w, []bool{true, true})
	var order [placement.MaxChoices]int32
	orderAllocs := testing.AllocsPerRun(100, func() { set.Order(placement.Key{Root: 5}, order[:]) })
	assert.Check(t, orderAllocs <= b.OrderAllocs)

	ledger := loadbound.NewLedger(loadbound.DefaultConfig())
	owner := placement.NewOwner(ledger, placement.DefaultPolicy(1), 100)
	for _, e := range w.engines {
		ledger.Acquire(0, e.id, loadbound.Grant{Fence: 1, ExpiresAt: 1, Capacity: 1})
		owner.Hold(0, e.id, 1, 100)
	}
	chain := []chat.Link{{Hash: 1, Tokens: 10}, {Hash: 2, Tokens: 20}}
	request := placement.Request{Chain: chain, Root: 1, OutputTokens: 10}
	placeAllocs := testing.AllocsPerRun(100, func() {
		walk := placement.Begin(set, placement.DefaultPolicy(1), request)
		for step, ok := walk.Next(); ok; step, ok = walk.Next() {
			walk.Answered(owner.Ask(0, step.Ask))
		}
		answer := walk.Result().Answer
		owner.Finished(0, answer.Ticket, answer.Hit, -1)
	})
	assert.Check(t, placeAllocs <= b.PlaceAllocs)

	const chats = 100_000
	assert.Check(t, float64(placement.NewIndex(chats).Bytes())/chats <= b.BytesPerChat)
	assert.Check(t, len(loadbound.Summary{}.AppendBinary(nil)) <= b.SummaryBytes)
}
