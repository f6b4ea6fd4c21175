package nodetest

import (
	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/node"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// Tenure is the fencing number of an upstream's present ownership.
func (f *Fleet) Tenure(upstream protocol.UpstreamID) protocol.Fence {
	return f.upstreams[upstream].Fence
}

// Ask sends an ask about an engine to a router.
func (f *Fleet) Ask(to protocol.RouterID, ask engineorders.Request) {
	r := f.Routers[to]
	f.after(latency, func() {
		f.toRouter(r, func() { f.step(r, node.PeerEngineRequest{From: "issuer", Request: ask}) })
	})
}

// orderEngine carries an order to an engine and its state back. Like the
// real client it sends nothing from NotAfter on.
func (f *Fleet) orderEngine(r *Router, out node.OrderEngine) {
	engine := f.Engines[out.Request.Upstream]
	f.after(latency+engine.OrderTime, func() {
		answered := node.EngineAnswered{From: out.From, Request: out.Request}
		if f.Now < out.NotAfter {
			answered.Status = engine.order(out.Request)
			state := engine.Held
			answered.State = &state
		}
		f.after(latency, func() { f.toRouter(r, func() { f.step(r, answered) }) })
	})
}

// order carries an order out at once and returns its HTTP status.
func (e *Engine) order(ask engineorders.Request) int {
	if ask.ReadOnly {
		return 0
	}
	if e.ChecksFence && ask.Fence < e.Held.Fence {
		return upstreamapi.StatusConflict
	}
	e.Held.Fence = ask.Fence
	e.Held.Models = []upstreamapi.LoadedModel{{Model: ask.Intent.Model, Version: ask.Intent.Version, Ready: true}}
	return upstreamapi.StatusTaken
}
