package admission

import (
	"time"

	"endiveplank/protocol"
)

// Class is a priority class. Class 0 is the most urgent.
type Class int

// NumClasses is the number of priority classes. Four are enough for urgent
// interactive work, other interactive work, background work and experiments;
// the cost of one choice grows with this number.
const NumClasses = 4

// Request describes a request to the queue.
type Request struct {
	ID       protocol.RequestID
	Customer protocol.CustomerID
	// Class and Weight come from the customer's row of the table.
	Class  Class
	Weight float64
	// Tokens is the expected work: prompt tokens that the cache doesn't hold
	// plus answer tokens, in the unit that Gate and RecordProgress count.
	Tokens int
	// AnswerTokens is the expected length of the answer in tokens, which the
	// engine generates one after the other. Together with the measured speed of
	// a stream it gives the time that the request will run. It may be zero for
	// services that generate no tokens.
	AnswerTokens int
	// Deadline is when the complete answer must have reached the caller.
	Deadline time.Duration
}

// Gate reports whether the upstream's load may rise by tokens now. It must not
// count the tokens: the caller does, when the queue has admitted the request.
// It must let any single request start on an idle upstream, since the queue
// starts no other request before one that doesn't fit.
type Gate func(tokens int) bool

// Kind is the kind of an Outcome.
type Kind uint8

const (
	// Admitted means: start the request now.
	Admitted Kind = iota + 1
	// Queued means: the request waits; Next or Expire will return it.
	Queued
	// Refused means: refuse the request at once. It has not run.
	Refused
)

// Reason says why a request was refused.
type Reason string

const (
	// ReasonNone is the reason of a request that is not refused.
	ReasonNone Reason = ""
	// ReasonDeadline means that the expected wait ends after the latest start
	// that meets the deadline.
	ReasonDeadline Reason = "deadline-unreachable"
	// ReasonStanding means that the customer has sent more than its share for a
	// while, and that the expected wait is longer than the target of its class.
	ReasonStanding Reason = "standing-queue"
	// ReasonImpossible means that the deadline can't be met even by a start at
	// once, so that waiting can't help.
	ReasonImpossible Reason = "deadline-impossible"
	// ReasonExpired means that the latest start that meets the deadline passed
	// while the request waited.
	ReasonExpired Reason = "deadline-passed"
	// ReasonQueueFull means that the queue holds Config.MaxQueued requests.
	ReasonQueueFull Reason = "queue-full"
	// ReasonCustomerFull means that the queue holds Config.MaxCustomerQueued
	// requests of the customer.
	ReasonCustomerFull Reason = "customer-queue-full"
	// ReasonBadWeight means that the customer's weight is not positive.
	ReasonBadWeight Reason = "bad-weight"
	// ReasonBadClass means that the class is outside 0..NumClasses-1.
	ReasonBadClass Reason = "bad-class"
	// ReasonBadTokens means that the expected work is not positive.
	ReasonBadTokens Reason = "bad-tokens"
	// ReasonDuplicate means that a request with this ID already waits.
	ReasonDuplicate Reason = "duplicate-request"
)

// Outcome is the result of Submit.
type Outcome struct {
	Kind Kind
	// Position is the estimated number of requests that start before this one,
	// and Wait the estimated time until it starts. Both are set for Queued;
	// Wait is also set for Refused with ReasonDeadline or ReasonStanding.
	Position int
	Wait     time.Duration
	// Reason and RetryAfter are set for Refused. RetryAfter is zero when
	// a retry of the same request cannot succeed.
	Reason     Reason
	RetryAfter time.Duration
}

// Refusal is a queued request that must be refused as not run.
type Refusal struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration
}
