// Package protocol holds the identifiers that every part of the fleet shares
// and, in its subpackages, the messages that cross a process boundary.
//
// The subpackages are:
//
//   - chat: the callers' chat completions API and the hash chain that
//     recognises a returning chat from its request alone
//   - upstreamapi: what a model engine or plain service and a router say to
//     each other over HTTP
//   - wire: the framed msgpack messages between the fleet's own processes
//
// Nothing here does I/O.
package protocol

// RouterID names one endiveplankd process. It comes from that process's
// settings and survives a restart.
type RouterID string

// UpstreamID names one back end (a model engine or one server of a plain
// service). The upstream chooses it and keeps it across restarts.
type UpstreamID string

// CustomerID names a customer, one row of the customers table.
type CustomerID string

// RequestID names one caller's request. The entry router assigns it, and it
// appears in every span, event and log line about that request.
type RequestID string

// DataCentre names a data centre. A process learns its own from its settings.
type DataCentre string

// Model names a model that engines serve.
type Model string

// Service names a plain service, such as an order desk.
type Service string

// Fence is a fencing number. A holder with a higher number replaced every
// holder with a lower one, so a receiver that remembers the highest number it
// has seen can refuse work from a replaced holder that does not know it yet.
type Fence uint64

// RunOutcome says whether a caller's request ran on an upstream. It is sent
// to the caller in the header named by RunOutcomeHeader.
type RunOutcome string

const (
	// NotRun is said only when no byte of the request can have reached an
	// upstream, or when a committed journal record prevents any later run.
	NotRun RunOutcome = "not-run"
	// Ran means an upstream answered.
	Ran RunOutcome = "ran"
	// UnknownRun means that the request was sent and no answer settled
	// whether it ran. A request that may not be repeated is never run again
	// after this.
	UnknownRun RunOutcome = "unknown"
)

// HTTP headers that the fleet adds.
const (
	// HeaderPrefix starts every header of the fleet's own.
	HeaderPrefix = "X-Endiveplank-"
	// RunOutcomeHeader carries a RunOutcome on every answer to a caller.
	RunOutcomeHeader = "X-Endiveplank-Outcome"
	// RequestIDHeader carries the RequestID to callers and to upstreams.
	RequestIDHeader = "X-Endiveplank-Request"
	// AttemptHeader numbers the attempts of one request, from 1, towards
	// upstreams.
	AttemptHeader = "X-Endiveplank-Attempt"
	// PriorityHeader carries the priority class towards upstreams: 0 is the
	// most urgent.
	PriorityHeader = "X-Endiveplank-Priority"
	// ResumeAtHeader carries the number of tokens already delivered, so that
	// an engine continues a stream at that token.
	ResumeAtHeader = "X-Endiveplank-Resume-At"
	// IdempotencyKeyHeader names an order, so that a resend is recognised.
	IdempotencyKeyHeader = "Idempotency-Key"
)
