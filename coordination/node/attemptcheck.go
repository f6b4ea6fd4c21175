package node

import (
	"time"

	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

const (
	// checkAfter is how long nothing may arrive for an attempt before the entry
	// router asks the owner whether it still has the attempt. Streams that run
	// well are never silent for so long.
	checkAfter = time.Second
	// aliveTimeout is how long the owner may take to reply. An owner replies at
	// once unless it is unreachable or frozen.
	aliveTimeout = 700 * time.Millisecond
)

// The checks below guard against this failure: the owner's VM, or the network to
// it, fails while the owner relays an answer or has a request in its queue.
// Nothing arrives any more, and no connection breaks. The time that an engine
// may be silent is too long to make the caller wait, and only the owner knows
// its engine. So the entry router sends the owner an AttemptCheck, and treats
// the owner as lost only if it doesn't reply. An owner that was restarted
// doesn't know the attempt and replies that it ended.

// lastHeard is when the attempt last made progress or the owner last confirmed
// it.
func (e *entryRequest) lastHeard() time.Duration { return max(e.lastProgress, e.aliveAt) }

// checkIsDue reports whether the entry router must send a check, or has had no
// reply to one in time.
func (e *entryRequest) checkIsDue(now time.Duration) bool {
	if e.phase != phaseRunning && e.phase != phaseQueued {
		return false
	}
	if e.checkedAt > 0 {
		return now-e.checkedAt > aliveTimeout
	}
	return now-e.lastHeard() > checkAfter
}

// checkOwner sends a check to the owner unless one is unanswered. It reports
// whether the owner is lost: it has not replied in time.
func (n *Node) checkOwner(now time.Duration, e *entryRequest) bool {
	if e.checkedAt > 0 && now-e.checkedAt > aliveTimeout {
		return true
	}
	if e.checkedAt == 0 {
		e.checkedAt = now
		n.send(e.upstream.Owner, fleet.AttemptCheck{Attempt: e.current()})
	}
	return false
}

// handleAttemptCheck replies to the check of an entry router.
func (n *Node) handleAttemptCheck(in PeerAttemptCheck) {
	attempt := in.Check.Attempt
	if n.hasAttempt(attempt) {
		n.send(in.From, fleet.AttemptAlive{Attempt: attempt})
		return
	}
	n.send(in.From, fleet.End{Attempt: attempt, Outcome: protocol.UnknownRun, Reason: string(reason.OwnerLost)})
}

// hasAttempt reports whether this router, as an owner, relays, queues or holds
// an attempt.
func (n *Node) hasAttempt(attempt fleet.Attempt) bool {
	if n.running[attempt] != nil {
		return true
	}
	id := queueID(attempt)
	for _, target := range n.owned {
		if target.waiting[id] != nil {
			return true
		}
		for _, r := range target.heldForTrial {
			if r.place.Attempt == attempt {
				return true
			}
		}
	}
	return false
}

// handleAttemptAlive records that the owner still has the attempt.
func (n *Node) handleAttemptAlive(now time.Duration, in PeerAttemptAlive) {
	if e := n.currentEntry(in.Alive.Attempt); e != nil {
		e.checkedAt = 0
		e.aliveAt = now
	}
}
