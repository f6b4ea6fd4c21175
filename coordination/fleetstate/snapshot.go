package fleetstate

import (
	"github.com/rotisserie/eris"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/registry"
	"endiveplank/coordination/revlog"
	"endiveplank/coordination/table"
	"endiveplank/protocol/codec"
)

// snapshotFormat is the version of the snapshot's encoding.
const snapshotFormat = 1

type snapshot struct {
	Format    int                   `msgpack:"f"`
	Index     uint64                `msgpack:"i"`
	Table     table.Snapshot        `msgpack:"t"`
	Orders    orders.Snapshot       `msgpack:"o"`
	Ownership ownership.Snapshot    `msgpack:"w"`
	Gone      []goneItem            `msgpack:"g,omitempty"`
	Registry  []registry.Descriptor `msgpack:"r,omitempty"`
	// Engines is missing in snapshots of a version that ordered nothing.
	Engines engineorders.Snapshot `msgpack:"e"`
	Floor   uint64                `msgpack:"l"`
}

type goneItem struct {
	Revision uint64 `msgpack:"r"`
	Item     Item   `msgpack:"i"`
}

// Snapshot returns the whole state. Machines that applied the same commands
// give the same bytes.
func (m *Machine) Snapshot() []byte { return m.Capture()() }

// Capture returns a function that encodes the state as it is now. The function
// may run on another goroutine while commands are applied, because everything
// that it holds is a copy or never modified in place. Encoding 64 MB of orders
// takes far longer than a heartbeat; done between two commands it would cost
// the leader its lease.
func (m *Machine) Capture() func() []byte {
	s := snapshot{
		Format:    snapshotFormat,
		Index:     m.index,
		Table:     m.table.Snapshot(),
		Orders:    m.journal.Snapshot(),
		Ownership: m.ownership.Snapshot(),
		Registry:  m.registry.All(),
		Engines:   m.engines.Snapshot(),
		Floor:     m.log.Floor(),
	}
	for _, entry := range m.log.Tombstones() {
		s.Gone = append(s.Gone, goneItem{entry.Revision, entry.Item})
	}
	return func() []byte { return codec.Marshal(&s) }
}

// Restore replaces the whole state by a snapshot. On an error the state is
// unchanged.
func (m *Machine) Restore(encoded []byte) error {
	var s snapshot
	if err := codec.Unmarshal(encoded, &s); err != nil {
		return eris.Wrap(err, "fleetstate: decode snapshot")
	}
	if s.Format != snapshotFormat {
		return eris.Errorf("fleetstate: snapshot format %d, this program reads %d", s.Format, snapshotFormat)
	}
	m.index = s.Index
	m.table = table.FromSnapshot(s.Table)
	m.journal = orders.FromSnapshot(s.Orders)
	m.ownership = ownership.FromSnapshot(s.Ownership)
	m.registry = registry.FromSnapshot(s.Registry)
	m.engines = engineorders.FromSnapshot(s.Engines)
	m.log = revlog.New(CompareItems, maxTombstones)
	m.log.Restore(s.Floor, m.logEntries(s.Gone))
	return nil
}

// logEntries rebuilds the change log from what is there and what is gone.
func (m *Machine) logEntries(gone []goneItem) []revlog.Entry[Item] {
	entries := make([]revlog.Entry[Item], 0, m.table.Len()+len(gone))
	for _, ref := range m.table.Refs() {
		row, _ := m.table.Row(ref.Sheet, ref.Key)
		entries = append(entries, revlog.Entry[Item]{Revision: row.Revision, Item: rowItem(ref)})
	}
	for _, session := range m.ownership.Sessions() {
		entries = append(entries, revlog.Entry[Item]{Revision: session.Revision, Item: sessionItem(session.ID)})
	}
	for _, assignment := range m.ownership.Assignments() {
		entries = append(entries, revlog.Entry[Item]{Revision: assignment.Revision, Item: upstreamItem(assignment.Upstream)})
	}
	for _, descriptor := range m.registry.All() {
		entries = append(entries, revlog.Entry[Item]{Revision: descriptor.Revision, Item: descriptorItem(descriptor.ID)})
	}
	for _, item := range gone {
		entries = append(entries, revlog.Entry[Item]{Revision: item.Revision, Item: item.Item, Gone: true})
	}
	return entries
}
