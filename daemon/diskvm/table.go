package diskvm

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/control"
	"endiveplank/coordination/document"
	"endiveplank/coordination/evacuation"
	"endiveplank/protocol"
	"endiveplank/state/replica"
)

const (
	// leaderTimeout bounds one call to the leader: a slow sync on a quorum of disks and a
	// whole table over a small VM's link.
	leaderTimeout = 500 * time.Millisecond
	// retryDelay is the time between two attempts while no leader is known.
	retryDelay = 20 * time.Millisecond
)

// ErrUnavailable means that no quorum could be reached in time. A change may have been
// accepted or not; the caller learns which by sending it again.
var ErrUnavailable = eris.New("diskvm: no quorum of disk VMs could be reached in time")

// PutTable puts a document in force as the table, if its version is the highest. It returns
// once the document is on a quorum of disks. It returns the errors of Options.CheckTable,
// which mean that the table is invalid, and ErrUnavailable.
func (vm *VM) PutTable(ctx context.Context, version uint64, body []byte) (document.Outcome, error) {
	if err := vm.options.CheckTable(version, body); err != nil {
		vm.countPut("invalid")
		return 0, err
	}
	next := document.New(version, body)
	full := false
	for ctx.Err() == nil {
		outcome := vm.tryPut(ctx, next, full)
		if outcome != 0 && outcome != document.OtherBase {
			vm.countPut(outcome.String())
			vm.log.Info().Str("event", "table-put").Uint64("version", version).Stringer("outcome", outcome).Send()
			return outcome, nil
		}
		full = full || outcome == document.OtherBase
		if outcome == 0 {
			sleep(ctx, retryDelay)
		}
	}
	vm.countPut("unanswered")
	vm.log.Warn().Str("event", "table-put-unanswered").Uint64("version", version).Str("leader", string(vm.currentLeader())).Send()
	return 0, ErrUnavailable
}

// tryPut attempts a put once. It answers without the leader if what this VM has applied
// decides the outcome, and returns 0 if the outcome is unknown. If full is set, it sends the
// leader the whole table and not the difference.
func (vm *VM) tryPut(ctx context.Context, next *document.Document, full bool) document.Outcome {
	inForce, _ := vm.machine.InForce()
	if outcome := document.DecidePut(inForce, next.Version, next.Digest); outcome != document.Accepted {
		return outcome
	}
	leader := vm.currentLeader()
	if leader == "" {
		return 0
	}
	if leader == vm.options.Settings.Self() {
		return vm.putAsLeader(ctx, next)
	}
	if full {
		inForce = nil
	}
	change := document.MakeChange(inForce, next)
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	reply, err := call[control.PutReply](ctx, &vm.calls, func(number uint64) {
		vm.fabric.Send(leader, control.Put{Call: number, Change: change})
	})
	if err != nil {
		vm.log.Warn().Str("event", "leader-silent").Str("leader", string(leader)).Uint64("version", next.Version).Err(err).Send()
		return 0
	}
	return reply.Outcome
}

// currentLeader returns the leader that this VM's member knows, "" for none.
func (vm *VM) currentLeader() protocol.RouterID {
	member := vm.member.Load()
	if member == nil {
		return ""
	}
	return member.Leader()
}

// putAsLeader commits a table. It commits one change at a time, each computed from the table
// that the one before it has put in force.
func (vm *VM) putAsLeader(ctx context.Context, next *document.Document) document.Outcome {
	vm.putMu.Lock()
	defer vm.putMu.Unlock()
	for ctx.Err() == nil {
		inForce, _ := vm.machine.InForce()
		if outcome := document.DecidePut(inForce, next.Version, next.Digest); outcome != document.Accepted {
			return outcome
		}
		member := vm.member.Load()
		if member == nil {
			return 0
		}
		result, err := member.Propose(ctx, document.MakeChange(inForce, next).Encode())
		if err != nil {
			vm.log.Warn().Str("event", "not-committed").Uint64("version", next.Version).Err(err).Send()
			return 0
		}
		if outcome := document.Outcome(result[0]); outcome != document.OtherBase {
			return outcome
		}
	}
	return 0
}

