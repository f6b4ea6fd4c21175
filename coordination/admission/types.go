package admission

import (
	"time"

	"endiveplank/protocol"
)

// Class is a priority class. Class 0 is the most urgent.
type Class int

// NumClasses is the number of priority classes. Four are enough for urgent
// people, other interactive work, background work and experiments; the cost of
// one choice grows with this number.
const NumClasses = 4

// Request is one request as the queue sees it.
type Request struct {
	ID       protocol.RequestID
	Customer protocol.CustomerID
	// Class and Weight come from the customer's row of the table.
	Class  Class
	Weight float64
	// Tokens is the expected work: prompt tokens that the cache doesn't hold
	// plus answer tokens, in the unit that Gate and Drained count.
	Tokens int
	// Steps is the expected length of the answer in tokens, which the engine
	// makes one after the other. With the measured speed of a stream it gives
	// the time that the request will run. Zero is allowed for plain services.
	Steps int
	// Deadline is when the whole answer must be with the caller.
	Deadline time.Duration
}

// Gate says whether the upstream's load may rise by tokens now. It must not
// count the tokens: the caller does, when the queue has admitted the request. It must
// let any single request start on an idle upstream, since the queue never passes a
// request by that doesn't fit.
type Gate func(tokens int) bool

// Kind tells the three outcomes of Submit apart.
type Kind uint8

const (
	// Admitted means: start the request now.
	Admitted Kind = iota + 1
	// Queued means: the request waits; Next or Expire will return it.
	Queued
	// Refused means: answer the caller at once. The request has not run.
	Refused
)

// Reason says why a request was refused.
type Reason string

const (
	// ReasonNone is the reason of a request that is not refused.
	ReasonNone Reason = ""
	// ReasonDeadline means that the expected wait ends after the last moment
	// to start.
	ReasonDeadline Reason = "deadline-unreachable"
	// ReasonStanding means that the customer has sent more than it gets for a
	// while, and the expected wait is longer than its class should wait.
	ReasonStanding Reason = "standing-queue"
	// ReasonImpossible means that the deadline can't be met even by a start
	// at once, so that waiting cannot help.
	ReasonImpossible Reason = "deadline-impossible"
	// ReasonExpired means that the last moment to start passed in the queue.
	ReasonExpired Reason = "deadline-passed"
	// ReasonQueueFull means that the whole queue is at its bound.
	ReasonQueueFull Reason = "queue-full"
	// ReasonCustomerFull means that the customer's part of the queue is at
	// its bound.
	ReasonCustomerFull Reason = "customer-queue-full"
	// ReasonBadWeight means that the customer's weight is not positive.
	ReasonBadWeight Reason = "bad-weight"
	// ReasonBadClass means that the class is outside 0..NumClasses-1.
	ReasonBadClass Reason = "bad-class"
	// ReasonBadTokens means that the expected work is not positive.
	ReasonBadTokens Reason = "bad-tokens"
	// ReasonDuplicate means that a request with this ID waits already.
	ReasonDuplicate Reason = "duplicate-request"
)

// Outcome is the typed answer to Submit.
type Outcome struct {
	Kind Kind
	// Position is the estimated number of requests that start before this
	// one, and Wait the estimated time until it starts. Both are set for
	// Queued; Wait is also set for Refused with ReasonDeadline.
	Position int
	Wait     time.Duration
	// Reason and RetryAfter are set for Refused. RetryAfter is zero when
	// a retry of the same request cannot succeed.
	Reason     Reason
	RetryAfter time.Duration
}

// Refusal is a queued request that must be answered as not run.
type Refusal struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}
