package roster

import (
	"slices"

	"endiveplank/protocol"
)

const (
	// minLoggedChanges is how many changes are remembered at least. A larger roster
	// remembers one for each logDivisor entries: after more changes, reading all entries
	// costs little more.
	minLoggedChanges = 512
	logDivisor       = 4
)

// changeLog remembers which upstreams changed last, so that what follows the roster looks
// only at these.
type changeLog struct {
	// revision is the number of the last change.
	revision uint64
	// ids are the upstreams of the last changes, the oldest first.
	ids []protocol.UpstreamID
}

// add records a change in a roster with a number of entries.
func (l *changeLog) add(id protocol.UpstreamID, entries int) {
	l.revision++
	l.ids = append(l.ids, id)
	if most := max(minLoggedChanges, entries/logDivisor); len(l.ids) > 2*most {
		l.ids = slices.Clone(l.ids[len(l.ids)-most:])
	}
}

// since returns the upstreams that changed after a revision, each once, in the order of
// their last changes. It returns false if it doesn't remember all of them.
func (l *changeLog) since(revision uint64) ([]protocol.UpstreamID, bool) {
	count := l.revision - revision
	if count > uint64(len(l.ids)) {
		return nil, false
	}
	seen := make(map[protocol.UpstreamID]bool, count)
	var changed []protocol.UpstreamID
	for _, id := range slices.Backward(l.ids[uint64(len(l.ids))-count:]) {
		if !seen[id] {
			seen[id] = true
			changed = append(changed, id)
		}
	}
	slices.Reverse(changed)
	return changed, true
}

// ChangedSince returns the entries that changed after a revision, in the order of their
// last changes. Upstreams that were removed from the roster are among them, as Gone and
// without the other fields. It returns false if the roster doesn't remember all changes;
// Entries has the current state then.
func (r *Roster) ChangedSince(revision uint64) ([]Entry, bool) {
	ids, complete := r.changes.since(revision)
	changed := make([]Entry, 0, len(ids))
	for _, id := range ids {
		e, known := r.Entry(id)
		if !known {
			e = Entry{ID: id, State: Gone}
		}
		changed = append(changed, e)
	}
	return changed, complete
}
