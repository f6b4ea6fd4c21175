// Package reason lists the codes by which the fleet explains what it did. A
// code appears in events, in error answers and in docs/REASONS.md, where each
// says what an operator or caller may do. Codes are never given a new meaning.
package reason

// Code is one reason.
type Code string

// Reasons for refusing a request, sent to callers.
const (
	// NoLease: this router may not serve, because it can't be sure that its
	// configuration is in force.
	NoLease Code = "no_lease"
	// Draining: this router is stopping.
	Draining Code = "draining"
	// KeyMissing: the request has no bearer key.
	KeyMissing Code = "key_missing"
	// KeyUnknown: no customer has this bearer key.
	KeyUnknown Code = "key_unknown"
	// CustomerDisabled: the customer's row is switched off.
	CustomerDisabled Code = "customer_disabled"
	// RouteUnknown: no route matches the path.
	RouteUnknown Code = "route_unknown"
	// BodyInvalid: the body isn't what the route takes.
	BodyInvalid Code = "body_invalid"
	// ModelUnknown: no upstream serves the model.
	ModelUnknown Code = "model_unknown"
	// NoUpstream: every upstream for the request is gone or leaving.
	NoUpstream Code = "no_upstream"
	// NoOwner: the upstreams have no owning router just now.
	NoOwner Code = "no_owner"
	// CustomerLimit: the customer is over its limit.
	CustomerLimit Code = "customer_limit"
	// QueueFull: the queue holds all it may.
	QueueFull Code = "queue_full"
	// CustomerQueueFull: the customer's part of the queue holds all it may.
	CustomerQueueFull Code = "customer_queue_full"
	// DeadlineTooNear: the wait would outlast the deadline.
	DeadlineTooNear Code = "deadline_too_near"
	// DeadlinePassed: the deadline passed while the request waited or ran.
	DeadlinePassed Code = "deadline_passed"
	// RetryBudget: the request failed, and the fleet's retry budget is spent.
	RetryBudget Code = "retry_budget"
	// AttemptsSpent: every attempt the request may make has failed.
	AttemptsSpent Code = "attempts_spent"
	// Quarantined: the request is blamed for crashes of upstreams.
	Quarantined Code = "quarantined"
	// IdempotencyKeyMissing: the route takes only requests with a key.
	IdempotencyKeyMissing Code = "idempotency_key_missing"
	// IdempotencyKeyReused: the key came before with another body.
	IdempotencyKeyReused Code = "idempotency_key_reused"
	// OrderSealed: the order is recorded as never run.
	OrderSealed Code = "order_sealed"
	// OrderUnknown: the order was sent and its outcome isn't known.
	OrderUnknown Code = "order_unknown"
	// OrderInFlight: the order runs just now for another caller.
	OrderInFlight Code = "order_in_flight"
	// JournalUnavailable: the journal can't record the order.
	JournalUnavailable Code = "journal_unavailable"
)

// Reasons for what happened to an attempt, in events.
const (
	// FirstChoice: the chat's first upstream had room.
	FirstChoice Code = "first_choice"
	// CacheHolder: the upstream that holds the chat's prefix was preferred.
	CacheHolder Code = "cache_holder"
	// QueueTurn: the request waited and its turn came.
	QueueTurn Code = "queue_turn"
	// ChatElsewhere: the chat last ran on another upstream, which is asked.
	ChatElsewhere Code = "chat_elsewhere"
	// ChatNotHere: the upstream holds nothing of the chat.
	ChatNotHere Code = "chat_not_here"
	// OnTrial: the request was in flight at a crash and waits to run alone, or
	// waits for such a one.
	OnTrial Code = "on_trial"
	// LoadBound: the upstream is at the set multiple of the fleet's mean.
	LoadBound Code = "load_bound"
	// Saturated: the upstream runs all it can at once.
	Saturated Code = "saturated"
	// NotOwner: the router asked doesn't own the upstream now.
	NotOwner Code = "not_owner"
	// UpstreamLeaving: the upstream takes no more work.
	UpstreamLeaving Code = "upstream_leaving"
	// UpstreamFailed: the connection to the upstream broke or was refused.
	UpstreamFailed Code = "upstream_failed"
	// UpstreamStalled: the upstream made no progress in time.
	UpstreamStalled Code = "upstream_stalled"
	// UpstreamRefused: the upstream answered with an error status.
	UpstreamRefused Code = "upstream_refused"
	// UpstreamSilent: the upstream's announcements stopped.
	UpstreamSilent Code = "upstream_silent"
	// OwnerLost: the owning router can't be reached.
	OwnerLost Code = "owner_lost"
	// CallerGone: the caller closed its connection.
	CallerGone Code = "caller_gone"
	// Completed: the whole answer was delivered.
	Completed Code = "completed"
)
