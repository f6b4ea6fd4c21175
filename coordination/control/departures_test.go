package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// departing is a disk VM to which an upstream says that it leaves, and other disk VMs that follow it.
type departing struct {
	t      *testing.T
	roster *roster.Roster
	*Publisher
	others []protocol.RouterID
}

// newDeparting returns one of some disk VMs that bear a number of losses.
func newDeparting(t *testing.T, vms, losses int) *departing {
	d := &departing{t: t, roster: roster.New(roster.DefaultSettings())}
	d.Publisher = NewPublisher(d.roster, 375_000)
	d.SetDurability("vm1", losses)
	all := []protocol.RouterID{"vm1"}
	for i := 2; i <= vms; i++ {
		id := protocol.RouterID(fmt.Sprint("vm", i))
		all, d.others = append(all, id), append(d.others, id)
		d.HandleWatch(0, id, Watch{})
	}
	d.SetDiskVMs(all)
	d.HandleWatch(0, "r1", Watch{Router: true})
	d.roster.RecordAnnouncement(0, ready("u1", 1))
	d.NoteChange("u1")
	return d
}

func ready(id protocol.UpstreamID, sequence uint64) roster.Entry {
	return roster.Entry{ID: id, Address: string("10.0.0.1:" + id), State: roster.Ready, Sequence: sequence}
}

// drain takes the upstream's announcement that it drains.
func (d *departing) drain(sequence uint64) bool {
	was := d.roster.IsLeaving("u1")
	e := ready("u1", sequence)
	e.State = roster.Draining
	if d.roster.RecordAnnouncement(0, e) {
		d.NoteChange("u1")
	}
	return d.NoteDeparture("u1", was)
}

// push sends what is due, and returns the number of the message to each process.
func (d *departing) push(now time.Duration) map[protocol.RouterID]uint64 {
	numbers := map[protocol.RouterID]uint64{}
	for _, m := range d.PushChanges(now) {
		numbers[m.To] = m.Body.(Changes).Number
	}
	return numbers
}

// Guards: the only disk VM that knows that an upstream leaves says so to the upstream, loses power,
// and the upstream gets requests until it ends.
func TestDepartureIsConfirmedOnceItOutlivesTheLossesThatAreBorne(t *testing.T) {
	for _, c := range []struct{ vms, losses, required int }{{1, 2, 1}, {2, 2, 1}, {3, 2, 2}, {4, 2, 2}, {5, 2, 3}, {6, 2, 3}, {7, 2, 3}, {7, 3, 4}, {5, 1, 2}} {
		d := newDeparting(t, c.vms, c.losses)
		assert.Assert(t, !d.drain(2))
		numbers := d.push(0)
		for _, id := range d.others[:c.required-1] {
			assert.Assert(t, !d.DepartureConfirmed("u1"), "%+v", c)
			d.HandleChangesAck(id, ChangesAck{Number: numbers[id]})
			d.HandleChangesAck("r1", ChangesAck{Number: numbers["r1"]})
		}
		assert.Assert(t, !d.DepartureConfirmed("u1"), "it isn't on this VM's disk: %+v", c)
		d.DeparturesStored([]protocol.UpstreamID{"u1"})
		assert.Assert(t, d.DepartureConfirmed("u1"), "%+v", c)
	}
}

// Guards: a disk VM whose own disk is full or slow can't confirm anything, though enough others can.
func TestDepartureNeedsNoParticularDisk(t *testing.T) {
	d := newDeparting(t, 5, 2)
	d.drain(2)
	numbers := d.push(0)
	for _, id := range d.others[:3] {
		d.HandleChangesAck(id, ChangesAck{Number: numbers[id]})
	}
	assert.Assert(t, d.DepartureConfirmed("u1"))
}

