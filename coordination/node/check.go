package node

import (
	"time"

	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

const (
	// checkAfter is how long an attempt may be quiet before its owner is asked
	// whether it still has it. Streams that run well are never this quiet.
	checkAfter = time.Second
	// alivePatience is how long the owner may take to answer. It answers at
	// once; a lost or frozen one doesn't.
	alivePatience = 700 * time.Millisecond
)

// Failure guarded by the checks below: an owner is lost, with its VM or with
// the network to it, while it relays an answer or holds a request in its
// queue. Nothing arrives any more, and no connection breaks. The entry's own
// patience with an engine is too long for the caller, and an owner knows its
// engine better; so the entry asks the owner for a sign of life, and only its
// silence counts. An owner that was restarted doesn't know the attempt and
// says so.

// quietSince is when the attempt last gave a sign of life.
func (e *entry) quietSince() time.Duration { return max(e.progress, e.aliveAt) }

// checkIsDue says whether the owner is to be asked, or has not answered.
func (e *entry) checkIsDue(now time.Duration) bool {
	if e.phase != phaseRunning && e.phase != phaseQueued {
		return false
	}
	if e.checkedAt > 0 {
		return now-e.checkedAt > alivePatience
	}
	return now-e.quietSince() > checkAfter
}

// check asks the owner, or finds it lost. It says whether it is lost.
func (n *Node) check(now time.Duration, e *entry) bool {
	if e.checkedAt > 0 && now-e.checkedAt > alivePatience {
		return true
	}
	if e.checkedAt == 0 {
		e.checkedAt = now
		n.send(e.upstream.Owner, fleet.AttemptCheck{Attempt: e.current()})
	}
	return false
}

// ownerChecked answers an entry's question.
func (n *Node) ownerChecked(in PeerCheck) {
	attempt := in.Check.Attempt
	if n.knows(attempt) {
		n.send(in.From, fleet.AttemptAlive{Attempt: attempt})
		return
	}
	n.send(in.From, fleet.End{Attempt: attempt, Outcome: protocol.UnknownRun, Reason: string(reason.OwnerLost)})
}

// knows says whether an attempt runs or waits here.
func (n *Node) knows(attempt fleet.Attempt) bool {
	if n.running[attempt] != nil {
		return true
	}
	id := queueID(attempt)
	for _, target := range n.owned {
		if target.waiting[id] != nil {
			return true
		}
		for _, r := range target.onHold {
			if r.place.Attempt == attempt {
				return true
			}
		}
	}
	return false
}

// entryAlive notes an owner's sign of life.
func (n *Node) entryAlive(now time.Duration, in PeerAlive) {
	if e := n.live(in.Alive.Attempt); e != nil {
		e.checkedAt = 0
		e.aliveAt = now
	}
}
