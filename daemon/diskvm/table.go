package diskvm

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/control"
	"endiveplank/coordination/document"
	"endiveplank/protocol"
	"endiveplank/state/replica"
)

const (
	// leaderPatience bounds one question to the leader: a slow sync on a
	// quorum of disks and a whole table over a small VM's link.
	leaderPatience = 500 * time.Millisecond
	// retryPause is the time between two tries while no leader is known.
	retryPause = 20 * time.Millisecond
)

// ErrUnavailable means that no quorum could be reached in time. A change may be
// accepted or not; sending it again shows.
var ErrUnavailable = eris.New("diskvm: no quorum of disk VMs could be reached in time")

// PutTable makes a document the table in force, if its version is the highest.
// It returns when that is on a quorum of disks. Errors: those of
// Options.CheckTable, which mean that the table is invalid; ErrUnavailable.
func (vm *VM) PutTable(ctx context.Context, version uint64, body []byte) (document.Outcome, error) {
	if err := vm.options.CheckTable(version, body); err != nil {
		vm.countPut("invalid")
		return 0, err
	}
	next := document.New(version, body)
	whole := false
	for ctx.Err() == nil {
		outcome := vm.tryPut(ctx, next, whole)
		if outcome != 0 && outcome != document.OtherBase {
			vm.countPut(outcome.String())
			vm.log.Info().Str("event", "table-put").Uint64("version", version).Stringer("outcome", outcome).Send()
			return outcome, nil
		}
		whole = whole || outcome == document.OtherBase
		if outcome == 0 {
			pause(ctx, retryPause)
		}
	}
	vm.countPut("unanswered")
	vm.log.Warn().Str("event", "table-put-unanswered").Uint64("version", version).Str("leader", string(vm.leaderNow())).Send()
	return 0, ErrUnavailable
}

// tryPut makes one try. What is committed here answers without the leader; 0
// means that nothing is known. whole sends all of the table and not what differs.
func (vm *VM) tryPut(ctx context.Context, next *document.Document, whole bool) document.Outcome {
	inForce, _ := vm.machine.InForce()
	if outcome := document.DecidePut(inForce, next.Version, next.Digest); outcome != document.Accepted {
		return outcome
	}
	leader := vm.leaderNow()
	if leader == "" {
		return 0
	}
	if leader == vm.options.Settings.Self() {
		return vm.putAsLeader(ctx, next)
	}
	if whole {
		inForce = nil
	}
	change := document.MakeChange(inForce, next)
	ctx, cancel := context.WithTimeout(ctx, leaderPatience)
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

// leaderNow returns the leader that this member knows, "" for none.
func (vm *VM) leaderNow() protocol.RouterID {
	member := vm.member.Load()
	if member == nil {
		return ""
	}
	return member.Leader()
}

// putAsLeader has a table committed. Changes go through one at a time, each made
// from the table that the one before it has left.
func (vm *VM) putAsLeader(ctx context.Context, next *document.Document) document.Outcome {
	vm.putting.Lock()
	defer vm.putting.Unlock()
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

// answerPut does another disk VM's put as the leader.
func (vm *VM) answerPut(from protocol.RouterID, put control.Put) {
	ctx, cancel := context.WithTimeout(context.Background(), leaderPatience)
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

// ReadTable returns the table in force, nil if none was ever accepted. Error:
// ErrUnavailable, where this VM can't be sure which one is the newest.
func (vm *VM) ReadTable(ctx context.Context) (*document.Document, error) {
	for ctx.Err() == nil {
		version, known := vm.newestVersion(ctx)
		if !known {
			pause(ctx, retryPause)
			continue
		}
		if found, held := vm.await(ctx, version); held {
			vm.log.Info().Str("event", "table-read").Uint64("version", version).Str("leader", string(vm.leaderNow())).Send()
			return found, nil
		}
	}
	vm.log.Warn().Str("event", "table-read-unanswered").Str("leader", string(vm.leaderNow())).Send()
	return nil, ErrUnavailable
}

// newestVersion asks the leader which version is in force.
func (vm *VM) newestVersion(ctx context.Context) (uint64, bool) {
	leader := vm.leaderNow()
	if leader == "" {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, leaderPatience)
	defer cancel()
	if leader == vm.options.Settings.Self() {
		return vm.confirmedVersion(ctx)
	}
	reply, err := call[control.ReadReply](ctx, &vm.calls, func(number uint64) {
		vm.fabric.Send(leader, control.Read{Call: number})
	})
	if err != nil {
		vm.log.Warn().Str("event", "leader-silent").Str("leader", string(leader)).Err(err).Send()
		return 0, false
	}
	return reply.Version, reply.Known
}

// confirmedVersion returns the version in force after a quorum has confirmed
// that this VM leads.
func (vm *VM) confirmedVersion(ctx context.Context) (uint64, bool) {
	member := vm.member.Load()
	if member == nil {
		return 0, false
	}
	if err := member.Barrier(ctx); err != nil {
		vm.logUnconfirmed(err)
		return 0, false
	}
	inForce, _ := vm.machine.InForce()
	if inForce == nil {
		return 0, true
	}
	return inForce.Version, true
}

// logUnconfirmed says why a read wasn't confirmed, but for a member that simply
// doesn't lead.
func (vm *VM) logUnconfirmed(err error) {
	if _, follows := err.(replica.ErrNotLeader); !follows {
		vm.log.Warn().Str("event", "read-not-confirmed").Err(err).Send()
	}
}

// answerRead answers another disk VM's read as the leader.
func (vm *VM) answerRead(from protocol.RouterID, read control.Read) {
	ctx, cancel := context.WithTimeout(context.Background(), leaderPatience)
	defer cancel()
	version, known := vm.confirmedVersion(ctx)
	vm.fabric.Send(from, control.ReadReply{Call: read.Call, Known: known, Version: version})
}

// await waits until a version, or a higher one, has been applied here.
func (vm *VM) await(ctx context.Context, version uint64) (*document.Document, bool) {
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

// pause waits, but not beyond the context.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
