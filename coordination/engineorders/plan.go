package engineorders

import (
	"cmp"
	"slices"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Engine is one engine as a plan sees it.
type Engine struct {
	ID protocol.UpstreamID
	// Models are what it holds, as read in this office.
	Models []upstreamapi.LoadedModel
	// Room is how many models it can hold at once.
	Room int
	// Busy engines have an open order, or rest after a missed one, or are
	// leaving. They count with what they serve and get no order.
	Busy bool
	// Open is what its open order asks, if it has one.
	Open Intent
}

// Model is what a model should have.
type Model struct {
	Name protocol.Model
	// Version is empty when any will do.
	Version  string
	Replicas int
}

// RollShare is the share of a model's engines that may be without it at a
// time while its version is changed. Load: engines at up to 80% of their
// capacity, where a tenth fewer still carry it. Harm prevented: a new version
// that takes the fleet's capacity and its caches at a stroke.
const RollShare = 0.1

// Limits bound one plan.
type Limits struct {
	// Loads is how many loads may be begun now.
	Loads int
	// RollShare is the share of a model's engines in change at a time, see
	// the constant of the name. At least one engine may change.
	RollShare float64
}

// Planned is one order to issue.
type Planned struct {
	Upstream protocol.UpstreamID
	Intent   Intent
	// Why is roll, grow or shrink.
	Why string
}

// plan is the work on one plan.
type plan struct {
	engines []Engine
	taken   map[protocol.UpstreamID]bool
	loads   int
	share   float64
	out     []Planned
}

// MakePlan returns the orders to issue now: first replicas that lack, then
// for each model either a replica beyond what is wanted or old versions, never
// both at once. It never plans
// two orders for an engine, and the same input gives the same plan.
func MakePlan(engines []Engine, models []Model, limits Limits) []Planned {
	p := &plan{
		engines: slices.SortedFunc(slices.Values(engines), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) }),
		taken:   map[protocol.UpstreamID]bool{},
		loads:   limits.Loads,
		share:   limits.RollShare,
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

// held returns a model as an engine holds it.
func (e Engine) held(model protocol.Model) (upstreamapi.LoadedModel, bool) {
	for _, held := range e.Models {
		if held.Model == model {
			return held, true
		}
	}
	return upstreamapi.LoadedModel{}, false
}

// counts are the engines of a model: those that serve it, those of them with
// the wanted version, and those that will.
type counts struct{ serving, wanted, coming int }

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
			if model.current(held) {
				c.wanted++
			}
		case holds || loading:
			c.coming++
		}
	}
	return c
}

// Serves says whether the engine serves a model and goes on to do so.
func (e Engine) Serves(model protocol.Model) bool {
	held, holds := e.held(model)
	return holds && held.Ready && e.Open.Model != model
}

func (m Model) current(held upstreamapi.LoadedModel) bool {
	return m.Version == "" || held.Version == m.Version
}

// grow loads a model on more engines, those with the fewest models first.
func (p *plan) grow(model Model) {
	c := p.count(model)
	for lacking := model.Replicas - c.serving - c.coming; lacking > 0 && p.loads > 0; lacking-- {
		engine, found := p.emptiest(model.Name)
		if !found {
			return
		}
		p.load(engine, model, "grow")
	}
}

// emptiest returns the free engine with the fewest models and room for one
// more.
func (p *plan) emptiest(model protocol.Model) (Engine, bool) {
	best := Engine{}
	found := false
	for _, engine := range p.engines {
		if _, holds := engine.held(model); holds || !p.free(engine) || len(engine.Models) >= engine.Room {
			continue
		}
		if !found || len(engine.Models) < len(best.Models) {
			best = engine
			found = true
		}
	}
	return best, found
}

func (p *plan) free(engine Engine) bool { return !engine.Busy && !p.taken[engine.ID] }

// roll brings engines to the wanted version, a share of them at a time. A
// model that only one engine serves first comes up on another, so that it
// never falls to none; where no engine has room, it isn't rolled.
func (p *plan) roll(model Model) {
	c := p.count(model)
	old := c.serving - c.wanted
	if old == 0 || model.Version == "" {
		return
	}
	changing := c.coming
	if c.serving == 1 && changing == 0 {
		if engine, found := p.emptiest(model.Name); found && p.loads > 0 {
			p.load(engine, model, "roll")
		}
		return
	}
	may := min(max(1, int(p.share*float64(c.serving+changing))), c.serving-1)
	for _, engine := range p.engines {
		if changing >= may || p.loads == 0 {
			return
		}
		held, holds := engine.held(model.Name)
		if !holds || !held.Ready || model.current(held) || !p.free(engine) {
			continue
		}
		p.load(engine, model, "roll")
		changing++
	}
}

func (p *plan) load(engine Engine, model Model, why string) {
	p.loads--
	p.add(engine, Intent{Action: upstreamapi.ActionLoad, Model: model.Name, Version: model.Version}, why)
}

// shrink unloads one replica beyond what is wanted, one of an old version
// first, and says whether it did. It waits while others change, because those
// don't serve yet.
func (p *plan) shrink(model Model) bool {
	c := p.count(model)
	if c.coming > 0 || c.serving <= model.Replicas {
		return false
	}
	for _, onlyOld := range []bool{true, false} {
		for _, engine := range slices.Backward(p.engines) {
			held, holds := engine.held(model.Name)
			if !holds || !held.Ready || !p.free(engine) || onlyOld && model.current(held) {
				continue
			}
			p.add(engine, Intent{Action: upstreamapi.ActionUnload, Model: model.Name}, "shrink")
			return true
		}
	}
	return false
}

func (p *plan) add(engine Engine, intent Intent, why string) {
	p.taken[engine.ID] = true
	p.out = append(p.out, Planned{Upstream: engine.ID, Intent: intent, Why: why})
}
