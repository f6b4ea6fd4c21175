package engine

import (
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
		c.control.load(now, c.model.LoadTime, order)
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

// load queues a load behind those that the weight store still serves. A model
// that is held in the wanted version stays as it is.
func (s *control) load(now, cost time.Duration, order upstreamapi.EngineOrder) {
	held := heldModel{model: order.Model, version: order.Version}
	for _, other := range s.models {
		if other.model == held.model && other.version == held.version {
			return
		}
	}
	s.unload(order.Model)
	s.storeFree = max(s.storeFree, now) + cost
	held.readyAt = s.storeFree
	s.models = append(s.models, held)
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
