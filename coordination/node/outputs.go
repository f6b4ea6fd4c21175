package node

import (
	"time"

	"endiveplank/coordination/crashes"
	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/protocol/wire"
)

// Output is an action that the driver must carry out.
type Output interface{ output() }

// Send sends a message to a peer. All messages of the data path are Reliable.
type Send struct {
	To       protocol.RouterID
	Kind     wire.Kind
	Payload  any
	Reliable bool
}

// Broadcast sends a notice of a crash or quarantine to every other router, which
// receives it as a PeerQuarantineNotice. The driver chooses the transport, and a
// router may receive the same notice twice.
type Broadcast struct{ Notice quarantine.Notice }

// BroadcastPart tells every other router of a part of prompts that is quarantined, as a
// PeerPartQuarantine. A router may receive it twice.
type BroadcastPart struct{ Quarantine crashes.Quarantine }

// CallUpstream starts an HTTP call to an upstream. The driver returns the answer
// as UpstreamChunk inputs and one UpstreamEnd.
type CallUpstream struct {
	Attempt fleet.Attempt
	Address string
	Place   fleet.Place
}

// CancelUpstream cancels a call. The driver need not send an UpstreamEnd for it.
type CancelUpstream struct{ Attempt fleet.Attempt }

// ProbeUpstream checks whether an upstream accepts connections. The driver
// returns an UpstreamProbed.
type ProbeUpstream struct {
	Upstream protocol.UpstreamID
	Address  string
}

// AnswerHead starts the answer to a caller with its status and headers.
type AnswerHead struct {
	Request protocol.RequestID
	Status  int
	Headers []fleet.Header
	Outcome protocol.RunOutcome
}

// AnswerChunk adds data to the answer.
type AnswerChunk struct {
	Request protocol.RequestID
	Index   int
	Data    []byte
}

// AnswerEnd ends the answer. Broken means that the answer has begun and can't
// be completed; the driver must make that visible to the caller.
type AnswerEnd struct {
	Request protocol.RequestID
	Broken  bool
	Reason  reason.Code
}

// AnswerError sends an error to a caller whose answer has not begun.
type AnswerError struct {
	Request protocol.RequestID
	Status  int
	Reason  reason.Code
	// Detail is an explanation for humans.
	Detail     string
	Outcome    protocol.RunOutcome
	RetryAfter time.Duration
}

// JournalFlow identifies the flow of an order that a journal command belongs to.
type JournalFlow struct {
	Attempt fleet.Attempt
	// Owner is true for the owner's flow of an attempt and false for the entry
	// router's flow of the request.
	Owner bool
}

// Journal proposes a command to the journal of orders. The driver returns a
// JournalResult.
type Journal struct {
	Flow    JournalFlow
	Command orders.Command
}

// RegisterUpstream proposes to write an upstream's announcement to the
// replicated state.
type RegisterUpstream struct{ Announcement upstreamapi.Announcement }

// RemoveUpstream proposes to remove an upstream from the replicated state.
type RemoveUpstream struct {
	Upstream    protocol.UpstreamID
	Incarnation uint64
	Reason      reason.Code
}

// OrderEngine sends an order to an engine, unless the request is read-only, and
// then reads the engine's state. The driver returns exactly one EngineAnswered.
// The driver must send nothing at or after NotAfter, because this router may no
// longer own the engine then.
type OrderEngine struct {
	From     protocol.RouterID
	Request  engineorders.Request
	Address  string
	NotAfter time.Duration
}

// ReplyIssuer sends the reply to a request to the issuer, which may run on this
// router.
type ReplyIssuer struct {
	To    protocol.RouterID
	Reply engineorders.Reply
}

// Event records a decision and its reason, for operators.
type Event struct {
	Request  protocol.RequestID
	Attempt  uint32
	Customer protocol.CustomerID
	Upstream protocol.UpstreamID
	Router   protocol.RouterID
	// Kind names the decision, for example placed, spilled, queued, refused,
	// attempt-failed, ended, answered or removed.
	Kind   string
	Reason reason.Code
	// Detail holds the numbers or the explanation behind the decision.
	Detail string
}

func (Send) output()             {}
func (Broadcast) output()        {}
func (BroadcastPart) output()    {}
func (CallUpstream) output()     {}
func (CancelUpstream) output()   {}
func (ProbeUpstream) output()    {}
func (AnswerHead) output()       {}
func (AnswerChunk) output()      {}
func (AnswerEnd) output()        {}
func (AnswerError) output()      {}
func (Journal) output()          {}
func (RegisterUpstream) output() {}
func (RemoveUpstream) output()   {}
func (OrderEngine) output()      {}
func (ReplyIssuer) output()      {}
func (Event) output()            {}
