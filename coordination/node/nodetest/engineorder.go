package nodetest

import (
	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// OwnerFence returns the fencing number of an upstream's present ownership.
func (f *Fleet) OwnerFence(upstream protocol.UpstreamID) protocol.Fence {
	return f.upstreams[upstream].Fence
}

// SendEngineRequest sends a request about an engine from the issuer to a router.
func (f *Fleet) SendEngineRequest(to protocol.RouterID, request engineorders.Request) {
	r := f.Routers[to]
	f.after(latency, func() {
		f.runOn(r, func() { f.step(r, node.PeerEngineRequest{From: "issuer", Request: request}) })
	})
}

// orderEngine passes an order to an engine and returns the engine's state to the
// router. Like the real client it sends nothing at or after NotAfter.
func (f *Fleet) orderEngine(r *Router, out node.OrderEngine) {
	engine := f.Engines[out.Request.Upstream]
	f.after(latency+engine.OrderDelay, func() {
		answered := node.EngineAnswered{From: out.From, Request: out.Request}
		if f.Now < out.NotAfter {
			answered.Status = engine.order(out.Request)
			state := engine.State
			answered.State = &state
		}
		f.after(latency, func() { f.runOn(r, func() { f.step(r, answered) }) })
	})
}

// order executes an order at once and returns its HTTP status, or 0 if the request
// is read-only.
func (e *Engine) order(request engineorders.Request) int {
	if request.ReadOnly {
		return 0
	}
	if e.ChecksFence && request.Fence < e.State.Fence {
		return upstreamapi.StatusConflict
	}
	e.State.Fence = request.Fence
	e.State.Models = []upstreamapi.LoadedModel{{Model: request.Intent.Model, Version: request.Intent.Version, Ready: true}}
	return upstreamapi.StatusAccepted
}