// Guards: the acknowledgement of an earlier change of an upstream is taken for that of its departure.
func TestAcknowledgementOfAnEarlierChangeConfirmsNothing(t *testing.T) {
	d := newDeparting(t, 5, 2)
	before := d.push(0)
	d.drain(2)
	for _, id := range d.others {
		d.HandleChangesAck(id, ChangesAck{Number: before[id]})
	}
	d.push(0)
	for _, id := range d.others {
		d.HandleChangesAck(id, ChangesAck{Number: before[id]})
	}
	d.DeparturesStored([]protocol.UpstreamID{"u1"})
	assert.Assert(t, !d.DepartureConfirmed("u1"))
}

// Guards: each announcement of an upstream that drains is sent to everybody and written to all disks.
func TestConfirmedDepartureCostsNothingMore(t *testing.T) {
	d := newDeparting(t, 1, 0)
	assert.Assert(t, !d.drain(2))
	d.DeparturesStored([]protocol.UpstreamID{"u1"})
	assert.Assert(t, d.DepartureConfirmed("u1"))
	d.push(0)
	assert.Assert(t, d.drain(3))
	d.roster.Leave(0, "u1", 0, 4)
	assert.Assert(t, d.NoteDeparture("u1", true), "whoever has it on disk that it drains sends it nothing")
	assert.Equal(t, len(d.push(0)), 0)
	assert.Equal(t, len(d.departures), 0)
}

// Guards: an upstream that takes back that it drains is sent nothing, or one that drains again is
// confirmed by what was stored the first time.
func TestDepartureThatWasTakenBackIsConfirmedAnew(t *testing.T) {
	d := newDeparting(t, 1, 0)
	d.drain(2)
	d.DeparturesStored([]protocol.UpstreamID{"u1"})
	assert.Assert(t, d.DepartureConfirmed("u1"))
	d.roster.RecordAnnouncement(0, ready("u1", 3))
	assert.Assert(t, d.DepartureConfirmed("u1"), "nothing is to confirm")
	assert.Assert(t, !d.drain(4))
	assert.Assert(t, !d.DepartureConfirmed("u1"))
}

// Guards: an upstream whose notice wasn't confirmed sends it again, and it is never sent to the disk
// VMs that had missed it.
func TestUnconfirmedDepartureIsSentAgainWithTheNextNotice(t *testing.T) {
	d := newDeparting(t, 3, 2)
	d.drain(2)
	d.push(0)
	assert.Assert(t, !d.drain(3))
	numbers := d.push(0)
	d.HandleChangesAck("vm2", ChangesAck{Number: numbers["vm2"]})
	d.HandleChangesAck("vm3", ChangesAck{Number: numbers["vm3"]})
	assert.Assert(t, d.DepartureConfirmed("u1"))
}

// Guards: an upstream waits for an answer that can't come, as most disk VMs are known to be lost.
func TestDepartureThatCannotBeConfirmedIsKnownAtOnce(t *testing.T) {
	d := newDeparting(t, 5, 2)
	assert.Assert(t, d.MayConfirmDepartures(nil))
	assert.Assert(t, d.MayConfirmDepartures([]protocol.RouterID{"vm2", "vm3", "a former one"}))
	assert.Assert(t, !d.MayConfirmDepartures([]protocol.RouterID{"vm2", "vm3", "vm4"}))
}

// Guards: a router confirms that an upstream leaves, as the upstream repeats a notice that no disk VM
// has acknowledged.
func TestRouterRepeatsNoConfirmationThatItDoesNotHave(t *testing.T) {
	w := newWorld(3)
	w.startListeners(1)
	w.run(2 * time.Second)
	r := w.routers["r0"]
	draining := ready("u1", 1)
	draining.State = roster.Draining
	var number uint64
	for sequence := range uint64(2) {
		draining.Sequence = sequence + 1
		known, forwarded, waits := r.HandleAnnouncement(w.now, draining)
		assert.Assert(t, !known && waits, "announcement %d", sequence+1)
		number = forwarded
	}
	r.sendForwards(w.now)
	r.HandleAnnouncementsAck(number)
	draining.Sequence++
	known, _, waits := r.HandleAnnouncement(w.now, draining)
	assert.Assert(t, known && !waits)
}
