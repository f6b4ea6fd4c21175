package loadbound

import "endiveplank/protocol"

// Outcome is the owner's answer to a Request.
type Outcome uint8

// Outcomes of Ledger.Admit.
const (
	// Admit: the request is counted and may be sent to the upstream.
	Admit Outcome = iota + 1
	// Spill: the entry router should try the next upstream of its choice.
	Spill
	// Queue: the entry router has tried its other choices; the request should
	// wait in this owner's queue.
	Queue
	// Refuse: this owner can't admit the request at all; see the reason.
	Refuse
)

// String returns the outcome's name in events and logs.
func (o Outcome) String() string {
	switch o {
	case Admit:
		return "admit"
	case Spill:
		return "spill"
	case Queue:
		return "queue"
	case Refuse:
		return "refuse"
	}
	return "invalid"
}

// Reason says why an outcome was chosen.
type Reason string

// Reasons of a Decision.
const (
	// Idle: the upstream had no work at all.
	Idle Reason = "idle"
	// WithinBound: load and cost are within the multiple of the mean.
	WithinBound Reason = "within-bound"
	// OneOver: the upstream was not above the mean, and admits one request that
	// may take it over the bound.
	OneOver Reason = "one-over"
	// OverSoftBound: the load would exceed the multiple given in the Request.
	OverSoftBound Reason = "over-soft-bound"
	// OverBound: the load would exceed Config.Multiple times the fleet's mean.
	OverBound Reason = "over-bound"
	// UpstreamFull: the upstream runs as many requests as Grant.MaxRequests
	// allows.
	UpstreamFull Reason = "upstream-full"
	// QueueAhead: other requests already wait for the upstream.
	QueueAhead Reason = "queue-ahead"
	// NotOwner: this router doesn't own the upstream, or its lease has expired.
	NotOwner Reason = "not-owner"
	// BadCost: the cost is not a positive finite number.
	BadCost Reason = "bad-cost"
)

// Request describes a request that an entry router wants to run on an upstream.
type Request struct {
	// Cost is the request's work, in tokens.
	Cost float64
	// Multiple is the highest load over the mean that the entry router accepts
	// here, at most Config.Multiple; 0 means Config.Multiple. Package placement
	// lowers it for requests that gain little from this upstream's cache.
	Multiple float64
	// OthersLoad is the load of other upstreams as their owners reported it to
	// the entry router within the last few round trips, in tokens; 0 if it
	// asked no other owner.
	OthersLoad float64
	// Final says that this is the entry router's final query, since it has no
	// other choice left. The outcome is then never Spill.
	Final bool
}

// Decision is the owner's decision about a Request.
type Decision struct {
	Outcome Outcome
	Reason  Reason
	// Ratio is the upstream's load over the mean as last reported. It includes
	// the request, whether or not it was admitted.
	Ratio float64
	// Ticket is set when Outcome is Admit. Return it with Ledger.Finish.
	Ticket Ticket
}

// Ticket identifies one admitted request.
type Ticket struct {
	Upstream protocol.UpstreamID
	// Fence identifies the owner's term in which the request was admitted.
	Fence protocol.Fence
	Cost  float64
	// ID distinguishes the tickets of one ledger.
	ID uint64
}
