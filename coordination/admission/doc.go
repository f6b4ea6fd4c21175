// Package admission decides which request an upstream runs next, which wait
// and which are refused at once.
//
// Every upstream has one owning router. All work for the upstream passes that
// router, so one Queue there sees every waiting request and needs no view of
// other routers. The caller of this package passes a Gate, which says whether
// the upstream's load may rise by a number of tokens now (package loadbound
// decides that), and carries out the typed outcomes.
//
// # Order of service
//
// Three rules choose the next request, all counted in tokens, because tokens
// and not requests are what an engine spends its time on:
//
//   - Between priority classes the most urgent class goes first. Every other
//     class earns credit, its minimum share of all tokens started while it
//     waits, and goes first once its credit pays for its next request. So
//     summaries wait behind clerks but never for ever.
//   - Within a class, customers share by start-time fair queueing: each
//     customer has a virtual clock that advances by tokens/weight, and the
//     lowest clock goes first. A customer that surges only delays itself.
//   - Within a customer, the order is by arrival plus a handicap proportional
//     to the length. Short requests pass long ones that came shortly before;
//     a long one is passed only by requests that arrive within its handicap,
//     so it isn't starved either.
//
// Less urgent classes also leave Config.ReserveTokens of the upstream's room
// free, so that an urgent request finds room at once instead of waiting for a
// running request to end. A class that is served on credit ignores the reserve.
//
// # Refusal
//
// The queue estimates the wait of each request on arrival, from the tokens that
// would start before it and the measured drain rate. A request that cannot
// start early enough to end before its deadline is refused at once, with a
// Retry-After computed from the same estimate: holding it back would cost its
// caller the time and the queue the room. Requests whose last moment to
// start passes while they wait are returned by Expire for the same reason:
// the engine's time goes only to answers that can still be in time.
//
// # Use
//
//	queue := admission.New(config)
//	outcome := queue.Submit(now, request, gate)   // Admitted, Queued or Refused
//	request, ok := queue.Next(now, gate)          // until ok is false, after load fell
//	refusals := queue.Expire(now)                 // at the time NextExpiry gives
//	queue.Drained(now, tokens)                    // as upstreams finish tokens
//	queue.Cancel(id)                              // the caller has gone
//
// The caller adds the admitted tokens to the load before it asks again. Each
// operation costs O(log n) in the requests and customers waiting.
package admission
