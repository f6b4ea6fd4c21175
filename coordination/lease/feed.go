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
	// sent is the position that the router reaches with the last delta sent,
	// at pushedAt if that was a push.
	sent     fleetstate.Position
	pushedAt time.Duration
	// acked is the position in the router's last renewal. While it lies before
	// sent, pending is since when.
	acked   fleetstate.Position
	pending time.Duration
}

// note records a delta that goes out.
func (l *line) note(now time.Duration, to fleetstate.Position) {
	if !before(l.acked, l.sent) {
		l.pending = now
	}
	l.sent = to
}

// acknowledge records the position of a renewal.
func (l *line) acknowledge(now time.Duration, at fleetstate.Position) {
	if before(l.acked, at) {
		l.pending = now
	}
	l.acked = at
	if before(l.sent, at) {
		l.sent = at
	}
}

// feed sends routers what changed, out of a voter's applied state. It is used
// by the leader and by relays.
type feed struct {
	timing  Timing
	machine *fleetstate.Machine
	lines   map[ownership.SessionID]*line
	// pushed is the revision up to which deltas were sent.
	pushed uint64
}

func newFeed(timing Timing, machine *fleetstate.Machine) *feed {
	return &feed{timing: timing, machine: machine, lines: map[ownership.SessionID]*line{}, pushed: machine.Revision()}
}

// line returns what was sent to a router; a router that renews here for the
// first time gets a new one.
func (f *feed) line(session ownership.SessionID) *line {
	known := f.lines[session]
	if known == nil {
		known = &line{}
		f.lines[session] = known
	}
	return known
}

// catchUp returns what a router lacks, unless a delta that brings it is on its
// way. A push counts as lost when the router has not moved for Timing.Resend,
// however many pushes followed: each of them begins where the lost one ended,
// so the router can use none. A router that says where it is in a catch-up, or
// that it missed a push, always gets its answer.
func (f *feed) catchUp(now time.Duration, renewal Renewal) *fleetstate.Delta {
	at := renewal.position()
	known := f.line(renewal.Session)
	known.acknowledge(now, at)
	if at.Item == nil && at.Revision >= f.machine.Revision() {
		return nil
	}
	underWay := before(at, known.sent) && now-known.pending < f.timing.Resend
	if underWay && renewal.At == nil {
		return nil
	}
	delta := f.machine.DeltaSince(at, chunkBytes)
	known.sent = delta.To
	known.pending = now
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

// pushes returns the deltas to send now to routers that are not up to date.
// A router in a catch-up is left to its renewals, which ask for each chunk.
func (f *feed) pushes(now time.Duration) []Push {
	revision := f.machine.Revision()
	if revision == f.pushed {
		return nil
	}
	var out []Push
	waiting := false
	for id, known := range f.lines {
		if _, open := f.machine.Ownership().Session(id); !open {
			delete(f.lines, id)
			continue
		}
		if known.sent.Item != nil || known.sent.Revision == 0 || known.sent.Revision >= revision {
			continue
		}
		if now-known.pushedAt < f.timing.PushGap {
			waiting = true
			continue
		}
		delta := f.machine.DeltaSince(known.sent, chunkBytes)
		known.note(now, delta.To)
		known.pushedAt = now
		out = append(out, Push{Session: id, Delta: delta})
	}
	if !waiting {
		f.pushed = revision
	}
	slices.SortFunc(out, func(a, b Push) int { return cmp.Compare(a.Session, b.Session) })
	return out
}
