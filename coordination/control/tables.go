package control

import (
	"time"

	"endiveplank/coordination/document"
	"endiveplank/protocol"
)

// InForce returns the table in force, nil if none is known.
func (f *Follower) InForce() *document.Document { return f.inForce }

// pull asks one disk VM for the newest table, if a newer one than the own is
// known and nobody was asked a moment ago.
func (f *Follower) pull(now time.Duration) []Send {
	if !f.router || f.pulling && now-f.pulledAt < documentPatience || f.relayed(now) {
		return nil
	}
	from := f.best(now)
	if from == "" {
		f.pulling = false
		return nil
	}
	f.pulling = true
	f.pulledFrom = from
	f.pulledAt = now
	if f.passer.mayAsk(now) {
		return []Send{f.askPasser(now)}
	}
	return []Send{f.watch(now, from, Watch{WantDocument: true})}
}

// SetRelay makes large tables go from router to router.
func (f *Follower) SetRelay(r *Relay) { f.relay = r }

// relayed reports whether another router will pass the newest table on to this
// one. A router without a table starts anew and asks a disk VM.
func (f *Follower) relayed(now time.Duration) bool {
	return f.relay != nil && f.relay.waits && f.inForce != nil && f.newest > f.version() &&
		f.newestBytes >= largeChange && now-f.newestAt < relayPatience
}

// best returns the disk VM to ask for a table, "" for none now. Each router
// prefers another VM; if all asked the one that told them first, the leader's
// link would be full, and it would be missed by the others.
func (f *Follower) best(now time.Duration) protocol.RouterID {
	var preferred, having protocol.RouterID
	recalled := f.newestRecalled(now)
	for _, id := range f.byPreference() {
		s := f.sources[id]
		if !s.inTouch(now) || s.recalled && s.version != recalled || recalled > 0 && !s.recalled {
			continue
		}
		if f.pulling && id == f.pulledFrom {
			continue
		}
		if preferred == "" {
			preferred = id
		}
		if having == "" && s.version > f.version() {
			having = id
		}
	}
	if having == preferred || now-f.newestAt >= preferredPatience {
		return having
	}
	return ""
}

// mayTake reports whether a disk VM in touch has a newer table that this router may
// serve by.
func (f *Follower) mayTake(now time.Duration) bool {
	recalled := f.newestRecalled(now)
	for _, s := range f.sources {
		if s.inTouch(now) && s.version > f.version() && (!s.recalled || s.version == recalled) {
			return true
		}
	}
	return false
}

// newestRecalled returns the version of the newest table that a disk VM in touch has
// recalled, 0 where this router may not serve by one: some disk VM in touch knows
// which table is in force, or could say so in a moment.
func (f *Follower) newestRecalled(now time.Duration) uint64 {
	if !f.anyHeard || now-f.firstHeard < recalledAfter {
		return 0
	}
	newest := uint64(0)
	for _, s := range f.sources {
		switch {
		case !s.inTouch(now) || s.version == 0:
		case !s.recalled:
			return 0
		default:
			newest = max(newest, s.version)
		}
	}
	return newest
}

// version is that of the table in force, 0 for none.
func (f *Follower) version() uint64 {
	if f.inForce == nil {
		return 0
	}
	return f.inForce.Version
}

// TakeDocument takes a table, from a disk VM or a router. accept says whether the
// router can use it; one that it can't is not asked for again. It reports whether
// a newer table is in force.
func (f *Follower) TakeDocument(now time.Duration, from protocol.RouterID, d Document, accept func(*document.Document) error) ([]Send, bool) {
	if f.sources[from] != nil {
		f.heardFrom(now, from)
	}
	if f.inForce != nil && d.Change.Version <= f.inForce.Version {
		return nil, false
	}
	if d.Recalled && d.Change.Version != f.newestRecalled(now) {
		return nil, false
	}
	next, err := d.Change.Apply(f.inForce)
	if err != nil {
		f.pulling = false
		return f.pull(now), false
	}
	if err := accept(next); err != nil {
		f.beliefs = append(f.beliefs, Belief{What: BeliefRefused, About: from, Version: next.Version})
		return nil, false
	}
	f.inForce = next
	f.pulling = false
	f.noteTable(from, d)
	if f.relay != nil {
		f.relay.Accepted(Document{Change: d.Change, Recalled: f.recalled})
	}
	f.answerAskers(now)
	return f.pull(now), true
}

// noteTable says that another table is served by, and by whose word.
func (f *Follower) noteTable(from protocol.RouterID, d Document) {
	s := f.sources[from]
	f.recalled = d.Recalled || s != nil && s.recalled
	what := BeliefTable
	if f.recalled {
		what = BeliefRecalled
	}
	f.beliefs = append(f.beliefs, Belief{What: what, About: from, Version: f.inForce.Version})
}

// confirm notes that a disk VM which isn't only recalling it has the table in force
// that this router has.
func (f *Follower) confirm(from protocol.RouterID, s *source) {
	if f.recalled && !s.recalled && s.version == f.version() {
		f.recalled = false
		f.beliefs = append(f.beliefs, Belief{What: BeliefTable, About: from, Version: s.version})
	}
}
