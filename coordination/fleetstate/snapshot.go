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
	Format     int                   `msgpack:"f"`
	Index      uint64                `msgpack:"i"`
	Table      table.Snapshot        `msgpack:"t"`
	Orders     orders.Snapshot       `msgpack:"o"`
	Ownership  ownership.Snapshot    `msgpack:"w"`
	Tombstones []tombstone           `msgpack:"g,omitempty"`
	Registry   []registry.Descriptor `msgpack:"r,omitempty"`
	// Engines is missing in snapshots of versions without orders to engines.
	Engines engineorders.Snapshot `msgpack:"e"`
	Floor   uint64                `msgpack:"l"`
}

type tombstone struct {
	Revision uint64 `msgpack:"r"`
	Item     Item   `msgpack:"i"`
}

// Snapshot returns the encoded state. Machines that applied the same commands
// return the same bytes.
func (m *Machine) Snapshot() []byte { return m.Capture()() }

// Capture returns a function that encodes the present state. The function may
// run on another goroutine while commands are applied, because everything that
// it reads is a copy or is never modified in place. Encoding 64 MB of orders
// takes far longer than a heartbeat interval; between two commands it would
// cost the leader its lease.
func (m *Machine) Capture() func() []byte {
	s := snapshot{
		Format:    snapshotFormat,
		Index:     m.index,
		Table:     m.table.Snapshot(),
		Orders:    m.journal.Snapshot(),
		Ownership: m.ownership.Snapshot(),
		Registry:  m.registry.All(),
		Engines:   m.engines.Snapshot(),
		Floor:     m.changeLog.Floor(),
	}
	for _, entry := range m.changeLog.Tombstones() {
		s.Tombstones = append(s.Tombstones, tombstone{entry.Revision, entry.Item})
	}
	return func() []byte { return codec.Marshal(&s) }
}

// Restore replaces the whole state with a snapshot. On an error the state is
// unchanged.
func (m *Machine) Restore(encoded []byte) error {
	var s snapshot
	if err := codec.Unmarshal(encoded, &s); err != nil {
		return eris.Wrap(err, "fleetstate: decode snapshot")
	}
	if s.Format != snapshotFormat {
		return eris.Errorf("fleetstate: snapshot has format %d, this version reads only %d", s.Format, snapshotFormat)
	}
	m.index = s.Index
	m.table = table.FromSnapshot(s.Table)
	m.journal = orders.FromSnapshot(s.Orders)
	m.ownership = ownership.FromSnapshot(s.Ownership)
	m.registry = registry.FromSnapshot(s.Registry)
	m.engines = engineorders.FromSnapshot(s.Engines)
	m.changeLog = revlog.New(CompareItems, maxTombstones)
	m.changeLog.Restore(s.Floor, m.logEntries(s.Tombstones))
	return nil
}

// logEntries rebuilds the change log from the present items and the
// tombstones.
func (m *Machine) logEntries(tombstones []tombstone) []revlog.Entry[Item] {
	entries := make([]revlog.Entry[Item], 0, m.table.Len()+len(tombstones))
	for _, ref := range m.table.Refs() {
		row, _ := m.table.Row(ref.Sheet, ref.Key)
		entries = append(entries, revlog.Entry[Item]{Revision: row.Revision, Item: rowItem(ref)})
	}
	for _, session := range m.ownership.Sessions() {
		entries = append(entries, revlog.Entry[Item]{Revision: session.Revision, Item: sessionItem(session.ID)})
	}
	for _, assignment := range m.ownership.Assignments() {
		entries = append(entries, revlog.Entry[Item]{Revision: assignment.Revision, Item: assignmentItem(assignment.Upstream)})
	}
	for _, descriptor := range m.registry.All() {
		entries = append(entries, revlog.Entry[Item]{Revision: descriptor.Revision, Item: descriptorItem(descriptor.ID)})
	}
	for _, item := range tombstones {
		entries = append(entries, revlog.Entry[Item]{Revision: item.Revision, Item: item.Item, Gone: true})
	}
	return entries
}
