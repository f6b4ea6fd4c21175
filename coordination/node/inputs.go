package node

import (
	"time"

	"endiveplank/coordination/crashes"
	"endiveplank/coordination/engineorders"
	"endiveplank/coordination/limits"
	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/orders"
	"endiveplank/coordination/ownership"
	"endiveplank/coordination/quarantine"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
)

// Input is something that happened. All inputs are plain values, so that a
// recorded list of them can be replayed.
type Input interface{ input() }

// CallerRequest is a caller's request. The driver has read the complete body
// and hashed the bearer key.
type CallerRequest struct {
	ID protocol.RequestID
	// KeyHash is the SHA-256 of the bearer key. HasKey is false when the caller
	// sent no key.
	KeyHash [32]byte
	HasKey  bool
	Method  string
	// Path is the path as received, with the query string.
	Path    string
	Headers []fleet.Header
	Body    []byte
	// Chat is set when the path is that of the chat API and the body could be
	// parsed.
	Chat *chat.Request
	// ChatError says why the body of a chat request could not be parsed.
	ChatError string
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	// BodyDigest identifies the body: the first 8 bytes of its SHA-256.
	BodyDigest uint64
}

// CallerGone says that a caller closed its connection or reads its answer too
// slowly.
type CallerGone struct{ ID protocol.RequestID }

// PeerPlace, PeerPlaceReply, PeerChunk, PeerEnd and PeerCancel are messages of
// the data path from a peer.
type (
	PeerPlace struct {
		From  protocol.RouterID
		Place fleet.Place
	}
	PeerPlaceReply struct {
		From  protocol.RouterID
		Reply fleet.PlaceReply
	}
	PeerChunk struct {
		From  protocol.RouterID
		Chunk fleet.Chunk
	}
	PeerEnd struct {
		From protocol.RouterID
		End  fleet.End
	}
	PeerCancel struct {
		From   protocol.RouterID
		Cancel fleet.Cancel
	}
)

// PeerAttemptCheck asks this router, as an owner, whether it still has an
// attempt.
type PeerAttemptCheck struct {
	From  protocol.RouterID
	Check fleet.AttemptCheck
}

// PeerAttemptAlive says that the owner still has an attempt.
type PeerAttemptAlive struct{ Alive fleet.AttemptAlive }

// PeerChatMoved tells the owner of a chat's first choice on which other
// upstream the chat ran.
type PeerChatMoved struct{ Moved fleet.ChatMoved }

// PeerLoadTotals carries the load of the upstreams that other routers own.
type PeerLoadTotals struct {
	From    protocol.RouterID
	Summary loadbound.Summary
}

// PeerCreditRequest asks this router for credit of customers whose limits it
// manages. It is the home of these customers.
type PeerCreditRequest struct {
	From    protocol.RouterID
	Request limits.CreditRequest
}

// PeerCreditGrant carries credit from the home of customers, the router that
// manages their limits.
type PeerCreditGrant struct{ Grant limits.CreditGrant }

// PeerQuarantineNotice carries a notice of a crash or a quarantine.
type PeerQuarantineNotice struct{ Notice quarantine.Notice }

// QuarantinesRead asks another router what is quarantined.
type QuarantinesRead struct{}

// Quarantines is what is quarantined.
type Quarantines struct {
	Requests []quarantine.Notice  `msgpack:"r"`
	Parts    []crashes.Quarantine `msgpack:"p"`
}

// PeerCrash reports the crash of an engine, PeerSuspects asks which parts of prompts were answered
// here, and PeerSound answers that.
type (
	PeerCrash    struct{ Crash crashes.Crash }
	PeerSuspects struct {
		From     protocol.RouterID
		Suspects crashes.Suspects
	}
	PeerSound struct {
		From  protocol.RouterID
		Sound crashes.Sound
	}
)

// PeerPartQuarantine says that a part of prompts is quarantined.
type PeerPartQuarantine struct{ Quarantine crashes.Quarantine }

// PeerQuarantinesRead asks this router what is quarantined, and PeerQuarantines answers that.
type (
	PeerQuarantinesRead struct{ From protocol.RouterID }
	PeerQuarantines     struct{ Quarantines Quarantines }
)

// LiftQuarantine is an operator's command that lets a quarantined request run
// again.
type LiftQuarantine struct{ Digest quarantine.Digest }

// UpstreamProbed is the result of a ProbeUpstream.
type UpstreamProbed struct {
	Upstream protocol.UpstreamID
	// Reachable means that the upstream accepts connections.
	Reachable bool
}

// PeerLost says that a peer is unreachable.
type PeerLost struct{ Peer protocol.RouterID }

