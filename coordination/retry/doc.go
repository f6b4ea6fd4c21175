// Package retry decides whether failed work is tried again, and when.
//
// Retries keep single failures from callers, and they can turn a short
// overload into a lasting one: every failure adds work just when there is too
// much. Budget bounds them to a share of the fresh work that came in lately, 0.1
// by default, so that even when everything fails the upstreams see at most 1.1
// times the fresh work. A small constant (Config.Allowance) lets a quiet router
// retry at all; fresh work pays it back.
//
// The bound holds over the whole path because exactly one hop may retry: the
// entry router of the request. Owners and all later hops report failures as
// typed values and never try again by themselves. Every attempt beyond the first
// spends, for whatever reason it is made: a new connection to resume a stream,
// another upstream, another owner after a refusal.
//
// Work whose run is unknown and that may not be repeated is never retried, however
// full the budget; neither is work that ran.
//
// Use, one Budget per router:
//
//	budget := retry.New(config)
//	budget.Fresh(now, tokens)                       // each request's first attempt
//	decision := budget.Decide(now, rng, failure)    // Retry after decision.Delay, or GiveUp with a reason
package retry
