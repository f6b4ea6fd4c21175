package consensus

import (
	"time"

	"endiveplank/protocol"
)

// MessageKind says what a message asks or answers.
type MessageKind uint8

const (
	// MessageHello tells of a member that no leader serves yet.
	MessageHello MessageKind = iota + 1
	// MessageGenesis carries the first configuration to a blank member.
	MessageGenesis
	// MessagePreVote asks whether a vote would be granted.
	MessagePreVote
	// MessagePreVoteReply answers MessagePreVote.
	MessagePreVoteReply
	// MessageVote asks for a vote.
	MessageVote
	// MessageVoteReply answers MessageVote.
	MessageVoteReply
	// MessageAppend carries entries; without entries it is a heartbeat.
	MessageAppend
	// MessageAppendReply acknowledges or refuses MessageAppend.
	MessageAppendReply
	// MessageSnapshot carries one chunk of a snapshot; an empty chunk is a
	// heartbeat.
	MessageSnapshot
	// MessageSnapshotReply tells how much of a snapshot has arrived.
	MessageSnapshotReply
	// MessageHandOver asks a voter to campaign at once: the leader has given
	// up its lease.
	MessageHandOver
)

// Message is everything members say to each other. One flat struct keeps the
// encoding small; the kind says which fields are set. It goes over TCP framed
// as msgpack.
type Message struct {
	Kind MessageKind `msgpack:"k"`
	From Member      `msgpack:"f"`
	// To names router and disk, so that a message meant for a wiped disk is
	// not taken by its successor. MessageHello may leave the disk unknown.
	To   Member `msgpack:"o"`
	Term uint64 `msgpack:"t,omitempty"`
	// Epoch is HardState.Epoch of the sender.
	Epoch uint64 `msgpack:"n,omitempty"`
	// Index and LogTerm are the sender's last entry (votes), the entry before
	// Entries (append), the matched entry (append reply) or the snapshot's
	// last entry (snapshot).
	Index   uint64  `msgpack:"i,omitempty"`
	LogTerm uint64  `msgpack:"l,omitempty"`
	Entries []Entry `msgpack:"e,omitempty"`
	Commit  uint64  `msgpack:"c,omitempty"`
	// Sent is the leader's clock when it sent; replies echo it.
	Sent time.Duration `msgpack:"s,omitempty"`
	// Reject marks a refusal; Hint and HintTerm then tell the leader where
	// the logs may agree.
	Reject   bool   `msgpack:"x,omitempty"`
	Hint     uint64 `msgpack:"h,omitempty"`
	HintTerm uint64 `msgpack:"g,omitempty"`
	// Chunk is a part of a snapshot.
	Chunk *Chunk `msgpack:"p,omitempty"`
	// Configuration is set in MessageGenesis.
	Configuration *Configuration `msgpack:"v,omitempty"`
	// Forced marks a vote request after MessageHandOver.
	Forced bool `msgpack:"w,omitempty"`
	// Blank says that the sender has neither log nor snapshot.
	Blank bool `msgpack:"b,omitempty"`
	// Leader is set in MessageHello of an open cluster: the router that the
	// sender takes for the leader.
	Leader protocol.RouterID `msgpack:"d,omitempty"`
	// Answer marks a MessageHello that answers another.
	Answer bool `msgpack:"a,omitempty"`
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
