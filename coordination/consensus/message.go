package consensus

import (
	"time"

	"endiveplank/protocol"
)

// MessageKind is the type of a message.
type MessageKind uint8

const (
	// MessageHello announces a member that receives no messages from a leader,
	// or replies to such a hello.
	MessageHello MessageKind = iota + 1
	// MessageBootstrap carries the first configuration to a blank member.
	MessageBootstrap
	// MessagePreVote asks whether a vote would be granted.
	MessagePreVote
	// MessagePreVoteReply replies to MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteReply replies to MessageVote.
	MessageVoteReply
	// MessageAppend carries entries; a heartbeat has none.
	MessageAppend
	// MessageAppendReply acknowledges or rejects MessageAppend.
	MessageAppendReply
	// MessageSnapshot carries one chunk of a snapshot; an empty chunk is a
	// heartbeat.
	MessageSnapshot
	// MessageSnapshotReply reports how much of a snapshot has arrived.
	MessageSnapshotReply
	// MessageTimeoutNow asks a voter to campaign at once, after the leader has
	// stepped down.
	MessageTimeoutNow
	// MessageLeaving tells the leader that the sender is about to stop, and as a
	// reply that the receiver is no longer a member.
	MessageLeaving
)

// Message is the single message type between members. One flat struct keeps the
// encoding small; Kind says which fields are set. It is sent over TCP, framed
// as msgpack.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	From Member      `msgpack:"f"`
	// To includes the disk, so that a message to a wiped disk is not accepted
	// by the disk that replaces it. In a MessageHello the disk may be unknown.
	To   Member `msgpack:"o"`
	Term uint64 `msgpack:"t,omitempty"`
	// Epoch is the HardState.Epoch of the sender.
	Epoch uint64 `msgpack:"n,omitempty"`
	// Index and LogTerm name an entry: the last of the sender (votes), the one
	// before Entries (append), the last that matches (append reply) or the last
	// one in the snapshot (snapshot).
	Index   uint64  `msgpack:"i,omitempty"`
	LogTerm uint64  `msgpack:"l,omitempty"`
	Entries []Entry `msgpack:"e,omitempty"`
	// Commit is the leader's commit index, set in a MessageAppend.
	Commit uint64 `msgpack:"c,omitempty"`
	// Sent is when the leader sent the message, by its own clock. Replies echo
	// it.
	Sent time.Duration `msgpack:"s,omitempty"`
	// Reject marks a refusal. In an append reply, Hint and HintTerm then name
	// the latest entry at which the logs may agree. In vote requests and their
	// replies, Hint is the term of the election.
	Reject   bool   `msgpack:"x,omitempty"`
	Hint     uint64 `msgpack:"h,omitempty"`
	HintTerm uint64 `msgpack:"g,omitempty"`
	// Chunk is a part of a snapshot.
	Chunk *Chunk `msgpack:"p,omitempty"`
	// Configuration is the first configuration, set in a MessageBootstrap.
	Configuration *Configuration `msgpack:"v,omitempty"`
	// Forced marks a vote request after MessageTimeoutNow. Voters grant it even
	// while they have promised the former leader not to vote.
	Forced bool `msgpack:"w,omitempty"`
	// Blank means that the sender has neither entries nor a snapshot.
	Blank bool `msgpack:"b,omitempty"`
	// Leader is set in a MessageHello of an open cluster: the router that the
	// sender considers the leader.
	Leader protocol.RouterID `msgpack:"d,omitempty"`
	// Reply marks a MessageHello or MessageLeaving that replies to another.
	Reply bool `msgpack:"a,omitempty"`
}

// Chunk is a part of an encoded snapshot.
type Chunk struct {
	// Offset is the position of Data in the snapshot, in bytes; in a reply
	// it is the number of bytes received.
	Offset uint64 `msgpack:"o"`
	// Total is the length of the whole encoded snapshot in bytes.
	Total uint64 `msgpack:"t,omitempty"`
	// Checksum is the CRC-32C of the whole encoded snapshot.
	Checksum uint32 `msgpack:"c,omitempty"`
	Data     []byte `msgpack:"d,omitempty"`
}
