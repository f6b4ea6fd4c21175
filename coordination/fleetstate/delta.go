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

// Kind says what an item is.
type Kind uint8

// The kinds of items that routers see.
const (
	KindRow Kind = iota + 1
	KindSession
	KindAssignment
	KindDescriptor
	// kindEnd sorts after every item of a revision.
	kindEnd Kind = 255
)

// Item names one thing that routers see: a row, a session or an assignment.
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

// Entry is one changed item in a delta: what it is now, or that it is gone.
type Entry struct {
	Row        *table.Row            `msgpack:"r,omitempty"`
	Session    *ownership.Session    `msgpack:"s,omitempty"`
	Assignment *ownership.Assignment `msgpack:"a,omitempty"`
	Gone       *Item                 `msgpack:"g,omitempty"`
	Descriptor *registry.Descriptor  `msgpack:"d,omitempty"`
}

// Position says how far a reader is.
type Position struct {
	// Revision and Item are the last entry the reader holds. A zero Item
	// means that it holds the whole of Revision.
	Revision uint64 `msgpack:"r"`
	Item     *Item  `msgpack:"i,omitempty"`
	// Base is the revision that the reader's state is certainly complete for
	// as far as removals go: its applied revision, or, in a catch-up from an
	// empty state, the newest revision when that began. Zero means Revision.
	Base uint64 `msgpack:"b,omitempty"`
}

// Delta takes a reader from one position to a later one.
type Delta struct {
	// From is the position that the delta follows; a reader at another one
	// ignores the delta.
	From Position `msgpack:"f"`
	// Reset tells the reader to begin with an empty state, because removals
	// since its position are no longer known.
	Reset   bool     `msgpack:"z,omitempty"`
	Entries []Entry  `msgpack:"e,omitempty"`
	To      Position `msgpack:"t"`
	// More says that further chunks follow; the reader must not use what it
	// has until the last one.
	More bool `msgpack:"m,omitempty"`
}

// DeltaSince returns what changed after a position, at most about budget bytes
// of it, but at least one entry.
func (m *Machine) DeltaSince(from Position, budget int) Delta {
	delta := Delta{From: from}
	base := max(from.Base, 0)
	if base == 0 {
		base = from.Revision
	}
	at := from
	if base < m.log.Floor() || from.Revision == 0 && from.Item == nil {
		delta.Reset = true
		base = m.Revision()
		at = Position{}
	}
	last, more := m.fill(&delta, at, budget)
	if more {
		delta.More = true
		delta.To = Position{Revision: last.Revision, Item: &last.Item, Base: base}
		return delta
	}
	delta.To = Position{Revision: max(m.Revision(), at.Revision)}
	return delta
}

// fill adds entries up to the budget and returns the last one added and
// whether some are left.
func (m *Machine) fill(delta *Delta, at Position, budget int) (last revlog.Entry[Item], more bool) {
	item := Item{Kind: kindEnd}
	if at.Item != nil {
		item = *at.Item
	}
	used := 0
	m.log.Since(at.Revision, item, func(change revlog.Entry[Item]) bool {
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
		return Entry{Gone: &item}
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

// entryOverhead is the encoded size of an entry beside its texts, in bytes,
// rounded up.
const entryOverhead = 32

// size estimates the encoded size in bytes, for the chunk budget.
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
	return entryOverhead + len(e.Gone.Key)
}
