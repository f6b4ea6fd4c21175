// Package reach decides by which way a router sends requests to upstreams: over its own
// connections, or through another router, its proxy.
//
// Paths keeps to which upstreams the router can open connections. It goes by this router's
// own connection attempts alone. Proxies keeps which other routers can send requests for a
// router that has no path.
//
// The package guards against these failures:
//
//   - A router loses its paths to all upstreams, while callers and other routers still reach
//     it. It would try a few upstreams for each request and refuse it. After a few
//     connection attempts to different upstreams have failed, with none that succeeded and no
//     answer in between, it counts as isolated and sends everything through proxies.
//   - Other routers report answers from an upstream that this one can't reach, and it takes
//     the upstream for reachable again.
//   - A router takes its lost path for failures of the upstreams. The others would avoid
//     upstreams that answer them, and refuse requests as if these had crashed the upstreams.
//     What may be either is held until it is known which.
//   - An upstream dies, and each of many routers loses requests to it until it has found out by
//     itself. Routers tell each other, and probe what they are told of before they go on to use it.
//   - The only upstreams that an isolated router tries are the few that it tried before, so
//     it never learns that its path is back. It probes others too, without a request.
//   - All isolated routers choose the same proxy, or one that is isolated itself.
package reach
