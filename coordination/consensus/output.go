package consensus

import (
	"fmt"

	"endiveplank/protocol"
)

// Output is the work that results from the inputs of a member. The driver may
// send Messages at once. It must persist Snapshot, HardState and Entries in
// this order, sync, and only then send AfterSync and call Persisted(Sequence).
// It restores Snapshot into the state machine first and then applies the
// Committed entries in order.
type Output struct {
	// Sequence counts the outputs that have something to persist.
	Sequence uint64
	// Snapshot was received from the leader. It replaces the state machine and
	// the whole log.
	Snapshot *Snapshot
	// HardState is nil if it has not changed.
	HardState *HardState
	// Entries replace the log from Entries[0].Index on.
	Entries   []Entry
	Messages  []Message
	AfterSync []Message
	Committed []Entry
	// Reads are the read requests that may be served once the state machine has
	// applied their index.
	Reads  []Read
	Events []Event
}

// MustSync reports whether anything has to be persisted.
func (o Output) MustSync() bool {
	return o.Snapshot != nil || o.HardState != nil || len(o.Entries) > 0
}

// Read is the result of a ReadIndex request.
type Read struct {
	ID uint64
	// Index must be applied before the read. It has no meaning if Lost is set.
	Index uint64
	// Lost means that leadership ended before a quorum confirmed it.
	Lost bool
}

// EventKind is the type of an event.
type EventKind string

// The events of a member.
const (
	EventBecameLeader         EventKind = "became-leader"
	EventBecameCandidate      EventKind = "became-candidate"
	EventSteppedDown          EventKind = "stepped-down"
	EventFollowsLeader        EventKind = "follows-leader"
	EventVoteGranted          EventKind = "vote-granted"
	EventVoteRefused          EventKind = "vote-refused"
	EventConfigurationChanged EventKind = "configuration-changed"
	EventSnapshotStarted      EventKind = "snapshot-started"
	EventSnapshotReceived     EventKind = "snapshot-received"
	EventEntriesReplaced      EventKind = "entries-replaced"
	EventClusterFormed        EventKind = "cluster-formed"
	EventSuperseded           EventKind = "superseded"
	EventTransfersLeadership  EventKind = "hands-over"
)

// Event is a decision of a member and its reason.
type Event struct {
	Kind EventKind
	Term uint64
	// Member is the other member that the event is about, or zero.
	Member Member
	Reason string
}

// ErrNotLeader means that this member cannot accept the request. Leader is
// empty if no leader is known.
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

// ErrBusy means that the uncommitted entries of the leader have reached their
// limit.
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
	return "consensus: an earlier membership change, or the first entry of this leader, is not committed yet"
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