// UpstreamChunk is a chunk of an upstream's answer.
type UpstreamChunk struct{ Chunk fleet.Chunk }

// UpstreamEnd is the end of an upstream call.
type UpstreamEnd struct {
	Attempt fleet.Attempt
	// Complete means that the answer ended as its protocol prescribes.
	Complete bool
	// Sent is false only if no byte of the request can have reached the
	// upstream.
	Sent bool
	// Status is the upstream's HTTP status, or 0 without an answer.
	Status int
	// RetryAfter is for how long the upstream wants no further requests from this router, 0 if
	// it doesn't say.
	RetryAfter time.Duration
	// CachedTokens is the number of prompt tokens that the engine reported as
	// taken from its cache.
	CachedTokens int
	// TooLong means that the call was ended here because the upstream sent more bytes than are
	// accepted.
	TooLong bool
}

// UpstreamAnnounced is an upstream's announcement, received from the upstream
// or from a peer.
type UpstreamAnnounced struct {
	Announcement upstreamapi.Announcement
	// Forwarded means that a peer received the announcement and passed it on.
	Forwarded bool
}

// UpstreamLeaving says that an upstream has announced that it leaves.
type UpstreamLeaving struct {
	Leave     upstreamapi.Leave
	Forwarded bool
}

// ViewChanged carries the configuration that is now in force on this router.
type ViewChanged struct{ View *View }

// LeaseChanged says until when this router's lease is valid. Until is zero once
// the session is closed.
type LeaseChanged struct {
	Until   time.Duration
	Session ownership.SessionID
}

// OrderReport is an owner's message to the entry router about one attempt of an
// order.
type OrderReport struct {
	Attempt fleet.Attempt     `msgpack:"a"`
	Kind    orders.ReportKind `msgpack:"k"`
	Record  *orders.Record    `msgpack:"r,omitempty"`
	// Body is the body of the answer if it is too large for the journal.
	Body []byte `msgpack:"b,omitempty"`
}

// PeerOrderReport carries an OrderReport from a peer.
type PeerOrderReport struct {
	From   protocol.RouterID
	Report OrderReport
}

// JournalResult is the result of a Journal output.
type JournalResult struct {
	Flow JournalFlow
	Op   orders.Op
	// Failed means that no result arrived. The command may or may not take
	// effect.
	Failed bool
	Result orders.Result
}

// PeerEngineRequest asks this router, as the owner of an engine, to pass an order
// to the engine or to read the engine's state.
type PeerEngineRequest struct {
	From    protocol.RouterID
	Request engineorders.Request
}

// EngineAnswered is the result of an OrderEngine. Status is the engine's HTTP
// status for the order, or 0 if no order was sent or no answer arrived. State is
// nil if it was not read.
type EngineAnswered struct {
	From    protocol.RouterID
	Request engineorders.Request
	Status  int
	State   *upstreamapi.EngineState
}

// Tick says that time has passed. The driver sends one every TickInterval.
type Tick struct{}

// TickInterval is the interval at which the driver sends Tick. The node acts on
// a deadline at most this long after it.
const TickInterval = 50 * time.Millisecond

// Drain starts a planned stop: this router reports that it is not ready. With
// Refuse it also refuses new requests and admits no more work to its upstreams.
type Drain struct{ Refuse bool }

func (CallerRequest) input()        {}
func (CallerGone) input()           {}
func (PeerPlace) input()            {}
func (PeerPlaceReply) input()       {}
func (PeerChunk) input()            {}
func (PeerEnd) input()              {}
func (PeerCancel) input()           {}
func (PeerChatMoved) input()        {}
func (PeerLoadTotals) input()       {}
func (PeerQuarantineNotice) input() {}
func (PeerOrderReport) input()      {}
func (PeerLost) input()             {}
func (UpstreamChunk) input()        {}
func (UpstreamEnd) input()          {}
func (UpstreamProbed) input()       {}
func (UpstreamAnnounced) input()    {}
func (UpstreamLeaving) input()      {}
func (ViewChanged) input()          {}
func (LeaseChanged) input()         {}
func (JournalResult) input()        {}
func (PeerEngineRequest) input()    {}
func (EngineAnswered) input()       {}
func (Tick) input()                 {}
func (Drain) input()                {}
func (PeerCreditRequest) input()    {}
func (PeerCreditGrant) input()      {}
func (PeerAttemptCheck) input()     {}
func (PeerAttemptAlive) input()     {}

func (LiftQuarantine) input()      {}
func (PeerCrash) input()           {}
func (PeerSuspects) input()        {}
func (PeerSound) input()           {}
func (PeerPartQuarantine) input()  {}
func (PeerQuarantinesRead) input() {}
func (PeerQuarantines) input()     {}
