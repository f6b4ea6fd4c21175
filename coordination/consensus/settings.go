package consensus

import (
	"time"

	"endiveplank/protocol"
)

// Settings are the fixed parameters of a member. Zero durations and sizes are
// replaced by the defaults below.
type Settings struct {
	Self Member
	// Peers are all routers with a disk, including this one. With Open they are
	// only the routers to ask first.
	Peers []protocol.RouterID
	// Open lets routers with a disk join that nobody has listed. A member then
	// learns about the others from the log and from hellos, and only the
	// initial voters have to be blank for the cluster to form. It suits
	// platforms that give a process a few addresses and do not tell it how many
	// VMs there are.
	Open bool
	// InitialVoters are the routers that form the first configuration. They
	// matter only while all Peers are blank. Leave them out on a VM that starts
	// after the cluster has formed: if all initial voters lost their disks
	// together, they would otherwise form a second cluster.
	InitialVoters []protocol.RouterID
	// Heartbeat is the interval between messages from the leader to an idle
	// follower.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest time without a message from a leader
	// after which a voter campaigns or votes.
	ElectionTimeout time.Duration
	// ElectionSpread is the upper bound of the random time that a voter adds to
	// ElectionTimeout before it campaigns. The default, half of
	// ElectionTimeout, is hundreds of times as long as a message and a sync
	// take.
	ElectionSpread time.Duration
	// Leaseless turns the leader's lease off: reads use only ReadIndex. In
	// return a member may vote and campaign as soon as it starts, so that a
	// cluster which lost power as a whole has a leader within one round instead
	// of an election timeout later. Leases would also need a clock that keeps
	// running while a VM is suspended, and Go's monotonic clock does not.
	Leaseless bool
	// DriftPerMille bounds how much faster or slower than true time the clock
	// of a member may run, in thousandths.
	DriftPerMille int
	// MaxAppendBytes limits the size of the entries in one message.
	MaxAppendBytes int
	// MaxInFlightBytes limits the entries that are sent to a follower and not
	// yet acknowledged, so that a slow follower does not fill the memory of the
	// leader.
	MaxInFlightBytes int
	// MaxUncommittedBytes limits the entries that a leader has accepted and not
	// yet committed, so that callers are refused early when the quorum is slow.
	MaxUncommittedBytes int
	// KeepEntries is how many entries before a snapshot stay in memory, so that
	// a follower that is slightly behind needs no snapshot.
	KeepEntries uint64
	// ChunkBytes limits the size of one snapshot chunk.
	ChunkBytes int
	// SnapshotBytesPerSecond is the long-term rate limit of snapshot traffic.
	SnapshotBytesPerSecond int
	// SnapshotBurstBytes is how much unused snapshot budget can accumulate.
	SnapshotBurstBytes int
}

// Defaults. The budget for control traffic is 3 KB/s per VM. With 4 followers,
// 4 heartbeats a second of about 90 bytes each make about 1.4 KB/s, and
// snapshots may add 1 KB/s on average. An election timeout of four heartbeats
// tolerates three lost heartbeats. Clocks of VMs drift by far less than 1%.
const (
	DefaultHeartbeat              = 250 * time.Millisecond
	DefaultElectionTimeout        = time.Second
	DefaultDriftPerMille          = 10
	DefaultMaxAppendBytes         = 256 << 10
	DefaultMaxInFlightBytes       = 4 << 20
	DefaultMaxUncommittedBytes    = 16 << 20
	DefaultKeepEntries            = 1000
	DefaultChunkBytes             = 16 << 10
	DefaultSnapshotBytesPerSecond = 1 << 10
	DefaultSnapshotBurstBytes     = 1 << 20
)

// withDefaults replaces zero fields by the defaults.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Heartbeat, DefaultHeartbeat)
	setDefault(&s.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&s.ElectionSpread, s.ElectionTimeout/2)
	setDefault(&s.DriftPerMille, DefaultDriftPerMille)
	setDefault(&s.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&s.MaxInFlightBytes, DefaultMaxInFlightBytes)
	setDefault(&s.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	setDefault(&s.KeepEntries, DefaultKeepEntries)
	setDefault(&s.ChunkBytes, DefaultChunkBytes)
	setDefault(&s.SnapshotBytesPerSecond, DefaultSnapshotBytesPerSecond)
	setDefault(&s.SnapshotBurstBytes, DefaultSnapshotBurstBytes)
	return s
}

// setDefault sets a field to value if the field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// perMille is the unit of DriftPerMille.
const perMille = 1000

// leaseLength returns how long a lease lasts, counted from when the leader sent
// the message that a quorum acknowledged. With a clock drift of d and an
// election timeout of E, a follower whose clock is fast waits at least E/(1+d)
// of true time, and a lease of L on a slow clock lasts at most L/(1-d). L =
// E(1-2d) is below E(1-d)/(1+d), so the lease ends first.
func (s Settings) leaseLength() time.Duration {
	return s.ElectionTimeout * time.Duration(perMille-2*s.DriftPerMille) / perMille
}
