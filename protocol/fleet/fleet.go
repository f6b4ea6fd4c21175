// Package fleet defines the messages of the data path between an entry router,
// which holds the caller's connection, and the owner of an upstream, the router
// that counts the upstream's load and sends requests to it. It also defines the
// messages by which a router proposes a command to the consensus leader.
//
// One request makes one or more attempts. The entry router sends Place. The owner
// replies with PlaceReply and, once the upstream answers, with Chunks in order
// and one End. The entry router may send Cancel at any time. An attempt number
// is never reused for the same request, so a late message of an abandoned attempt
// is recognised and dropped.
package fleet

import "endiveplank/protocol"

// Attempt identifies one attempt of one request.
type Attempt struct {
	Request protocol.RequestID `msgpack:"r"`
	Number  uint32             `msgpack:"n"`
}

// Header is one HTTP header that travels with a request or an answer.
type Header struct {
	Name  string `msgpack:"n"`
	Value string `msgpack:"v"`
}

// Link is one prefix of a chat, see chat.Link.
type Link struct {
	Hash   uint64 `msgpack:"h"`
	Tokens int    `msgpack:"t"`
}

// Place asks the owner of an upstream to run a request there.
type Place struct {
	Attempt  Attempt             `msgpack:"a"`
	Upstream protocol.UpstreamID `msgpack:"u"`
	// Fence is the owner's fencing number in the entry router's view. An owner
	// with another number refuses, because the view of one of them is out of date.
	Fence    protocol.Fence      `msgpack:"f"`
	Customer protocol.CustomerID `msgpack:"c"`
	// Class is the priority class, 0 the most urgent.
	Class int `msgpack:"p"`
	// Weight is the customer's share within its class.
	Weight float64 `msgpack:"w"`
	// PromptTokens and OutputTokens estimate the cost of the request.
	PromptTokens int    `msgpack:"pt"`
	OutputTokens int    `msgpack:"ot"`
	Chain        []Link `msgpack:"l,omitempty"`
	// Parts are the keys of a chat's shared parts, see chat.SharedParts.
	Parts []uint64 `msgpack:"sp,omitempty"`
	// Model is empty for plain services.
	Model    protocol.Model `msgpack:"m,omitempty"`
	Method   string         `msgpack:"me"`
	Path     string         `msgpack:"pa"`
	Headers  []Header       `msgpack:"h,omitempty"`
	Body     []byte         `msgpack:"b,omitempty"`
	Streamed bool           `msgpack:"s,omitempty"`
	// ResumeAt is the number of chunks that the caller has already received.
	ResumeAt int `msgpack:"ra,omitempty"`
	// OnlyBuild says that the answer has begun, so that it may go on only at an upstream of the
	// software version Build, which began it.
	OnlyBuild bool   `msgpack:"ob,omitempty"`
	Build     string `msgpack:"bu,omitempty"`
	// Idempotent says that the request may be sent to an upstream again.
	Idempotent bool `msgpack:"i,omitempty"`
	// Stage is the stage of the search for an upstream, see placement.Stage. The
	// last stage means that the entry router has tried other upstreams; the owner
	// then starts, queues or refuses the request, but does not spill it.
	Stage uint8 `msgpack:"st"`
	// FirstChoice means that the upstream is the chat's first choice.
	FirstChoice bool `msgpack:"ho,omitempty"`
	// RootIndex is the index in Chain of the link whose hash determines the order
	// in which upstreams are tried, see placement.RootIndex.
	RootIndex int `msgpack:"ro,omitempty"`
	// OthersLoad is the load, in tokens, of other upstreams that the entry router
	// has learned while it searched for capacity.
	OthersLoad float64 `msgpack:"se,omitempty"`
	// Suspect means that the request was in flight at a crash and may have caused
	// it.
	Suspect bool `msgpack:"su,omitempty"`
	// RemainingMS is the time until the request's deadline when the message was
	// sent. It is a duration because clocks of two VMs are never compared.
	RemainingMS int64 `msgpack:"ms"`
	// Digest identifies the body and the customer, for quarantine.
	Digest uint64 `msgpack:"d,omitempty"`
	// Order is set for a request that may run at most once.
	Order *Order `msgpack:"or,omitempty"`
}

