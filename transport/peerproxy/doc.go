// Package peerproxy lets a router that has no path to upstreams send requests to them through
// another router, the proxy.
//
// The router that has the caller chooses the upstream, counts the attempt, and decides about
// retries and resumed streams as if it had sent the attempt itself: the proxy sends one attempt
// once, to the upstream that it is told, and passes the answer on as it comes. It sends over its
// own connections only, never through a third router.
//
// Both speak HTTP. The request is the one that the upstream gets, with a Target in one header.
// A Refusal in the answer says that nothing was sent, or that the upstream lost the request.
//
// The package guards against these failures:
//
//   - A request that may run once runs twice. The proxy says that nothing was sent only if no
//     byte can have reached the upstream; if its connection to the router or the upstream
//     breaks, it is unknown.
//   - The proxy sends what it wouldn't send for its own callers: to an upstream that leaves,
//     wants no requests from this VM, is evacuated, or isn't the one that was chosen. It refuses
//     that, and learns from the upstreams' answers as from those to its own requests.
//   - The requests of other routers take the proxy's memory. Their number and the bytes of their
//     bodies are bounded, and they end with their callers, or some time after their deadline if
//     the other router reads nothing more.
//   - The proxy stops while it has requests of others. It says so at once, and ends when their
//     answers are sent.
package peerproxy
