// Package limits holds each customer's limits over the whole fleet: tokens per
// second, requests per second and requests in flight.
//
// A customer's requests arrive through any router, so each router sees only a
// small part of them. The home of a customer is the one router that manages the
// customer's limits: it keeps the account for the fleet. HomeOf chooses it by rendezvous hashing, so accounts spread over
// all routers, and each router is the home of some customers. The home has one token bucket for each rate and counts the
// leased slots of requests in flight. Entry routers, which receive the requests
// of callers, spend the credit that the home has granted them:
//
//   - A router that receives a request of a customer for which it has no credit
//     requests credit from the home. It reports the demand since its last
//     request and the work that waits now. The home grants credit for a period
//     ahead: as much as the router's callers need or, when the fleet's demand
//     exceeds the limit, a share in proportion to the router's demand. The home
//     takes the grant out of its bucket at once. So all grants together never
//     exceed the limit, even if messages are lost, late or duplicated: a lost
//     message only wastes credit.
//   - Credit expires after two periods, so a router that is partitioned from the
//     home soon has none.
//   - A slot for a request in flight is leased: the home counts it until the
//     router returns it or has not renewed it for Config.SlotTTL.
//   - A router whose home doesn't answer admits only the floor: a small share of
//     the limit, divided by the number of routers. So a partition doesn't stop
//     a customer altogether, and all routers' floors together stay within that
//     share.
//
// The period grows with the number of routers that serve a customer, so that its
// home sends a bounded number of grants a second. A router requests credit only for
// customers whose requests it receives: about once a period for a customer with
// steady demand, and at most once a request for a customer that rarely sends one.
//
// Over any time w the fleet admits at most limit × (w + two periods) + burst +
// floor. In the long run the limit is never exceeded, since the home has granted the
// credit for every admitted request.
//
// Use:
//
//	decision := limiter.Admit(now, customer, limit, tokens)  // entry router
//	for _, due := range limiter.DueRequests(now) { group by HomeOf } // after Wait, and every second
//	grant := home.HandleRequest(now, from, limiter.NewRequest(entries)) // at the home
//	limiter.HandleGrant(now, grant)                          // then Retry the requests that wait
//	limiter.Finished(now, customer)                          // a request ended
package limits
