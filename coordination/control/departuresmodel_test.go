package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// diskModel is a fleet of disk VMs with disks, in one goroutine. Messages may be lost, and are
// delivered in any order of the pairs that exchange them.
type diskModel struct {
	random   *rand.Rand
	now      time.Duration
	losses   int
	vms      []*modelVM
	messages []modelMessage
	// lossy says that messages are lost and writes take long.
	lossy bool
}

type modelMessage struct {
	from protocol.RouterID
	Message
}

// modelVM is a disk VM. disk is what it reads after a loss of power.
type modelVM struct {
	id        protocol.RouterID
	roster    *roster.Roster
	publisher *Publisher
	follower  *Follower
	unsaved   *roster.Unsaved
	held      []heldMessage
	disk      []roster.Entry
}

// heldMessage may be sent once notices up to a revision are on disk.
type heldMessage struct {
	revision uint64
	Message
}

const modelUpstreams = 3

func newDiskModel(seed uint64, vms, losses int) *diskModel {
	m := &diskModel{random: rand.New(rand.NewPCG(seed, 3)), losses: losses}
	var known []roster.Entry
	for i := range modelUpstreams {
		known = append(known, ready(protocol.UpstreamID(fmt.Sprint("u", i)), 1))
	}
	for i := range vms {
		vm := &modelVM{id: protocol.RouterID(fmt.Sprint("vm", i)), disk: known}
		m.vms = append(m.vms, vm)
	}
	m.losePower()
	m.run(3 * time.Second)
	return m
}

// losePower starts all VMs from their disks. All messages are lost.
func (m *diskModel) losePower() {
	m.messages = nil
	for _, vm := range m.vms {
		m.start(vm)
	}
}

// start starts a VM from its disk.
func (m *diskModel) start(vm *modelVM) {
	var ids []protocol.RouterID
	for _, other := range m.vms {
		ids = append(ids, other.id)
	}
	vm.roster, vm.unsaved, vm.held = roster.New(roster.DefaultSettings()), roster.NewUnsaved(time.Minute), nil
	for _, e := range vm.disk {
		vm.roster.Merge(m.now, e)
	}
	vm.publisher = NewPublisher(vm.roster, 375_000)
	vm.publisher.SetFirstPush(m.random.Uint64())
	vm.publisher.SetDurability(vm.id, m.losses)
	vm.publisher.SetDiskVMs(ids)
	vm.follower = NewFollower(vm.id, false, ids, vm.roster)
}

func (m *diskModel) vm(id protocol.RouterID) *modelVM {
	for _, vm := range m.vms {
		if vm.id == id {
			return vm
		}
	}
	panic("no such VM")
}

func (m *diskModel) send(from protocol.RouterID, messages []Message) {
	for _, message := range messages {
		if m.lossy && m.random.IntN(4) == 0 {
			continue
		}
		m.messages = append(m.messages, modelMessage{from, message})
	}
}

// run lets time pass.
func (m *diskModel) run(d time.Duration) {
	const step = 10 * time.Millisecond
	for end := m.now + d; m.now < end; m.now += step {
		for _, vm := range m.vms {
			m.send(vm.id, vm.follower.Tick(m.now))
			m.send(vm.id, vm.publisher.PushChanges(m.now))
			m.send(vm.id, vm.publisher.SendWaiting(m.now))
			if !m.lossy || m.random.IntN(3) == 0 {
				m.write(vm)
			}
		}
		for range len(m.messages) {
			m.deliverOne()
		}
	}
}

// deliverOne delivers the first message of a random pair of processes.
func (m *diskModel) deliverOne() {
	drawn := m.messages[m.random.IntN(len(m.messages))]
	for i, first := range m.messages {
		if first.from == drawn.from && first.To == drawn.To {
			m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
			m.deliver(first)
			return
		}
	}
}

