package lease

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// chunkBytes bounds one delta. A burst of 300 rows goes out in a few chunks,
// and no message delays a renewal by much.
const chunkBytes = 16 << 10

// line is what the leader has sent to one router.
type line struct {
	// sent is the position that the router reaches with the last delta sent.
	sent   fleetstate.Position
	sentAt time.Duration
}

// Leader is the consensus leader's side of all sessions: it answers renewals,
// pushes deltas, closes sessions whose lease ran out, and tells when a
// revision is in force. It is not safe for concurrent use; it runs where the
// Machine is applied.
//
// Its driver calls TakeOffice once the leader has applied the first entry of
// its own term, so that all commands of former leaders are applied; Applied
// after each batch of commands; and Tick at least each 100 ms.
type Leader struct {
	timing  Timing
	machine *fleetstate.Machine
	tracker *Tracker
	lines   map[ownership.SessionID]*line
	// applied and pushed are the revisions up to which sessions were compared
	// and deltas sent.
	applied uint64
	pushed  uint64
	seen    time.Duration
}

// NewLeader returns a leader's side over the state machine. It tracks nothing
// before TakeOffice.
func NewLeader(timing Timing, machine *fleetstate.Machine) *Leader {
	return &Leader{timing: timing, machine: machine, tracker: NewTracker(timing)}
}

// TakeOffice starts a term of office at now. Whoever waited under an earlier
// term has to ask again.
func (l *Leader) TakeOffice(now time.Duration) {
	l.seen = now
	l.lines = map[ownership.SessionID]*line{}
	var ids []ownership.SessionID
	for _, session := range l.machine.Ownership().Sessions() {
		ids = append(ids, session.ID)
		l.lines[session.ID] = &line{}
	}
	l.tracker.TakeOffice(now, ids)
	l.applied = l.machine.Revision()
	l.pushed = l.applied
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
		if l.lines[session.ID] == nil {
			l.lines[session.ID] = &line{}
			l.tracker.Opened(now, session.ID)
		}
	}
	for id := range l.lines {
		if _, open := state.Session(id); !open {
			delete(l.lines, id)
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
	reply.Delta = l.catchUp(now, renewal)
	return reply
}

// catchUp returns what a router lacks, unless a delta that brings it is on its
// way.
func (l *Leader) catchUp(now time.Duration, renewal Renewal) *fleetstate.Delta {
	at := renewal.position()
	if at.Item == nil && at.Revision >= l.machine.Revision() {
		return nil
	}
	known := l.lines[renewal.Session]
	underWay := before(at, known.sent) && now-known.sentAt < l.timing.Resend
	if underWay {
		return nil
	}
	delta := l.machine.DeltaSince(at, chunkBytes)
	known.sent = delta.To
	known.sentAt = now
	return &delta
}

// before reports whether a lies before b. A position within a revision lies
// before its end.
func before(a, b fleetstate.Position) bool {
	if a.Revision != b.Revision || a.Item == nil {
		return a.Revision < b.Revision
	}
	return b.Item == nil || fleetstate.CompareItems(*a.Item, *b.Item) < 0
}

// Pushes returns the deltas to send now to routers that are not up to date.
// A router in a catch-up is left to its renewals, which ask for each chunk.
func (l *Leader) Pushes(now time.Duration) []Push {
	revision := l.machine.Revision()
	if revision == l.pushed {
		return nil
	}
	var out []Push
	waiting := false
	for id, known := range l.lines {
		if known.sent.Item != nil || known.sent.Revision == 0 || known.sent.Revision >= revision {
			continue
		}
		if now-known.sentAt < l.timing.PushGap {
			waiting = true
			continue
		}
		delta := l.machine.DeltaSince(known.sent, chunkBytes)
		known.sent = delta.To
		known.sentAt = now
		out = append(out, Push{Session: id, Delta: delta})
	}
	if !waiting {
		l.pushed = revision
	}
	slices.SortFunc(out, func(a, b Push) int { return cmp.Compare(a.Session, b.Session) })
	return out
}

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
