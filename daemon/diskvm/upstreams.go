package diskvm

import (
	"endiveplank/coordination/roster"
	"endiveplank/daemon/loglines"
	"endiveplank/protocol"
)

// Announce processes an upstream's announcement. It returns the IP:port to which the
// upstream should send the next ones, "" for any disk VM.
func (vm *VM) Announce(e roster.Entry) string {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := vm.now()
	if vm.roster.RecordAnnouncement(now, e) {
		vm.logUpstream(e.ID)
		vm.publisher.NoteChange(e.ID)
	}
	return vm.publisher.AnnounceAt(now, e)
}

// Leave notes that an upstream has left. startedAt and sequence are 0 if the upstream doesn't
// send them.
func (vm *VM) Leave(id protocol.UpstreamID, startedAt int64, sequence uint64) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := vm.now()
	if !vm.roster.Leave(now, id, startedAt, sequence) {
		return
	}
	vm.logUpstream(id)
	vm.publisher.NoteChange(id)
}

// logUpstream writes a line with the state that this VM lists for an upstream.
func (vm *VM) logUpstream(id protocol.UpstreamID) {
	e, known := vm.roster.Entry(id)
	if !known {
		return
	}
	loglines.Upstream(vm.log, e)
}
