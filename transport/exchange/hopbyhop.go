package exchange

import (
	"iter"
	"net/http"
	"strings"
)

// hopByHop lists the headers that apply to a single connection (RFC 9110, section
// 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopByHop removes the hop-by-hop headers and those that Connection lists.
func RemoveHopByHop(header http.Header) {
	for _, named := range header.Values("Connection") {
		for name := range splitList(named) {
			header.Del(name)
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
	// net/http sets the length of the body that it sends.
	header.Del("Content-Length")
	header.Del("Expect")
}

// splitList returns the names in a comma-separated header.
func splitList(value string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for name := range strings.SplitSeq(value, ",") {
			if !yield(strings.TrimSpace(name)) {
				return
			}
		}
	}
}
