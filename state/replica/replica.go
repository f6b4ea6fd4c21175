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

// Replica is a running member.
type Replica struct {
	config Config
	core   *consensus.Core
	policy repair.Policy
	log    *wal.Log

	inputs  chan func()
	stop    chan struct{}
	done    chan struct{}
	once    sync.Once
	started atomic.Bool

	// leaseUntil is the end of the lease by Config.Now, 0 if none.
	leaseUntil atomic.Int64
	status     atomic.Pointer[consensus.Status]
	// failure is why the loop ended; it is set before done is closed.
	failure error

	// What follows belongs to the loop.
	waiting     map[uint64]waiter
	barriers    map[uint64]chan error
	nextBarrier uint64
	applied     uint64
	snapshotAt  uint64
	// snapshotBytes is the size of the newest snapshot, and loggedBytes that
	// of the commands since.
	snapshotBytes int
	loggedBytes   int
	leader        protocol.RouterID
	wasLeader     bool
}

// answer is the outcome of a proposal.
type answer struct {
	result []byte
	err    error
}

// waiter is a proposal that waits for its entry.
type waiter struct {
	term  uint64
	reply chan answer
}

// New opens the log and restores the state machine from the newest snapshot.
// Errors: those of wal.Open, and of StateMachine.Restore.
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
		policy:     repair.New(config.Repair),
		core:       consensus.New(settings, stored, config.Now(), config.Random),
		inputs:     make(chan func(), inputQueue),
		stop:       make(chan struct{}),
		done:       make(chan struct{}),
		waiting:    map[uint64]waiter{},
		barriers:   map[uint64]chan error{},
		applied:    stored.Snapshot.Index,
		snapshotAt: stored.Snapshot.Index, snapshotBytes: len(stored.Snapshot.Data),
	}
	r.publish()
	return r, nil
}

// Start runs the member. Call it once.
func (r *Replica) Start() {
	r.started.Store(true)
	go r.run()
}

// Stop ends the member and waits for it. What is not committed may still be,
// by the others.
func (r *Replica) Stop() {
	r.once.Do(func() { close(r.stop) })
	if r.started.Load() {
		<-r.done
		return
	}
	_ = r.log.Close()
}

// Done is closed when the loop has ended, by Stop or by a failure.
func (r *Replica) Done() <-chan struct{} {
	return r.done
}

// Now returns the time by the member's clock.
func (r *Replica) Now() time.Duration {
	return r.config.Now()
}

// Receive takes a message from the transport. It does not wait: a message
// that finds the queue full is dropped.
func (r *Replica) Receive(m consensus.Message) {
	select {
	case r.inputs <- func() { r.core.Receive(r.config.Now(), m) }:
	default:
	}
}

// Propose has a command committed and returns what Apply answered here. See
// the package comment for the errors.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	reply := make(chan answer, 1)
	if err := r.enqueue(ctx, func() { r.propose(command, reply) }); err != nil {
		return nil, err
	}
	select {
	case a := <-reply:
		return a.result, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-r.done:
		return nil, r.ended()
	}
}

// Barrier returns when this member, as leader, has applied everything that
// was accepted anywhere before the call. Errors as for Propose.
func (r *Replica) Barrier(ctx context.Context) error {
	reply := make(chan error, 1)
	if err := r.enqueue(ctx, func() { r.barrier(reply) }); err != nil {
		return err
	}
	return r.await(ctx, reply)
}

// ChangeMembership starts a membership step; see consensus.Core. It answers
// when the step is in the log, not when it is committed.
func (r *Replica) ChangeMembership(ctx context.Context, change consensus.Change) error {
	reply := make(chan error, 1)
	input := func() { reply <- r.core.ChangeMembership(r.config.Now(), change) }
	if err := r.enqueue(ctx, input); err != nil {
		return err
	}
	return r.await(ctx, reply)
}

// SetContacts replaces the routers to ask first, with Config.Open.
func (r *Replica) SetContacts(ctx context.Context, routers []protocol.RouterID) error {
	return r.enqueue(ctx, func() { r.core.SetPeers(routers) })
}

// HandOver makes this member, if it leads, give leadership to a caught-up voter
// before a planned stop. It answers at once; leadership ends within
// milliseconds, or stays if no voter is ready within an election timeout.
// Proposals that wait are answered with ErrLostLeadership.
func (r *Replica) HandOver(ctx context.Context) error {
	reply := make(chan error, 1)
	if err := r.enqueue(ctx, func() { reply <- r.core.TransferLeadership(r.config.Now()) }); err != nil {
		return err
	}
	return r.await(ctx, reply)
}

// await waits for an answer of the loop.
func (r *Replica) await(ctx context.Context, reply <-chan error) error {
	select {
	case err := <-reply:
		return err
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return r.ended()
	}
}

// enqueue hands an input to the loop.
func (r *Replica) enqueue(ctx context.Context, input func()) error {
	select {
	case r.inputs <- input:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-r.done:
		return r.ended()
	}
}

// ended says why the loop has ended.
func (r *Replica) ended() error {
	if r.failure != nil {
		return r.failure
	}
	return ErrStopped{}
}

// Leader returns the leader, or "" if none is known.
func (r *Replica) Leader() protocol.RouterID {
	return r.Status().Leader.Router
}

// IsLeaderWithLease reports whether this member leads and no other member can
// lead at now, by the clock of Now. To read local state under the lease, read
// first, then call this with a time taken after the read.
func (r *Replica) IsLeaderWithLease(now time.Duration) bool {
	return int64(now) < r.leaseUntil.Load()
}

// Status returns a view of the member as of its last step.
func (r *Replica) Status() consensus.Status {
	return *r.status.Load()
}
