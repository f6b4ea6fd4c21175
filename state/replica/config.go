package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/consensus"
	"endiveplank/coordination/consensus/repair"
	"endiveplank/protocol"
	"endiveplank/state/disk"
)

// Transport carries messages between members.
type Transport interface {
	// Send sends a message without blocking. Messages may be lost, delayed,
	// duplicated or reordered.
	Send(to protocol.RouterID, m consensus.Message)
}

// StateMachine holds the state that the log's commands change. One goroutine
// alone calls its methods. If other goroutines read the state, the state machine
// needs a lock of its own.
type StateMachine interface {
	// Apply applies a committed command. The result must depend only on this
	// command and the commands before it.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot encodes the whole state. Nothing commits while it runs, so it
	// must take much less than the election timeout.
	Snapshot() []byte
	// Restore replaces the state with an encoded one. An error stops the member.
	Restore(data []byte) error
}

// Config is the configuration of a member. Self, Peers, Disk, Transport, Machine
// and Random are required.
type Config struct {
	// Self is the router that this member runs on.
	Self protocol.RouterID
	// Peers are all routers with a disk, including Self. With Open they are only
	// the routers to contact first: Self need not be among them, and SetPeers
	// replaces them.
	Peers []protocol.RouterID
	// Open lets routers with a disk join that are not in Peers, see
	// consensus.Settings.
	Open bool
	// InitialVoters are the voters that form a new cluster, see
	// consensus.Settings.
	InitialVoters []protocol.RouterID
	// Disk is the data folder of the log.
	Disk      disk.Disk
	Transport Transport
	Machine   StateMachine
	// Random is used by the member alone after New is called.
	Random *rand.Rand
	// Consensus may set timings and limits. New overwrites its Self, Peers, Open
	// and InitialVoters with the values of this Config.
	Consensus consensus.Settings
	// Repair configures when a voter is replaced. Voters 0 means the number of
	// InitialVoters.
	Repair repair.Settings
	// SnapshotEvery is the minimum number of entries between two snapshots. The
	// commands since the last snapshot must also be as large as that snapshot.
	SnapshotEvery uint64
	// SegmentBytes is the size of a log segment. 0 means the default of wal.
	SegmentBytes int64
	// Now is a monotonic clock. nil means the clock of the process.
	Now func() time.Duration
	// Ticks triggers the ticks of the core. nil means a ticker of TickInterval.
	Ticks <-chan time.Time
	// OnApplied is called by the loop after each applied command. Optional.
	OnApplied func(index uint64)
	// OnLeaderChange is called when the known leader changes. leader is "" if no
	// leader is known. Optional.
	OnLeaderChange func(leader protocol.RouterID, term uint64)
	// OnEvent is called for each event of the consensus core. Optional.
	OnEvent func(consensus.Event)
	// OnFailed is called once if the member stops because of a failure. Optional.
	OnFailed func(error)
}

// Defaults of Config.
const (
	// DefaultSnapshotEvery bounds the number of entries to replay after a
	// restart.
	DefaultSnapshotEvery = 10_000
	// TickInterval is a fifth of the default heartbeat interval.
	TickInterval = 50 * time.Millisecond
)

// entryOverhead is the size of an entry in the log without its data, in bytes.
const entryOverhead = 22

// Limits of the loop's input queue.
const (
	// inputQueueSize is the capacity of the queue for inputs that arrive during
	// one sync: some thousands of proposals at the highest rate that a disk's
	// syncs allow. If the queue is full, messages are dropped, as a network might
	// do, and their senders repeat them.
	inputQueueSize = 4096
	// batchLimit bounds the inputs of one sync, so that a burst of inputs doesn't
	// delay heartbeats.
	batchLimit = 1024
)

// withDefaults returns the Config with defaults for optional fields. It returns an
// error if a required field is missing or a router isn't among the peers.
func (c Config) withDefaults() (Config, error) {
	if c.Self == "" || len(c.Peers) == 0 || c.Disk == nil || c.Transport == nil || c.Machine == nil || c.Random == nil {
		return c, eris.New("replica: Self, Peers, Disk, Transport, Machine and Random are required")
	}
	if err := c.checkPeers(); err != nil {
		return c, err
	}
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = DefaultSnapshotEvery
	}
	if c.Repair.Voters == 0 {
		c.Repair.Voters = len(c.InitialVoters)
	}
	if c.Now == nil {
		start := time.Now()
		c.Now = func() time.Duration { return time.Since(start) }
	}
	return c, nil
}

// checkPeers returns an error if Self or an initial voter is missing in Peers,
// because the other members would not know it.
func (c Config) checkPeers() error {
	if c.Open {
		return nil
	}
	for _, router := range append([]protocol.RouterID{c.Self}, c.InitialVoters...) {
		if !slices.Contains(c.Peers, router) {
			return eris.Errorf("replica: router %q is not among the peers %q", router, c.Peers)
		}
	}
	return nil
}

// ErrNotLeader means that another member is the leader, or that there is none.
type ErrNotLeader = consensus.ErrNotLeader

// ErrBusy means that too many entries wait for a quorum.
type ErrBusy = consensus.ErrBusy

// ErrLostLeadership means that this member lost leadership before the command was
// committed. The command may be committed later or never.
type ErrLostLeadership struct {
	Leader protocol.RouterID
}

// Error implements error.
func (e ErrLostLeadership) Error() string {
	return "replica: leadership was lost; whether the command is committed is unknown"
}

// ErrStopped means that the member was stopped.
type ErrStopped struct{}

// Error implements error.
func (ErrStopped) Error() string {
	return "replica: stopped"
}

// ErrDiskFailed means that the member stopped because its disk failed or was
// full. Waiting commands may be committed later or never.
type ErrDiskFailed struct {
	Cause error
}

// Error implements error.
func (e ErrDiskFailed) Error() string {
	return fmt.Sprintf("replica: the disk failed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e ErrDiskFailed) Unwrap() error {
	return e.Cause
}
