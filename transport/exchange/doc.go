// Package exchange sends requests to upstreams over a pool of reused connections,
// and reads the answers.
//
// Pool keeps idle connections; Pool.Send sends a Request and returns an Answer, or a
// Failure that says whether a byte may have reached the upstream.
//
// net/http writes the requests and reads the answers, but its Transport is not
// used: it resends a request by itself when a reused connection breaks, it may take
// an unsolicited answer for the answer to the next request, and it doesn't report
// whether any byte was sent.
//
// Failures guarded against:
//
//   - The upstream has closed an idle connection. A connection is checked before
//     it is reused, and isn't kept longer than the upstream says.
//   - An unsolicited answer waits on an idle connection. A connection with unread
//     bytes isn't reused; an answer that arrives later is recognized by the request
//     ID that it repeats, and skipped.
//   - The end of an answer without a length is the end of its connection, and a
//     connection that was reset looks the same to a careless reader. Only a clean
//     close counts as the end of the answer (package strict).
//   - The upstream sends bytes without end in a head or a body. Both are bounded in size
//     (package bounded), and so is what comes in one chunk's line or in trailers (net/http).
//     Heads that take much memory share the part of it that is for answers (package limited).
//   - The upstream sends a head that isn't HTTP, but that net/http accepts. Each is checked
//     (package strict).
//   - The upstream answers before it has read the body, and goes on reading. Either
//     the rest of the body is sent, or the connection is dropped.
//   - The upstream, or the network path to it, disappears without closing the
//     connection. TCP_USER_TIMEOUT ends a connection with unacknowledged bytes;
//     keep-alive probes detect one on which nothing is being sent.
//   - A sound upstream stands still for a second and goes on. Neither of the two ends its
//     connections that soon.
package exchange
