package engineorders

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// drawEngines draws a fleet that holds models in some versions.
func drawEngines(t *rapid.T) []Engine {
	engines := make([]Engine, rapid.IntRange(1, 12).Draw(t, "engines"))
	for i := range engines {
		engines[i] = Engine{ID: protocol.UpstreamID(fmt.Sprintf("e%02d", i)), Room: 2, Busy: rapid.IntRange(0, 9).Draw(t, "busy") == 0}
		for _, model := range []protocol.Model{"m", "n"} {
			if rapid.Bool().Draw(t, "holds") {
				version := fmt.Sprint("v", rapid.IntRange(1, 2).Draw(t, "version"))
				engines[i].Models = append(engines[i].Models, upstreamapi.LoadedModel{Model: model, Version: version, Ready: true})
			}
		}
	}
	return engines
}

// begin carries an order out as far as engines do at once, and says whether
// it must be finished later.
func begin(engines []Engine, planned Planned) {
	for i := range engines {
		if engines[i].ID != planned.Upstream {
			continue
		}
		var kept []upstreamapi.LoadedModel
		for _, held := range engines[i].Models {
			if held.Model != planned.Intent.Model {
				kept = append(kept, held)
			}
		}
		if planned.Intent.Action == upstreamapi.ActionLoad {
			kept = append(kept, upstreamapi.LoadedModel{Model: planned.Intent.Model, Version: planned.Intent.Version})
			engines[i].Busy = true
			engines[i].Open = planned.Intent
		}
		engines[i].Models = kept
	}
}

// finish completes an engine's load.
func finish(engine *Engine) {
	if engine.Open.Action != upstreamapi.ActionLoad {
		return
	}
	for i := range engine.Models {
		engine.Models[i].Ready = true
	}
	engine.Open = Intent{}
	engine.Busy = false
}

func serving(engines []Engine, model protocol.Model) int {
	p := plan{engines: engines}
	return p.count(Model{Name: model}).serving
}

// Operators change versions and replicas while loads end in any order. A model
// that several engines serve must never fall to none, no more than the share
// may change at a time, no engine may get two orders in one plan, and loads
// must stay within their bound.
func TestPlanKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := drawEngines(t)
		share := rapid.SampledFrom([]float64{RollShare, 0.25, 1}).Draw(t, "share")
		rolling := map[protocol.UpstreamID]protocol.Model{}
		for range 30 {
			models := []Model{
				{Name: "m", Version: fmt.Sprint("v", rapid.IntRange(1, 2).Draw(t, "mv")), Replicas: rapid.IntRange(1, 6).Draw(t, "mr")},
				{Name: "n", Version: "v2", Replicas: rapid.IntRange(1, 3).Draw(t, "nr")},
			}
			checkPlan(t, engines, models, share, rolling)
			for i := range engines {
				if rapid.Bool().Draw(t, "done") {
					finish(&engines[i])
					delete(rolling, engines[i].ID)
				}
			}
		}
	})
}

func checkPlan(t *rapid.T, engines []Engine, models []Model, share float64, rolling map[protocol.UpstreamID]protocol.Model) {
	limits := Limits{Loads: MaxLoads, RollShare: share}
	for _, engine := range engines {
		if engine.Open.Action == upstreamapi.ActionLoad {
			limits.Loads--
		}
	}
	before := map[protocol.Model]counts{}
	p := plan{engines: engines}
	for _, model := range models {
		before[model.Name] = p.count(model)
	}
	seen := map[protocol.UpstreamID]bool{}
	for _, planned := range MakePlan(engines, models, limits) {
		assert.Assert(t, !seen[planned.Upstream])
		seen[planned.Upstream] = true
		if planned.Intent.Action == upstreamapi.ActionLoad {
			limits.Loads--
		}
		if planned.Why == "roll" {
			rolling[planned.Upstream] = planned.Intent.Model
		}
		assert.Assert(t, planned.Why != "shrink" || before[planned.Intent.Model].coming == 0)
		begin(engines, planned)
	}
	assert.Assert(t, limits.Loads >= 0)
	for model, was := range before {
		checkCapacity(t, engines, model, was, share, rolling)
	}
}

