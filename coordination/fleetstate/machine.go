// Package fleetstate is the fleet's one replicated state machine. Consensus
// gives every voter the same commands in the same order; Machine applies them.
//
// It is put together from parts: the operators' table (package table), the
// journal of orders (package orders), router sessions with the ownership of
// upstreams (package ownership), what is known of upstreams (package registry)
// and the orders to engines (package engineorders). Machine routes each command to
// its part and notes which rows, sessions and assignments changed at which
// revision. A revision is a log index.
//
// Routers do not vote. Each keeps a View: rows, sessions and assignments as of
// one revision. It is fed by deltas (Machine.DeltaSince), which carry only
// what changed, in chunks of bounded size, and View takes a delta in only when
// it is whole, so it is never a mixture of two revisions and never goes back.
//
// What it guards against: a command that cannot be decoded (a bug, a newer
// version, random bytes) gives a typed result on every voter alike and changes
// nothing. Applying the same index twice would double orders and rows; it is a
// broken invariant of consensus and stops the process with a message.
//
// Nothing here reads a clock or depends on the order of a map. Times come in
// as data.
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

// maxTombstones bounds the remembered removals. Three days of 3,600 changes,
// all deletions, still leave a router that was away for a weekend able to
// catch up by delta.
const maxTombstones = 10_000

// Settings that an empty state begins with. Every voter must begin with the
// same ones; later they are changed by a Configure command.
type Settings struct {
	Orders orders.Settings
}

// DefaultSettings returns the settings of a deployment that gives none.
func DefaultSettings() Settings {
	return Settings{Orders: orders.DefaultSettings()}
}

// Machine is the state machine. It is not safe for concurrent use; its driver
// applies, reads and snapshots from one goroutine.
type Machine struct {
	index     uint64
	table     *table.Table
	journal   *orders.Journal
	ownership *ownership.State
	registry  *registry.State
	engines   *engineorders.State
	log       *revlog.Log[Item]
}

// New returns the empty state.
func New(settings Settings) *Machine {
	return &Machine{
		table:     table.New(),
		journal:   orders.NewJournal(settings.Orders),
		ownership: ownership.NewState(),
		registry:  registry.NewState(),
		engines:   engineorders.NewState(),
		log:       revlog.New(CompareItems, maxTombstones),
	}
}

// Index returns the log index of the last applied command.
func (m *Machine) Index() uint64 { return m.index }

// Revision returns the log index of the last command that changed what
// routers see.
func (m *Machine) Revision() uint64 { return m.log.Revision() }

// Table returns the operators' table, for reading.
func (m *Machine) Table() *table.Table { return m.table }

// Orders returns the journal, for reading.
func (m *Machine) Orders() *orders.Journal { return m.journal }

// Ownership returns sessions and assignments, for reading.
func (m *Machine) Ownership() *ownership.State { return m.ownership }

// Registry returns what is known of the upstreams, for reading.
func (m *Machine) Registry() *registry.State { return m.registry }

// Engines returns the orders to engines, for reading.
func (m *Machine) Engines() *engineorders.State { return m.engines }

// Apply runs the command at a log index and returns its encoded Result.
// Indexes must grow; consensus may leave some out (its own entries).
func (m *Machine) Apply(index uint64, encoded []byte) []byte {
	if index <= m.index {
		panic(fmt.Sprintf("fleetstate: index %d applied after %d", index, m.index))
	}
	m.index = index
	command, err := DecodeCommand(encoded)
	if err != nil {
		return Result{Outcome: Malformed, Index: index}.encode()
	}
	result := m.run(index, command)
	result.Outcome = Ran
	result.Index = index
	return result.encode()
}

func (m *Machine) run(index uint64, command Command) Result {
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
			m.engines.Removed(command.Remove.ID)
		}
		return Result{Registry: &answer}
	case command.Engine != nil:
		answer := m.engines.Apply(index, *command.Engine)
		return Result{Engine: &answer}
	}
	answer, touched := m.runOwnership(index, command)
	m.recordOwnership(index, touched)
	return Result{Ownership: &answer}
}

func (m *Machine) runOwnership(index uint64, command Command) (ownership.Answer, []ownership.Touched) {
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
	m.log.Record([]revlog.Entry[Item]{{Revision: index, Item: descriptorItem(id), Gone: gone}})
}

func (m *Machine) recordRows(index uint64, touched []table.Touched) {
	changes := make([]revlog.Entry[Item], 0, len(touched))
	for _, row := range touched {
		changes = append(changes, revlog.Entry[Item]{Revision: index, Item: rowItem(row.Ref), Gone: row.Gone})
	}
	m.log.Record(changes)
}

func (m *Machine) recordOwnership(index uint64, touched []ownership.Touched) {
	changes := make([]revlog.Entry[Item], 0, len(touched))
	for _, t := range touched {
		item := upstreamItem(t.Upstream)
		if t.Session != ownership.NoSession {
			item = sessionItem(t.Session)
		}
		changes = append(changes, revlog.Entry[Item]{Revision: index, Item: item, Gone: t.Gone})
	}
	m.log.Record(changes)
}

func rowItem(ref table.Ref) Item {
	return Item{Kind: KindRow, Sheet: ref.Sheet, Key: ref.Key}
}

func sessionItem(id ownership.SessionID) Item {
	return Item{Kind: KindSession, Session: id}
}

func upstreamItem(upstream protocol.UpstreamID) Item {
	return Item{Kind: KindAssignment, Key: string(upstream)}
}

func descriptorItem(upstream protocol.UpstreamID) Item {
	return Item{Kind: KindDescriptor, Key: string(upstream)}
}
