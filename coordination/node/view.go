package node

import (
	"strings"
	"time"

	"endiveplank/coordination/limits"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// View is the configuration in force on this router: the replicated state at
// one revision, indexed for lookups. It is immutable once built.
type View struct {
	Revision uint64
	// Customers maps the digests of bearer keys to customers.
	Customers Keys
	Routes    []Route
	Upstreams map[protocol.UpstreamID]*Upstream
	// Models and Services list the upstreams of each model and each plain
	// service, sorted by ID.
	Models   map[protocol.Model][]*Upstream
	Services map[protocol.Service][]*Upstream
	// Routers lists the routers with an open session, sorted.
	Routers []protocol.RouterID
}

// Customer is one customer's row of the table.
type Customer struct {
	ID       protocol.CustomerID
	Disabled bool
	// Class is the priority class; 0 is the most urgent.
	Class  int
	Weight float64
	// The limits hold over the whole fleet; 0 means no limit.
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrent        int
}

// Route sends requests whose path has a prefix to a plain service.
type Route struct {
	Prefix  string
	Service protocol.Service
	// Idempotent means that a request may be sent more than once. Requests of
	// other routes are orders, which may run at most once.
	Idempotent bool
	Deadline   time.Duration
}

// Upstream is one upstream as the replicated state describes it.
type Upstream struct {
	ID         protocol.UpstreamID
	Kind       upstreamapi.Kind
	Address    string
	DataCentre protocol.DataCentre
	Models     []protocol.Model
	Service    protocol.Service
	// Build is the version of its software.
	Build string
	// AnnouncedCapacity and AnnouncedMaxConcurrent are the values that the
	// upstream announced. Capacity and MaxConcurrent are the values in force
	// after the operators' settings.
	AnnouncedCapacity      float64
	AnnouncedMaxConcurrent int
	Capacity               float64
	MaxConcurrent          int
	ChecksFence            bool
	// Drain means that operators want no new work on the upstream.
	Drain bool
	// Owner is empty while the upstream has no owning router.
	Owner protocol.RouterID
	Fence protocol.Fence
	// Moving means that the owner was asked to release the upstream.
	Moving bool
	// OwnedHere means that the present session of this router is the owner. An
	// earlier session of the same router doesn't count.
	OwnedHere bool
	// Index is the position of the upstream in its view, from 0.
	Index int
}

// route returns the route with the longest prefix that matches the path.
func (v *View) route(path string) (Route, bool) {
	best := Route{}
	found := false
	for _, candidate := range v.Routes {
		if !hasPathPrefix(path, candidate.Prefix) {
			continue
		}
		if !found || len(candidate.Prefix) > len(best.Prefix) {
			best = candidate
			found = true
		}
	}
	return best, found
}

// hasPathPrefix reports whether a path equals a prefix or continues it at a
// slash or at the query string.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/' || rest[0] == '?'
}

// limits returns the limits of all customers.
func (v *View) limits() map[protocol.CustomerID]limits.Limit {
	listed := map[protocol.CustomerID]limits.Limit{}
	v.Customers.Each(func(customer *Customer) { listed[customer.ID] = customer.limit() })
	return listed
}

func (c *Customer) limit() limits.Limit {
	return limits.Limit{
		TokensPerSecond:   c.TokensPerSecond,
		RequestsPerSecond: c.RequestsPerSecond,
		Concurrent:        c.Concurrent,
	}
}
