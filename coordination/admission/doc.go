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
// Four rules choose the next request, all counted in tokens, because tokens
// and not requests are what an engine spends its time on:
//
//   - Customers have virtual clocks (start-time fair queueing): each advances by
//     tokens/weight as the customer's work starts, and the queue's own clock
//     advances as if all waiting customers were served by weight. A customer whose
//     clock is no further ahead than Config.BurstTokens allows is within its
//     share.
//   - Work within its customer's share goes first, in the order of classes.
//     Only when there is none does work beyond a share start, again in the order
//     of classes. So urgent work passes summaries, but a customer that
//     surges gets only what the others leave, whatever its class: its
//     excess delays nobody else.
//   - Within a class, the customer with the lowest clock goes first.
//   - Within a customer, the order is by arrival plus a handicap proportional
//     to the length. Short requests pass long ones that came shortly before;
//     a long one is passed only by requests that arrive within its handicap,
//     so it isn't starved either.
//
// Config.Guarantee scales the weights of a class, so that background work holds
// a smaller share against urgent work. Config.MinShare is a floor for a whole
// class, however many customers of other classes wait: a waiting class earns that
// share of all started tokens as credit and goes first when the credit pays
// for its next request.
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
// start passes while they wait, also because the engine has slowed down
// meanwhile, are returned by Expire for the same reason: the engine's time goes
// only to answers that can still be in time.
//
// # Use
//
//	queue := admission.New(config)
//	outcome := queue.Submit(now, request, gate)   // Admitted, Queued or Refused
//	request, ok := queue.Next(now, gate)          // until ok is false, after load fell
//	refusals := queue.Expire(now)                 // after Next, and at the time NextExpiry gives
//	queue.Drained(now, tokens)                    // as upstreams finish tokens
//	queue.Cancel(id)                              // the caller has gone
//
// The caller adds the admitted tokens to the load before it asks again. Each
// operation costs O(log n) in the requests and customers waiting.
package admission
