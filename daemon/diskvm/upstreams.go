package diskvm

import (
	"context"

	"endiveplank/coordination/roster"
	"endiveplank/daemon/loglines"
	"endiveplank/protocol"
)

// Announce processes an upstream's announcement. It returns the IP:port to which the
// upstream should send the next ones, "" for any disk VM. If the upstream drains, Announce returns
// once enough disk VMs have that on disk, and false if they don't in time: then the upstream may
// get requests until it announces that again.
func (vm *VM) Announce(ctx context.Context, e roster.Entry) (next string, confirmed bool) {
	next, confirm := vm.recordAnnouncement(e)
	return next, confirm(ctx)
}

func (vm *VM) recordAnnouncement(e roster.Entry) (next string, confirm func(context.Context) bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := vm.now()
	wasLeaving := vm.roster.IsLeaving(e.ID)
	if vm.roster.RecordAnnouncement(now, e) {
		vm.logUpstream(e.ID)
		vm.publisher.NoteChange(e.ID)
	}
	next = vm.publisher.AnnounceAt(now, e)
	if e.State == roster.Ready {
		return next, func(context.Context) bool { return true }
	}
	return next, vm.noteDeparture(now, e.ID, wasLeaving)
}

// Leave notes that an upstream has left. startedAt and sequence are 0 if the upstream doesn't
// send them. It returns once enough disk VMs have that on disk, and false if they don't in time:
// then the upstream may get requests until it sends that again.
func (vm *VM) Leave(ctx context.Context, id protocol.UpstreamID, startedAt int64, sequence uint64) (confirmed bool) {
	return vm.recordLeave(id, startedAt, sequence)(ctx)
}

func (vm *VM) recordLeave(id protocol.UpstreamID, startedAt int64, sequence uint64) (confirm func(context.Context) bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := vm.now()
	wasLeaving := vm.roster.IsLeaving(id)
	if vm.roster.Leave(now, id, startedAt, sequence) {
		vm.logUpstream(id)
		vm.publisher.NoteChange(id)
	}
	return vm.noteDeparture(now, id, wasLeaving)
}

// logUpstream writes a line with the state that this VM lists for an upstream.
func (vm *VM) logUpstream(id protocol.UpstreamID) {
	e, known := vm.roster.Entry(id)
	if !known {
		return
	}
	loglines.Upstream(vm.log, e)
}
