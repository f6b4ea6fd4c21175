package node

import (
	"time"

	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/protocol/wire"
)

// Output is something the driver is to do.
type Output interface{ output() }

// Send sends a message to a peer. Messages of the data path are reliable.
type Send struct {
	To       protocol.RouterID
	Kind     wire.Kind
	Payload  any
	Reliable bool
}

// Spread tells every other router of a crash or quarantine, as a PeerNotice
// there. The driver chooses how; it may reach a router twice.
type Spread struct{ Notice quarantine.Notice }

// CallUpstream starts an HTTP call. Its answer comes back as UpstreamChunk
// and one UpstreamEnd.
type CallUpstream struct {
	Attempt fleet.Attempt
	Address string
	Place   fleet.Place
}

// CancelUpstream ends a call; no UpstreamEnd is needed for it any more.
type CancelUpstream struct{ Attempt fleet.Attempt }

// ProbeUpstream asks whether an upstream takes connections; the answer is an
// UpstreamProbed.
type ProbeUpstream struct {
	Upstream protocol.UpstreamID
	Address  string
}

// AnswerHead starts the answer to a caller.
type AnswerHead struct {
	Request protocol.RequestID
	Status  int
	Headers []fleet.Header
	Outcome protocol.RunOutcome
}

// AnswerChunk adds to the answer.
type AnswerChunk struct {
	Request protocol.RequestID
	Index   int
	Data    []byte
}

// AnswerEnd closes the answer. Broken means that the answer had begun and
// can't be finished; the driver makes that visible to the caller.
type AnswerEnd struct {
	Request protocol.RequestID
	Broken  bool
	Reason  reason.Code
}

// AnswerError answers a caller whose answer had not begun.
type AnswerError struct {
	Request protocol.RequestID
	Status  int
	Reason  reason.Code
	// Detail is for people.
	Detail     string
	Outcome    protocol.RunOutcome
	RetryAfter time.Duration
}

// JournalCaller names the flow that a journal command belongs to.
type JournalCaller struct {
	Attempt fleet.Attempt
	// Owner tells the owner's flow of an attempt from the entry's.
	Owner bool
}

// Journal proposes a command to the journal of orders; its answer comes back
// as JournalResult.
type Journal struct {
	Caller  JournalCaller
	Command orders.Command
}

// RegisterUpstream proposes what an upstream announced as configuration.
type RegisterUpstream struct{ Announcement upstreamapi.Announcement }

// RemoveUpstream proposes that an upstream is gone.
type RemoveUpstream struct {
	Upstream    protocol.UpstreamID
	Incarnation uint64
	Reason      reason.Code
}

// OrderEngine sends an order to an engine, unless the ask is to read only, and
// then reads the engine's state. Exactly one EngineAnswered comes back. At
// NotAfter or later nothing may be sent: the ownership may have ended.
type OrderEngine struct {
	From     protocol.RouterID
	Request  engineorders.Request
	Address  string
	NotAfter time.Duration
}

// ReplyIssuer sends the answer to an ask back to the issuer, which may be on
// this router.
type ReplyIssuer struct {
	To    protocol.RouterID
	Reply engineorders.Reply
}

// Event explains a decision.
type Event struct {
	Request  protocol.RequestID
	Attempt  uint32
	Customer protocol.CustomerID
	Upstream protocol.UpstreamID
	Router   protocol.RouterID
	// What names the decision: placed, spilled, queued, refused, retried,
	// ended, answered, quarantined, removed.
	What   string
	Reason reason.Code
	// Detail holds the figures behind the decision.
	Detail string
}

func (Send) output()             {}
func (Spread) output()           {}
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
