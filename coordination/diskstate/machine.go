// Package diskstate is the state machine that the disk VMs replicate: the document of
// package document, and the evacuations of package evacuation.
//
// A disk VM of a build without evacuations can run beside the others during an upgrade. It
// can't decode an order in the log and skips it, and its snapshots lack the orders, so
// Restore keeps the records that it already has.
package diskstate

import (
	"sync"

	"endiveplank/coordination/document"
	"endiveplank/coordination/evacuation"
	"endiveplank/protocol/codec"
)

// Machine is the replicated state machine. It is safe for concurrent use.
type Machine struct {
	*document.Machine

	mu          sync.Mutex
	evacuations evacuation.Set
	// changed is closed and replaced when an order is accepted or restored.
	changed chan struct{}
}

// NewMachine returns a Machine without a document or evacuations.
func NewMachine() *Machine {
	return &Machine{Machine: document.NewMachine(), changed: make(chan struct{})}
}

// Evacuations returns the last order of each data centre, and a channel that is closed
// when an order is accepted.
func (m *Machine) Evacuations() ([]evacuation.Record, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuations.Records(), m.changed
}

// DecideOrder returns the outcome that an order would have now.
func (m *Machine) DecideOrder(o evacuation.Order) evacuation.Outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.evacuations.Decide(o)
}

// Apply applies a committed command. The result is one byte: a document.Outcome or, for an
// order, an evacuation.Outcome.
func (m *Machine) Apply(index uint64, command []byte) []byte {
	if !evacuation.IsOrder(command) {
		return m.Machine.Apply(index, command)
	}
	return []byte{byte(m.applyOrder(command))}
}

// applyOrder applies an order. An order that can't be decoded changes nothing.
func (m *Machine) applyOrder(command []byte) evacuation.Outcome {
	o, err := evacuation.DecodeOrder(command)
	if err != nil {
		return evacuation.Overtaken
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	outcome := m.evacuations.Apply(o)
	if outcome == evacuation.Accepted {
		m.notify()
	}
	return outcome
}

// notify wakes all that wait for a change. The lock is held.
func (m *Machine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot encodes the state.
func (m *Machine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	records := m.evacuations.Records()
	if len(records) == 0 {
		return m.Machine.SnapshotWith(nil)
	}
	return m.Machine.SnapshotWith(codec.Marshal(records))
}

// Restore replaces the document by that of a snapshot, and takes over the orders that are
// newer than those held.
func (m *Machine) Restore(data []byte) error {
	added, err := document.AddedTo(data)
	if err != nil {
		return err
	}
	var records []evacuation.Record
	if len(added) > 0 {
		if err := codec.Unmarshal(added, &records); err != nil {
			return err
		}
	}
	if err := m.Machine.Restore(data); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.evacuations.Merge(records)) > 0 {
		m.notify()
	}
	return nil
}
