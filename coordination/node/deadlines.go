package node

import (
	"slices"
	"time"

	"endiveplank/coordination/reason"
	"endiveplank/protocol"
)

// tickEntries acts on the requests that are due, in order of their IDs so that
// a replay gives the same outputs.
func (n *Node) tickEntries(now time.Duration) {
	for _, id := range n.dueEntries(now) {
		if e := n.entries[id]; e != nil {
			n.handleEntryDue(now, e)
		}
	}
}

// dueEntries lists the requests on which the entry router must act now.
func (n *Node) dueEntries(now time.Duration) []protocol.RequestID {
	var due []protocol.RequestID
	for id, e := range n.entries {
		if n.entryIsDue(now, e) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

func (n *Node) entryIsDue(now time.Duration, e *entryRequest) bool {
	if e.order != nil {
		return n.orderIsDue(now, e)
	}
	if now >= e.deadline+e.deadlineGrace() || e.checkIsDue(now) {
		return true
	}
	switch e.phase {
	case phasePlacing:
		return now-e.lastProgress > ownerReplyTimeout
	case phaseWaiting, phaseAwaitingLimit:
		return now >= e.wakeAt
	case phaseRunning:
		return now-e.lastProgress > n.entryStallTimeout(e)
	}
	return false
}

// deadlineGrace is how long the entry router waits after the deadline. The
// owner knows that a queued request was never sent to an upstream; the grace
// lets it refuse the request first, so that the caller learns that it did not
// run.
func (e *entryRequest) deadlineGrace() time.Duration {
	if e.phase == phaseQueued {
		return 4 * TickInterval
	}
	return 0
}

// entryStallTimeout is how long an attempt may make no progress while its owner
// is alive. It is longer than the owner's own timeout, because the owner knows
// the upstream and should decide first. Queued requests and answers that are
// not streamed are bounded by their deadline alone.
func (n *Node) entryStallTimeout(e *entryRequest) time.Duration {
	if e.phase == phaseQueued || !e.template.Streamed {
		return max(0, e.deadline-e.lastProgress)
	}
	return 3*n.config.StallTimeout + ownerReplyTimeout
}

// handleEntryDue acts on a request that is due.
func (n *Node) handleEntryDue(now time.Duration, e *entryRequest) {
	if e.phase == phaseAwaitingLimit {
		n.checkLimit(now, e, n.limiter.Retry)
		return
	}
	if e.order != nil {
		n.handleOrderDue(now, e)
		return
	}
	if now >= e.deadline+e.deadlineGrace() {
		n.cancelAttempt(e)
		n.giveUp(now, e, 504, reason.DeadlinePassed, "the deadline passed", statusRetryAfter)
		return
	}
	switch e.phase {
	case phaseWaiting:
		n.startNextAttempt(now, e)
	case phasePlacing, phaseRunning, phaseQueued:
		if e.phase != phasePlacing && now-e.lastProgress <= n.entryStallTimeout(e) && !n.checkOwner(now, e) {
			return
		}
		n.cancelAttempt(e)
		n.attemptFailed(now, e, protocol.UnknownRun, reason.OwnerLost)
	}
}
