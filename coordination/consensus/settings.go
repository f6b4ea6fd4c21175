package consensus

import (
	"time"

	"endiveplank/protocol"
)

// Settings are a member's fixed parameters. Zero durations and sizes take the
// defaults below.
type Settings struct {
	Self Member
	// Peers are all routers with a disk, this one included. With Open they are
	// only those to ask first.
	Peers []protocol.RouterID
	// Open lets routers with a disk join that nobody has listed. A member then
	// learns the others from the log and from hellos, and the initial voters
	// alone have to be blank for the cluster to form. It fits platforms that
	// tell a process a few addresses and not how many VMs there are.
	Open bool
	// InitialVoters are the routers that form the first configuration. They
	// matter only while every one of Peers is blank. Leave them out on a VM
	// that starts after the cluster has formed: with them, a VM that lost its
	// disk together with all other initial voters would form a second one.
	InitialVoters []protocol.RouterID
	// Heartbeat is the interval of a leader's messages to an idle follower.
	Heartbeat time.Duration
	// ElectionTimeout is the shortest time without a leader before a voter
	// campaigns or votes.
	ElectionTimeout time.Duration
	// ElectionSpread is the random part added to it before a voter campaigns:
	// by default half of it, hundreds of times a message's way and sync.
	ElectionSpread time.Duration
	// Leaseless gives up the leader's lease: reads go by ReadIndex alone. In
	// return a member that starts may vote and campaign at once, so that a
	// cluster which lost power as a whole has a leader within a round instead of
	// an election timeout later. Leases would also need a clock that goes on
	// while a VM is suspended, which Go's doesn't.
	Leaseless bool
	// DriftPerMille bounds how much faster or slower than true time a
	// member's clock may run, in thousandths.
	DriftPerMille int
	// MaxAppendBytes bounds the entries of one message.
	MaxAppendBytes int
	// MaxInFlightBytes bounds what is sent to a follower and not
	// acknowledged, so that a slow one does not fill the sender's memory.
	MaxInFlightBytes int
	// MaxUncommittedBytes bounds the entries that a leader has taken and not
	// committed, so that callers are refused early when the quorum is slow.
	MaxUncommittedBytes int
	// KeepEntries is how many entries stay in memory behind a snapshot, so
	// that a follower a little behind needs no snapshot.
	KeepEntries uint64
	// ChunkBytes bounds one chunk of a snapshot.
	ChunkBytes int
	// SnapshotBytesPerSecond bounds snapshot traffic over time.
	SnapshotBytesPerSecond int
	// SnapshotBurstBytes is how much of an unused snapshot budget is kept.
	SnapshotBurstBytes int
}

// Defaults. The control budget is 3 KB a second for a node: with 4 followers,
// 4 heartbeats a second of some 90 bytes are about 1.4 KB a second, and
// snapshots may add 1 KB a second over time. An election timeout of four
// heartbeats rides out three lost ones. Clocks of VMs drift by far less than
// 1%.
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

// withDefaults fills zero fields.
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

// setDefault stores value where the field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// perMille is the unit of DriftPerMille.
const perMille = 1000

// leaseLength returns how long after sending a heartbeat its acknowledgement
// by a quorum keeps the lease. A follower whose clock runs fast by d waits in
// true time at least E/(1+d); a lease L on a slow clock lasts at most L/(1-d).
// L = E(1-2d) is below E(1-d)/(1+d), so the lease ends first.
func (s Settings) leaseLength() time.Duration {
	return s.ElectionTimeout * time.Duration(perMille-2*s.DriftPerMille) / perMille
}
