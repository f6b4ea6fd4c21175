// Package retry decides whether failed work is tried again, and when.
//
// Retries hide single failures from callers, but they can turn a short overload
// into a lasting one, because every failure adds load when there is already too
// much. Budget limits retries to a share of the work of recent first attempts, 0.1
// by default. So even when everything fails, the upstreams receive at most 1.1 times
// the work of the first attempts. A small constant (Config.Allowance) lets a router
// with little traffic retry at all; first attempts pay it back. Neither is there at a
// start: a router that starts again would get it once more each time.
//
// The limit holds along the whole path of a request because exactly one hop may
// retry: the entry router, which received the request from its caller. The router
// that owns the chosen upstream, and all later hops, report failures as typed values
// and never retry by themselves. Every attempt after the first one is charged to the
// budget, whatever its reason: a new connection to resume a stream, another upstream,
// or another owner after a refusal.
//
// Two kinds of work are never retried, however much budget is left: work that ran,
// and work that may have run and must not be repeated.
//
// Window is a separate limit on one router's retries for one service, by number
// instead of work and over a fixed time. It grants nothing before the router has counted
// for that time.
//
// Use, with one Budget per router:
//
//	budget := retry.New(config)
//	budget.RecordFirstAttempt(now, tokens)          // for each request's first attempt
//	decision := budget.Decide(now, rng, failure)    // retry after decision.Delay, or stop for decision.Reason
package retry
