package lease

import (
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// Leader is the consensus leader's side of all sessions: it answers renewals,
// pushes deltas, closes sessions whose lease ran out, and tells when a
// revision is in force. It is not safe for concurrent use; it runs where the
// Machine is applied.
//
// Its driver calls TakeOffice once the leader has applied the first entry of
// its own term, so that all commands of former leaders are applied; Applied
// after each batch of commands; Tick at least each 100 ms; and Pushes after
// each batch and each 10 ms, for what Timing.PushGap held back.
type Leader struct {
	timing  Timing
	machine *fleetstate.Machine
	tracker *Tracker
	feed    *feed
	// applied is the revision up to which sessions were compared.
	applied uint64
	seen    time.Duration
}

// NewLeader returns a leader's side over the state machine. It tracks nothing
// before TakeOffice.
func NewLeader(timing Timing, machine *fleetstate.Machine) *Leader {
	return &Leader{timing: timing, machine: machine, tracker: NewTracker(timing), feed: newFeed(timing, machine)}
}

// TakeOffice starts a term of office at now. Whoever waited under an earlier
// term has to ask again.
func (l *Leader) TakeOffice(now time.Duration) {
	l.seen = now
	l.feed = newFeed(l.timing, l.machine)
	var ids []ownership.SessionID
	for _, session := range l.machine.Ownership().Sessions() {
		ids = append(ids, session.ID)
	}
	l.tracker.TakeOffice(now, ids)
	l.applied = l.machine.Revision()
}

// Applied notes sessions opened and closed by the commands applied since the
// last call.
func (l *Leader) Applied(now time.Duration) {
	l.observe(now)
	if l.applied == l.machine.Revision() {
		// Orders come a thousand a second and open no sessions.
		return
	}
	l.applied = l.machine.Revision()
	state := l.machine.Ownership()
	for _, session := range state.Sessions() {
		l.tracker.Opened(now, session.ID)
	}
	for _, id := range l.tracker.Sessions() {
		if _, open := state.Session(id); !open {
			l.tracker.Closed(id)
		}
	}
}

// OnRenewal answers a router. leading says whether this process holds the
// consensus leader lease at now; without it nothing may be granted, because
// another leader may be closing sessions.
func (l *Leader) OnRenewal(now time.Duration, leading bool, renewal Renewal) Reply {
	reply := Reply{Verdict: NotLeader, Seq: renewal.Seq}
	if !leading {
		return reply
	}
	l.observe(now)
	if !l.tracker.Renewed(now, renewal.Session, renewal.Applied) {
		reply.Verdict = SessionClosed
		return reply
	}
	reply.Verdict = Granted
	reply.Delta = l.feed.catchUp(now, renewal)
	return reply
}

// Pushes returns the deltas to send now to the routers that renew with this
// process and are not up to date.
func (l *Leader) Pushes(now time.Duration) []Push { return l.feed.pushes(now) }

// Await asks for a revision to be in force. The revision must be applied.
func (l *Leader) Await(revision uint64, waiter Waiter) { l.tracker.Await(revision, waiter) }

// TakeInForce returns the waiters whose revision came into force.
func (l *Leader) TakeInForce() []Waiter { return l.tracker.TakeInForce() }

// Lagging returns the sessions that have not acknowledged a revision.
func (l *Leader) Lagging(revision uint64) []ownership.SessionID { return l.tracker.Lagging(revision) }

// Tick returns the sessions to close by commands.
func (l *Leader) Tick(now time.Duration) []ownership.SessionID {
	l.observe(now)
	return l.tracker.Expire(now)
}

// observe guards against the leader's own pause. While it was stopped,
// renewals piled up unread; taken at face value, all sessions would look run
// out, and the whole fleet would lose its leases at once.
func (l *Leader) observe(now time.Duration) {
	if now-l.seen > l.timing.Pause {
		l.tracker.Restart(now)
	}
	l.seen = now
}
