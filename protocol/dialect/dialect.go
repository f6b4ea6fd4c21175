// Package dialect holds what a router reads from a caller's request and says to
// an upstream, apart from the headers that carry it. A Dialect translates one
// platform's headers; the decisions know only the types here.
package dialect

import (
	"net/http"
	"time"

	"endiveplank/protocol"
)

// Call is what a caller says of a request, beside method, path and body.
type Call struct {
	// ID is the caller's name for this attempt of its.
	ID protocol.RequestID
	// Left is how long the caller will wait; 0 if it doesn't say.
	Left time.Duration
	// Key is the customer's key, "" for none.
	Key string
	// LastEvent is the id of the last event that the caller has of a stream,
	// "" for none.
	LastEvent string
	// Prompt is nil for requests without one.
	Prompt *Prompt
}

// Prompt is what a caller declares of a prompt.
type Prompt struct {
	Model protocol.Model
	// InputTokens and OutputTokens are the prompt's length and the most that
	// the answer may have; 0 if not declared.
	InputTokens  int
	OutputTokens int
	// Parts are the pieces that the prompt is made of, in order. Two prompts
	// that begin with the same parts share what was read of them; the last
	// part is the request's or its session's own.
	Parts []Part
}

// Part is one piece of a prompt.
type Part struct {
	Key    uint64
	Tokens int
}

// Attempt is what a router says to an upstream.
type Attempt struct {
	// Upstream is the one that may run the request; any other that has taken
	// over its address must not.
	Upstream protocol.UpstreamID
	Customer protocol.CustomerID
	// Left is how long the answer is of use.
	Left time.Duration
	// Priority ranks the request, 0 first.
	Priority int
	// LastEvent resumes a stream behind an event; "" sends what the caller
	// sent.
	LastEvent string
	// CopyFrom is the address of an engine from which the upstream copies what
	// it lacks of the prompt's beginning, "" for none.
	CopyFrom string
}

// Answer is what an upstream says of its answer, beside status and body.
type Answer struct {
	// ID repeats Call.ID; "" if the upstream doesn't.
	ID protocol.RequestID
	// NotRun says that the upstream attests that it didn't run the request and
	// won't.
	NotRun bool
	// Signed says that the answer bears the upstream's signature, without
	// which no success counts.
	Signed bool
	// Misdirected says that another upstream than the one meant has the address.
	Misdirected bool
}

// Dialect translates headers. It is safe for concurrent use.
type Dialect interface {
	// ReadCall reads a caller's headers. An error names one that can't be read;
	// the Call then holds what could.
	ReadCall(header http.Header) (Call, error)
	// WriteAttempt makes the headers towards an upstream of a copy of the
	// caller's: it sets what routers set and removes what callers may not.
	WriteAttempt(header http.Header, attempt Attempt)
	// ReadAnswer reads the head of an upstream's answer.
	ReadAnswer(status int, header http.Header) Answer
}
