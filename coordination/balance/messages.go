package balance

import (
	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/demand"
	"endiveplank/coordination/retryschedule"
	"endiveplank/protocol"
)

// ShortID is a hash that stands for an upstream's ID in messages between routers: 5 bytes
// instead of a dozen or more. In one of a million cases, two of a hundred upstreams share
// a ShortID, and their loads are counted together.
type ShortID uint32

// shortIDOf returns an upstream's ShortID.
func shortIDOf(id protocol.UpstreamID) ShortID {
	return ShortID(xxhash.Sum64String(string(id)))
}

// UpstreamLoad is one router's load on an upstream, or the sum of several routers' if a
// relay sends it. It is encoded without the names of its fields.
type UpstreamLoad struct {
	ID ShortID `msgpack:"i"`
	// InFlight counts the requests that the router has sent and that haven't ended.
	InFlight int `msgpack:"n"`
	// Served and Failed count the requests that have ended since the router started.
	Served uint64 `msgpack:"s"`
	Failed uint64 `msgpack:"f"`
}

// LoadReport is what a router sends to other routers about its load, or a relay about the
// load of several routers.
type LoadReport struct {
	// Full says that the sender has nothing in flight on upstreams that the report omits.
	Full      bool           `msgpack:"w"`
	Upstreams []UpstreamLoad `msgpack:"u"`
	// Cached announces prefixes that engines have in their caches, because they have
	// recently begun to answer prompts with them.
	Cached []CachedPrefix `msgpack:"k,omitempty"`
	// Omitted is the load in flight on upstreams of each service that a relay knows of
	// beyond what its reports tell by upstream. It counts until the next report.
	Omitted []ServiceLoad `msgpack:"o,omitempty"`
	// Demand are counts of services that are short of capacity, for a demand.Counter.
	Demand []demand.ServiceCounts `msgpack:"d,omitempty"`
	// Reservations says which refused requests are expected back.
	Reservations []retryschedule.Reported `msgpack:"p,omitempty"`
}

// empty reports whether the report says nothing.
func (r LoadReport) empty() bool {
	return !r.hasLoads() && len(r.Demand) == 0 && len(r.Reservations) == 0
}

// hasLoads reports whether the report names upstreams, prompts or services' loads.
func (r LoadReport) hasLoads() bool {
	return len(r.Upstreams) > 0 || len(r.Cached) > 0 || len(r.Omitted) > 0
}

// ServiceID is a hash that stands for a service's name in messages between routers.
type ServiceID = demand.ServiceID

// serviceIDOf returns the ServiceID of a service.
func serviceIDOf(service protocol.Service) ServiceID { return demand.ServiceIDOf(service) }

// ServiceLoad is a load on the upstreams of one service.
type ServiceLoad struct {
	ID       ServiceID `msgpack:"i"`
	InFlight int       `msgpack:"n"`
}
