package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"endiveplank/coordination/ownership"
)

// Waiter identifies a caller that waits for a revision to be in force.
type Waiter uint64

// trackedSession is the leader's record of one open session.
type trackedSession struct {
	renewedAt time.Duration
	acked     uint64
	// An expired session is never granted a lease again, even while its Close
	// is not committed yet. A grant between the decision and its commit would
	// leave an upstream with two owners.
	expired bool
}

// pendingWaiter is a waiter whose revision is not in force yet.
type pendingWaiter struct {
	revision uint64
	waiter   Waiter
	// unacked is the number of open sessions that have not acknowledged the
	// revision.
	unacked int
}

// Tracker tracks the leases and acknowledgements of all sessions at the
// leader. It is designed for 1,000 routers that renew every 1.25 s and for
// bursts of 300 changes: a renewal costs one map access, and one pass over the
// waiters if it acknowledges a new revision. It is not safe for concurrent
// use.
type Tracker struct {
	timing   Timing
	sessions map[ownership.SessionID]*trackedSession
	waiters  []pendingWaiter
	inForce  []Waiter
}

// NewTracker returns a tracker without sessions.
func NewTracker(timing Timing) *Tracker {
	return &Tracker{timing: timing, sessions: map[ownership.SessionID]*trackedSession{}}
}

// StartTerm starts a term as leader at now with the committed sessions. Each
// session counts as renewed at now, because the former leader may have granted
// it a lease up to this moment. Each counts as having acknowledged only its
// own opening.
func (t *Tracker) StartTerm(now time.Duration, sessions []ownership.SessionID) {
	t.sessions = make(map[ownership.SessionID]*trackedSession, len(sessions))
	t.waiters = nil
	t.inForce = nil
	for _, id := range sessions {
		t.AddSession(now, id)
	}
}

// AddSession starts to track a session. The session counts as having
// acknowledged its own opening, because its router does not act before its
// view has reached that revision.
func (t *Tracker) AddSession(now time.Duration, id ownership.SessionID) {
	if t.sessions[id] != nil {
		return
	}
	t.sessions[id] = &trackedSession{renewedAt: now, acked: uint64(id)}
	for i := range t.waiters {
		if t.waiters[i].revision > uint64(id) {
			t.waiters[i].unacked++
		}
	}
}

// RemoveSession stops tracking a session whose Close is committed.
func (t *Tracker) RemoveSession(id ownership.SessionID) {
	session := t.sessions[id]
	if session == nil {
		return
	}
	delete(t.sessions, id)
	t.countAck(session.acked, ^uint64(0))
}

// Renew processes a renewal that acknowledges a revision and reports whether
// the lease is granted.
func (t *Tracker) Renew(now time.Duration, id ownership.SessionID, acked uint64) bool {
	session := t.sessions[id]
	if session == nil || session.expired || now-session.renewedAt >= t.timing.ExpireAfter {
		return false
	}
	session.renewedAt = now
	if acked > session.acked {
		t.countAck(session.acked, acked)
		session.acked = acked
	}
	return true
}

// Expire returns the sessions to close because their lease has expired. It
// returns a session at each call until the session is closed, because a
// proposal can be lost.
func (t *Tracker) Expire(now time.Duration) []ownership.SessionID {
	var out []ownership.SessionID
	for id, session := range t.sessions {
		if now-session.renewedAt >= t.timing.ExpireAfter {
			session.expired = true
		}
		if session.expired {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// RenewAll counts every session as renewed at now, after the leader itself was
// paused. Sessions that are already marked expired stay expired.
func (t *Tracker) RenewAll(now time.Duration) {
	for _, session := range t.sessions {
		session.renewedAt = now
	}
}

// Await registers a waiter for a revision. TakeInForce returns the waiter once
// the revision is in force.
func (t *Tracker) Await(revision uint64, waiter Waiter) {
	missing := 0
	for _, session := range t.sessions {
		if session.acked < revision {
			missing++
		}
	}
	if missing == 0 {
		t.inForce = append(t.inForce, waiter)
		return
	}
	t.waiters = append(t.waiters, pendingWaiter{revision, waiter, missing})
}

// TakeInForce returns the waiters whose revision has come into force since the
// last call.
func (t *Tracker) TakeInForce() []Waiter {
	out := t.inForce
	t.inForce = nil
	return out
}

// Lagging returns the sessions that have not acknowledged a revision, to show
// them to the operator who waits.
func (t *Tracker) Lagging(revision uint64) []ownership.SessionID {
	var out []ownership.SessionID
	for id, session := range t.sessions {
		if session.acked < revision {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

// Sessions returns the tracked sessions.
func (t *Tracker) Sessions() []ownership.SessionID {
	return slices.Sorted(maps.Keys(t.sessions))
}

// Len returns the number of open sessions.
func (t *Tracker) Len() int { return len(t.sessions) }

// countAck records that one session has acknowledged the revisions above from,
// up to and including to, and moves waiters that wait for no other session to
// inForce.
func (t *Tracker) countAck(from, to uint64) {
	kept := t.waiters[:0]
	for _, w := range t.waiters {
		if w.revision > from && w.revision <= to {
			w.unacked--
		}
		if w.unacked == 0 {
			t.inForce = append(t.inForce, w.waiter)
			continue
		}
		kept = append(kept, w)
	}
	t.waiters = kept
}