func (m *diskModel) deliver(message modelMessage) {
	vm := m.vm(message.To)
	switch body := message.Body.(type) {
	case Watch:
		m.send(vm.id, vm.publisher.HandleWatch(m.now, message.from, body))
	case Status:
		m.send(vm.id, vm.follower.HandleStatus(m.now, message.from, body))
	case List:
		vm.follower.HandleList(m.now, message.from, body)
	case ChangesAck:
		vm.publisher.HandleChangesAck(message.from, body)
	case Changes:
		if ack, leaving, due := vm.follower.HandleDiskVMChanges(m.now, message.from, body); due {
			vm.held = append(vm.held, heldMessage{vm.add(m.now, leaving), ack})
		}
	}
}

// add adds notices to those that have to be on disk.
func (vm *modelVM) add(now time.Duration, ids []protocol.UpstreamID) uint64 {
	revision := uint64(0)
	for _, id := range ids {
		if e, known := vm.roster.Entry(id); known && e.State != roster.Ready {
			revision = max(revision, vm.unsaved.Add(now, e))
		}
	}
	return revision
}

// write ends a write of the notices, and sends what waited for it.
func (m *diskModel) write(vm *modelVM) {
	vm.disk = append(vm.disk[:len(vm.disk):len(vm.disk)], vm.unsaved.Entries(m.now)...)
	vm.publisher.DeparturesStored(vm.unsaved.Saved(vm.unsaved.Revision()))
	for _, h := range vm.held {
		m.send(vm.id, []Message{h.Message})
	}
	vm.held = nil
}

// leave lets an upstream say to a VM that it leaves. It reports whether that is confirmed.
func (m *diskModel) leave(vm *modelVM, id protocol.UpstreamID) bool {
	wasLeaving := vm.roster.IsLeaving(id)
	vm.roster.Leave(m.now, id, 0, 0)
	confirmed := vm.publisher.NoteDeparture(id, wasLeaving)
	vm.add(m.now, []protocol.UpstreamID{id})
	return confirmed
}

// Guards: whatever messages and processes are lost before an upstream's notice is confirmed, and
// although all VMs lose power and as many disks are lost as are borne right then, somebody lists the
// upstream as ready.
func TestConfirmedDeparturesOutliveLossesInTheModel(t *testing.T) {
	confirmed := 0
	for seed := range uint64(400) {
		vms := 1 + int(seed%7)
		losses := min(2, (vms-1)/2)
		m := newDiskModel(seed, vms, 2)
		m.lossy = true
		var told []protocol.UpstreamID
		for i := range modelUpstreams {
			id := protocol.UpstreamID(fmt.Sprint("u", i))
			if m.leaveUntilConfirmed(id) {
				told = append(told, id)
			}
		}
		confirmed += len(told)
		for _, lost := range m.random.Perm(vms)[:losses] {
			m.vms[lost].disk = nil
		}
		m.losePower()
		m.lossy = false
		m.run(5 * time.Second)
		for _, vm := range m.vms {
			for _, id := range told {
				e, known := vm.roster.Entry(id)
				assert.Assert(t, !known || e.State != roster.Ready, "seed %d: %s lists %s as ready", seed, vm.id, id)
			}
		}
	}
	assert.Assert(t, confirmed > 900, "only %d of 1200 notices were confirmed", confirmed)
}

// leaveUntilConfirmed lets an upstream say that it leaves to one VM after the other, each of which may
// end meanwhile, until that is confirmed.
func (m *diskModel) leaveUntilConfirmed(id protocol.UpstreamID) bool {
	for range 10 {
		vm := m.vms[m.random.IntN(len(m.vms))]
		confirmed := m.leave(vm, id)
		for range 80 {
			if confirmed = confirmed || vm.publisher.DepartureConfirmed(id) && vm.roster.IsLeaving(id); confirmed {
				return true
			}
			m.run(10 * time.Millisecond)
			if m.random.IntN(200) == 0 {
				m.start(vm)
				break
			}
		}
	}
	return false
}
