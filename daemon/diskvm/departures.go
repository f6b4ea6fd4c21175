package diskvm

import (
	"context"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"endiveplank/coordination/control"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

const (
	// departureTimeout is how long an upstream's notice that it leaves waits until enough disk VMs
	// have it on disk. It is shorter than the second after which the upstream asks elsewhere.
	departureTimeout = 800 * time.Millisecond
	// departureWriteInterval is the least time between two writes of the notices.
	departureWriteInterval = 50 * time.Millisecond
	// departureRetryInterval is after what time a write that hasn't succeeded is tried again.
	departureRetryInterval = 300 * time.Millisecond
	// maxHeldAcks bounds the acknowledgements that wait for this VM's disk. A disk VM whose
	// acknowledgement is dropped sends its changes again.
	maxHeldAcks = 256
)

// departures are the notices of upstreams that leave which wait for disks.
type departures struct {
	// unsaved are the notices that the saved roster doesn't have. Those up to the revision queued
	// were last queued for writing, at queuedAt.
	unsaved  *roster.Unsaved
	queued   uint64
	queuedAt time.Duration
	// waiting are the calls that wait until notices are confirmed.
	waiting []*departureWait
	// held are the acknowledgements that wait until notices are on this VM's disk.
	held []heldAck
}

// departureWait waits until the notices of some upstreams are confirmed.
type departureWait struct {
	ids []protocol.UpstreamID
	// until is when it is given up.
	until time.Duration
	// ended is called once.
	ended func(confirmed bool)
}

// heldAck is an acknowledgement that may be sent once the notices up to a revision are on disk.
type heldAck struct {
	revision uint64
	message  control.Message
}

// Outcomes of an upstream's notice that it leaves.
const (
	departureConfirmed   = "confirmed"
	departureUnconfirmed = "unconfirmed"
	// departureRefused: too few disk VMs answer this one.
	departureRefused = "refused"
)

// noteDeparture processes the notice of an upstream that leaves, which the roster has. It returns a
// function that waits until enough disk VMs have it on disk and reports whether they do. The lock is
// held.
func (vm *VM) noteDeparture(now time.Duration, id protocol.UpstreamID, wasLeaving bool) func(context.Context) bool {
	if vm.publisher.NoteDeparture(id, wasLeaving) {
		return func(context.Context) bool { return true }
	}
	vm.spreadDepartures(now, []protocol.UpstreamID{id})
	if !vm.publisher.MayConfirmDepartures(vm.follower.LostDiskVMs(now)) {
		vm.logDeparture(id, departureRefused, 0)
		return func(context.Context) bool { return false }
	}
	result := make(chan bool, 1)
	vm.awaitDepartures(now, []protocol.UpstreamID{id}, func(confirmed bool) { result <- confirmed })
	return func(ctx context.Context) bool {
		select {
		case confirmed := <-result:
			return confirmed
		case <-ctx.Done():
		case <-vm.quit:
		}
		return false
	}
}

// spreadDepartures sends notices to the followers at once and queues them for this VM's disk. The
// lock is held.
func (vm *VM) spreadDepartures(now time.Duration, ids []protocol.UpstreamID) {
	if revision := vm.addUnsaved(now, ids); vm.departures.unsaved.IsSaved(revision) {
		vm.publisher.DeparturesStored(ids)
	}
	vm.saveDepartures(now)
	vm.fabric.SendAll(vm.publisher.PushChanges(now))
}

// addUnsaved adds the notices of some upstreams to those that have to be on disk, and returns the
// revision from which on they are. The lock is held.
func (vm *VM) addUnsaved(now time.Duration, ids []protocol.UpstreamID) uint64 {
	revision := uint64(0)
	for _, id := range ids {
		if e, known := vm.roster.Entry(id); known && e.State != roster.Ready {
			revision = max(revision, vm.departures.unsaved.Add(now, e))
		}
	}
	return revision
}

// awaitDepartures calls ended once the notices of some upstreams are confirmed, or departureTimeout
// has passed. The lock is held.
func (vm *VM) awaitDepartures(now time.Duration, ids []protocol.UpstreamID, ended func(confirmed bool)) {
	vm.departures.waiting = append(vm.departures.waiting, &departureWait{ids: ids, until: now + departureTimeout, ended: ended})
	vm.endDepartureWaits(now)
}

// endDepartureWaits ends the waits whose notices are confirmed, and those that are overdue. The lock
// is held.
func (vm *VM) endDepartureWaits(now time.Duration) {
	vm.departures.waiting = slices.DeleteFunc(vm.departures.waiting, func(w *departureWait) bool {
		w.ids = slices.DeleteFunc(w.ids, func(id protocol.UpstreamID) bool {
			confirmed := vm.publisher.DepartureConfirmed(id)
			if confirmed {
				vm.logDeparture(id, departureConfirmed, departureTimeout-(w.until-now))
			}
			return confirmed
		})
		if len(w.ids) > 0 && now < w.until {
			return false
		}
		for _, id := range w.ids {
			vm.logDeparture(id, departureUnconfirmed, departureTimeout)
		}
		w.ended(len(w.ids) == 0)
		return true
	})
}

// logDeparture writes a line with the outcome of an upstream's notice, and counts it.
func (vm *VM) logDeparture(id protocol.UpstreamID, outcome string, waited time.Duration) {
	metrics.GetOrRegisterCounter("departures_total."+outcome, vm.registry).Inc(1)
	e, _ := vm.roster.Entry(id)
	holders, required := vm.publisher.DepartureHolders(id)
	vm.log.Info().Str("event", "departure").Str("upstream", string(id)).Int64("born", e.StartedAt).Stringer("state", e.State).
		Str("outcome", outcome).Int("holders", holders).Int("required", required).Int64("waited_ms", waited.Milliseconds()).Send()
}

// handleChanges takes another disk VM's changes. It acknowledges notices of upstreams that leave
// only once they are on this VM's disk. The lock is held.
func (vm *VM) handleChanges(now time.Duration, from protocol.RouterID, c control.Changes) {
	ack, leaving, due := vm.follower.HandleDiskVMChanges(now, from, c)
	if !due {
		return
	}
	revision := vm.addUnsaved(now, leaving)
	if vm.departures.unsaved.IsSaved(revision) {
		vm.fabric.Send(ack.To, ack.Body)
		return
	}
	held := append(vm.departures.held, heldAck{revision: revision, message: ack})
	vm.departures.held = held[max(len(held)-maxHeldAcks, 0):]
	vm.saveDepartures(now)
}

// handleAnnouncements takes announcements that a router forwards. It acknowledges those of upstreams
// that leave once they are confirmed. The lock is held.
func (vm *VM) handleAnnouncements(now time.Duration, from protocol.RouterID, a control.Announcements) {
	ack, changed, leaving := vm.publisher.HandleAnnouncements(now, from, a)
	for _, id := range changed {
		vm.logUpstream(id)
	}
	if len(leaving) == 0 {
		vm.fabric.Send(ack.To, ack.Body)
		return
	}
	vm.spreadDepartures(now, leaving)
	vm.awaitDepartures(now, leaving, func(confirmed bool) {
		if confirmed {
			vm.fabric.Send(ack.To, ack.Body)
		}
	})
}

// saveDepartures queues the notices that aren't on disk for writing. The lock is held.
func (vm *VM) saveDepartures(now time.Duration) {
	d := &vm.departures
	if d.unsaved.AllSaved() || d.queued == d.unsaved.Revision() && now-d.queuedAt < departureRetryInterval {
		return
	}
	d.queued, d.queuedAt = d.unsaved.Revision(), now
	revision := d.queued
	vm.saved.departures.queue(codec.Marshal(d.unsaved.Entries(now)), func() {
		vm.departuresWritten(func() []protocol.UpstreamID { return d.unsaved.Saved(revision) })
	})
}

// departuresWritten records that notices are on this VM's disk, sends the acknowledgements that waited
// for it, and ends the waits of those that are confirmed by it. written is called with the lock held
// and returns the upstreams whose notices weren't on disk before.
func (vm *VM) departuresWritten(written func() []protocol.UpstreamID) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.publisher.DeparturesStored(written())
	d := &vm.departures
	d.held = slices.DeleteFunc(d.held, func(h heldAck) bool {
		saved := d.unsaved.IsSaved(h.revision)
		if saved {
			vm.fabric.Send(h.message.To, h.message.Body)
		}
		return saved
	})
	vm.endDepartureWaits(vm.now())
}

// tickDepartures writes again what couldn't be written, and ends overdue waits. The lock is held.
func (vm *VM) tickDepartures(now time.Duration) {
	vm.saveDepartures(now)
	vm.endDepartureWaits(now)
}

// restoreDepartures takes the notices that this VM had on disk before its restart.
func (vm *VM) restoreDepartures(content []byte) {
	var entries []roster.Entry
	if err := codec.Unmarshal(content, &entries); err != nil {
		vm.logNotRestored(vm.saved.departures, err)
		return
	}
	for _, e := range entries {
		vm.roster.Merge(vm.now(), e)
	}
	vm.log.Info().Str("event", "departures-restored").Int("upstreams", len(entries)).Send()
}
