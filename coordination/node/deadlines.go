package node

import (
	"slices"
	"time"

	"endiveplank/coordination/reason"
	"endiveplank/protocol"
)

// tickEntries meets the deadlines of requests, in order of their IDs so that
// a replay gives the same outputs.
func (n *Node) tickEntries(now time.Duration) {
	for _, id := range n.dueEntries(now) {
		if e := n.entries[id]; e != nil {
			n.entryDue(now, e)
		}
	}
}

// dueEntries lists the requests that have something to do.
func (n *Node) dueEntries(now time.Duration) []protocol.RequestID {
	var due []protocol.RequestID
	for id, e := range n.entries {
		if n.isDue(now, e) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

func (n *Node) isDue(now time.Duration, e *entry) bool {
	if e.order != nil {
		return n.orderIsDue(now, e)
	}
	if now >= e.deadline+e.grace() || e.checkIsDue(now) {
		return true
	}
	switch e.phase {
	case phaseAsking:
		return now-e.progress > ownerPatience
	case phaseWaiting, phaseLimit:
		return now >= e.wakeAt
	case phaseRunning:
		return now-e.progress > n.entryStall(e)
	}
	return false
}

// grace lets the owner, which knows that a queued request was never sent,
// refuse it first; the caller then learns that it was not run.
func (e *entry) grace() time.Duration {
	if e.phase == phaseQueued {
		return 4 * TickInterval
	}
	return 0
}

// entryStall bounds what an owner that lives may make of an attempt: it is
// longer than the owner's own patience, so that the owner, which knows the
// upstream, decides first. A request in a queue has its deadline alone.
func (n *Node) entryStall(e *entry) time.Duration {
	if e.phase == phaseQueued || !e.template.Streamed {
		return max(0, e.deadline-e.progress)
	}
	return 3*n.config.Stall + ownerPatience
}

// entryDue acts on a request whose time has come.
func (n *Node) entryDue(now time.Duration, e *entry) {
	if e.phase == phaseLimit {
		n.limit(now, e, n.limiter.Retry)
		return
	}
	if e.order != nil {
		n.orderDue(now, e)
		return
	}
	if now >= e.deadline+e.grace() {
		n.abandon(e)
		n.giveUp(now, e, 504, reason.DeadlinePassed, "the deadline passed", statusRetryAfter)
		return
	}
	switch e.phase {
	case phaseWaiting:
		n.wake(now, e)
	case phaseAsking, phaseRunning, phaseQueued:
		if e.phase != phaseAsking && now-e.progress <= n.entryStall(e) && !n.check(now, e) {
			return
		}
		n.abandon(e)
		e.reached = true
		n.attemptFailed(now, e, reason.OwnerLost)
	}
}
