package node

import (
	"slices"
	"time"

	"endiveplank/coordination/limits"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
)

// checkLimit checks a request against its customer's limits, which hold over the
// whole fleet. The request starts, waits for credit, or is refused at once.
func (n *Node) checkLimit(now time.Duration, e *entryRequest, decide func(time.Duration, protocol.CustomerID, limits.Limit, int) limits.Decision) {
	decision := decide(now, e.customer.ID, e.customer.limit(), e.work())
	switch decision.Kind {
	case limits.Allow:
		e.phase = phaseWaiting
		e.limitCharged = true
		n.startWithinLimits(now, e)
	case limits.Wait:
		e.phase = phaseAwaitingLimit
		e.wakeAt = max(decision.CheckAt, now+TickInterval)
		n.requestCredit(now)
	default:
		n.giveUp(now, e, 429, reason.CustomerLimit, "the customer is over its limit ("+string(decision.Reason)+")", max(decision.RetryAfter, statusRetryAfter))
	}
}

// requestCredit sends the credit requests that are due to the homes of the
// customers, the routers that manage their limits.
func (n *Node) requestCredit(now time.Duration) {
	entries := map[protocol.RouterID][]limits.CreditRequestEntry{}
	var homes []protocol.RouterID
	for _, due := range n.limiter.DueRequests(now) {
		home, found := limits.HomeOf(due.Customer, n.view.Routers)
		if !found {
			continue
		}
		if entries[home] == nil {
			homes = append(homes, home)
		}
		entries[home] = append(entries[home], due.Entry)
	}
	for _, home := range homes {
		n.send(home, n.limiter.NewRequest(entries[home]))
	}
}

// handleCreditRequest answers a credit request for customers whose accounts this
// router keeps as their home (see limits.HomeOf).
func (n *Node) handleCreditRequest(now time.Duration, in PeerCreditRequest) {
	n.send(in.From, n.limitHome.HandleRequest(now, in.From, in.Request))
}

// handleCreditGrant adds the granted credit and checks again the requests that
// wait for credit.
func (n *Node) handleCreditGrant(now time.Duration, answer limits.CreditGrant) {
	n.limiter.HandleGrant(now, answer)
	var waiting []protocol.RequestID
	for id, e := range n.entries {
		if e.phase == phaseAwaitingLimit {
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	for _, id := range waiting {
		n.checkLimit(now, n.entries[id], n.limiter.Retry)
	}
}
