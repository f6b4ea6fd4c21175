// Package slowstart limits what all routers together send to an upstream that is cold: it
// has just started or says that it is slow for a while, takes few requests a second, and
// crashes if it gets many more.
//
// A Limiter runs on every router and decides by itself: there is no time for a message
// while an upstream is cold for a few seconds. Each cold upstream has a few senders, the
// routers that come first for it by rendezvous hashing, and each sender may send a whole
// number of requests in a second. The senders together use a part of what the upstream
// takes, so the limit holds although routers' lists differ and more of them consider
// themselves senders. A router that misses some disk VMs may be on one side of a cut, and
// uses half. A pool that is all cold still serves, because every router
// is the sender of some upstreams.
//
// The package guards against these failures:
//   - Routers share a limit by their number, and each sends its share in the same second.
//     With more routers than requests allowed, any equal share of at least one request
//     exceeds the limit.
//   - A router has just started and knows few others, so it would be a sender for nearly
//     every upstream. It sends nothing to cold upstreams until it has known the list of
//     routers for a while.
//   - A router loses its disk VMs, or a disk VM that has just started lists few routers.
//     Routers that were listed lately still count.
//   - An upstream crashes and comes back under its ID and address before the router has
//     its announcement. An upstream to which the router couldn't connect counts as cold
//     until it is known to have served requests for its cold period since.
//   - A data centre that was evacuated is taken back, and its upstreams may have become
//     cold meanwhile. They count as cold for their cold period.
package slowstart
