package node

import (
	"time"

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

// Input is something that happened. Each is a plain value, so that a recorded
// list of them replays.
type Input interface{ input() }

// CallerRequest is a caller's request, its body read whole and its bearer key
// hashed by the driver.
type CallerRequest struct {
	ID protocol.RequestID
	// KeyHash is the SHA-256 of the bearer key; HasKey is false without one.
	KeyHash [32]byte
	HasKey  bool
	Method  string
	// Path is the path as called, with its query.
	Path    string
	Headers []fleet.Header
	Body    []byte
	// Chat is set when the path is the chat API and the body parsed.
	Chat *chat.Request
	// ChatError says why the body of a chat request did not parse.
	ChatError string
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	// BodyDigest identifies the body: the first 8 bytes of its SHA-256.
	BodyDigest uint64
}

// CallerGone says that a caller closed its connection or is too slow to take
// its answer.
type CallerGone struct{ ID protocol.RequestID }

// PeerPlace to PeerCancel are the data path's messages from a peer.
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

// PeerCheck asks this router, as an owner, whether it still has an attempt.
type PeerCheck struct {
	From  protocol.RouterID
	Check fleet.Check
}

// PeerAlive says that the owner still has an attempt.
type PeerAlive struct{ Alive fleet.Alive }

// PeerMoved says where a chat ran whose first choice this router owns.
type PeerMoved struct{ Moved fleet.Moved }

// PeerTotals carries the load of the upstreams that other routers own.
type PeerTotals struct {
	From    protocol.RouterID
	Summary loadbound.Summary
}

// PeerLimitAsk asks this router, as the home of customers, for credit.
type PeerLimitAsk struct {
	From protocol.RouterID
	Ask  limits.Ask
}

// PeerLimitAnswer brings credit from a home.
type PeerLimitAnswer struct{ Answer limits.Answer }

// PeerNotice carries news of crashes and quarantines.
type PeerNotice struct{ Notice quarantine.Notice }

// LiftQuarantine is an operator's order to let a request run again.
type LiftQuarantine struct{ Digest quarantine.Digest }

// UpstreamProbed answers ProbeUpstream.
type UpstreamProbed struct {
	Upstream protocol.UpstreamID
	// Reachable means that the upstream takes connections.
	Reachable bool
}

// PeerLost says that a peer can't be reached.
type PeerLost struct{ Peer protocol.RouterID }

// UpstreamChunk is a piece of an upstream's answer.
type UpstreamChunk struct{ Chunk fleet.Chunk }

// UpstreamEnd closes an upstream call.
type UpstreamEnd struct {
	Attempt fleet.Attempt
	// Complete means the answer ended as its protocol says.
	Complete bool
	// Sent is false only when no byte of the request can have reached the
	// upstream.
	Sent bool
	// Status is the upstream's HTTP status, 0 without an answer.
	Status int
	// CachedTokens is what an engine said it reused.
	CachedTokens int
}

// Announced is an upstream's announcement, from itself or through a peer.
type Announced struct {
	Announcement upstreamapi.Announcement
	// Forwarded means a peer has received and passed it on.
	Forwarded bool
}

// Leaving is an upstream's goodbye.
type Leaving struct {
	Leave     upstreamapi.Leave
	Forwarded bool
}

// ViewChanged brings the configuration that is now in force here.
type ViewChanged struct{ View *View }

// LeaseChanged says how long this router may act. Until moves back to zero
// when the session is closed.
type LeaseChanged struct {
	Until   time.Duration
	Session ownership.SessionID
}

// OrderReport is an owner's message about one attempt of an order.
type OrderReport struct {
	Attempt fleet.Attempt     `msgpack:"a"`
	Kind    orders.ReportKind `msgpack:"k"`
	Record  *orders.Record    `msgpack:"r,omitempty"`
	// Body is the answer's body when it is larger than the journal keeps.
	Body []byte `msgpack:"b,omitempty"`
}

// PeerOrderReport brings an OrderReport from a peer.
type PeerOrderReport struct {
	From   protocol.RouterID
	Report OrderReport
}

// JournalResult answers a Journal output.
type JournalResult struct {
	Caller JournalCaller
	Op     orders.Op
	// Failed means that no answer came, and the command may or may not take
	// effect.
	Failed bool
	Result orders.Result
}

// PeerEngineRequest asks this router, as the owner of an engine, to pass an order
// to it or to read its state.
type PeerEngineRequest struct {
	From    protocol.RouterID
	Request engineorders.Request
}

// EngineAnswered is the end of an OrderEngine. Status is that of the order, 0
// when none was sent or no answer came; State is nil when it wasn't read.
type EngineAnswered struct {
	From    protocol.RouterID
	Request engineorders.Request
	Status  int
	State   *upstreamapi.EngineState
}

// Tick passes time. The driver sends one each TickInterval.
type Tick struct{}

// TickInterval is how often a driver sends Tick. Deadlines are met within it.
const TickInterval = 50 * time.Millisecond

// Drain begins a planned stop: this router reports unready. With Refuse it
// also refuses new requests and takes no more work for its upstreams.
type Drain struct{ Refuse bool }

func (CallerRequest) input()     {}
func (CallerGone) input()        {}
func (PeerPlace) input()         {}
func (PeerPlaceReply) input()    {}
func (PeerChunk) input()         {}
func (PeerEnd) input()           {}
func (PeerCancel) input()        {}
func (PeerMoved) input()         {}
func (PeerTotals) input()        {}
func (PeerNotice) input()        {}
func (PeerOrderReport) input()   {}
func (PeerLost) input()          {}
func (UpstreamChunk) input()     {}
func (UpstreamEnd) input()       {}
func (UpstreamProbed) input()    {}
func (Announced) input()         {}
func (Leaving) input()           {}
func (ViewChanged) input()       {}
func (LeaseChanged) input()      {}
func (JournalResult) input()     {}
func (PeerEngineRequest) input() {}
func (EngineAnswered) input()    {}
func (Tick) input()              {}
func (Drain) input()             {}
func (PeerLimitAsk) input()      {}
func (PeerLimitAnswer) input()   {}
func (PeerCheck) input()         {}
func (PeerAlive) input()         {}

func (LiftQuarantine) input() {}
