package node

import (
	"slices"
	"time"

	"endiveplank/coordination/limits"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
)

// limit puts a request to its customer's limits, which hold over the whole
// fleet, and goes on, waits for credit, or refuses it at once.
func (n *Node) limit(now time.Duration, e *entry, decide func(time.Duration, protocol.CustomerID, limits.Limit, int) limits.Decision) {
	decision := decide(now, e.customer.ID, e.customer.limit(), e.work())
	switch decision.Kind {
	case limits.Allow:
		e.phase = phaseWaiting
		e.limited = true
		n.begin(now, e)
	case limits.Wait:
		e.phase = phaseLimit
		e.wakeAt = max(decision.CheckAt, now+TickInterval)
		n.askLimits(now)
	default:
		n.giveUp(now, e, 429, reason.CustomerLimit, "the customer is over its limit ("+string(decision.Reason)+")", max(decision.RetryAfter, statusRetryAfter))
	}
}

// askLimits asks the homes of customers for the credit that is due.
func (n *Node) askLimits(now time.Duration) {
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

// limitAsked answers as the home of customers.
func (n *Node) limitAsked(now time.Duration, in PeerLimitAsk) {
	n.send(in.From, n.home.HandleRequest(now, in.From, in.Ask))
}

// limitAnswered takes credit and decides again about what waited for it.
func (n *Node) limitAnswered(now time.Duration, answer limits.CreditGrant) {
	n.limiter.HandleGrant(now, answer)
	var waiting []protocol.RequestID
	for id, e := range n.entries {
		if e.phase == phaseLimit {
			waiting = append(waiting, id)
		}
	}
	slices.Sort(waiting)
	for _, id := range waiting {
		n.limit(now, n.entries[id], n.limiter.Retry)
	}
}
