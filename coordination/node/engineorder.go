package node

import (
	"maps"
	"time"

	"endiveplank/coordination/engineorders"
	"endiveplank/protocol"
)

// engineCallTimeout bounds the calls that one request makes to an engine.
// Package engineorders waits after a change of issuer or owner, and relies on
// this bound.
const engineCallTimeout = 5 * time.Second

// handleEngineRequest decides, as the owner of an engine, on a request of the
// issuer of engine orders. There are a few orders a minute, and each engine is
// read twice a minute.
//
// The checks prevent an order of a former issuer, or one that goes through a
// former owner, from taking effect after the order of its successor. The lease
// is checked at this moment, the Gate refuses orders that are older than one it
// has admitted, and only one call to an engine is in flight at a time, because
// an engine that ignores fencing numbers keeps the order that arrives last.
func (n *Node) handleEngineRequest(now time.Duration, in PeerEngineRequest) {
	admission := n.orderGate.Admit(in.Request, n.ownedFence(now, in.Request.Upstream))
	if admission == engineorders.Admitted && n.engineCalls[in.Request.Upstream] {
		admission = engineorders.CallBusy
	}
	if admission != engineorders.Admitted {
		n.replyIssuer(in.From, in.Request, engineorders.Reply{Admission: admission})
		return
	}
	n.engineCalls[in.Request.Upstream] = true
	n.emit(OrderEngine{
		From:     in.From,
		Request:  in.Request,
		Address:  n.owned[in.Request.Upstream].config.Address,
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
	delete(n.engineCalls, in.Request.Upstream)
	reply := engineorders.Reply{
		Admission:      engineorders.Admitted,
		Status:         in.Status,
		State:          in.State,
		OwnershipFence: in.Request.OwnershipFence,
	}
	if activity := n.activity[in.Request.Upstream]; activity != nil {
		reply.Completed = maps.Clone(activity.doneTokens)
	}
	n.replyIssuer(in.From, in.Request, reply)
}

func (n *Node) replyIssuer(to protocol.RouterID, request engineorders.Request, reply engineorders.Reply) {
	reply.Upstream = request.Upstream
	reply.Term = request.Term
	reply.Fence = request.Fence
	reply.ReadOnly = request.ReadOnly
	n.emit(ReplyIssuer{To: to, Reply: reply})
}
