package lease

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
)

// reproposeInterval is how long a member waits for the effect of a command
// before it proposes the command again. All commands that it proposes may be
// applied twice without harm.
const reproposeInterval = time.Second

// Output is an action that a Member asks its driver to carry out.
type Output interface{ memberOutput() }

// The outputs of a Member.
type (
	// SendRenewal asks the driver to send a renewal to the leader, or to the
	// voter that relays for this router.
	SendRenewal struct{ Renewal Renewal }
	// Propose asks the driver to have a command committed. The driver passes
	// the result of an Open to HandleOpened.
	Propose struct{ Command fleetstate.Command }
	// SwitchVoter means that the current voter does not answer or is not the
	// leader. The driver connects to the next voter.
	SwitchVoter struct{}
)

func (SendRenewal) memberOutput() {}
func (Propose) memberOutput()     {}
func (SwitchVoter) memberOutput() {}

// stopPhase is the progress of a planned stop.
type stopPhase uint8

const (
	running stopPhase = iota
	// stopping: the router gets no more upstreams and releases those it owns.
	stopping
	// drained: no request is in flight; the session can be closed.
	drained
	stopped
)

// Member is a router's part in sessions, leases and ownership. It opens a
// session, renews it, opens another one when the session is lost, releases
// upstreams that are to move, and leaves the fleet in a planned stop.
//
// A planned stop has three steps. First the session is marked as stopping, so
// that no upstream is assigned to it. Then each upstream is released, after
// its guard has begun to refuse admissions. The session stays open, and the
// lease valid for requests in flight, until MarkDrained is called. Closing the
// session earlier would end the lease under streams that are still running.
//
// Member is not safe for concurrent use.
type Member struct {
	self   ownership.Open
	holder *Holder
	guard  *ownership.Guard
	phase  stopPhase
	// The earliest times at which each kind of output may be repeated.
	nextOpen, nextStop, nextClose, nextSwitch time.Duration
	// scannedRevision is the revision at which the assignments were last
	// scanned for upstreams to release. The next scan is due at the next
	// revision, or at nextRelease at the latest.
	scannedRevision uint64
	nextRelease     time.Duration
}

// NewMember returns a member without a session. self.Incarnation must be
// higher than at any earlier start of this router.
func NewMember(timing Timing, self ownership.Open) *Member {
	view := fleetstate.NewView()
	holder := NewHolder(timing, view)
	return &Member{
		self:   self,
		holder: holder,
		guard:  ownership.NewGuard(holder, view.Assignment),
	}
}

// Holder returns the router's lease, for Valid and Override.
func (m *Member) Holder() *Holder { return m.holder }

// View returns the router's copy of the fleet state.
func (m *Member) View() *fleetstate.View { return m.holder.View() }

// Guard returns the guard that checks ownership before each admission.
func (m *Member) Guard() *ownership.Guard { return m.guard }

// Ready reports whether the router may accept new callers.
func (m *Member) Ready(now time.Duration) bool {
	return m.phase == running && m.holder.Valid(now)
}

// Stop begins a planned stop.
func (m *Member) Stop() { m.phase = max(m.phase, stopping) }

// MarkDrained tells the member that no request is in flight any more.
func (m *Member) MarkDrained() {
	if m.phase == stopping {
		m.phase = drained
	}
}

// Stopped reports whether the session is closed after a planned stop.
func (m *Member) Stopped() bool { return m.phase == stopped }

// HandleOpened processes the result of a proposed Open.
func (m *Member) HandleOpened(now time.Duration, answer ownership.Answer) {
	if m.holder.Session() == ownership.NoSession && answer.Outcome == ownership.Done {
		m.holder.StartSession(now, answer.Session)
	}
}

// HandleReply processes the reply to a renewal and returns what to do next.
func (m *Member) HandleReply(now time.Duration, reply Reply) []Output {
	var out []Output
	if m.holder.HandleReply(now, reply) == TryOtherVoter {
		out = append(out, SwitchVoter{})
	}
	return append(out, m.Tick(now)...)
}

// HandlePush applies a pushed delta and returns what to do next.
func (m *Member) HandlePush(now time.Duration, push Push) []Output {
	if push.Session == m.holder.Session() {
		m.holder.HandleDelta(now, push.Delta)
	}
	return m.Tick(now)
}

// Tick returns the outputs that are due at now. The driver calls it at least
// every 100 ms.
func (m *Member) Tick(now time.Duration) []Output {
	if m.phase == stopped {
		return nil
	}
	if m.holder.Session() == ownership.NoSession {
		return m.proposeOpen(now)
	}
	var out []Output
	if m.holder.RenewalDue(now) {
		out = append(out, SendRenewal{m.holder.NewRenewal(now)})
	}
	if m.holder.SinceGranted(now) > m.holder.timing.RenewEvery+m.holder.timing.ResendAfter && now >= m.nextSwitch {
		m.nextSwitch = now + m.holder.timing.ResendAfter
		out = append(out, SwitchVoter{})
	}
	out = append(out, m.proposeRelease(now)...)
	return append(out, m.proposeStop(now)...)
}

// proposeOpen asks for a session, unless the router is in a planned stop.
func (m *Member) proposeOpen(now time.Duration) []Output {
	if m.phase != running {
		m.phase = stopped
		return nil
	}
	if now < m.nextOpen {
		return nil
	}
	m.nextOpen = now + reproposeInterval
	open := m.self
	return []Output{Propose{fleetstate.Command{Open: &open}}}
}

// proposeRelease releases the upstreams that are to move. Once the session is
// marked as stopping it releases all of them; if it did so earlier, they would
// be assigned to this router again.
func (m *Member) proposeRelease(now time.Duration) []Output {
	if m.scannedRevision == m.View().Revision() && now < m.nextRelease {
		return nil
	}
	m.scannedRevision = m.View().Revision()
	m.nextRelease = now + reproposeInterval
	var due []protocol.UpstreamID
	session, _ := m.View().Session(m.holder.Session())
	m.View().Assignments(func(a ownership.Assignment) {
		if a.Owner == m.holder.Session() && (a.Moving || session.Stopping) {
			due = append(due, a.Upstream)
		}
	})
	if len(due) == 0 {
		return nil
	}
	slices.SortFunc(due, cmp.Compare)
	command := ownership.Release{Session: m.holder.Session()}
	for _, upstream := range due {
		command.Held = append(command.Held, m.guard.Release(upstream))
	}
	return []Output{Propose{fleetstate.Command{Release: &command}}}
}

// proposeStop proposes the next step of a planned stop.
func (m *Member) proposeStop(now time.Duration) []Output {
	id := m.holder.Session()
	session, shown := m.View().Session(id)
	if m.phase >= stopping && shown && !session.Stopping && now >= m.nextStop {
		m.nextStop = now + reproposeInterval
		return []Output{Propose{fleetstate.Command{Stop: &ownership.Stop{Session: id}}}}
	}
	if m.phase == drained && now >= m.nextClose {
		m.nextClose = now + reproposeInterval
		return []Output{Propose{fleetstate.Command{Close: &ownership.Close{Session: id}}}}
	}
	return nil
}
