package fleetstate

import (
	"cmp"
	"strings"

	"endiveplank/coordination/ownership"
	"endiveplank/coordination/registry"
	"endiveplank/coordination/revlog"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
)

// Kind is the type of an item.
type Kind uint8

// The kinds of items that routers receive.
const (
	KindRow Kind = iota + 1
	KindSession
	KindAssignment
	KindDescriptor
	// kindEnd sorts after every item of a revision.
	kindEnd Kind = 255
)

// Item identifies one thing that routers receive: a row, a session, an
// assignment or the descriptor of an upstream.
type Item struct {
	Kind    Kind                `msgpack:"k"`
	Sheet   table.Sheet         `msgpack:"h,omitempty"`
	Key     string              `msgpack:"y,omitempty"`
	Session ownership.SessionID `msgpack:"s,omitempty"`
}

// CompareItems orders the items of one revision.
func CompareItems(a, b Item) int {
	if c := cmp.Compare(a.Kind, b.Kind); c != 0 {
		return c
	}
	if c := strings.Compare(string(a.Sheet), string(b.Sheet)); c != 0 {
		return c
	}
	if c := strings.Compare(a.Key, b.Key); c != 0 {
		return c
	}
	return cmp.Compare(a.Session, b.Session)
}

// Entry is one changed item in a delta: its present value, or in Removed the
// item that was removed.
type Entry struct {
	Row        *table.Row            `msgpack:"r,omitempty"`
	Session    *ownership.Session    `msgpack:"s,omitempty"`
	Assignment *ownership.Assignment `msgpack:"a,omitempty"`
	Removed    *Item                 `msgpack:"g,omitempty"`
	Descriptor *registry.Descriptor  `msgpack:"d,omitempty"`
}

// Position is how far a reader has read the changes.
type Position struct {
	// Revision and Item identify the last entry that the reader has. A nil
	// Item means that the reader has the whole of Revision.
	Revision uint64 `msgpack:"r"`
	Item     *Item  `msgpack:"i,omitempty"`
	// Base is the revision up to which the reader's state certainly reflects
	// all removals. It is the reader's applied revision, or, in a catch-up
	// from an empty state, the newest revision when the catch-up began. Zero
	// means Revision.
	Base uint64 `msgpack:"b,omitempty"`
}

// Delta takes a reader from one position to a later one.
type Delta struct {
	// From is the position that the delta follows. A reader at another
	// position ignores the delta.
	From Position `msgpack:"f"`
	// Reset tells the reader to start from an empty state, because the
	// removals since its position are no longer remembered.
	Reset   bool     `msgpack:"z,omitempty"`
	Entries []Entry  `msgpack:"e,omitempty"`
	To      Position `msgpack:"t"`
	// More means that further chunks follow. The reader must not use the new
	// entries before the last chunk.
	More bool `msgpack:"m,omitempty"`
}

// DeltaSince returns the changes after a position. It returns at least one
// entry, if there are any, and about budget bytes at most.
func (m *Machine) DeltaSince(from Position, budget int) Delta {
	delta := Delta{From: from}
	base := max(from.Base, 0)
	if base == 0 {
		base = from.Revision
	}
	at := from
	if base < m.changeLog.Floor() || from.Revision == 0 && from.Item == nil {
		delta.Reset = true
		base = m.Revision()
		at = Position{}
	}
	last, more := m.addEntries(&delta, at, budget)
	if more {
		delta.More = true
		delta.To = Position{Revision: last.Revision, Item: &last.Item, Base: base}
		return delta
	}
	delta.To = Position{Revision: max(m.Revision(), at.Revision)}
	return delta
}

// addEntries adds entries to a delta up to the budget. It returns the last
// entry added and whether more are left.
func (m *Machine) addEntries(delta *Delta, at Position, budget int) (last revlog.Entry[Item], more bool) {
	item := Item{Kind: kindEnd}
	if at.Item != nil {
		item = *at.Item
	}
	used := 0
	m.changeLog.Since(at.Revision, item, func(change revlog.Entry[Item]) bool {
		if delta.Reset && change.Gone {
			return true
		}
		if used >= budget && len(delta.Entries) > 0 {
			more = true
			return false
		}
		entry := m.entry(change)
		used += entry.size()
		delta.Entries = append(delta.Entries, entry)
		last = change
		return true
	})
	return last, more
}

func (m *Machine) entry(change revlog.Entry[Item]) Entry {
	item := change.Item
	if change.Gone {
		return Entry{Removed: &item}
	}
	switch item.Kind {
	case KindRow:
		row, _ := m.table.Row(item.Sheet, item.Key)
		return Entry{Row: &row}
	case KindSession:
		session, _ := m.ownership.Session(item.Session)
		return Entry{Session: &session}
	case KindDescriptor:
		descriptor, _ := m.registry.Get(protocol.UpstreamID(item.Key))
		return Entry{Descriptor: &descriptor}
	}
	assignment, _ := m.ownership.Assignment(protocol.UpstreamID(item.Key))
	return Entry{Assignment: &assignment}
}

// entryOverhead is the encoded size of an entry without its strings, in bytes,
// rounded up.
const entryOverhead = 32

// size estimates the encoded size in bytes, to keep chunks within the budget.
func (e Entry) size() int {
	switch {
	case e.Row != nil:
		size := entryOverhead + len(e.Row.Key)
		for _, cell := range e.Row.Cells {
			size += 2 + len(cell)
		}
		return size
	case e.Session != nil:
		return entryOverhead + len(e.Session.Router) + len(e.Session.DataCentre) + len(e.Session.Address)
	case e.Assignment != nil:
		return entryOverhead + len(e.Assignment.Upstream)
	case e.Descriptor != nil:
		return 3*entryOverhead + len(e.Descriptor.ID) + len(e.Descriptor.Address) + 16*len(e.Descriptor.Models)
	}
	return entryOverhead + len(e.Removed.Key)
}
