// Package forward handles callers' requests on a router that sends to upstreams
// itself, and relays the upstreams' answers.
//
// Handler is the http.Handler for callers. It asks the router, through the Fleet
// interface, which upstream to use, whether a retry may be spent, and whether a
// request is quarantined because it crashes upstreams. The package itself decides
// what an answer means: whether the request has run, whether it may be sent
// again, and what the caller may be told.
//
// Failures guarded against:
//
//   - An answer that breaks off looks complete. Plain answers up to a maximum
//     size are read completely before the caller gets a byte; streams are relayed
//     in complete events; if an answer breaks off after its head was sent, the
//     caller's connection is closed.
//   - A caller is told that its request didn't run, but it did. The statuses that
//     promise this are sent only if nothing was sent to an upstream or the
//     upstream attests that it ran nothing; an upstream's 503 without that
//     attestation is turned into a 502.
//   - A stream breaks off and is resumed at another upstream. Because only
//     complete events are relayed, the other upstream resumes after an event that
//     the caller has.
//   - A stream goes on at another version of the upstreams' software than began it, after it broke
//     off or after its caller took it up again. Each stream has the build that began it; where
//     that isn't known, the caller is refused.
//   - An upstream says that it wants no more requests while others that were chosen for it
//     still connect. Each is checked again once its connection is open, and goes elsewhere.
//   - This router has no path to the chosen upstream. The attempt goes through another router
//     (package peerproxy) and counts like one of its own.
//   - The caller has disconnected. Its context ends, which closes the connection
//     to the upstream, and no other attempt follows.
package forward
