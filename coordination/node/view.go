package node

import (
	"strings"
	"time"

	"endiveplank/coordination/limits"
	"endiveplank/protocol"
	"endiveplank/protocol/upstreamapi"
)

// View is the configuration in force on this router: what the replicated
// state says at one revision, indexed for the decisions. It is never changed
// once built.
type View struct {
	Revision uint64
	// Customers finds customers by the digests of their bearer keys.
	Customers Keys
	Routes    []Route
	Upstreams map[protocol.UpstreamID]*Upstream
	// Models and Services list the upstreams that serve each, sorted by ID.
	Models   map[protocol.Model][]*Upstream
	Services map[protocol.Service][]*Upstream
	// Routers lists the routers with an open session, sorted.
	Routers []protocol.RouterID
}

// Customer is one customer's row.
type Customer struct {
	ID       protocol.CustomerID
	Disabled bool
	// Class is the priority class, 0 the most urgent.
	Class  int
	Weight float64
	// Limits over the whole fleet; 0 means none.
	RequestsPerSecond float64
	TokensPerSecond   float64
	Concurrent        int
}

// Route sends a path prefix to a plain service.
type Route struct {
	Prefix  string
	Service protocol.Service
	// Idempotent says that a request may be sent again.
	Idempotent bool
	Deadline   time.Duration
}

// Upstream is what the replicated state says about one upstream.
type Upstream struct {
	ID         protocol.UpstreamID
	Kind       upstreamapi.Kind
	Address    string
	DataCentre protocol.DataCentre
	Models     []protocol.Model
	Service    protocol.Service
	// Announced and AnnouncedMax are capacity and concurrency as announced;
	// Capacity and MaxConcurrent are what operators made of them.
	Announced     float64
	AnnouncedMax  int
	Capacity      float64
	MaxConcurrent int
	ChecksFence   bool
	// Drain means that an operator wants no new work on it.
	Drain bool
	// Owner is empty while the upstream has no owning router.
	Owner protocol.RouterID
	Fence protocol.Fence
	// Moving means that the owner was asked to give it up.
	Moving bool
	// Mine means that this router's own session is the owner. An earlier
	// session of the same router doesn't count.
	Mine bool
	// Index numbers the upstreams of a view from 0.
	Index int
}

// route returns the longest route whose prefix the path has.
func (v *View) route(path string) (Route, bool) {
	best := Route{}
	found := false
	for _, candidate := range v.Routes {
		if !matches(path, candidate.Prefix) {
			continue
		}
		if !found || len(candidate.Prefix) > len(best.Prefix) {
			best = candidate
			found = true
		}
	}
	return best, found
}

// matches says whether a path stands under a prefix, at a slash.
func matches(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/' || rest[0] == '?'
}

// limits lists the customers that have limits.
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
