package engine

import (
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// OrderResult says what became of an engine order.
type OrderResult int

const (
	// OrderTaken means the order is being carried out.
	OrderTaken OrderResult = iota
	// OrderFenced means the order carried an old fencing number and changed
	// nothing.
	OrderFenced
	// OrderUnknown means the action is none that the engine knows.
	OrderUnknown
)

// notYet is when a model is ready whose transfer has no known end.
const notYet = time.Duration(math.MaxInt64)

// control is what engine orders change: the models, the role and the highest
// fencing number seen.
type control struct {
	fence     protocol.Fence
	role      string
	models    []heldModel
	storeFree time.Duration
}

type heldModel struct {
	model   protocol.Model
	version string
	readyAt time.Duration
}

// Order carries out an engine order unless its fencing number is older than
// one seen before. An engine that ignores the number runs it all the same, and
// its highest number moves back with it, so that a reader of the state sees
// whose order won.
func (c *Core) Order(now time.Duration, order upstreamapi.EngineOrder) OrderResult {
	if order.Fence < c.control.fence && !c.faults.IgnoreFence {
		return OrderFenced
	}
	switch order.Action {
	case upstreamapi.ActionLoad:
		c.load(now, order)
	case upstreamapi.ActionUnload:
		c.control.unload(order.Model)
	case upstreamapi.ActionRole:
		c.control.role = order.Role
	default:
		return OrderUnknown
	}
	c.control.fence = order.Fence
	return OrderTaken
}

// load begins to load a model: behind the engine's other loads, or, with a
// shared weight store, until Loaded. A model that is held in the wanted version
// stays as it is.
func (c *Core) load(now time.Duration, order upstreamapi.EngineOrder) {
	if c.control.find(order.Model, order.Version) != nil {
		return
	}
	c.control.unload(order.Model)
	held := heldModel{model: order.Model, version: order.Version, readyAt: notYet}
	if !c.sharedStore {
		c.control.storeFree = max(c.control.storeFree, now) + c.model.LoadTime
		held.readyAt = c.control.storeFree
	}
	c.control.models = append(c.control.models, held)
}

// Loading says whether a transfer from the shared store is awaited.
func (c *Core) Loading(model protocol.Model, version string) bool {
	held := c.control.find(model, version)
	return held != nil && held.readyAt == notYet
}

// Loaded ends a transfer from the shared store.
func (c *Core) Loaded(now time.Duration, model protocol.Model, version string) {
	if c.Loading(model, version) {
		c.control.find(model, version).readyAt = now
	}
}

// find returns a model that is held in a version, or nil.
func (s *control) find(model protocol.Model, version string) *heldModel {
	for i := range s.models {
		if s.models[i].model == model && s.models[i].version == version {
			return &s.models[i]
		}
	}
	return nil
}

func (s *control) unload(model protocol.Model) {
	s.models = slices.DeleteFunc(s.models, func(held heldModel) bool { return held.model == model })
}

// Ready says whether a model is held, and whether its load is complete.
func (c *Core) Ready(now time.Duration, model protocol.Model) (held, ready bool) {
	for _, m := range c.control.models {
		if m.model == model {
			return true, m.readyAt <= now
		}
	}
	return false, false
}

// State reads the outcome of engine orders back.
func (c *Core) State(now time.Duration) upstreamapi.EngineState {
	state := upstreamapi.EngineState{Fence: c.control.fence, Role: c.control.role}
	for _, m := range c.control.models {
		loaded := upstreamapi.LoadedModel{Model: m.model, Version: m.version, Ready: m.readyAt <= now}
		state.Models = append(state.Models, loaded)
	}
	return state
}

// readyModels lists the models that the engine can serve now.
func (s *control) readyModels(now time.Duration) []protocol.Model {
	var ready []protocol.Model
	for _, m := range s.models {
		if m.readyAt <= now {
			ready = append(ready, m.model)
		}
	}
	return ready
}
