// Package dialect defines what a router reads from callers' requests and from
// upstreams' answers, and what it sends to upstreams, independently of the names
// of the headers that carry it. A Dialect translates the headers of one platform;
// all other code uses only the types of this package.
package dialect

import (
	"net/http"
	"time"

	"endiveplank/protocol"
)

// Call is what the headers of a caller's request say.
type Call struct {
	// ID is the caller's ID for this attempt of its request.
	ID protocol.RequestID
	// Remaining is how much longer the caller will wait; 0 if the caller did not
	// send it.
	Remaining time.Duration
	// Key is the customer's API key, "" for none.
	Key string
	// LastEventID is the ID of the last event of a stream that the caller has
	// received, "" for none.
	LastEventID string
	// Resumes is the ID of the caller's attempt whose answer had the first event of the
	// stream that this one goes on with, "" if the caller did not send it.
	Resumes protocol.RequestID
	// Prompt is nil for requests without one.
	Prompt *Prompt
}

// Prompt is what a caller declares about a prompt.
type Prompt struct {
	Model protocol.Model
	// InputTokens is the length of the prompt and OutputTokens the maximum length
	// of the answer; 0 if not declared.
	InputTokens  int
	OutputTokens int
	// Parts are the consecutive parts of the prompt. Prompts that begin with the
	// same parts have a common prefix, which an engine can take from its cache.
	// The last part belongs to this request or its session alone.
	Parts []Part
}

// SharedParts returns the keys of the parts that other prompts may have too: all but the
// last.
func (p *Prompt) SharedParts() []uint64 {
	if p == nil || len(p.Parts) == 0 {
		return nil
	}
	keys := make([]uint64, 0, len(p.Parts)-1)
	for _, part := range p.Parts[:len(p.Parts)-1] {
		keys = append(keys, part.Key)
	}
	return keys
}

// Part is one part of a prompt. Key is a hash of the part's identifier.
type Part struct {
	Key    uint64
	Tokens int
}

// Attempt is what a router sends in the headers of a request to an upstream.
type Attempt struct {
	// Upstream is the only upstream that may run the request. Another upstream
	// that has taken over the address must refuse it.
	Upstream protocol.UpstreamID
	Customer protocol.CustomerID
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// LastEventID resumes a stream after the event with this ID. If it is "",
	// WriteAttempt leaves the caller's header as it is.
	LastEventID string
	// CopyFrom is the address of an engine from which the upstream copies the
	// part of the prompt's prefix that it has not cached, "" for none.
	CopyFrom string
}

// Answer is what the headers of an upstream's answer say.
type Answer struct {
	// ID repeats Call.ID; "" if the upstream did not send it.
	ID protocol.RequestID
	// NotRun means that the upstream attests that it has not run the request and
	// will not run it.
	NotRun bool
	// Signed means that the answer has the upstream's signature. A success
	// without a signature is not accepted.
	Signed bool
	// RetryAfter is for how long the upstream wants no further requests from this router, as
	// it is too busy; 0 if it doesn't say.
	RetryAfter time.Duration
	// Leaving means that the upstream is about to stop and wants no further requests.
	Leaving bool
	// Fragile is how many requests the upstream may refuse for lack of room in a second without
	// falling over; 0 if it doesn't say that it is fragile.
	Fragile int
	// Load is what the upstream reports of its load, nil if it reports none or none that can be
	// read.
	Load *ReportedLoad
	// Misdirected means that the request reached another upstream than the
	// intended one, because the address now belongs to it.
	Misdirected bool
}

// ReportedLoad is an upstream's load as it reports it itself.
type ReportedLoad struct {
	// Running and Waiting count its requests that run and that wait for a slot, and Slots is the
	// number of requests that it runs at a time.
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes there now, in percent of the usual time: 200 is half the usual speed.
	Pace int
}

// UsualPace is the pace of an upstream on which work takes the usual time.
const UsualPace = 100

// Dialect translates the headers of one platform. It is safe for concurrent use.
type Dialect interface {
	// ReadCall reads a caller's headers. An error names the header that cannot be
	// parsed; the Call then holds what could be parsed.
	ReadCall(header http.Header) (Call, error)
	// WriteAttempt turns header, a copy of the caller's, into the headers of a
	// request to an upstream: it sets the routers' headers and removes those that
	// callers may not set.
	WriteAttempt(header http.Header, attempt Attempt)
	// ReadAnswer reads the status and headers of an upstream's answer.
	ReadAnswer(status int, header http.Header) Answer
}
