package upstream

import (
	"net/http"
	"strings"

	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

// hopByHop are the headers that belong to one connection.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Content-Length":      true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// answerHeaders picks the headers of an answer that go to the caller: all but
// those about the connection to the upstream, and the fleet's own.
func answerHeaders(header http.Header) []fleet.Header {
	return pick(header, func(name string) bool { return name == "Date" })
}

// RequestHeaders picks the headers of a caller's request that go to the
// upstream: all but the caller's key, those about its connection, and those
// that the fleet sets itself.
func RequestHeaders(header http.Header) []fleet.Header {
	return pick(header, func(name string) bool {
		return name == "Authorization" || name == "Accept-Encoding" || name == "X-Forwarded-For"
	})
}

// pick copies the headers that may pass from one connection to another.
//
// What a caller or an upstream sends under the fleet's own names never passes.
// A caller's priority or attempt number would reach the engine, and an
// upstream's outcome or request ID the caller, as if the fleet had said it.
func pick(header http.Header, drop func(name string) bool) []fleet.Header {
	listed := connectionHeaders(header)
	var kept []fleet.Header
	for name, values := range header {
		if hopByHop[name] || listed[name] || strings.HasPrefix(name, protocol.HeaderPrefix) || drop(name) {
			continue
		}
		for _, value := range values {
			kept = append(kept, fleet.Header{Name: name, Value: value})
		}
	}
	return kept
}

// connectionHeaders returns the headers that the sender lists in Connection:
// they are for this hop alone (RFC 9110, section 7.6.1).
func connectionHeaders(header http.Header) map[string]bool {
	var listed map[string]bool
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			if listed == nil {
				listed = map[string]bool{}
			}
			listed[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return listed
}
