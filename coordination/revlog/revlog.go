// Package revlog records at which revision each item of a replicated state last
// changed, so that a reader which has everything up to some revision can be sent only
// the newer changes.
//
// Log yields each item once, at its newest revision, in the order (revision, item).
// That order is the same on every replica and after a restore. So a reader whose
// catch-up was interrupted resumes at its cursor with any leader.
//
// A removed item leaves a tombstone, because readers must learn that it was removed.
// The number of tombstones is bounded. When the oldest is dropped, the floor rises to
// its revision, and a reader whose state is older than the floor has to start from an
// empty state. Without the floor such a reader would keep a removed item for ever.
package revlog

import "slices"

// compactFactor is the number of log positions for each item above which superseded
// positions are dropped. Two keeps the amortised cost of a change constant and the
// memory at most double.
const compactFactor = 2

// compactMin is the length up to which the log is never compacted. Without it, short
// logs would be compacted on nearly every change.
const compactMin = 64

// Entry is one position of the log.
type Entry[K comparable] struct {
	Revision uint64
	Item     K
	// Gone marks a tombstone.
	Gone bool
}

// Log is the change log. The zero value is not usable; call New.
type Log[K comparable] struct {
	compare       func(a, b K) int
	maxTombstones int
	newest        map[K]Entry[K]
	entries       []Entry[K]
	tombstones    int
	floor         uint64
}

// New returns an empty log. compare orders items changed at one revision;
// maxTombstones bounds the tombstones kept.
func New[K comparable](compare func(a, b K) int, maxTombstones int) *Log[K] {
	return &Log[K]{compare: compare, maxTombstones: maxTombstones, newest: map[K]Entry[K]{}}
}

// Floor returns the lowest revision from which a reader can catch up by
// changes alone.
func (l *Log[K]) Floor() uint64 { return l.floor }

// Revision returns the revision of the newest change, 0 if there is none.
func (l *Log[K]) Revision() uint64 {
	if len(l.entries) == 0 {
		return l.floor
	}
	return max(l.floor, l.entries[len(l.entries)-1].Revision)
}

// Record records the changes of one revision, which must be higher than all earlier
// ones. The items may be in any order, but each only once.
func (l *Log[K]) Record(changes []Entry[K]) {
	slices.SortFunc(changes, l.order)
	for _, change := range changes {
		l.put(change)
	}
	l.dropTombstones()
	if len(l.entries) > compactMin && len(l.entries) > compactFactor*len(l.newest) {
		l.compact()
	}
}

// Since calls yield for each item that changed after the given position, oldest
// change first, until yield returns false.
func (l *Log[K]) Since(revision uint64, item K, yield func(Entry[K]) bool) {
	after := Entry[K]{Revision: revision, Item: item}
	start, found := slices.BinarySearchFunc(l.entries, after, l.order)
	if found {
		start++
	}
	for _, entry := range l.entries[start:] {
		if l.newest[entry.Item].Revision != entry.Revision {
			continue
		}
		if !yield(entry) {
			return
		}
	}
}

// Tombstones returns the tombstones, oldest first, for a snapshot.
func (l *Log[K]) Tombstones() []Entry[K] {
	var out []Entry[K]
	for _, entry := range l.entries {
		if entry.Gone && l.newest[entry.Item].Revision == entry.Revision {
			out = append(out, entry)
		}
	}
	return out
}

// Restore replaces the log by the given floor and entries, which must contain each
// item only once.
func (l *Log[K]) Restore(floor uint64, entries []Entry[K]) {
	l.newest = make(map[K]Entry[K], len(entries))
	l.entries = l.entries[:0]
	l.tombstones = 0
	l.floor = floor
	slices.SortFunc(entries, l.order)
	for _, entry := range entries {
		l.put(entry)
	}
}

func (l *Log[K]) put(entry Entry[K]) {
	if l.newest[entry.Item].Gone {
		l.tombstones--
	}
	if entry.Gone {
		l.tombstones++
	}
	l.newest[entry.Item] = entry
	l.entries = append(l.entries, entry)
}

func (l *Log[K]) dropTombstones() {
	if l.tombstones <= l.maxTombstones {
		return
	}
	excess := l.tombstones - l.maxTombstones
	for _, entry := range l.entries {
		if excess == 0 {
			break
		}
		if !entry.Gone || l.newest[entry.Item].Revision != entry.Revision {
			continue
		}
		delete(l.newest, entry.Item)
		l.floor = entry.Revision
		l.tombstones--
		excess--
	}
	l.compact()
}

func (l *Log[K]) compact() {
	l.entries = slices.DeleteFunc(l.entries, func(entry Entry[K]) bool {
		return l.newest[entry.Item].Revision != entry.Revision
	})
}

func (l *Log[K]) order(a, b Entry[K]) int {
	if a.Revision != b.Revision {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	}
	return l.compare(a.Item, b.Item)
}
