// Package reason lists the codes by which the fleet explains its decisions. Codes
// appear in events, in error answers and in docs/REASONS.md, which says for each what
// an operator or caller can do. A code never gets a new meaning.
package reason

// Code is one reason.
type Code string

// Reasons for refusing a request, sent to callers.
const (
	// NoLease: this router must not serve, because it can't confirm that its
	// configuration is still in force.
	NoLease Code = "no_lease"
	// Draining: this router is stopping.
	Draining Code = "draining"
	// KeyMissing: the request has no bearer key.
	KeyMissing Code = "key_missing"
	// KeyUnknown: no customer has this bearer key.
	KeyUnknown Code = "key_unknown"
	// CustomerDisabled: the customer is disabled in its row of the table.
	CustomerDisabled Code = "customer_disabled"
	// RouteUnknown: no route matches the path.
	RouteUnknown Code = "route_unknown"
	// BodyInvalid: the route doesn't accept this body.
	BodyInvalid Code = "body_invalid"
	// ModelUnknown: no upstream serves the model.
	ModelUnknown Code = "model_unknown"
	// NoUpstream: every upstream for the request is gone or leaving.
	NoUpstream Code = "no_upstream"
	// NoOwner: the upstreams have no owning router at the moment.
	NoOwner Code = "no_owner"
	// CustomerLimit: the customer is over its limit.
	CustomerLimit Code = "customer_limit"
	// QueueFull: the queue is full.
	QueueFull Code = "queue_full"
	// CustomerQueueFull: the customer's share of the queue is full.
	CustomerQueueFull Code = "customer_queue_full"
	// DeadlineTooNear: the wait would outlast the deadline.
	DeadlineTooNear Code = "deadline_too_near"
	// DeadlinePassed: the deadline passed while the request waited or ran.
	DeadlinePassed Code = "deadline_passed"
	// RetryBudget: the request failed, and the fleet's retry budget is spent.
	RetryBudget Code = "retry_budget"
	// AttemptsSpent: every attempt that the request may make has failed.
	AttemptsSpent Code = "attempts_spent"
	// Quarantined: the request is quarantined as the likely cause of crashes of
	// upstreams.
	Quarantined Code = "quarantined"
	// IdempotencyKeyMissing: the route accepts only requests with an idempotency key.
	IdempotencyKeyMissing Code = "idempotency_key_missing"
	// IdempotencyKeyReused: the idempotency key was used before with another body.
	IdempotencyKeyReused Code = "idempotency_key_reused"
	// OrderSealed: the order is recorded as never run.
	OrderSealed Code = "order_sealed"
	// OrderUnknown: the order was sent and its outcome isn't known.
	OrderUnknown Code = "order_unknown"
	// OrderInFlight: the order is in flight for another caller.
	OrderInFlight Code = "order_in_flight"
	// JournalUnavailable: the journal can't record the order.
	JournalUnavailable Code = "journal_unavailable"
)

// Reasons for what happened to an attempt, in events.
const (
	// FirstChoice: the chat's first upstream had spare capacity.
	FirstChoice Code = "first_choice"
	// CacheHolder: the upstream that holds the chat's prefix was preferred.
	CacheHolder Code = "cache_holder"
	// QueueTurn: the request waited in the queue and reached its front.
	QueueTurn Code = "queue_turn"
	// ChatElsewhere: the chat last ran on another upstream, which is tried.
	ChatElsewhere Code = "chat_elsewhere"
	// ChatNotHere: the upstream isn't known to hold anything of the chat in its cache.
	ChatNotHere Code = "chat_not_here"
	// OnTrial: the request was in flight at a crash and waits to run alone, or it
	// waits until such a request has run.
	OnTrial Code = "on_trial"
	// LoadBound: the upstream's load is at the configured multiple of the fleet's
	// mean.
	LoadBound Code = "load_bound"
	// Saturated: the upstream runs as many requests as it can at once.
	Saturated Code = "saturated"
	// NotOwner: the router that received the request doesn't own the upstream now.
	NotOwner Code = "not_owner"
	// OtherBuild: no upstream runs the version of the software that began the answer.
	OtherBuild Code = "other_build"
	// UpstreamLeaving: the upstream accepts no more requests.
	UpstreamLeaving Code = "upstream_leaving"
	// UpstreamFailed: the connection to the upstream broke or was refused.
	UpstreamFailed Code = "upstream_failed"
	// UpstreamStalled: the upstream made no progress in time.
	UpstreamStalled Code = "upstream_stalled"
	// UpstreamRefused: the upstream answered with an error status.
	UpstreamRefused Code = "upstream_refused"
	// AnswerTooLong: the upstream sent more bytes than are accepted.
	AnswerTooLong Code = "answer_too_long"
	// UpstreamSilent: the upstream's announcements stopped.
	UpstreamSilent Code = "upstream_silent"
	// OwnerLost: the owning router can't be reached.
	OwnerLost Code = "owner_lost"
	// CallerGone: the caller closed its connection.
	CallerGone Code = "caller_gone"
	// Completed: the whole answer was delivered.
	Completed Code = "completed"
)
