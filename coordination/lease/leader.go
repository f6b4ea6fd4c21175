package lease

import (
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// Leader is the consensus leader's side of all sessions: it answers renewals,
// pushes deltas, closes sessions whose lease has expired, and reports when a
// revision is in force. It is not safe for concurrent use; it runs on the
// goroutine that applies commands to the Machine.
//
// Its driver calls StartTerm once the leader has applied the first entry of
// its own term, so that all commands of former leaders are applied. It calls
// HandleApplied after each batch of commands, Tick at least every 100 ms, and
// Pushes after each batch and every 10 ms, for the pushes that
// Timing.MinPushInterval delayed.
type Leader struct {
	timing  Timing
	machine *fleetstate.Machine
	tracker *Tracker
	feed    *feed
	// comparedRevision is the revision at which the tracked sessions were last
	// compared with the state machine.
	comparedRevision uint64
	lastCall         time.Duration
}

// NewLeader returns the leader's side for the state machine. It tracks no
// sessions before StartTerm.
func NewLeader(timing Timing, machine *fleetstate.Machine) *Leader {
	return &Leader{timing: timing, machine: machine, tracker: NewTracker(timing), feed: newFeed(timing, machine)}
}

// StartTerm starts a term as leader at now. It drops all waiters of an earlier
// term; they must call Await again.
func (l *Leader) StartTerm(now time.Duration) {
	l.lastCall = now
	l.feed = newFeed(l.timing, l.machine)
	var ids []ownership.SessionID
	for _, session := range l.machine.Ownership().Sessions() {
		ids = append(ids, session.ID)
	}
	l.tracker.StartTerm(now, ids)
	l.comparedRevision = l.machine.Revision()
}

// HandleApplied updates the tracked sessions after commands were applied: it
// adds those opened and removes those closed since the last call.
func (l *Leader) HandleApplied(now time.Duration) {
	l.checkPause(now)
	if l.comparedRevision == l.machine.Revision() {
		// Return early: about 1,000 commands of orders are applied per second,
		// and they open no sessions.
		return
	}
	l.comparedRevision = l.machine.Revision()
	state := l.machine.Ownership()
	for _, session := range state.Sessions() {
		l.tracker.AddSession(now, session.ID)
	}
	for _, id := range l.tracker.Sessions() {
		if _, open := state.Session(id); !open {
			l.tracker.RemoveSession(id)
		}
	}
}

// HandleRenewal answers a router's renewal. leading reports whether this
// process holds the consensus leader lease at now. Without that lease it
// grants nothing, because another leader may be closing sessions.
func (l *Leader) HandleRenewal(now time.Duration, leading bool, renewal Renewal) Reply {
	reply := Reply{Outcome: NotLeader, Seq: renewal.Seq}
	if !leading {
		return reply
	}
	l.checkPause(now)
	if !l.tracker.Renew(now, renewal.Session, renewal.Applied) {
		reply.Outcome = SessionClosed
		return reply
	}
	reply.Outcome = Granted
	reply.Delta = l.feed.catchUp(now, renewal)
	return reply
}

// Pushes returns the deltas to send now to the routers that renew with this
// process and are not up to date.
func (l *Leader) Pushes(now time.Duration) []Push { return l.feed.pushes(now) }

// Await registers a waiter for a revision, which must be applied already.
// TakeInForce returns the waiter once the revision is in force.
func (l *Leader) Await(revision uint64, waiter Waiter) { l.tracker.Await(revision, waiter) }

// TakeInForce returns the waiters whose revision has come into force since the
// last call.
func (l *Leader) TakeInForce() []Waiter { return l.tracker.TakeInForce() }

// Lagging returns the sessions that have not acknowledged a revision.
func (l *Leader) Lagging(revision uint64) []ownership.SessionID { return l.tracker.Lagging(revision) }

// Tick returns the sessions to close by Close commands.
func (l *Leader) Tick(now time.Duration) []ownership.SessionID {
	l.checkPause(now)
	return l.tracker.Expire(now)
}

// checkPause guards against a pause of the leader's own process. Renewals that
// arrive during a pause are not read, so afterwards every session would look
// expired and the whole fleet would lose its leases at once.
func (l *Leader) checkPause(now time.Duration) {
	if now-l.lastCall > l.timing.MaxPause {
		l.tracker.RenewAll(now)
	}
	l.lastCall = now
}
