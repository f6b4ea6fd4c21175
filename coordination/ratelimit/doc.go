// Package ratelimit decides which requests a router admits while the upstreams of their service
// are short of capacity.
//
// A Limiter runs on every router for each service. It learns a limit in requests a second for
// all routers together, from the sums of their counts (coordination/demand), and from the
// requests in flight on the announced slots. The limit is cut while many answers are late and
// the slots are taken, follows the requests in flight so that the upstreams' queues stay short
// but don't run empty, and is lifted when demand is well below it. The limit is divided among the
// ranks of urgency and, within a rank, among the customers; a request is admitted with the
// probability share / demand of its rank and customer, so routers needn't agree on single
// requests.
//
// The package guards against these failures:
//
//   - Each router alone sees too few answers to learn from, and refuses requests that another
//     one would admit. All decide by the same sums, and each limit approaches the others'.
//   - Queues fill up before a limit is known, and stay full: a limit that only equals what the
//     upstreams complete never drains them. The limit is lower while too many requests wait.
//   - A limit follows what is served and what is served follows the limit, downwards. The
//     learned limit is raised while slots are free, and not cut below inTimePart of the answers in
//     time.
//   - Answers are late for another reason than load, as from a slow upstream. There is no limit
//     while slots are free, or where upstreams don't announce them.
//   - Half of the upstreams are lost or added. The limit is kept per slot.
//   - Routers are killed and forget the limit. One that starts takes it from the others' reports.
//   - A router is cut off and takes the whole limit for its own. It goes on with its part.
//   - Less urgent requests get nothing. Each rank and customer keeps a floor.
//   - One customer asks for many times as much as the others, which are refused because of it.
//     What exceeds its share is refused first.
package ratelimit
