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
	// Send hands a message over without waiting. It may be lost, delayed,
	// doubled or reordered.
	Send(to protocol.RouterID, m consensus.Message)
}

// StateMachine is what the log drives. Its methods are called by one goroutine
// only; readers elsewhere need the machine's own lock.
type StateMachine interface {
	// Apply carries out a committed command. It must depend on nothing but
	// the commands before it.
	Apply(index uint64, command []byte) (result []byte)
	// Snapshot encodes the whole state. Nothing commits while it runs: keep
	// it well under the election timeout.
	Snapshot() []byte
	// Restore replaces the state by an encoded one; an error stops the member.
	Restore(data []byte) error
}

// Config says how a member runs. Self, Peers, InitialVoters, Disk, Transport,
// Machine and Random are required.
type Config struct {
	Self protocol.RouterID
	// Peers are all routers with a disk, Self included. With Open they are
	// those to ask first, Self need not be among them, and SetContacts changes
	// them.
	Peers []protocol.RouterID
	// Open takes in routers with a disk that nobody has listed; see
	// consensus.Settings.
	Open bool
	// InitialVoters are those that form a new cluster.
	InitialVoters []protocol.RouterID
	Disk          disk.Disk
	Transport     Transport
	Machine       StateMachine
	// Random is used by the member alone from New on.
	Random *rand.Rand
	// Consensus may set timings and limits; Self, Peers and InitialVoters in
	// it are filled from here.
	Consensus consensus.Settings
	// Repair says when a voter is replaced. Voters 0 means as many as
	// InitialVoters.
	Repair repair.Settings
	// SnapshotEvery is the least number of entries between two snapshots. The
	// commands since must also be as large as the last snapshot.
	SnapshotEvery uint64
	// SegmentBytes is the size of a log segment; 0 means the log's default.
	SegmentBytes int64
	// Now is a monotonic clock; nil means the process's own.
	Now func() time.Duration
	// Ticks lets time pass; nil means a ticker of TickInterval.
	Ticks <-chan time.Time
	// OnApplied is called after each applied command, by the loop. Optional.
	OnApplied func(index uint64)
	// OnLeaderChange is called when the known leader changes; "" is none.
	OnLeaderChange func(leader protocol.RouterID, term uint64)
	// OnEvent is called for each explained decision. Optional.
	OnEvent func(consensus.Event)
	// OnFailed is called once if the member stops by itself. Optional.
	OnFailed func(error)
}

// Defaults of Config.
const (
	// DefaultSnapshotEvery bounds the replay after a restart.
	DefaultSnapshotEvery = 10_000
	// TickInterval is a fifth of the default heartbeat interval.
	TickInterval = 50 * time.Millisecond
)

// entryOverhead is the fixed part of an entry in the log, in bytes.
const entryOverhead = 22

// Limits of the queues in front of the loop.
const (
	// inputQueue holds the inputs that gather during one sync: some
	// thousands of proposals at the highest rate a disk's sync allows.
	// Messages beyond it are dropped, as a network would, and sent again.
	inputQueue = 4096
	// batchLimit bounds the inputs of one sync, so that a flood does not
	// keep heartbeats waiting.
	batchLimit = 1024
)

// withDefaults fills optional fields and checks required ones.
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

// checkPeers finds routers that the others would not know.
func (c Config) checkPeers() error {
	if c.Open {
		return nil
	}
	for _, router := range append([]protocol.RouterID{c.Self}, c.InitialVoters...) {
		if !slices.Contains(c.Peers, router) {
			return eris.Errorf("replica: %s is not among the peers", router)
		}
	}
	return nil
}

// ErrNotLeader means that another member leads, or none.
type ErrNotLeader = consensus.ErrNotLeader

// ErrBusy means that too many entries wait for a quorum.
type ErrBusy = consensus.ErrBusy

// ErrLostLeadership means that leadership ended while the command waited. It
// may be committed later or never.
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
// full. Whether waiting commands are committed is unknown.
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
