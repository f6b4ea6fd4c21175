package consensus

import (
	"fmt"

	"endiveplank/protocol"
)

// Output is what a member has to do after its inputs. The driver may send
// Messages at once; it must persist Snapshot, HardState and Entries in this
// order, sync, and only then send AfterSync and report Persisted(Sequence).
// Committed entries are applied in order; Snapshot is restored into the state
// machine before them.
type Output struct {
	// Sequence numbers the outputs that have something to persist.
	Sequence uint64
	// Snapshot was received from the leader and replaces the state machine
	// and the whole log.
	Snapshot *Snapshot
	// HardState is nil when unchanged.
	HardState *HardState
	// Entries replace the log from Entries[0].Index on.
	Entries   []Entry
	Messages  []Message
	AfterSync []Message
	Committed []Entry
	// Reads are the read requests that may be served once the state machine
	// has applied their index.
	Reads  []Read
	Events []Event
}

// MustSync reports whether anything has to be persisted.
func (o Output) MustSync() bool {
	return o.Snapshot != nil || o.HardState != nil || len(o.Entries) > 0
}

// Read answers a ReadIndex request.
type Read struct {
	ID uint64
	// Index must be applied before the read. It has no meaning if Lost.
	Index uint64
	// Lost says that leadership ended before a quorum confirmed it.
	Lost bool
}

// EventKind names an explained decision.
type EventKind string

// The events of a member.
const (
	EventBecameLeader     EventKind = "became-leader"
	EventBecameCandidate  EventKind = "became-candidate"
	EventSteppedDown      EventKind = "stepped-down"
	EventFollows          EventKind = "follows-leader"
	EventVoteGranted      EventKind = "vote-granted"
	EventVoteRefused      EventKind = "vote-refused"
	EventConfiguration    EventKind = "configuration-changed"
	EventSnapshotStarted  EventKind = "snapshot-started"
	EventSnapshotReceived EventKind = "snapshot-received"
	EventEntriesReplaced  EventKind = "entries-replaced"
	EventGenesis          EventKind = "cluster-formed"
	EventSuperseded       EventKind = "superseded"
	EventHandOver         EventKind = "hands-over"
)

// Event is one explained decision.
type Event struct {
	Kind EventKind
	Term uint64
	// Member is the other member concerned, or zero.
	Member Member
	Reason string
}

// ErrNotLeader means that this member cannot take the request. Leader is
// empty when none is known.
type ErrNotLeader struct {
	Leader protocol.RouterID
}

// Error implements error.
func (e ErrNotLeader) Error() string {
	if e.Leader == "" {
		return "consensus: not the leader, and no leader is known"
	}
	return fmt.Sprintf("consensus: not the leader; the leader is %s", e.Leader)
}

// ErrBusy means that the leader holds as much that is not committed as it may.
type ErrBusy struct {
	UncommittedBytes int
}

// Error implements error.
func (e ErrBusy) Error() string {
	return fmt.Sprintf("consensus: %d bytes wait for a quorum; try again later", e.UncommittedBytes)
}

// ErrChangePending means that the last membership change is not committed, or
// that the leader has not yet committed an entry of its own term.
type ErrChangePending struct{}

// Error implements error.
func (ErrChangePending) Error() string {
	return "consensus: an earlier membership change is not committed yet"
}

// ErrUnsafeChange means that a membership change would break or endanger the
// quorum.
type ErrUnsafeChange struct {
	Change Change
	Reason string
}

// Error implements error.
func (e ErrUnsafeChange) Error() string {
	return fmt.Sprintf("consensus: cannot %s %s: %s", e.Change.Kind, e.Change.Member, e.Reason)
}
