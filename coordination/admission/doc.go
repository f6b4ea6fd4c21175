// Package admission decides which request an upstream runs next, which
// requests wait and which are refused at once. It prevents answers that miss
// their deadlines, the starvation of customers and classes, and engine time
// spent on answers that arrive too late.
//
// Every upstream has one owning router. All work for the upstream passes that
// router, so one Queue there sees every waiting request and needs no view of
// other routers. The caller of this package passes a Gate, which says whether
// the upstream's load may rise by a number of tokens now (package loadbound
// decides that), and acts on the outcomes.
//
// # Order of service
//
// Four rules choose the next request, all counted in tokens, because tokens
// and not requests are what an engine spends its time on:
//
//   - Customers have virtual clocks (start-time fair queueing): each advances by
//     tokens/weight as the customer's work starts, and the queue's own clock
//     advances as if all waiting customers were served at once by weight. A
//     customer whose clock is no further ahead than Config.BurstTokens allows
//     is within its share.
//   - Work within its customer's share goes first, in the order of classes.
//     Only when there is none does work beyond a share start, again in the order
//     of classes. So urgent requests go before summaries, but a customer
//     that surges gets only the capacity that the others leave, whatever its
//     class: its excess work delays no other customer.
//   - Within a class, the customer with the lowest clock goes first.
//   - Within a customer, the order is by arrival time plus a penalty
//     proportional to the length. Short requests go before long ones that came
//     shortly before them; only requests that arrive within a long request's
//     penalty go before it, so it isn't starved either.
//
// Config.ClassWeight scales the weights of a class, so that background work gets
// a smaller share than urgent work. Config.MinShare is a floor for a whole
// class, however many customers of other classes wait: a waiting class earns that
// share of all started tokens as credit and goes first when the credit covers
// its next request.
//
// Less urgent classes also leave Config.ReserveTokens of the upstream's capacity
// free, so that an urgent request can start at once instead of waiting for a
// running request to end. A class that is served on credit ignores the reserve.
//
// # Refusal
//
// The queue estimates the wait of each request on arrival, from the tokens that
// would start before it and the measured drain rate. A request that cannot
// start early enough to end before its deadline is refused at once, with a
// Retry-After computed from the same estimate: queueing it would waste its
// caller's time and a place in the queue. Expire returns the requests that can't
// meet their deadlines any more, also when the cause is an engine that has slowed
// down since they arrived. So the engine spends time only on answers that
// can still be in time.
//
// # Use
//
//	queue := admission.New(config)
//	outcome := queue.Submit(now, request, gate)   // Admitted, Queued or Refused
//	request, ok := queue.Next(now, gate)          // until ok is false, after load fell
//	refusals := queue.Expire(now)                 // after Next, and at the time NextExpiry gives
//	queue.RecordProgress(now, tokens, streams)    // as the upstream finishes tokens
//	queue.Cancel(now, id)                         // the caller has disconnected
//
// The caller adds the admitted tokens to the load before its next call. Each
// operation costs O(log n) in the requests and customers waiting.
package admission
