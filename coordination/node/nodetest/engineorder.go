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

// Ask sends an ask about an engine from the issuer to a router.
func (f *Fleet) Ask(to protocol.RouterID, ask engineorders.Ask) {
	r := f.Routers[to]
	f.after(latency, func() {
		f.runOn(r, func() { f.step(r, node.PeerEngineAsk{From: "issuer", Ask: ask}) })
	})
}

// orderEngine passes an order to an engine and returns the engine's state to the
// router. Like the real client it sends nothing at or after NotAfter.
func (f *Fleet) orderEngine(r *Router, out node.OrderEngine) {
	engine := f.Engines[out.Ask.Upstream]
	f.after(latency+engine.OrderDelay, func() {
		answered := node.EngineAnswered{From: out.From, Ask: out.Ask}
		if f.Now < out.NotAfter {
			answered.Status = engine.order(out.Ask)
			state := engine.State
			answered.State = &state
		}
		f.after(latency, func() { f.runOn(r, func() { f.step(r, answered) }) })
	})
}

// order executes an order at once and returns its HTTP status, or 0 if the ask
// is read-only.
func (e *Engine) order(ask engineorders.Ask) int {
	if ask.ReadOnly {
		return 0
	}
	if e.ChecksFence && ask.Fence < e.State.Fence {
		return upstreamapi.StatusConflict
	}
	e.State.Fence = ask.Fence
	e.State.Models = []upstreamapi.LoadedModel{{Model: ask.Intent.Model, Version: ask.Intent.Version, Ready: true}}
	return upstreamapi.StatusAccepted
}
