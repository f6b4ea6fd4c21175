package upstream

import (
	"net/http"
	"strings"

	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
)

// hopByHop lists the headers that apply to a single connection.
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

// answerHeaders returns the headers of an answer that go to the caller: all except
// those about the connection to the upstream, those that only the fleet sets, and Date.
func answerHeaders(header http.Header) []fleet.Header {
	return filterHeaders(header, func(name string) bool { return name == "Date" })
}

// RequestHeaders returns the headers of a caller's request that go to the upstream:
// all except the caller's key, those about its connection, those that only the fleet
// sets, Accept-Encoding and X-Forwarded-For.
func RequestHeaders(header http.Header) []fleet.Header {
	return filterHeaders(header, func(name string) bool {
		return name == "Authorization" || name == "Accept-Encoding" || name == "X-Forwarded-For"
	})
}

// filterHeaders copies the headers that may pass from one connection to another.
//
// Headers with the fleet's own prefix never pass. Otherwise the engine would take a
// caller's priority or attempt number, and the caller an upstream's outcome or request
// ID, for one that the fleet has set.
func filterHeaders(header http.Header, drop func(name string) bool) []fleet.Header {
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

// connectionHeaders returns the headers that the sender lists in Connection: they
// apply to this hop only (RFC 9110, section 7.6.1).
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
