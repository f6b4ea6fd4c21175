package engine

import (
	"math"
	"slices"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// OrderResult is the outcome of an engine order.
type OrderResult int

const (
	// OrderAccepted means that the engine applies the order.
	OrderAccepted OrderResult = iota
	// OrderFenced means that the order had a fencing number older than the highest
	// one seen and changed nothing.
	OrderFenced
	// OrderUnknown means that the engine doesn't know the action.
	OrderUnknown
)

// unknownReadyTime is the ready time of a model whose transfer has not ended. The
// weight store decides when it ends.
const unknownReadyTime = time.Duration(math.MaxInt64)

// orderState holds what engine orders change: the models, the role and the highest
// fencing number seen.
type orderState struct {
	fence  protocol.Fence
	role   string
	models []heldModel
	// storeFreeAt is when the last load ends if the engine has no weight store.
	storeFreeAt time.Duration
}

// heldModel is a model that the engine has or is loading.
type heldModel struct {
	model   protocol.Model
	version string
	readyAt time.Duration
}

// Order applies an engine order unless its fencing number is older than the
// highest one seen. With the fault IgnoreFence the engine applies it anyway and
// takes its number as the highest, so that a reader of the state sees which order
// was applied last.
func (c *Core) Order(now time.Duration, order upstreamapi.EngineOrder) OrderResult {
	if order.Fence < c.orderState.fence && !c.faults.IgnoreFence {
		return OrderFenced
	}
	switch order.Action {
	case upstreamapi.ActionLoad:
		c.load(now, order)
	case upstreamapi.ActionUnload:
		c.orderState.unload(order.Model)
	case upstreamapi.ActionRole:
		c.orderState.role = order.Role
	default:
		return OrderUnknown
	}
	c.orderState.fence = order.Fence
	return OrderAccepted
}

// load starts to load a model. Without a weight store, the load ends LoadTime after
// the engine's other loads; with one, it ends with FinishTransfer. A model that the
// engine already has in the wanted version stays as it is.
func (c *Core) load(now time.Duration, order upstreamapi.EngineOrder) {
	if c.orderState.find(order.Model, order.Version) != nil {
		return
	}
	c.orderState.unload(order.Model)
	held := heldModel{model: order.Model, version: order.Version, readyAt: unknownReadyTime}
	if !c.usesWeightStore {
		c.orderState.storeFreeAt = max(c.orderState.storeFreeAt, now) + c.model.LoadTime
		held.readyAt = c.orderState.storeFreeAt
	}
	c.orderState.models = append(c.orderState.models, held)
}

// AwaitsTransfer reports whether the engine waits for the transfer of a model from
// the weight store.
func (c *Core) AwaitsTransfer(model protocol.Model, version string) bool {
	held := c.orderState.find(model, version)
	return held != nil && held.readyAt == unknownReadyTime
}

// FinishTransfer marks a model as ready whose transfer from the weight store has
// ended.
func (c *Core) FinishTransfer(now time.Duration, model protocol.Model, version string) {
	if c.AwaitsTransfer(model, version) {
		c.orderState.find(model, version).readyAt = now
	}
}

// find returns a model that the engine has in the given version, or nil.
func (s *orderState) find(model protocol.Model, version string) *heldModel {
	for i := range s.models {
		if s.models[i].model == model && s.models[i].version == version {
			return &s.models[i]
		}
	}
	return nil
}

func (s *orderState) unload(model protocol.Model) {
	s.models = slices.DeleteFunc(s.models, func(held heldModel) bool { return held.model == model })
}

// Ready reports whether the engine has a model, and whether its load is complete.
func (c *Core) Ready(now time.Duration, model protocol.Model) (held, ready bool) {
	for _, m := range c.orderState.models {
		if m.model == model {
			return true, m.readyAt <= now
		}
	}
	return false, false
}

// State returns what engine orders have set: the models, the role and the fencing
// number.
func (c *Core) State(now time.Duration) upstreamapi.EngineState {
	state := upstreamapi.EngineState{Fence: c.orderState.fence, Role: c.orderState.role}
	for _, m := range c.orderState.models {
		loaded := upstreamapi.LoadedModel{Model: m.model, Version: m.version, Ready: m.readyAt <= now}
		state.Models = append(state.Models, loaded)
	}
	return state
}

// readyModels returns the models that the engine can serve now.
func (s *orderState) readyModels(now time.Duration) []protocol.Model {
	var ready []protocol.Model
	for _, m := range s.models {
		if m.readyAt <= now {
			ready = append(ready, m.model)
		}
	}
	return ready
}
