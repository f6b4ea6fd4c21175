// Package protocol defines the identifiers and HTTP headers that every part of
// the fleet shares. Its subpackages define the messages between processes.
//
// The subpackages are:
//
//   - chat: the callers' chat completions API and the hash chain that recognises
//     the next request of a chat from its messages alone
//   - codec: the msgpack encoding of messages and stored data
//   - dialect: what headers say, independently of their names on one platform
//   - fleet: the messages between the routers that handle one request
//   - upstreamapi: the HTTP messages between routers and upstreams
//   - wire: the frames between the fleet's own processes
//
// No package here opens connections or files.
package protocol

// RouterID names one endiveplankd process. It comes from the process's settings
// and stays the same across restarts.
type RouterID string

// UpstreamID names one upstream: a model engine or one server of a plain service.
// The upstream chooses it and keeps it across restarts.
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

// Fence is a fencing number. Each new holder gets a higher number than those
// before it, so a receiver that remembers the highest number it has seen can
// refuse requests from a holder that does not know yet that it was replaced.
type Fence uint64

// RunOutcome says whether a caller's request ran on an upstream. It is sent
// to the caller in the header named by RunOutcomeHeader.
type RunOutcome string

const (
	// NotRun is used only if no byte of the request can have reached an upstream,
	// or if a committed journal record prevents any later run.
	NotRun RunOutcome = "not-run"
	// Ran means an upstream answered.
	Ran RunOutcome = "ran"
	// UnknownRun means that the request was sent and no answer showed whether it
	// ran. A request that may not be repeated is never run again after this.
	UnknownRun RunOutcome = "unknown"
)

// HTTP headers that the fleet adds.
const (
	// HeaderPrefix is the prefix of all headers that the fleet defines, except
	// IdempotencyKeyHeader.
	HeaderPrefix = "X-Endiveplank-"
	// RunOutcomeHeader carries a RunOutcome in every response to a caller.
	RunOutcomeHeader = "X-Endiveplank-Outcome"
	// RequestIDHeader carries the RequestID to callers and to upstreams.
	RequestIDHeader = "X-Endiveplank-Request"
	// AttemptHeader carries the number of the attempt, from 1, to upstreams.
	AttemptHeader = "X-Endiveplank-Attempt"
	// PriorityHeader carries the priority class to upstreams; 0 is the most
	// urgent.
	PriorityHeader = "X-Endiveplank-Priority"
	// ResumeAtHeader carries the number of tokens already delivered, so that
	// an engine continues a stream at that token.
	ResumeAtHeader = "X-Endiveplank-Resume-At"
	// IdempotencyKeyHeader identifies an order, so that a repeated request is
	// recognised.
	IdempotencyKeyHeader = "Idempotency-Key"
)
