package control

import (
	"time"

	"endiveplank/coordination/document"
	"endiveplank/protocol"
)

// InForce returns the table in force, nil if none is known.
func (f *Follower) InForce() *document.Document { return f.inForce }

// pull asks one disk VM, or the referral, for the newest table if a newer one than this
// router's is known and none was asked a moment ago.
func (f *Follower) pull(now time.Duration) []Message {
	if !f.router || f.pulling && now-f.pulledAt < documentTimeout || f.awaitsRelay(now) {
		return nil
	}
	from := f.chooseDiskVM(now)
	if from == "" {
		f.pulling = false
		return nil
	}
	f.pulling = true
	f.pulledFrom = from
	f.pulledAt = now
	if f.referral.mayAsk(now) {
		return []Message{f.askReferral(now)}
	}
	return []Message{f.watch(now, from, Watch{WantDocument: true})}
}

// SetRelay sets the relay, which passes large tables and changes of upstreams on to
// other routers.
func (f *Follower) SetRelay(r *Relay) { f.relay = r }

// awaitsRelay reports whether another router will send this one the newest table. A
// router without a table doesn't wait for that: it asks a disk VM.
func (f *Follower) awaitsRelay(now time.Duration) bool {
	return f.relay != nil && f.relay.hasParent && f.inForce != nil && f.newest > f.version() &&
		f.newestBytes >= largeChangeBytes && now-f.newestAt < relayTimeout
}

// chooseDiskVM returns the disk VM to ask for a table, "" if none should be asked now.
// Each router prefers a different VM. If all routers asked the VM that announced the
// table first, which is the leader, its link would be full, and the other disk VMs would
// miss its heartbeats.
func (f *Follower) chooseDiskVM(now time.Duration) protocol.RouterID {
	var preferred, having protocol.RouterID
	restored := f.newestRestored(now)
	for _, id := range f.byPreference() {
		s := f.sources[id]
		if !s.alive(now) || s.restored && s.version != restored || restored > 0 && !s.restored {
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
	if having == preferred || now-f.newestAt >= preferredWait {
		return having
	}
	return ""
}

// mayTake reports whether a live disk VM has a newer table that this router may use.
func (f *Follower) mayTake(now time.Duration) bool {
	restored := f.newestRestored(now)
	for _, s := range f.sources {
		if s.alive(now) && s.version > f.version() && (!s.restored || s.version == restored) {
			return true
		}
	}
	return false
}

// newestRestored returns the version of the newest table that a live disk VM has
// restored, 0 if this router may not use a restored table: some live disk VM knows
// which table is in force, or could say so within restoredTableDelay.
func (f *Follower) newestRestored(now time.Duration) uint64 {
	if !f.anyHeard || now-f.firstHeard < restoredTableDelay {
		return 0
	}
	newest := uint64(0)
	for _, s := range f.sources {
		switch {
		case !s.alive(now) || s.version == 0:
		case !s.restored:
			return 0
		default:
			newest = max(newest, s.version)
		}
	}
	return newest
}

// version returns the version of the table in force, 0 for none.
func (f *Follower) version() uint64 {
	if f.inForce == nil {
		return 0
	}
	return f.inForce.Version
}

// HandleDocument processes a table from a disk VM or another router. accept returns an
// error if the router can't use the table; the router doesn't ask for that one again.
// HandleDocument reports whether a newer table is in force.
func (f *Follower) HandleDocument(now time.Duration, from protocol.RouterID, d Document, accept func(*document.Document) error) ([]Message, bool) {
	if f.sources[from] != nil {
		f.heardFrom(now, from)
	}
	f.mergeEvacuations(from, d.Evacuations)
	if f.inForce != nil && d.Change.Version <= f.inForce.Version {
		return nil, false
	}
	if d.Restored && d.Change.Version != f.newestRestored(now) {
		return nil, false
	}
	next, err := d.Change.Apply(f.inForce)
	if err != nil {
		f.pulling = false
		return f.pull(now), false
	}
	if err := accept(next); err != nil {
		f.events = append(f.events, Event{Kind: EventTableRefused, Peer: from, Version: next.Version})
		return nil, false
	}
	f.inForce = next
	f.pulling = false
	f.noteTable(from, d)
	if f.relay != nil {
		f.relay.PassOnTable(Document{Change: d.Change, Restored: f.restored, Evacuations: f.Evacuations()})
	}
	f.answerPeerRequests(now)
	return f.pull(now), true
}

// noteTable records the event that a new table is in force, and who sent it.
func (f *Follower) noteTable(from protocol.RouterID, d Document) {
	s := f.sources[from]
	f.restored = d.Restored || s != nil && s.restored
	kind := EventTableInForce
	if f.restored {
		kind = EventTableRestored
	}
	f.events = append(f.events, Event{Kind: kind, Peer: from, Version: f.inForce.Version})
}

// confirmTable notes that a disk VM whose table isn't merely restored has the same table
// in force as this router.
func (f *Follower) confirmTable(from protocol.RouterID, s *source) {
	if f.restored && !s.restored && s.version == f.version() {
		f.restored = false
		f.events = append(f.events, Event{Kind: EventTableInForce, Peer: from, Version: s.version})
	}
}
