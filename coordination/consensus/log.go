package consensus

import (
	"fmt"
	"slices"
)

// indexedConfiguration is a configuration and the index of its entry.
type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

// memoryLog is the log in memory, synced or not.
type memoryLog struct {
	// snapshot is the newest snapshot, Index 0 if none.
	snapshot Snapshot
	// base and baseTerm are the index and term of the entry before entries[0].
	base, baseTerm uint64
	entries        []Entry
	// commit is the highest index known to be committed.
	commit uint64
	// applied is the highest index that Take has returned as committed.
	applied uint64
	// taken is the highest index that Take has returned to be persisted.
	taken uint64
	// durable is the highest index known to be synced.
	durable uint64
	// configurations holds the one in use at base, if any, and all later ones,
	// ordered by index.
	configurations []indexedConfiguration
}

// newMemoryLog rebuilds the log from the content of a disk.
func newMemoryLog(stored Stored) memoryLog {
	l := memoryLog{}
	l.restore(stored.Snapshot)
	l.append(stored.Entries)
	l.taken = l.last()
	l.durable = l.last()
	return l
}

// restore replaces the whole log by a snapshot.
func (l *memoryLog) restore(s Snapshot) {
	*l = memoryLog{
		snapshot: s, base: s.Index, baseTerm: s.Term,
		commit: s.Index, applied: s.Index, taken: s.Index,
	}
	if s.Index > 0 {
		l.configurations = []indexedConfiguration{{s.Index, s.Configuration}}
	}
}

// blank reports whether there is neither an entry nor a snapshot.
func (l *memoryLog) blank() bool {
	return l.last() == 0
}

// last returns the index of the last entry.
func (l *memoryLog) last() uint64 {
	return l.base + uint64(len(l.entries))
}

// lastTerm returns the term of the last entry.
func (l *memoryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry, and false if the log does not hold it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// matches reports whether the log holds the entry with that index and term.
func (l *memoryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// isUpToDate reports whether a log that ends with the given entry is at least
// as complete as this one.
func (l *memoryLog) isUpToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

// append adds entries that follow the last one. Configurations among them take
// effect.
func (l *memoryLog) append(entries []Entry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("consensus: invariant broken: log entries are contiguous: entry %d after %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		l.trackConfiguration(e)
	}
}

// trackConfiguration puts the configuration of an entry in use, if the entry
// carries one.
func (l *memoryLog) trackConfiguration(e Entry) {
	if e.Kind != EntryConfiguration {
		return
	}
	c, err := decodeConfiguration(e.Data)
	if err != nil {
		panic("consensus: invariant broken: configuration entries are checked before they are appended: " + err.Error())
	}
	l.configurations = append(l.configurations, indexedConfiguration{e.Index, c})
}

// truncate drops the entries from index on.
func (l *memoryLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("consensus: invariant broken: a committed entry is never replaced: entry %d, committed %d", index, l.commit))
	}
	l.entries = slices.Clone(l.entries[:index-l.base-1])
	l.taken = min(l.taken, index-1)
	l.durable = min(l.durable, index-1)
	l.configurations = slices.DeleteFunc(l.configurations, func(indexed indexedConfiguration) bool { return indexed.index >= index })
}

// merge appends entries from a leader and returns the index of the first entry
// that it replaced, or 0. It skips entries that the log already holds, so that
// a late copy of an old message drops nothing.
func (l *memoryLog) merge(entries []Entry) uint64 {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) || e.Index <= l.base {
			continue
		}
		replaced := uint64(0)
		if e.Index <= l.last() {
			l.truncate(e.Index)
			replaced = e.Index
		}
		l.append(entries[i:])
		return replaced
	}
	return 0
}

// slice returns entries from index on, up to limit bytes but at least one if
// there is one.
func (l *memoryLog) slice(index uint64, limit int) []Entry {
	if index > l.last() {
		return nil
	}
	tail := l.entries[index-l.base-1:]
	size := 0
	for i, e := range tail {
		size += e.size()
		if i > 0 && size > limit {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// takeUnpersisted returns the entries that Take has not yet returned to be
// persisted.
func (l *memoryLog) takeUnpersisted() []Entry {
	entries := slices.Clone(l.entries[l.taken-l.base:])
	l.taken = l.last()
	return entries
}

// takeCommitted returns the committed entries that Take has not yet returned.
func (l *memoryLog) takeCommitted() []Entry {
	entries := slices.Clone(l.entries[l.applied-l.base : l.commit-l.base])
	l.applied = l.commit
	return entries
}

// configuration returns the configuration in use, which is the newest one in the
// log, committed or not, and the index of its entry.
func (l *memoryLog) configuration() (Configuration, uint64) {
	if len(l.configurations) == 0 {
		return Configuration{}, 0
	}
	newest := l.configurations[len(l.configurations)-1]
	return newest.configuration, newest.index
}

// configurationAt returns the configuration in use at index.
func (l *memoryLog) configurationAt(index uint64) Configuration {
	found := Configuration{}
	for _, indexed := range l.configurations {
		if indexed.index <= index {
			found = indexed.configuration
		}
	}
	return found
}

// latestPossibleMatch returns the last entry at or before index whose term is
// at most term: the latest point at which two logs may agree.
func (l *memoryLog) latestPossibleMatch(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.base {
		own, _ := l.term(index)
		if own <= term {
			return index, own
		}
		index--
	}
	return l.base, l.baseTerm
}

// compact makes s the newest snapshot and drops the entries up to keepFrom.
func (l *memoryLog) compact(s Snapshot, keepFrom uint64) {
	l.snapshot = s
	keepFrom = min(keepFrom, s.Index, l.taken)
	if keepFrom <= l.base {
		return
	}
	term, _ := l.term(keepFrom)
	inUse := indexedConfiguration{keepFrom, l.configurationAt(keepFrom)}
	later := slices.DeleteFunc(slices.Clone(l.configurations), func(indexed indexedConfiguration) bool { return indexed.index <= keepFrom })
	l.configurations = append([]indexedConfiguration{inUse}, later...)
	l.entries = slices.Clone(l.entries[keepFrom-l.base:])
	l.base, l.baseTerm = keepFrom, term
}
