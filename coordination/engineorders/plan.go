package engineorders

import (
	"cmp"
	"slices"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Engine is one engine as MakePlan sees it.
type Engine struct {
	ID protocol.UpstreamID
	// Models are the models that the engine holds, as read in this term.
	Models []upstreamapi.LoadedModel
	// MaxModels is how many models the engine can hold at once.
	MaxModels int
	// Busy says that the engine has an open order, is in backoff after a failed
	// one, or is leaving. A busy engine gets no order, but the models that it
	// serves count.
	Busy bool
	// Open is the intent of the engine's open order, if it has one.
	Open Intent
}

// Model is the wanted version and number of replicas of a model.
type Model struct {
	Name protocol.Model
	// Version is empty if any version will do.
	Version  string
	Replicas int
}

// RollShare is the share of a model's engines that may be without the model at the
// same time during a rolling change of its version. Engines run at up to 80% of
// their capacity, so a tenth fewer can still carry the load. It guards against a
// new version that takes away the fleet's capacity and its caches all at once.
const RollShare = 0.1

// Limits are the limits of one plan.
type Limits struct {
	// Loads is how many loads may start now.
	Loads int
	// RollShare is the share of a model's engines that may change at the same
	// time, see the constant RollShare. At least one engine may change.
	RollShare float64
}

// PlannedOrder is one order to issue.
type PlannedOrder struct {
	Upstream protocol.UpstreamID
	Intent   Intent
	// Why is "roll", "grow" or "shrink".
	Why string
}

// plan is the state of one MakePlan call.
type plan struct {
	engines   []Engine
	ordered   map[protocol.UpstreamID]bool
	loadsLeft int
	rollShare float64
	out       []PlannedOrder
}

// MakePlan returns the orders to issue now. First it loads missing replicas. Then,
// for each model, it either unloads a replica beyond the wanted number or replaces
// old versions, never both at once. It never plans two orders for an engine, and
// the same input gives the same plan.
func MakePlan(engines []Engine, models []Model, limits Limits) []PlannedOrder {
	p := &plan{
		engines:   slices.SortedFunc(slices.Values(engines), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) }),
		ordered:   map[protocol.UpstreamID]bool{},
		loadsLeft: limits.Loads,
		rollShare: limits.RollShare,
	}
	for _, model := range models {
		p.grow(model)
	}
	for _, model := range models {
		if !p.shrink(model) {
			p.roll(model)
		}
	}
	return p.out
}

// held returns the model as the engine holds it.
func (e Engine) held(model protocol.Model) (upstreamapi.LoadedModel, bool) {
	for _, held := range e.Models {
		if held.Model == model {
			return held, true
		}
	}
	return upstreamapi.LoadedModel{}, false
}

// counts are numbers of a model's engines: those that serve it, those of them that
// serve the wanted version, and those that are going to serve it.
type counts struct{ serving, current, pending int }

func (p *plan) count(model Model) counts {
	var c counts
	for _, engine := range p.engines {
		held, holds := engine.held(model.Name)
		loading := engine.Open.Action == upstreamapi.ActionLoad && engine.Open.Model == model.Name
		unloading := engine.Open.Action == upstreamapi.ActionUnload && engine.Open.Model == model.Name
		switch {
		case unloading:
		case engine.Serves(model.Name):
			c.serving++
			if model.hasVersion(held) {
				c.current++
			}
		case holds || loading:
			c.pending++
		}
	}
	return c
}

// Serves reports whether the engine serves a model and has no open order for it.
func (e Engine) Serves(model protocol.Model) bool {
	held, holds := e.held(model)
	return holds && held.Ready && e.Open.Model != model
}

func (m Model) hasVersion(held upstreamapi.LoadedModel) bool {
	return m.Version == "" || held.Version == m.Version
}

// grow loads a model on more engines, on those with the fewest models first.
func (p *plan) grow(model Model) {
	c := p.count(model)
	for lacking := model.Replicas - c.serving - c.pending; lacking > 0 && p.loadsLeft > 0; lacking-- {
		engine, found := p.leastFilled(model.Name)
		if !found {
			return
		}
		p.load(engine, model, "grow")
	}
}

// leastFilled returns the available engine that holds the fewest models and has
// capacity for another.
func (p *plan) leastFilled(model protocol.Model) (Engine, bool) {
	best := Engine{}
	found := false
	for _, engine := range p.engines {
		if _, holds := engine.held(model); holds || !p.available(engine) || len(engine.Models) >= engine.MaxModels {
			continue
		}
		if !found || len(engine.Models) < len(best.Models) {
			best = engine
			found = true
		}
	}
	return best, found
}

func (p *plan) available(engine Engine) bool { return !engine.Busy && !p.ordered[engine.ID] }

// roll replaces old versions of a model by the wanted one, on a share of its
// engines at a time. A model that only one engine serves is first loaded on another
// engine, so that it is always served; if no engine has capacity, its version is
// not changed.
func (p *plan) roll(model Model) {
	c := p.count(model)
	old := c.serving - c.current
	if old == 0 || model.Version == "" {
		return
	}
	changing := c.pending
	if c.serving == 1 && changing == 0 {
		if engine, found := p.leastFilled(model.Name); found && p.loadsLeft > 0 {
			p.load(engine, model, "roll")
		}
		return
	}
	limit := min(max(1, int(p.rollShare*float64(c.serving+changing))), c.serving-1)
	for _, engine := range p.engines {
		if changing >= limit || p.loadsLeft == 0 {
			return
		}
		held, holds := engine.held(model.Name)
		if !holds || !held.Ready || model.hasVersion(held) || !p.available(engine) {
			continue
		}
		p.load(engine, model, "roll")
		changing++
	}
}

func (p *plan) load(engine Engine, model Model, why string) {
	p.loadsLeft--
	p.add(engine, Intent{Action: upstreamapi.ActionLoad, Model: model.Name, Version: model.Version}, why)
}

// shrink unloads one replica beyond the wanted number, preferably one of an old
// version, and reports whether it did. It waits while other engines are loading the
// model, because those don't serve it yet.
func (p *plan) shrink(model Model) bool {
	c := p.count(model)
	if c.pending > 0 || c.serving <= model.Replicas {
		return false
	}
	for _, onlyOld := range []bool{true, false} {
		for _, engine := range slices.Backward(p.engines) {
			held, holds := engine.held(model.Name)
			if !holds || !held.Ready || !p.available(engine) || onlyOld && model.hasVersion(held) {
				continue
			}
			p.add(engine, Intent{Action: upstreamapi.ActionUnload, Model: model.Name}, "shrink")
			return true
		}
	}
	return false
}

func (p *plan) add(engine Engine, intent Intent, why string) {
	p.ordered[engine.ID] = true
	p.out = append(p.out, PlannedOrder{Upstream: engine.ID, Intent: intent, Why: why})
}
