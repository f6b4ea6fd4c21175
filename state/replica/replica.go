package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/consensus"
	"endiveplank/coordination/consensus/repair"
	"endiveplank/protocol"
	"endiveplank/state/wal"
)

// Replica is one member of the replicated log.
type Replica struct {
	config Config
	core   *consensus.Core
	policy repair.Policy
	log    *wal.Log

	inputs   chan func()
	stop     chan struct{}
	done     chan struct{}
	stopOnce sync.Once
	started  atomic.Bool

	// leaseUntil is the end of the leader lease on the clock Config.Now, 0 if this
	// member holds none.
	leaseUntil atomic.Int64
	status     atomic.Pointer[consensus.Status]
	// failure is the reason why the loop ended. It is set before done is closed.
	failure error

	// Only the loop uses the following fields.
	pendingProposals map[uint64]pendingProposal
	pendingBarriers  map[uint64]chan error
	nextBarrier      uint64
	applied          uint64
	snapshotIndex    uint64
	// snapshotBytes is the size of the newest snapshot. bytesSinceSnapshot is the
	// size of the entries since then.
	snapshotBytes      int
	bytesSinceSnapshot int
	leader             protocol.RouterID
	wasLeader          bool
}

// proposalResult is the result of a proposal.
type proposalResult struct {
	result []byte
	err    error
}

// pendingProposal is a proposal whose entry isn't applied yet.
type pendingProposal struct {
	term  uint64
	reply chan proposalResult
}

// New opens the log and restores the state machine from the newest snapshot.
// Errors: those of wal.Open and StateMachine.Restore.
func New(config Config) (*Replica, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	log, stored, err := wal.Open(config.Disk, wal.Options{
		Router: config.Self, SegmentBytes: config.SegmentBytes, Random: config.Random,
	})
	if err != nil {
		return nil, err
	}
	if stored.Snapshot.Index > 0 {
		if err := config.Machine.Restore(stored.Snapshot.Data); err != nil {
			return nil, eris.Wrap(err, "replica: restore the state machine")
		}
	}
	settings := config.Consensus
	settings.Self = log.Member()
	settings.Peers = config.Peers
	settings.Open = config.Open
	settings.InitialVoters = config.InitialVoters
	r := &Replica{
		config: config, log: log,
		policy:           repair.New(config.Repair),
		core:             consensus.New(settings, stored, config.Now(), config.Random),
		inputs:           make(chan func(), inputQueueSize),
		stop:             make(chan struct{}),
		done:             make(chan struct{}),
		pendingProposals: map[uint64]pendingProposal{},
		pendingBarriers:  map[uint64]chan error{},
		applied:          stored.Snapshot.Index,
		snapshotIndex:    stored.Snapshot.Index, snapshotBytes: len(stored.Snapshot.Data),
	}
	r.publishStatus()
	return r, nil
}

// Start starts the member's loop. Call it once.
func (r *Replica) Start() {
	r.started.Store(true)
	go r.run()
}

// Stop stops the member and waits until it has ended. The other members may still
// commit proposals that are not committed yet.
func (r *Replica) Stop() {
	r.stopOnce.Do(func() { close(r.stop) })
	if r.started.Load() {
		<-r.done
		return
	}
	_ = r.log.Close()
}

// Done returns a channel that is closed when the loop has ended, because of Stop
// or of a failure.
func (r *Replica) Done() <-chan struct{} {
	return r.done
}

// Now returns the time on the member's clock.
func (r *Replica) Now() time.Duration {
	return r.config.Now()
}

// Receive takes a message from the transport. It doesn't block: if the input queue
// is full, the message is dropped.
func (r *Replica) Receive(m consensus.Message) {
	select {
	case r.inputs <- func() { r.core.Receive(r.config.Now(), m) }:
	default:
	}
}

// Propose proposes a command, waits until it is committed and applied, and returns
// the result of Apply on this member. See the package comment for the errors.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	reply := make(chan proposalResult, 1)
	if err := r.enqueue(ctx, func() { r.propose(command, reply) }); err != nil {
		return nil, err
	}
	select {
	case res := <-reply:
		return res.result, res.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, r.endError()
	}
}

// Barrier returns when this member, as leader, has applied all commands that any
// member accepted before the call. It returns the same errors as Propose.
func (r *Replica) Barrier(ctx context.Context) error {
	reply := make(chan error, 1)
	if err := r.enqueue(ctx, func() { r.barrier(reply) }); err != nil {
		return err
	}
	return r.await(ctx, reply)
}

// ChangeMembership starts a membership change, see consensus.Core. It returns when
// the change is in the log, before it is committed.
func (r *Replica) ChangeMembership(ctx context.Context, change consensus.Change) error {
	reply := make(chan error, 1)
	input := func() { reply <- r.core.ChangeMembership(r.config.Now(), change) }
	if err := r.enqueue(ctx, input); err != nil {
		return err
	}
	return r.await(ctx, reply)
}

// SetPeers replaces the routers to contact first. It has an effect only with
// Config.Open.
func (r *Replica) SetPeers(ctx context.Context, routers []protocol.RouterID) error {
	return r.enqueue(ctx, func() { r.core.SetPeers(routers) })
}

// TransferLeadership makes this member, if it is the leader, transfer leadership
// to a voter that is caught up. Call it before a planned stop. It returns without
// waiting for the transfer: leadership ends within milliseconds, or stays if no
// voter is caught up within an election timeout. Waiting proposals then fail with
// ErrLostLeadership.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	reply := make(chan error, 1)
	if err := r.enqueue(ctx, func() { reply <- r.core.TransferLeadership(r.config.Now()) }); err != nil {
		return err
	}
	return r.await(ctx, reply)
}

// Leave makes this member, before a planned stop, tell the leader that it stops, and
// transfer leadership if it is the leader. It returns without waiting for either.
func (r *Replica) Leave(ctx context.Context) error {
	return r.enqueue(ctx, func() { r.core.Leave(r.config.Now()) })
}

// await waits for a reply of the loop.
func (r *Replica) await(ctx context.Context, reply <-chan error) error {
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return r.endError()
	}
}

// enqueue adds an input to the loop's queue. It blocks while the queue is full.
func (r *Replica) enqueue(ctx context.Context, input func()) error {
	select {
	case r.inputs <- input:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return r.endError()
	}
}

// endError returns the error for calls that find the loop ended.
func (r *Replica) endError() error {
	if r.failure != nil {
		return r.failure
	}
	return ErrStopped{}
}

// Leader returns the leader's router, or "" if no leader is known.
func (r *Replica) Leader() protocol.RouterID {
	return r.Status().Leader.Router
}

// IsLeaderWithLease reports whether this member is the leader and no other member
// can be the leader at the time now, on the clock of Now. To read local state
// under the lease, read first, then call this method with a time taken after the
// read.
func (r *Replica) IsLeaderWithLease(now time.Duration) bool {
	return int64(now) < r.leaseUntil.Load()
}

// Status returns the member's status after its last step.
func (r *Replica) Status() consensus.Status {
	return *r.status.Load()
}