// Order identifies, in the journal, a request that may run at most once.
type Order struct {
	Key    string   `msgpack:"k"`
	Digest [16]byte `msgpack:"d"`
	// Attempt is the number of the order's dispatch in the journal, from 1. It
	// differs from the attempt of the Place, which also counts owners that had no
	// spare capacity.
	Attempt uint32 `msgpack:"a"`
}

// PlaceOutcome is an owner's decision.
type PlaceOutcome uint8

const (
	// PlaceStarted means that the owner sends the request to the upstream.
	PlaceStarted PlaceOutcome = 1
	// PlaceQueued means that the request waits at the owner.
	PlaceQueued PlaceOutcome = 2
	// PlaceSpilled means that the upstream has no spare capacity and the entry
	// router should try the next one.
	PlaceSpilled PlaceOutcome = 3
	// PlaceRefused means that the entry router should refuse the request and ask the
	// caller to retry later.
	PlaceRefused PlaceOutcome = 4
	// PlaceNotOwner means that the receiver must not admit requests to the upstream
	// now: it is not the owner, or its lease has expired.
	PlaceNotOwner PlaceOutcome = 5
)

// PlaceReply answers a Place.
type PlaceReply struct {
	Attempt Attempt      `msgpack:"a"`
	Outcome PlaceOutcome `msgpack:"o"`
	// Reason is a code of package reason.
	Reason string `msgpack:"r,omitempty"`
	// RetryAfterMS is the time after which a refused caller should retry.
	RetryAfterMS int64 `msgpack:"ms,omitempty"`
	// Verdict, Bound, Forward, SavedShare and Ratio are the owner's placement
	// decision for a spilled request. The entry router needs them to continue its
	// search, see placement.Answer.
	Verdict    uint8   `msgpack:"v,omitempty"`
	Bound      string  `msgpack:"b,omitempty"`
	Forward    uint32  `msgpack:"f,omitempty"`
	SavedShare float64 `msgpack:"s,omitempty"`
	Ratio      float64 `msgpack:"l,omitempty"`
	// Load is the upstream's load as the owner counts it, in tokens.
	Load float64 `msgpack:"lo,omitempty"`
}

// ChatMoved tells the owner of a chat's first-choice upstream where the chat ran
// instead.
type ChatMoved struct {
	FirstChoice protocol.UpstreamID `msgpack:"h"`
	Root        uint64              `msgpack:"r"`
	Ran         protocol.UpstreamID `msgpack:"u"`
}

// Chunk is one part of an answer.
type Chunk struct {
	Attempt Attempt `msgpack:"a"`
	// Index is the position of the chunk in the whole answer, from 0, over all
	// attempts.
	Index int    `msgpack:"i"`
	Data  []byte `msgpack:"d"`
	// Status and Headers are set on the first chunk of an attempt.
	Status  int      `msgpack:"s,omitempty"`
	Headers []Header `msgpack:"h,omitempty"`
}

// End closes an attempt.
type End struct {
	Attempt Attempt `msgpack:"a"`
	// Complete means that the whole answer was relayed.
	Complete bool `msgpack:"c,omitempty"`
	// Outcome says whether the attempt ran.
	Outcome protocol.RunOutcome `msgpack:"o"`
	Reason  string              `msgpack:"r,omitempty"`
	// CachedTokens is the number of prompt tokens that the engine reports it took
	// from its cache.
	CachedTokens int `msgpack:"ct,omitempty"`
}

// Cancel cancels an attempt.
type Cancel struct {
	Attempt Attempt `msgpack:"a"`
}

// AttemptCheck asks an owner whether an attempt is still in flight there.
type AttemptCheck struct {
	Attempt Attempt `msgpack:"a"`
}

// AttemptAlive is the reply to an AttemptCheck for an attempt in flight. An owner
// that does not know the attempt sends an End instead.
type AttemptAlive struct {
	Attempt Attempt `msgpack:"a"`
}
