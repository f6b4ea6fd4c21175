package diskvm

import (
	"time"

	"endiveplank/coordination/control"
	"endiveplank/coordination/crashes"
	"endiveplank/daemon/loglines"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// quarantines finds requests that crash upstreams, by what routers report.
type quarantines struct {
	list     *crashes.List
	contents *crashes.Record
	parts    *crashes.Detector
	// savedDigest is that of the list that was last queued to be written.
	savedDigest uint64
}

func newQuarantines(lastQuestion uint64) quarantines {
	list := crashes.NewList()
	return quarantines{list: list, contents: crashes.New(crashes.DefaultSettings()), parts: crashes.NewDetector(list, lastQuestion)}
}

// handleCrash takes a router's report. The lock is held.
func (vm *VM) handleCrash(now time.Duration, crash crashes.Crash) {
	q := &vm.quarantines
	q.parts.Report(now, crash)
	if q.contents.Note(now, crash) {
		vm.publishQuarantines(now, []crashes.Quarantine{q.list.Add(now, crashes.Content, crash.Digest)})
	}
	vm.tickQuarantines(now)
}

// tickQuarantines asks routers, quarantines what is due, and saves a changed list. The lock is held.
func (vm *VM) tickQuarantines(now time.Duration) {
	ask, found := vm.quarantines.parts.Tick(now)
	vm.publishQuarantines(now, found)
	if ask != nil {
		routers := vm.someRouters(now)
		vm.quarantines.parts.NoteAsked(*ask, len(routers))
		vm.fabric.SendEach(routers, *ask)
	}
	vm.saveQuarantines(now)
}

// publishQuarantines tells all routers what this VM has quarantined. The lock is held.
func (vm *VM) publishQuarantines(now time.Duration, found []crashes.Quarantine) {
	if len(found) == 0 {
		return
	}
	for _, q := range found {
		loglines.Quarantined(vm.log, "", q)
	}
	vm.fabric.SendAll(vm.publisher.AnnounceQuarantines(now, found))
}

// someRouters returns the routers that follow, at most crashes.MaxAskedRouters of them. The lock is held.
func (vm *VM) someRouters(now time.Duration) []protocol.RouterID {
	routers := control.IDsOf(vm.publisher.Routers(now))
	vm.options.Random.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	return routers[:min(len(routers), crashes.MaxAskedRouters)]
}

// saveQuarantines queues a changed list to be written. The lock is held.
func (vm *VM) saveQuarantines(now time.Duration) {
	q := &vm.quarantines
	if digest := q.list.Digest(); digest != q.savedDigest {
		q.savedDigest = digest
		vm.saved.quarantines.queue(codec.Marshal(q.list.Quarantines(now)), nil)
	}
}

// restoreQuarantines takes the quarantines that this VM had before its restart.
func (vm *VM) restoreQuarantines(content []byte) {
	var list []crashes.Quarantine
	if err := codec.Unmarshal(content, &list); err != nil {
		vm.logNotRestored(vm.saved.quarantines, err)
		return
	}
	vm.quarantines.list.Merge(vm.now(), list)
	vm.quarantines.savedDigest = vm.quarantines.list.Digest()
	vm.log.Info().Str("event", "quarantines-restored").Int("quarantines", len(list)).Send()
}

// logReceivedQuarantines writes a line if a router's watch has changed the list, whose digest was
// before. The lock is held.
func (vm *VM) logReceivedQuarantines(from protocol.RouterID, before uint64) {
	if list := vm.quarantines.list; list.Digest() != before {
		vm.log.Warn().Str("event", "quarantines-received").Str("from", string(from)).Int("quarantines", list.Len()).Send()
	}
}