func checkCapacity(t *rapid.T, engines []Engine, model protocol.Model, was counts, share float64, rolling map[protocol.UpstreamID]protocol.Model) {
	now := serving(engines, model)
	if was.serving > 0 {
		assert.Assert(t, now > 0, "model %s fell to none", model)
	}
	changing := 0
	for _, rolled := range rolling {
		if rolled == model {
			changing++
		}
	}
	if now < was.serving {
		assert.Assert(t, changing <= max(1, int(share*float64(was.serving+was.coming))), "%d of model %s change at a time", changing, model)
	}
}

// One engine alone serves a model that is in use, and its version is changed.
// Loading in place would leave callers without it for the whole load. It must
// come up on another engine first.
func TestLastReplicaIsRolledByWayOfAnother(t *testing.T) {
	engines := []Engine{
		{ID: "a", Room: 2, Models: []upstreamapi.LoadedModel{{Model: "m", Version: "v1", Ready: true}}},
		{ID: "b", Room: 2},
	}
	models := []Model{{Name: "m", Version: "v2", Replicas: 1}}
	var steps []string
	for range 4 {
		for _, planned := range MakePlan(engines, models, Limits{Loads: 4, RollShare: RollShare}) {
			steps = append(steps, fmt.Sprint(planned.Upstream, " ", planned.Intent.Action))
			begin(engines, planned)
		}
		assert.Assert(t, serving(engines, "m") > 0)
		finish(&engines[0])
		finish(&engines[1])
	}
	assert.DeepEqual(t, steps, []string{"b load", "a unload"})
}

// Demand swings about what the replicas carry. A replica that comes and goes
// with each swing costs a load and all its chats each time.
func TestReplicasDontFollowEachSwing(t *testing.T) {
	s := NewScaler(DefaultScalerConfig(), 0, 4)
	changes := 0
	last := 4
	for now := time.Duration(0); now < 2*time.Hour; now += time.Second {
		tokens := 2200.0
		if now/time.Minute%6 < 3 {
			tokens = 1400
		}
		wanted := s.Wanted(now, Demand{Tokens: tokens, PerReplica: 1000}, Floor{Min: 1})
		if wanted != last {
			changes++
		}
		last = wanted
	}
	assert.Equal(t, changes, 0)
}

func TestReplicasFollowLastingDemandWithinBounds(t *testing.T) {
	for name, tc := range map[string]struct {
		from   int
		tokens float64
		floor  Floor
		after  time.Duration
		want   int
	}{
		"grows to the target":        {2, 3250, Floor{Min: 1}, time.Minute, 5},
		"not at once":                {2, 3250, Floor{Min: 1}, 5 * time.Second, 2},
		"at most max":                {2, 9000, Floor{Min: 1, Max: 4}, time.Minute, 4},
		"shrinks one by one":         {5, 100, Floor{Min: 1}, 11 * time.Minute, 4},
		"never under min":            {5, 0, Floor{Min: 3}, 5 * time.Hour, 3},
		"the first request counts":   {0, 1, Floor{}, time.Second, 1},
		"a model in use keeps one":   {1, 1, Floor{}, 5 * time.Hour, 1},
		"one that nobody uses goes":  {1, 0, Floor{}, 2 * time.Hour, 0},
		"but not within the hour":    {1, 0, Floor{}, 59 * time.Minute, 1},
		"min counts for a new model": {0, 0, Floor{Min: 2}, time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewScaler(DefaultScalerConfig(), 0, tc.from)
			got := 0
			for now := time.Duration(0); now <= tc.after; now += time.Second {
				got = s.Wanted(now, Demand{Tokens: tc.tokens, PerReplica: 1000}, tc.floor)
			}
			assert.Equal(t, got, tc.want)
		})
	}
}
