package lease

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/ownership"
)

// maxDeltaBytes bounds the size of one delta, so that no message delays a
// renewal by much. A burst of 300 rows goes out in a few chunks.
const maxDeltaBytes = 16 << 10

// progress is what a feed has sent to one router.
type progress struct {
	// sent is the position that the router reaches with the last delta sent.
	// pushedAt is when the last push was sent.
	sent     fleetstate.Position
	pushedAt time.Duration
	// acked is the position in the router's last renewal. While acked lies
	// before sent, waitingSince is when the feed began to wait for the router
	// to advance: when the first unacknowledged delta or a resend was sent, or
	// when the router last advanced.
	acked        fleetstate.Position
	waitingSince time.Duration
}

// recordSent records a delta that was sent up to a position.
func (p *progress) recordSent(now time.Duration, to fleetstate.Position) {
	if !before(p.acked, p.sent) {
		p.waitingSince = now
	}
	p.sent = to
}

// acknowledge records the position of a router that renewed.
func (p *progress) acknowledge(now time.Duration, at fleetstate.Position) {
	if before(p.acked, at) {
		p.waitingSince = now
	}
	p.acked = at
	if before(p.sent, at) {
		p.sent = at
	}
}

// feed sends the changes in a voter's applied state to routers. The leader and
// the relays use it.
type feed struct {
	timing  Timing
	machine *fleetstate.Machine
	routers map[ownership.SessionID]*progress
	// pushed is the revision up to which pushes has nothing left to send. A
	// push that MinPushInterval delays keeps it at an older revision.
	pushed uint64
}

func newFeed(timing Timing, machine *fleetstate.Machine) *feed {
	return &feed{timing: timing, machine: machine, routers: map[ownership.SessionID]*progress{}, pushed: machine.Revision()}
}

// progressOf returns the progress of a router. A router that renews here for
// the first time gets a new one.
func (f *feed) progressOf(session ownership.SessionID) *progress {
	p := f.routers[session]
	if p == nil {
		p = &progress{}
		f.routers[session] = p
	}
	return p
}

// catchUp returns the changes that a router lacks, unless a delta that brings
// them is in flight. A push counts as lost when the router's position has not
// advanced for Timing.ResendAfter, however many pushes followed it: each of
// them begins where the previous one ended, so the router can apply none. A
// router that reports its position in a catch-up, or reports that it missed a
// push, always gets a delta.
func (f *feed) catchUp(now time.Duration, renewal Renewal) *fleetstate.Delta {
	at := renewal.position()
	p := f.progressOf(renewal.Session)
	p.acknowledge(now, at)
	if at.Item == nil && at.Revision >= f.machine.Revision() {
		return nil
	}
	inFlight := before(at, p.sent) && now-p.waitingSince < f.timing.ResendAfter
	if inFlight && renewal.At == nil {
		return nil
	}
	delta := f.machine.DeltaSince(at, maxDeltaBytes)
	p.sent = delta.To
	p.waitingSince = now
	return &delta
}

// before reports whether a lies before b. A position within a revision lies
// before the revision's end.
func before(a, b fleetstate.Position) bool {
	if a.Revision != b.Revision || a.Item == nil {
		return a.Revision < b.Revision
	}
	return b.Item == nil || fleetstate.CompareItems(*a.Item, *b.Item) < 0
}

// pushes returns the deltas to send now to routers that are not up to date. It
// skips a router that is in a catch-up, because that router's renewals ask for
// each chunk.
func (f *feed) pushes(now time.Duration) []Push {
	revision := f.machine.Revision()
	if revision == f.pushed {
		return nil
	}
	var out []Push
	waiting := false
	for id, p := range f.routers {
		if _, open := f.machine.Ownership().Session(id); !open {
			delete(f.routers, id)
			continue
		}
		if p.sent.Item != nil || p.sent.Revision == 0 || p.sent.Revision >= revision {
			continue
		}
		if now-p.pushedAt < f.timing.MinPushInterval {
			waiting = true
			continue
		}
		delta := f.machine.DeltaSince(p.sent, maxDeltaBytes)
		p.recordSent(now, delta.To)
		p.pushedAt = now
		out = append(out, Push{Session: id, Delta: delta})
	}
	if !waiting {
		f.pushed = revision
	}
	slices.SortFunc(out, func(a, b Push) int { return cmp.Compare(a.Session, b.Session) })
	return out
}
