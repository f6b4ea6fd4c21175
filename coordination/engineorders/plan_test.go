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

// drawEngines draws a fleet of engines that hold models in some versions.
func drawEngines(t *rapid.T) []Engine {
	engines := make([]Engine, rapid.IntRange(1, 12).Draw(t, "engines"))
	for i := range engines {
		engines[i] = Engine{ID: protocol.UpstreamID(fmt.Sprintf("e%02d", i)), MaxModels: 2, Busy: rapid.IntRange(0, 9).Draw(t, "busy") == 0}
		for _, model := range []protocol.Model{"m", "n"} {
			if rapid.Bool().Draw(t, "holds") {
				version := fmt.Sprint("v", rapid.IntRange(1, 2).Draw(t, "version"))
				engines[i].Models = append(engines[i].Models, upstreamapi.LoadedModel{Model: model, Version: version, Ready: true})
			}
		}
	}
	return engines
}

// begin applies the immediate effect of an order to its engine: an unload is
// complete, a load stays open until finish.
func begin(engines []Engine, planned PlannedOrder) {
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

// Operators change versions and replicas while loads end in any order. A model that
// engines serve must always be served, at most rollShare of its engines may change
// at the same time, no engine may get two orders in one plan, and loads must stay
// within their limit.
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
	limits := Limits{Loads: MaxOpenLoads, RollShare: share}
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
		assert.Assert(t, planned.Why != "shrink" || before[planned.Intent.Model].pending == 0)
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
		assert.Assert(t, changing <= max(1, int(share*float64(was.serving+was.pending))), "%d of model %s change at a time", changing, model)
	}
}

// Only one engine serves a model in use, and the wanted version changes. Loading the
// new version on that engine would leave callers without the model during the load.
// It must first be loaded on another engine.
func TestLastReplicaIsReplacedOnAnotherEngineFirst(t *testing.T) {
	engines := []Engine{
		{ID: "a", MaxModels: 2, Models: []upstreamapi.LoadedModel{{Model: "m", Version: "v1", Ready: true}}},
		{ID: "b", MaxModels: 2},
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

// Demand swings around the capacity of the replicas. The number of replicas must not
// follow each swing, because every change costs a load and moves the replica's chats.
func TestReplicasDontFollowShortSwings(t *testing.T) {
	s := NewScaler(DefaultScalerConfig(), 0, 4)
	changes := 0
	last := 4
	for now := time.Duration(0); now < 2*time.Hour; now += time.Second {
		tokens := 2200.0
		if now/time.Minute%6 < 3 {
			tokens = 1400
		}
		wanted := s.Replicas(now, Demand{Tokens: tokens, PerReplica: 1000}, ReplicaLimits{Min: 1})
		if wanted != last {
			changes++
		}
		last = wanted
	}
	assert.Equal(t, changes, 0)
}

// Demand that lasts must change the replicas, within the operators' limits; a model
// in use must keep one replica, and a model that nobody uses must lose its last.
func TestReplicasFollowLastingDemandWithinBounds(t *testing.T) {
	for name, tc := range map[string]struct {
		from   int
		tokens float64
		limits ReplicaLimits
		after  time.Duration
		want   int
	}{
		"grows to the target":        {2, 3250, ReplicaLimits{Min: 1}, time.Minute, 5},
		"not at once":                {2, 3250, ReplicaLimits{Min: 1}, 5 * time.Second, 2},
		"at most max":                {2, 9000, ReplicaLimits{Min: 1, Max: 4}, time.Minute, 4},
		"shrinks one by one":         {5, 100, ReplicaLimits{Min: 1}, 11 * time.Minute, 4},
		"never under min":            {5, 0, ReplicaLimits{Min: 3}, 5 * time.Hour, 3},
		"the first request counts":   {0, 1, ReplicaLimits{}, time.Second, 1},
		"a model in use keeps one":   {1, 1, ReplicaLimits{}, 5 * time.Hour, 1},
		"one that nobody uses goes":  {1, 0, ReplicaLimits{}, 2 * time.Hour, 0},
		"but not within the hour":    {1, 0, ReplicaLimits{}, 59 * time.Minute, 1},
		"min counts for a new model": {0, 0, ReplicaLimits{Min: 2}, time.Second, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewScaler(DefaultScalerConfig(), 0, tc.from)
			got := 0
			for now := time.Duration(0); now <= tc.after; now += time.Second {
				got = s.Replicas(now, Demand{Tokens: tc.tokens, PerReplica: 1000}, tc.limits)
			}
			assert.Equal(t, got, tc.want)
		})
	}
}
