package lease

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
	"endiveplank/protocol"
)

// proposeAgain is how long a member waits for the effect of a command before
// it proposes it again. All its commands can be applied twice without harm.
const proposeAgain = time.Second

// Output is something that a member wants done.
type Output interface{ memberOutput() }

// Outputs of a Member.
type (
	// SendRenewal goes to the leader, or to the voter that relays for this
	// router.
	SendRenewal struct{ Renewal Renewal }
	// Propose asks for a command to be committed; the result of an Open comes
	// back by OnOpened.
	Propose struct{ Command fleetstate.Command }
	// AskOther means that the voter asked last does not answer or does not
	// lead: connect to the next.
	AskOther struct{}
)

func (SendRenewal) memberOutput() {}
func (Propose) memberOutput()     {}
func (AskOther) memberOutput()    {}

// stopPhase is how far a planned stop is.
type stopPhase uint8

const (
	running stopPhase = iota
	// stopping: gets no more upstreams, gives up those it has.
	stopping
	// drained: nothing is in flight; the session can be closed.
	drained
	stopped
)

// Member is a router's whole part in sessions, leases and ownership: it opens
// a session, keeps it, opens another when it is lost, gives up upstreams that
// are to move, and leaves at a planned stop.
//
// A planned stop has an order. First the session is marked, so that nothing is
// assigned to it; then each upstream is released, after its guard refuses
// admissions; the session stays open, and valid for what is in flight, until
// Drained. Closing it before would end the lease under streams that still run.
// It is not safe for concurrent use.
type Member struct {
	self   ownership.Open
	holder *Holder
	guard  *ownership.Guard
	phase  stopPhase
	// again is when each kind of command may be proposed again.
	openAgain, stopAgain, closeAgain, askAgain time.Duration
	// scanned is the revision at which the assignments were last looked
	// through, and releaseAgain when to look again at the latest.
	scanned      uint64
	releaseAgain time.Duration
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

// Holder returns the lease, for Valid and Override.
func (m *Member) Holder() *Holder { return m.holder }

// View returns the router's copy of the fleet state.
func (m *Member) View() *fleetstate.View { return m.holder.View() }

// Guard returns what stands before each admission.
func (m *Member) Guard() *ownership.Guard { return m.guard }

// Ready reports whether the router may take new callers.
func (m *Member) Ready(now time.Duration) bool {
	return m.phase == running && m.holder.Valid(now)
}

// Stop begins a planned stop.
func (m *Member) Stop() { m.phase = max(m.phase, stopping) }

// Drained says that nothing is in flight any more.
func (m *Member) Drained() {
	if m.phase == stopping {
		m.phase = drained
	}
}

// Stopped reports whether the session is closed after a planned stop.
func (m *Member) Stopped() bool { return m.phase == stopped }

// OnOpened takes the result of a proposed Open.
func (m *Member) OnOpened(now time.Duration, answer ownership.Answer) {
	if m.holder.Session() == ownership.NoSession && answer.Outcome == ownership.Done {
		m.holder.Opened(now, answer.Session)
	}
}

// OnReply takes the answer to a renewal and returns what to do next.
func (m *Member) OnReply(now time.Duration, reply Reply) []Output {
	var out []Output
	if m.holder.OnReply(now, reply) == TryOther {
		out = append(out, AskOther{})
	}
	return append(out, m.Step(now)...)
}

// OnPush takes a pushed delta and returns what to do next.
func (m *Member) OnPush(now time.Duration, push Push) []Output {
	if push.Session == m.holder.Session() {
		m.holder.OnDelta(now, push.Delta)
	}
	return m.Step(now)
}

// Step returns what is due at now. It is called at least each 100 ms.
func (m *Member) Step(now time.Duration) []Output {
	if m.phase == stopped {
		return nil
	}
	if m.holder.Session() == ownership.NoSession {
		return m.open(now)
	}
	var out []Output
	if m.holder.RenewalDue(now) {
		out = append(out, SendRenewal{m.holder.Renew(now)})
	}
	if m.holder.SilentFor(now) > m.holder.timing.Renew+m.holder.timing.Resend && now >= m.askAgain {
		m.askAgain = now + m.holder.timing.Resend
		out = append(out, AskOther{})
	}
	out = append(out, m.release(now)...)
	return append(out, m.leave(now)...)
}

// open asks for a session, unless the router is on its way out.
func (m *Member) open(now time.Duration) []Output {
	if m.phase != running {
		m.phase = stopped
		return nil
	}
	if now < m.openAgain {
		return nil
	}
	m.openAgain = now + proposeAgain
	open := m.self
	return []Output{Propose{fleetstate.Command{Open: &open}}}
}

// release gives up upstreams that are to move, or all of them once the session
// is marked as stopping. Released before that, they would be assigned to this
// router again.
func (m *Member) release(now time.Duration) []Output {
	if m.scanned == m.View().Revision() && now < m.releaseAgain {
		return nil
	}
	m.scanned = m.View().Revision()
	m.releaseAgain = now + proposeAgain
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

// leave proposes the steps of a planned stop.
func (m *Member) leave(now time.Duration) []Output {
	id := m.holder.Session()
	session, shown := m.View().Session(id)
	if m.phase >= stopping && shown && !session.Stopping && now >= m.stopAgain {
		m.stopAgain = now + proposeAgain
		return []Output{Propose{fleetstate.Command{Stop: &ownership.Stop{Session: id}}}}
	}
	if m.phase == drained && now >= m.closeAgain {
		m.closeAgain = now + proposeAgain
		return []Output{Propose{fleetstate.Command{Close: &ownership.Close{Session: id}}}}
	}
	return nil
}
