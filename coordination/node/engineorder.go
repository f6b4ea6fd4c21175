package node

import (
	"maps"
	"time"

	"endiveplank/coordination/engineorders"
	"endiveplank/protocol"
)

// engineCallTimeout bounds the calls that one ask makes to an engine. Package
// engineorders waits after a change of issuer or owner, and relies on this
// bound.
const engineCallTimeout = 5 * time.Second

// handleEngineAsk decides, as the owner of an engine, on an ask of the issuer of
// engine orders. There are a few orders a minute, and each engine is read twice
// a minute.
//
// The checks prevent an order of a former issuer, or one that goes through a
// former owner, from taking effect after the order of its successor. The lease
// is checked at this moment, the Gate refuses orders that are older than one it
// has admitted, and only one call to an engine is in flight at a time, because
// an engine that ignores fencing numbers keeps the order that arrives last.
func (n *Node) handleEngineAsk(now time.Duration, in PeerEngineAsk) {
	verdict := n.orderGate.Admit(in.Ask, n.ownedFence(now, in.Ask.Upstream))
	if verdict == engineorders.Passed && n.engineCalls[in.Ask.Upstream] {
		verdict = engineorders.CallBusy
	}
	if verdict != engineorders.Passed {
		n.replyIssuer(in.From, in.Ask, engineorders.Reply{Verdict: verdict})
		return
	}
	n.engineCalls[in.Ask.Upstream] = true
	n.emit(OrderEngine{
		From:     in.From,
		Ask:      in.Ask,
		Address:  n.owned[in.Ask.Upstream].config.Address,
		NotAfter: min(n.leaseUntil, now+engineCallTimeout),
	})
}

// ownedFence is the fencing number of this router's ownership of an upstream, or
// 0 when it isn't the owner or has no valid lease.
func (n *Node) ownedFence(now time.Duration, upstream protocol.UpstreamID) protocol.Fence {
	target := n.owned[upstream]
	if target == nil || !target.isOwner || !n.leaseValid(now) {
		return 0
	}
	return target.config.Fence
}

// handleEngineAnswered handles the result of a call to an engine.
func (n *Node) handleEngineAnswered(in EngineAnswered) {
	delete(n.engineCalls, in.Ask.Upstream)
	reply := engineorders.Reply{
		Verdict: engineorders.Passed,
		Status:  in.Status,
		State:   in.State,
		Tenure:  in.Ask.Tenure,
	}
	if activity := n.activity[in.Ask.Upstream]; activity != nil {
		reply.Done = maps.Clone(activity.doneTokens)
	}
	n.replyIssuer(in.From, in.Ask, reply)
}

func (n *Node) replyIssuer(to protocol.RouterID, ask engineorders.Ask, reply engineorders.Reply) {
	reply.Upstream = ask.Upstream
	reply.Office = ask.Office
	reply.Fence = ask.Fence
	reply.ReadOnly = ask.ReadOnly
	n.emit(ReplyIssuer{To: to, Reply: reply})
}
