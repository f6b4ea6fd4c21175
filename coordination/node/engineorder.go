package node

import (
	"maps"
	"time"

	"endiveplank/coordination/engineorders"
	"endiveplank/protocol"
)

// engineCallTime bounds the calls that one ask makes to an engine. The wait of
// package engineorders after a change of issuer or owner counts on it.
const engineCallTime = 5 * time.Second

// engineAsked decides, as the owner of an engine, on the issuer's ask.
//
// Load: a few orders a minute, and each engine read twice a minute. Harm
// prevented: an order of a former issuer, or by way of a former owner, that
// takes effect after its successor's. The limits: the lease is checked at this
// moment, the Gate refuses what is older, and one call to an engine is under
// way at a time, because an engine that ignores fencing numbers keeps what
// comes last.
func (n *Node) engineAsked(now time.Duration, in PeerEngineRequest) {
	verdict := n.orderGate.Admit(in.Request, n.tenureOf(now, in.Request.Upstream))
	if verdict == engineorders.Admitted && n.engineCalls[in.Request.Upstream] {
		verdict = engineorders.CallBusy
	}
	if verdict != engineorders.Admitted {
		n.replyIssuer(in.From, in.Request, engineorders.Reply{Admission: verdict})
		return
	}
	n.engineCalls[in.Request.Upstream] = true
	n.emit(OrderEngine{
		From:     in.From,
		Request:  in.Request,
		Address:  n.owned[in.Request.Upstream].config.Address,
		NotAfter: min(n.leaseUntil, now+engineCallTime),
	})
}

// tenureOf is the fencing number of this router's ownership of an upstream, 0
// when it isn't the owner or can't be sure.
func (n *Node) tenureOf(now time.Duration, upstream protocol.UpstreamID) protocol.Fence {
	target := n.owned[upstream]
	if target == nil || !target.holds || !n.mayServe(now) {
		return 0
	}
	return target.config.Fence
}

// engineAnswered takes the end of a call to an engine.
func (n *Node) engineAnswered(in EngineAnswered) {
	delete(n.engineCalls, in.Request.Upstream)
	reply := engineorders.Reply{
		Admission:      engineorders.Admitted,
		Status:         in.Status,
		State:          in.State,
		OwnershipFence: in.Request.OwnershipFence,
	}
	if known := n.heats[in.Request.Upstream]; known != nil {
		reply.Completed = maps.Clone(known.done)
	}
	n.replyIssuer(in.From, in.Request, reply)
}

func (n *Node) replyIssuer(to protocol.RouterID, ask engineorders.Request, reply engineorders.Reply) {
	reply.Upstream = ask.Upstream
	reply.Term = ask.Term
	reply.Fence = ask.Fence
	reply.ReadOnly = ask.ReadOnly
	n.emit(ReplyIssuer{To: to, Reply: reply})
}
