// Package builds tells which versions of their software, builds for short, the upstreams of a
// service run.
package builds

import "endiveplank/protocol"

// Pair is a build of a service.
type Pair struct {
	Service protocol.Service `msgpack:"s"`
	Build   string           `msgpack:"b"`
}
