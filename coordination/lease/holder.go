package lease

import (
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// keptSends is how many unanswered renewals are remembered. An answer to an
// older one would grant nothing that is still valid.
const keptSends = 8

// maxOverride bounds how long one operator's order lets a router act without
// a lease.
const maxOverride = 15 * time.Minute

// sent is one renewal under way.
type sent struct {
	seq uint32
	at  time.Duration
}

// Holder is the router's side of its session. It is not safe for concurrent
// use.
type Holder struct {
	timing  Timing
	view    *fleetstate.View
	session ownership.SessionID
	sends   []sent
	seq     uint32
	// until is the end of the lease.
	until time.Duration
	// due is when the next renewal should go out.
	due time.Duration
	// override is the end of an operator's order to act without a lease.
	override time.Duration
	answered time.Duration
	// missed says that a pushed delta did not follow on the view.
	missed bool
}

// NewHolder returns a holder without a session over a router's view.
func NewHolder(timing Timing, view *fleetstate.View) *Holder {
	return &Holder{timing: timing, view: view}
}

// View returns the router's view.
func (h *Holder) View() *fleetstate.View { return h.view }

// Session returns the open session, or ownership.NoSession.
func (h *Holder) Session() ownership.SessionID { return h.session }

// Opened starts a session that was committed. The first renewal is due at
// once; until it is answered the holder is not valid.
func (h *Holder) Opened(now time.Duration, session ownership.SessionID) {
	h.session = session
	h.sends = nil
	h.until = 0
	h.due = now
	h.answered = now
}

// Valid reports whether the router may act at now: serve callers under its
// view, and admit to the upstreams it owns. Every decision asks again, because
// the process may have been stopped between two of them.
func (h *Holder) Valid(now time.Duration) bool {
	if h.session == ownership.NoSession {
		return false
	}
	if now < h.override {
		return true
	}
	return now < h.until && h.view.Revision() >= uint64(h.session)
}

// Until returns when the lease ends if it is not renewed.
func (h *Holder) Until() time.Duration { return h.until }

// RenewalDue reports whether a renewal should go out at now.
func (h *Holder) RenewalDue(now time.Duration) bool {
	return h.session != ownership.NoSession && now >= h.due
}

// NextDue returns when the next renewal is due.
func (h *Holder) NextDue() time.Duration { return h.due }

// Renew returns the renewal to send at now. The lease that its answer grants
// counts from now. Until an answer comes the next is due after Timing.Resend,
// so that a lost message costs little of the lease; after it, Timing.Renew.
func (h *Holder) Renew(now time.Duration) Renewal {
	h.seq++
	h.sends = append(h.sends, sent{h.seq, now})
	if len(h.sends) > keptSends {
		h.sends = h.sends[1:]
	}
	h.due = now + h.timing.Resend
	renewal := Renewal{Session: h.session, Seq: h.seq, Applied: h.view.Revision()}
	if at := h.view.Position(); at.Item != nil || h.missed {
		renewal.At = &at
	}
	h.missed = false
	return renewal
}

// Step says what the router does after a reply.
type Step uint8

const (
	// Continue means to go on as before.
	Continue Step = iota
	// OpenSession means to propose a new session.
	OpenSession
	// TryOther means to ask another voter.
	TryOther
)

// OnReply takes the answer to a renewal.
func (h *Holder) OnReply(now time.Duration, reply Reply) Step {
	at, known := h.takeSend(reply.Seq)
	if !known {
		return Continue
	}
	switch reply.Verdict {
	case SessionClosed:
		h.session = ownership.NoSession
		h.until = 0
		h.override = 0
		return OpenSession
	case NotLeader:
		return TryOther
	}
	h.answered = now
	h.until = max(h.until, at+h.timing.Lease)
	if len(h.sends) == 0 {
		h.due = at + h.timing.Renew
	}
	if reply.Delta != nil {
		h.OnDelta(now, *reply.Delta)
	}
	return Continue
}

// OnDelta takes a pushed delta, or the one in a reply. If the view went on, a
// renewal is due at once: it is the acknowledgement that the operator waits
// for, or asks for the next chunk. A delta that leads beyond the view but does
// not follow on it (one before it was lost, or two crossed) makes a renewal due
// that asks for what is missing.
func (h *Holder) OnDelta(now time.Duration, delta fleetstate.Delta) {
	before := h.view.Position()
	if !h.view.ApplyDelta(delta) && delta.To.Revision > before.Revision {
		h.missed = true
		h.due = now
	}
	after := h.view.Position()
	if before.Revision != after.Revision || before.Item != after.Item {
		h.due = now
	}
}

// takeSend returns when a renewal was sent and forgets it and older ones. An
// answer to a renewal of an earlier session is unknown.
func (h *Holder) takeSend(seq uint32) (time.Duration, bool) {
	for i, s := range h.sends {
		if s.seq == seq {
			h.sends = h.sends[i+1:]
			return s.at, true
		}
	}
	return 0, false
}

// SilentFor returns how long no leader has granted a renewal. The driver asks
// another voter when this grows beyond Timing.Renew.
func (h *Holder) SilentFor(now time.Duration) time.Duration { return now - h.answered }

// Override lets the router act without a lease until the given time, at most
// 15 minutes, by an operator's order when the quorum is lost. Changes that
// others accept meanwhile are not in force here, and another router may own
// the same upstreams. It does not survive a restart, needs a session, and ends
// when a leader answers that the session is closed.
func (h *Holder) Override(now, until time.Duration) bool {
	if h.session == ownership.NoSession || h.view.Revision() < uint64(h.session) {
		return false
	}
	h.override = min(until, now+maxOverride)
	return true
}
