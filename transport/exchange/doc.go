// Package exchange sends requests to upstreams over connections that are kept,
// and reads the answers.
//
// net/http writes the requests and reads the answers, but its Transport is not
// used: it sends a request again by itself when a kept connection breaks, it
// may read an answer that nobody asked for as the answer to the next request,
// and it doesn't tell whether a byte has left.
//
// Failures guarded:
//
//   - A kept connection was closed by the upstream. It is looked at before it
//     is used again, and isn't kept longer than the upstream says.
//   - An answer that nobody waits for lies on a kept connection. A connection
//     with unread bytes isn't used again; one that comes later is known by the
//     name that it repeats, and skipped.
//   - An answer without a length ends with its connection; one that was reset
//     looks the same to a careless reader. Only a clean end counts.
//   - The upstream answers before it has read the body, and reads on. The rest
//     of the body is sent, or the connection is dropped.
//   - The upstream, or the way to it, is gone without a word. What was sent
//     isn't acknowledged, and TCP_USER_TIMEOUT ends the connection; one on
//     which nothing is under way is found out by keep-alive probes.
package exchange
