// Package fleet holds the messages of the data path between an entry router,
// which keeps the caller's connection, and an owning router, which counts an
// upstream's load and talks to it.
//
// One request makes one or more attempts. The entry sends Place; the owner
// answers with a PlaceReply, then, once the upstream answers, with Chunks in
// order and one End. The entry may send Cancel at any time. An attempt number
// is never used again for the same request, so a late message of an abandoned
// attempt is recognised and dropped.
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

// Link is one prefix of the chat, see chat.Link.
type Link struct {
	Hash   uint64 `msgpack:"h"`
	Tokens int    `msgpack:"t"`
}

// Place asks the owner of an upstream to run a request there.
type Place struct {
	Attempt  Attempt             `msgpack:"a"`
	Upstream protocol.UpstreamID `msgpack:"u"`
	// Fence is the owner's fencing number as the entry knows it. An owner
	// with another number refuses, because the entry's view is old or its own
	// is.
	Fence    protocol.Fence      `msgpack:"f"`
	Customer protocol.CustomerID `msgpack:"c"`
	// Class is the priority class, 0 the most urgent.
	Class int `msgpack:"p"`
	// Weight is the customer's share within its class.
	Weight float64 `msgpack:"w"`
	// PromptTokens and OutputTokens estimate the work.
	PromptTokens int    `msgpack:"pt"`
	OutputTokens int    `msgpack:"ot"`
	Chain        []Link `msgpack:"l,omitempty"`
	// Model is empty for plain services.
	Model    protocol.Model `msgpack:"m,omitempty"`
	Method   string         `msgpack:"me"`
	Path     string         `msgpack:"pa"`
	Headers  []Header       `msgpack:"h,omitempty"`
	Body     []byte         `msgpack:"b,omitempty"`
	Streamed bool           `msgpack:"s,omitempty"`
	// ResumeAt is the number of chunks the caller has already.
	ResumeAt int `msgpack:"ra,omitempty"`
	// Idempotent says that the request may be sent to an upstream again.
	Idempotent bool `msgpack:"i,omitempty"`
	// Stage says what the entry wants to know, see placement.Stage. The last
	// stage says that the entry has tried other upstreams; the owner then
	// starts, queues or refuses the request, but doesn't spill it.
	Stage uint8 `msgpack:"st"`
	// FirstChoice says that the upstream is the chat's first choice.
	FirstChoice bool `msgpack:"ho,omitempty"`
	// RootIndex is the position of the chat's root in Chain, see
	// placement.RootIndex.
	RootIndex int `msgpack:"ro,omitempty"`
	// Seen is the load of other upstreams that the entry has heard of while it
	// looked for room, in tokens.
	Seen float64 `msgpack:"se,omitempty"`
	// Suspect says that the request is on trial for crashes.
	Suspect bool `msgpack:"su,omitempty"`
	// RemainingMS is the time left until the request's deadline when the
	// message was sent. Clocks of two VMs are never compared.
	RemainingMS int64 `msgpack:"ms"`
	// Digest identifies body and customer, for quarantine.
	Digest uint64 `msgpack:"d,omitempty"`
	// Order is set for a request that may run at most once.
	Order *Order `msgpack:"or,omitempty"`
}

// Order names a request that may run at most once in the journal.
type Order struct {
	Key    string   `msgpack:"k"`
	Digest [16]byte `msgpack:"d"`
	// Attempt numbers the order's dispatches in the journal, from 1. It is not
	// the attempt of the Place, which also counts owners that had no room.
	Attempt uint32 `msgpack:"a"`
}

// PlaceOutcome is an owner's decision.
type PlaceOutcome uint8

const (
	// PlaceStarted means the request is on its way to the upstream.
	PlaceStarted PlaceOutcome = 1
	// PlaceQueued means the request waits at the owner.
	PlaceQueued PlaceOutcome = 2
	// PlaceSpilled means the upstream has no room and the entry should try
	// the next one.
	PlaceSpilled PlaceOutcome = 3
	// PlaceRefused means the caller should be told to come back later.
	PlaceRefused PlaceOutcome = 4
	// PlaceNotOwner means the receiver may not admit work to the upstream
	// now: it isn't the owner, or its lease ran out.
	PlaceNotOwner PlaceOutcome = 5
)

// PlaceReply answers a Place.
type PlaceReply struct {
	Attempt Attempt      `msgpack:"a"`
	Outcome PlaceOutcome `msgpack:"o"`
	// Reason is a code of package reason.
	Reason string `msgpack:"r,omitempty"`
	// RetryAfterMS says when a refused caller should come back.
	RetryAfterMS int64 `msgpack:"ms,omitempty"`
	// Verdict is the placement's verdict behind a spilled request, with what
	// the entry's walk needs to go on, see placement.Answer.
	Verdict    uint8   `msgpack:"v,omitempty"`
	Bound      string  `msgpack:"b,omitempty"`
	Forward    uint32  `msgpack:"f,omitempty"`
	SavedShare float64 `msgpack:"s,omitempty"`
	Ratio      float64 `msgpack:"l,omitempty"`
	// Load is the upstream's counted load, in tokens.
	Load float64 `msgpack:"lo,omitempty"`
}

// Moved tells the owner of a chat's first choice where the chat ran instead.
type Moved struct {
	Home protocol.UpstreamID `msgpack:"h"`
	Root uint64              `msgpack:"r"`
	Ran  protocol.UpstreamID `msgpack:"u"`
}

// Chunk is one piece of an answer.
type Chunk struct {
	Attempt Attempt `msgpack:"a"`
	// Index counts the pieces of the whole answer from 0, over all attempts.
	Index int    `msgpack:"i"`
	Data  []byte `msgpack:"d"`
	// Status and Headers are set on the first chunk of an attempt.
	Status  int      `msgpack:"s,omitempty"`
	Headers []Header `msgpack:"h,omitempty"`
}

// End closes an attempt.
type End struct {
	Attempt Attempt `msgpack:"a"`
	// Complete means the whole answer was relayed.
	Complete bool `msgpack:"c,omitempty"`
	// Outcome says whether the attempt ran.
	Outcome protocol.RunOutcome `msgpack:"o"`
	Reason  string              `msgpack:"r,omitempty"`
	// CachedTokens is what the engine said it reused.
	CachedTokens int `msgpack:"ct,omitempty"`
}

// Cancel gives up an attempt.
type Cancel struct {
	Attempt Attempt `msgpack:"a"`
}

// Check asks an owner whether it still has an attempt.
type Check struct {
	Attempt Attempt `msgpack:"a"`
}

// Alive answers a Check; an owner that doesn't know the attempt sends an End.
type Alive struct {
	Attempt Attempt `msgpack:"a"`
}
