// Package fleetstate is the replicated state machine of the fleet. Consensus
// gives every voter the same commands in the same order, and Machine applies
// them.
//
// Machine consists of parts: the operators' table (package table), the journal
// of orders (package orders), router sessions and the ownership of upstreams
// (package ownership), the registered upstreams (package registry) and the
// orders to engines (package engineorders). It passes each command to its part
// and records which rows, sessions, assignments and descriptors changed at
// which revision. A revision is a log index.
//
// Routers do not vote. Each keeps a View: the rows, sessions, assignments and
// descriptors as of one revision. Deltas (Machine.DeltaSince) update the view.
// They carry only the changes, in chunks of bounded size. A View applies the
// chunks of a delta only when it has all of them, so it never mixes two
// revisions and never goes back.
//
// The package guards against two failures. A command that cannot be decoded
// (because of a bug, a newer version or random bytes) gives the same typed
// result on every voter and changes nothing. Applying one index twice would
// duplicate orders and rows; it means that an invariant of consensus is
// broken, so Machine panics.
//
// The package reads no clock and does not depend on the iteration order of
// maps. Commands carry the times that it needs.
package fleetstate

import (
	"fmt"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/registry"
	"endiveplank/coordination/revlog"
	"endiveplank/coordination/table"
	"endiveplank/protocol"
)

// maxTombstones bounds how many removals are remembered. With three days of
// 3,600 changes each, all of them deletions, a router that was away for a
// weekend can still catch up by deltas.
const maxTombstones = 10_000

// Settings are the initial settings of an empty state. Every voter must start
// with the same ones. A Configure command changes them later.
type Settings struct {
	Orders orders.Settings
}

// DefaultSettings returns the settings of a deployment that gives none.
func DefaultSettings() Settings {
	return Settings{Orders: orders.DefaultSettings()}
}

// Machine is the state machine. It is not safe for concurrent use: its driver
// applies, reads and snapshots from one goroutine.
type Machine struct {
	index     uint64
	table     *table.Table
	journal   *orders.Journal
	ownership *ownership.State
	registry  *registry.State
	engines   *engineorders.State
	changeLog *revlog.Log[Item]
}

// New returns an empty state machine.
func New(settings Settings) *Machine {
	return &Machine{
		table:     table.New(),
		journal:   orders.NewJournal(settings.Orders),
		ownership: ownership.NewState(),
		registry:  registry.NewState(),
		engines:   engineorders.NewState(),
		changeLog: revlog.New(CompareItems, maxTombstones),
	}
}

// Index returns the log index of the last applied command.
func (m *Machine) Index() uint64 { return m.index }

// Revision returns the log index of the last command that changed what routers
// receive.
func (m *Machine) Revision() uint64 { return m.changeLog.Revision() }

// Table returns the operators' table. Callers must only read it.
func (m *Machine) Table() *table.Table { return m.table }

// Orders returns the journal of orders. Callers must only read it.
func (m *Machine) Orders() *orders.Journal { return m.journal }

// Ownership returns the sessions and assignments. Callers must only read them.
func (m *Machine) Ownership() *ownership.State { return m.ownership }

// Registry returns the registered upstreams. Callers must only read them.
func (m *Machine) Registry() *registry.State { return m.registry }

// Engines returns the orders to engines. Callers must only read them.
func (m *Machine) Engines() *engineorders.State { return m.engines }

// Apply runs the command at a log index and returns its encoded Result.
// Indexes must increase. Consensus may skip some, which hold entries of its
// own.
func (m *Machine) Apply(index uint64, encoded []byte) []byte {
	if index <= m.index {
		panic(fmt.Sprintf("fleetstate: index %d applied after %d", index, m.index))
	}
	m.index = index
	command, err := DecodeCommand(encoded)
	if err != nil {
		return Result{Outcome: Malformed, Index: index}.encode()
	}
	result := m.applyCommand(index, command)
	result.Outcome = Ran
	result.Index = index
	return result.encode()
}