// handlePut executes the put of another disk VM, which considers this VM the leader, and
// replies.
func (vm *VM) handlePut(from protocol.RouterID, put control.Put) {
	ctx, cancel := context.WithTimeout(context.Background(), leaderTimeout)
	defer cancel()
	inForce, _ := vm.machine.InForce()
	reply := control.PutReply{Call: put.Call, Outcome: document.OtherBase}
	if inForce != nil {
		reply.InForce = inForce.Version
	}
	if outcome := document.DecidePut(inForce, put.Change.Version, put.Change.Result); outcome != document.Accepted {
		reply.Outcome = outcome
	} else if next, err := put.Change.Apply(inForce); err == nil {
		reply.Outcome = vm.putAsLeader(ctx, next)
	}
	vm.fabric.Send(from, reply)
}

// ReadTable returns the table in force, nil if none was ever accepted. It returns
// ErrUnavailable if this VM can't confirm which table is the newest.
func (vm *VM) ReadTable(ctx context.Context) (*document.Document, error) {
	for ctx.Err() == nil {
		state, confirmed := vm.newestState(ctx)
		if !confirmed {
			sleep(ctx, retryDelay)
			continue
		}
		if found, applied := vm.awaitVersion(ctx, state.version); applied {
			vm.log.Info().Str("event", "table-read").Uint64("version", state.version).Str("leader", string(vm.currentLeader())).Send()
			return found, nil
		}
	}
	vm.log.Warn().Str("event", "table-read-unanswered").Str("leader", string(vm.currentLeader())).Send()
	return nil, ErrUnavailable
}

// confirmedState is what a leader has confirmed with a quorum: the version of the table in
// force, 0 for none, and the evacuations.
type confirmedState struct {
	version     uint64
	evacuations []evacuation.Record
}

// newestState asks the leader what is in force.
func (vm *VM) newestState(ctx context.Context) (confirmedState, bool) {
	leader := vm.currentLeader()
	if leader == "" {
		return confirmedState{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if leader == vm.options.Settings.Self() {
		return vm.stateAsLeader(ctx)
	}
	reply, err := call[control.ReadReply](ctx, &vm.calls, func(number uint64) {
		vm.fabric.Send(leader, control.Read{Call: number})
	})
	if err != nil {
		vm.log.Warn().Str("event", "leader-silent").Str("leader", string(leader)).Err(err).Send()
		return confirmedState{}, false
	}
	return confirmedState{version: reply.Version, evacuations: reply.Evacuations}, reply.Known
}

// stateAsLeader returns what is in force, after a quorum has confirmed that this VM leads.
func (vm *VM) stateAsLeader(ctx context.Context) (confirmedState, bool) {
	member := vm.member.Load()
	if member == nil {
		return confirmedState{}, false
	}
	if err := member.Barrier(ctx); err != nil {
		vm.logUnconfirmed(err)
		return confirmedState{}, false
	}
	state := confirmedState{}
	state.evacuations, _ = vm.machine.Evacuations()
	if inForce, _ := vm.machine.InForce(); inForce != nil {
		state.version = inForce.Version
	}
	return state, true
}

// logUnconfirmed logs why a read wasn't confirmed, unless this VM simply isn't the leader.
func (vm *VM) logUnconfirmed(err error) {
	if _, follows := err.(replica.ErrNotLeader); !follows {
		vm.log.Warn().Str("event", "read-not-confirmed").Err(err).Send()
	}
}

// handleRead answers the read of another disk VM, which considers this VM the leader.
func (vm *VM) handleRead(from protocol.RouterID, read control.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), leaderTimeout)
	defer cancel()
	state, confirmed := vm.stateAsLeader(ctx)
	vm.fabric.Send(from, control.ReadReply{Call: read.Call, Known: confirmed, Version: state.version, Evacuations: state.evacuations})
}

// awaitVersion waits until this VM has applied a version or a higher one, and returns the
// table. For version 0, which means that no table was ever accepted, it returns nil. False
// means that the context ended first.
func (vm *VM) awaitVersion(ctx context.Context, version uint64) (*document.Document, bool) {
	for {
		inForce, changed := vm.machine.InForce()
		if version == 0 && inForce == nil {
			return nil, true
		}
		if inForce != nil && inForce.Version >= version {
			return inForce, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
