// Package forward takes callers' requests on a router that sends to upstreams
// itself, and brings their answers back.
//
// What is decided elsewhere comes through the Fleet interface: which upstream,
// whether a retry may be spent, whether a request is refused because it crashes
// upstreams. What is decided here is what an answer means: whether the request
// has run, whether it may be sent again, and what the caller may be told.
//
// Failures guarded:
//
//   - An answer that ends early looks complete. Plain answers are read whole
//     before a byte goes to the caller, up to a bound; streams are passed on by
//     whole events; what breaks after its head was sent ends with the caller's
//     connection.
//   - A caller is told that its request didn't run, and it did. The statuses
//     that promise it are given only when nothing was sent or the upstream
//     attests it; an upstream's own 503 without that is turned into a 502.
//   - A stream breaks and goes on at another upstream. Only whole events are
//     passed on, so the other one resumes behind an event that the caller has.
//   - The caller has gone. Its context ends, which closes the connection to the
//     upstream, and no other attempt follows.
package forward