func (m *Machine) applyCommand(index uint64, command Command) Result {
	switch {
	case command.Change != nil:
		answer, touched := m.table.Apply(index, *command.Change)
		m.recordRows(index, touched)
		return Result{Change: &answer}
	case command.Configure != nil:
		result := m.journal.Configure(*command.Configure)
		return Result{Order: &result}
	case command.Order != nil:
		result := m.journal.Apply(*command.Order, m.isOpen)
		return Result{Order: &result}
	case command.Register != nil:
		answer, changed := m.registry.Register(index, *command.Register)
		m.recordDescriptor(index, command.Register.Descriptor.ID, changed, false)
		return Result{Registry: &answer}
	case command.Remove != nil:
		answer, changed := m.registry.Remove(*command.Remove)
		m.recordDescriptor(index, command.Remove.ID, changed, true)
		if changed {
			m.engines.Remove(command.Remove.ID)
		}
		return Result{Registry: &answer}
	case command.Engine != nil:
		answer := m.engines.Apply(index, *command.Engine)
		return Result{Engine: &answer}
	}
	answer, touched := m.applyOwnership(index, command)
	m.recordOwnership(index, touched)
	return Result{Ownership: &answer}
}

func (m *Machine) applyOwnership(index uint64, command Command) (ownership.Answer, []ownership.Change) {
	switch {
	case command.Open != nil:
		return m.ownership.Open(index, *command.Open)
	case command.Stop != nil:
		return m.ownership.Stop(index, *command.Stop)
	case command.Close != nil:
		m.journal.SessionClosed(command.Close.Session)
		return m.ownership.Close(index, *command.Close)
	case command.Assign != nil:
		return m.ownership.Assign(index, *command.Assign)
	case command.Move != nil:
		return m.ownership.Move(index, *command.Move)
	case command.Release != nil:
		return m.ownership.Release(index, *command.Release)
	case command.Forget != nil:
		return m.ownership.Forget(*command.Forget)
	}
	panic("fleetstate: a decoded command holds no request")
}

func (m *Machine) isOpen(id ownership.SessionID) bool {
	_, ok := m.ownership.Session(id)
	return ok
}

func (m *Machine) recordDescriptor(index uint64, id protocol.UpstreamID, changed, gone bool) {
	if !changed {
		return
	}
	m.changeLog.Record([]revlog.Entry[Item]{{Revision: index, Item: descriptorItem(id), Gone: gone}})
}

func (m *Machine) recordRows(index uint64, touched []table.ChangedRow) {
	changes := make([]revlog.Entry[Item], 0, len(touched))
	for _, row := range touched {
		changes = append(changes, revlog.Entry[Item]{Revision: index, Item: rowItem(row.Ref), Gone: row.Deleted})
	}
	m.changeLog.Record(changes)
}

func (m *Machine) recordOwnership(index uint64, touched []ownership.Change) {
	changes := make([]revlog.Entry[Item], 0, len(touched))
	for _, t := range touched {
		item := assignmentItem(t.Upstream)
		if t.Session != ownership.NoSession {
			item = sessionItem(t.Session)
		}
		changes = append(changes, revlog.Entry[Item]{Revision: index, Item: item, Gone: t.Removed})
	}
	m.changeLog.Record(changes)
}

func rowItem(ref table.RowRef) Item {
	return Item{Kind: KindRow, Sheet: ref.Sheet, Key: ref.Key}
}

func sessionItem(id ownership.SessionID) Item {
	return Item{Kind: KindSession, Session: id}
}

func assignmentItem(upstream protocol.UpstreamID) Item {
	return Item{Kind: KindAssignment, Key: string(upstream)}
}

func descriptorItem(upstream protocol.UpstreamID) Item {
	return Item{Kind: KindDescriptor, Key: string(upstream)}
}
