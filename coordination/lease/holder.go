package lease

import (
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// maxUnansweredRenewals is how many unanswered renewals a Holder remembers. A
// reply to an older one would grant nothing that is still valid.
const maxUnansweredRenewals = 8

// maxOverride is the longest time for which one operator override lets a
// router act without a lease.
const maxOverride = 15 * time.Minute

// sentRenewal is a renewal that awaits its reply.
type sentRenewal struct {
	seq uint32
	at  time.Duration
}

// Holder is the router's side of its session: it renews the lease and reports
// whether the router may act. It is not safe for concurrent use.
type Holder struct {
	timing     Timing
	view       *fleetstate.View
	session    ownership.SessionID
	unanswered []sentRenewal
	seq        uint32
	// expiresAt is the end of the lease.
	expiresAt time.Duration
	// nextRenewal is when the next renewal is due.
	nextRenewal time.Duration
	// overrideUntil is when an operator's override ends.
	overrideUntil time.Duration
	// lastGrant is when the last renewal was granted or the session started.
	lastGrant time.Duration
	// missedDelta is set when a pushed delta did not follow the view's
	// position.
	missedDelta bool
}

// NewHolder returns a holder that has no session, for the router's view.
func NewHolder(timing Timing, view *fleetstate.View) *Holder {
	return &Holder{timing: timing, view: view}
}

// View returns the router's view.
func (h *Holder) View() *fleetstate.View { return h.view }

// Session returns the open session, or ownership.NoSession.
func (h *Holder) Session() ownership.SessionID { return h.session }

// StartSession starts a session that was committed. The first renewal is due
// immediately. The holder is not valid until that renewal is granted.
func (h *Holder) StartSession(now time.Duration, session ownership.SessionID) {
	h.session = session
	h.unanswered = nil
	h.expiresAt = 0
	h.nextRenewal = now
	h.lastGrant = now
}

// Valid reports whether the router may act at now: serve callers from its
// view, and admit requests to the upstreams it owns. The router must ask
// before every decision, because the process may have been stopped since the
// last one.
func (h *Holder) Valid(now time.Duration) bool {
	if h.session == ownership.NoSession {
		return false
	}
	if now < h.overrideUntil {
		return true
	}
	return now < h.expiresAt && h.view.Revision() >= uint64(h.session)
}

// ExpiresAt returns when the lease ends if it is not renewed.
func (h *Holder) ExpiresAt() time.Duration { return h.expiresAt }

// RenewalDue reports whether a renewal should go out at now.
func (h *Holder) RenewalDue(now time.Duration) bool {
	return h.session != ownership.NoSession && now >= h.nextRenewal
}

// NextRenewal returns when the next renewal is due.
func (h *Holder) NextRenewal() time.Duration { return h.nextRenewal }

// NewRenewal returns the renewal to send at now. The lease that the reply
// grants counts from now. While no reply arrives, the next renewal is due
// after Timing.ResendAfter, so that a lost message costs little of the lease.
// After a reply it is due Timing.RenewEvery after the answered renewal was
// sent.
func (h *Holder) NewRenewal(now time.Duration) Renewal {
	h.seq++
	h.unanswered = append(h.unanswered, sentRenewal{h.seq, now})
	if len(h.unanswered) > maxUnansweredRenewals {
		h.unanswered = h.unanswered[1:]
	}
	h.nextRenewal = now + h.timing.ResendAfter
	renewal := Renewal{Session: h.session, Seq: h.seq, Applied: h.view.Revision()}
	if at := h.view.Position(); at.Item != nil || h.missedDelta {
		renewal.At = &at
	}
	h.missedDelta = false
	return renewal
}

// Action is what the router must do after a reply.
type Action uint8

const (
	// Continue means that there is nothing to do.
	Continue Action = iota
	// OpenSession means to propose a new session.
	OpenSession
	// TryOtherVoter means to ask another voter.
	TryOtherVoter
)

// HandleReply processes the reply to a renewal and returns what the router
// must do next.
func (h *Holder) HandleReply(now time.Duration, reply Reply) Action {
	at, known := h.takeSent(reply.Seq)
	if !known {
		return Continue
	}
	switch reply.Outcome {
	case SessionClosed:
		h.session = ownership.NoSession
		h.expiresAt = 0
		h.overrideUntil = 0
		return OpenSession
	case NotLeader:
		return TryOtherVoter
	}
	h.lastGrant = now
	h.expiresAt = max(h.expiresAt, at+h.timing.Lease)
	if len(h.unanswered) == 0 {
		h.nextRenewal = at + h.timing.RenewEvery
	}
	if reply.Delta != nil {
		h.HandleDelta(now, *reply.Delta)
	}
	return Continue
}

// HandleDelta applies a delta that was pushed or came in a reply. If the
// view's position advanced, a renewal is due immediately: it is the
// acknowledgement for which the operator waits, or it asks for the next chunk.
// A delta that leads beyond the view but does not follow its position (an
// earlier delta was lost, or two overtook each other) also makes a renewal
// due, which asks for the missing changes.
func (h *Holder) HandleDelta(now time.Duration, delta fleetstate.Delta) {
	before := h.view.Position()
	if !h.view.ApplyDelta(delta) && delta.To.Revision > before.Revision {
		h.missedDelta = true
		h.nextRenewal = now
	}
	after := h.view.Position()
	if before.Revision != after.Revision || before.Item != after.Item {
		h.nextRenewal = now
	}
}

// takeSent returns when a renewal was sent, and forgets that renewal and older
// ones. A renewal of an earlier session is unknown.
func (h *Holder) takeSent(seq uint32) (time.Duration, bool) {
	for i, s := range h.unanswered {
		if s.seq == seq {
			h.unanswered = h.unanswered[i+1:]
			return s.at, true
		}
	}
	return 0, false
}

// SinceGranted returns the time since a leader last granted a renewal, or
// since the session started. Once it exceeds Timing.RenewEvery plus
// Timing.ResendAfter, Member asks another voter.
func (h *Holder) SinceGranted(now time.Duration) time.Duration { return now - h.lastGrant }

// Override lets the router act without a lease until the given time, for at
// most 15 minutes, when an operator orders it because the quorum is lost. In
// the meantime, changes that other routers accept are not in force here, and
// another router may own the same upstreams. An override requires a session,
// does not survive a restart, and ends when a leader replies that the session
// is closed.
func (h *Holder) Override(now, until time.Duration) bool {
	if h.session == ownership.NoSession || h.view.Revision() < uint64(h.session) {
		return false
	}
	h.overrideUntil = min(until, now+maxOverride)
	return true
}
