package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"endiveplank/coordination/ownership"
)

// Waiter names someone who waits for a revision to be in force.
type Waiter uint64

// tracked is one open session at the leader.
type tracked struct {
	renewedAt time.Duration
	acked     uint64
	// expired sessions are never granted again, although their Close may not
	// be committed yet: a grant between the decision and its commit would
	// leave two owners.
	expired bool
}

// waiting is one revision that someone waits for.
type waiting struct {
	revision uint64
	waiter   Waiter
	// missing counts the open sessions that have not acknowledged it.
	missing int
}

// Tracker counts leases and acknowledgements at the leader. It is made for
// 1,000 routers that renew each 1.25 s and for bursts of 300 changes: a
// renewal costs a map access and a pass over the waiters whose revision it
// acknowledges. It is not safe for concurrent use.
type Tracker struct {
	timing   Timing
	sessions map[ownership.SessionID]*tracked
	waiters  []waiting
	inForce  []Waiter
}

// NewTracker returns a tracker without sessions.
func NewTracker(timing Timing) *Tracker {
	return &Tracker{timing: timing, sessions: map[ownership.SessionID]*tracked{}}
}

// TakeOffice starts a term of office at now with the committed sessions. Each
// counts as renewed at now: the former leader may have granted it a lease up
// to this moment. None has acknowledged more than its own opening.
func (t *Tracker) TakeOffice(now time.Duration, sessions []ownership.SessionID) {
	t.sessions = make(map[ownership.SessionID]*tracked, len(sessions))
	t.waiters = nil
	t.inForce = nil
	for _, id := range sessions {
		t.Opened(now, id)
	}
}

// Opened starts to track a session. It has acknowledged its own opening,
// because its router does not act before its view has reached that.
func (t *Tracker) Opened(now time.Duration, id ownership.SessionID) {
	if t.sessions[id] != nil {
		return
	}
	t.sessions[id] = &tracked{renewedAt: now, acked: uint64(id)}
	for i := range t.waiters {
		if t.waiters[i].revision > uint64(id) {
			t.waiters[i].missing++
		}
	}
}

// Closed ends the tracking of a session whose Close is committed.
func (t *Tracker) Closed(id ownership.SessionID) {
	session := t.sessions[id]
	if session == nil {
		return
	}
	delete(t.sessions, id)
	t.discount(session.acked, ^uint64(0))
}

// Renewed takes a renewal that acknowledges a revision and reports whether the
// lease is granted.
func (t *Tracker) Renewed(now time.Duration, id ownership.SessionID, acked uint64) bool {
	session := t.sessions[id]
	if session == nil || session.expired || now-session.renewedAt >= t.timing.Wait {
		return false
	}
	session.renewedAt = now
	if acked > session.acked {
		t.discount(session.acked, acked)
		session.acked = acked
	}
	return true
}

// Expire returns the sessions whose lease has run out, for Close commands. A
// session is returned at each call until it is closed, because a proposal can
// be lost.
func (t *Tracker) Expire(now time.Duration) []ownership.SessionID {
	var out []ownership.SessionID
	for id, session := range t.sessions {
		if now-session.renewedAt >= t.timing.Wait {
			session.expired = true
		}
		if session.expired {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// Restart takes all sessions that are not expired as renewed at now, after the
// leader itself was paused.
func (t *Tracker) Restart(now time.Duration) {
	for _, session := range t.sessions {
		session.renewedAt = now
	}
}

// Await asks for a revision to be in force. The waiter comes back from
// TakeInForce once it is.
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
	t.waiters = append(t.waiters, waiting{revision, waiter, missing})
}

// TakeInForce returns the waiters whose revision came into force.
func (t *Tracker) TakeInForce() []Waiter {
	out := t.inForce
	t.inForce = nil
	return out
}

// Lagging returns the sessions that have not acknowledged a revision, for the
// operator who waits.
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

// discount takes one session off the waiters for revisions above from, up to
// and including to.
func (t *Tracker) discount(from, to uint64) {
	kept := t.waiters[:0]
	for _, w := range t.waiters {
		if w.revision > from && w.revision <= to {
			w.missing--
		}
		if w.missing == 0 {
			t.inForce = append(t.inForce, w.waiter)
			continue
		}
		kept = append(kept, w)
	}
	t.waiters = kept
}
