package loadbound

import "endiveplank/protocol"

// Outcome is what an owner answers to an ask.
type Outcome uint8

// Outcomes of Ledger.Admit.
const (
	// Admit: the request is counted and may be sent to the upstream.
	Admit Outcome = iota + 1
	// Spill: the asker should try its next choice.
	Spill
	// Queue: the asker has tried its other choices; the request should wait
	// in this owner's queue.
	Queue
	// Refuse: this owner cannot admit at all; see the reason.
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
	// OneOver: the upstream was not above the mean, and takes one request
	// that may carry it over the bound.
	OneOver Reason = "one-over"
	// OverSoftBound: above the multiple this ask was willing to accept.
	OverSoftBound Reason = "over-soft-bound"
	// OverBound: above the set multiple of the fleet's mean.
	OverBound Reason = "over-bound"
	// UpstreamFull: the upstream's own limit of requests is reached.
	UpstreamFull Reason = "upstream-full"
	// QueueAhead: other requests wait for the upstream already.
	QueueAhead Reason = "queue-ahead"
	// NotOwner: this router does not hold the upstream, or its lease has run
	// out.
	NotOwner Reason = "not-owner"
	// BadCost: the cost is not a positive finite number.
	BadCost Reason = "bad-cost"
)

// Ask is one request that wants to run on an upstream.
type Ask struct {
	// Cost is the request's work, in tokens.
	Cost float64
	// Multiple is the load over mean that the asker accepts here, at most
	// the set one; 0 means the set one. Placement lowers it for requests
	// that gain little from this upstream's cache.
	Multiple float64
	// Seen is the load of other upstreams as their owners have told the asker
	// within the last few round trips, in tokens; 0 when it asked no other.
	Seen float64
	// Final says that the asker has no other choice left: the answer is then
	// never Spill.
	Final bool
}

// Decision answers an Ask.
type Decision struct {
	Outcome Outcome
	Reason  Reason
	// Ratio is the upstream's load over the mean as last reported, after the
	// request if it was admitted and as if it were otherwise.
	Ratio float64
	// Ticket is set when Outcome is Admit; give it back with Ledger.Finish.
	Ticket Ticket
}

// Ticket is one admitted request.
type Ticket struct {
	Upstream protocol.UpstreamID
	// Fence is the owner's tenure under which the request was admitted.
	Fence protocol.Fence
	Cost  float64
	// ID tells the ledger's tickets apart.
	ID uint64
}
