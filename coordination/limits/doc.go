// Package limits holds each customer's limits over the whole fleet: tokens per
// second, requests per second and requests in flight.
//
// A customer's requests come in through any router, so no router sees more
// than a sliver of them. One router, the customer's home, keeps the account
// for the fleet: HomeOf chooses it by rendezvous hashing, so accounts spread over
// all routers. The home has one token bucket for each rate and counts the
// leased slots of requests in flight. Entry routers spend from what the home has
// granted them:
//
//   - A router that meets a customer without credit asks the home for it. It
//     reports all demand it saw since it last asked and what waits now. The home
//     grants for a period ahead: what the router's callers ask for, or above the
//     limit the router's share in proportion to its demand. It takes the grant out
//     of its bucket at once. So all grants together never exceed the limit,
//     whatever is lost, late or doubled on the way: a lost message only wastes credit.
//   - Credit expires after two periods, so a router that is parted from the home
//     soon has none.
//   - A slot for a request in flight is leased: the home counts it until the
//     router gives it back or has not renewed it for Config.SlotTTL.
//   - A router whose home does not answer admits only a floor, a small share of
//     the limit divided by the number of routers, so that a partition doesn't
//     stop a customer altogether and all floors together stay within that
//     share.
//
// The period grows with the number of routers that meet a customer, so that its home
// sends a bounded number of answers a second. A router asks only for customers that
// it meets, about once in a period for one with a steady demand, and at most once
// for each request for a rare one.
//
// Over any time w the fleet admits at most limit × (w + two periods) + burst +
// floor. In the long run the rate is exact from above, since every admitted request
// was paid for.
//
// Use:
//
//	decision := limiter.Admit(now, customer, limit, tokens)  // entry router
//	for _, ask := range limiter.Asks(now) { group by HomeOf } // after Wait, and every second
//	answer := home.Answer(now, from, limiter.Ask(entries))   // at the home
//	limiter.Granted(now, answer)                             // then call Again for what waits
//	limiter.Finished(now, customer)                          // a request ended
package limits
