package routing

import (
	"crypto/sha256"
	"strings"

	"endiveplank/protocol"
)

// Index holds a table in the form in which a router looks up routes, services and
// keys. It is never changed, so many goroutines may read it.
type Index struct {
	table    *Table
	hosts    map[string]*pathNode
	services map[protocol.Service]*Service
	keys     map[[sha256.Size]byte]*Customer
}

// pathNode is a directory in the tree of a host's path prefixes.
//
// A host may have several hundred routes, and a router serves hundreds of requests
// a second on a fifth of a core. A search through all routes for each request would
// cost more than forwarding it. In the tree, the cost grows only with the number of
// directories in the path.
type pathNode struct {
	route    *Route
	children map[string]*pathNode
}

// NewIndex builds the index of a table in which Check found no mistake.
func NewIndex(t *Table) *Index {
	index := &Index{
		table:    t,
		hosts:    map[string]*pathNode{},
		services: map[protocol.Service]*Service{},
		keys:     map[[sha256.Size]byte]*Customer{},
	}
	for i := range t.Services {
		index.services[t.Services[i].Name] = &t.Services[i]
	}
	for i := range t.Routes {
		index.insert(&t.Routes[i])
	}
	for i := range t.Customers {
		for _, key := range t.Customers[i].Keys {
			index.keys[sha256.Sum256([]byte(key))] = &t.Customers[i]
		}
	}
	return index
}

// insert adds a route under its host and prefix.
func (x *Index) insert(r *Route) {
	host := strings.ToLower(r.Host)
	current := x.hosts[host]
	if current == nil {
		current = &pathNode{}
		x.hosts[host] = current
	}
	for name := range strings.SplitSeq(strings.Trim(r.PathPrefix, "/"), "/") {
		if name == "" {
			continue
		}
		next := current.children[name]
		if next == nil {
			next = &pathNode{}
			if current.children == nil {
				current.children = map[string]*pathNode{}
			}
			current.children[name] = next
		}
		current = next
	}
	current.route = r
}

// Table returns the table behind the index.
func (x *Index) Table() *Table { return x.table }

// Service returns the service of the given name, nil if the table has none.
func (x *Index) Service(name protocol.Service) *Service { return x.services[name] }

// Route returns the route of the host with the longest prefix of the path, nil if
// there is none. The path must not contain a query. A port in the host is ignored.
func (x *Index) Route(host, path string) *Route {
	current := x.hosts[hostName(host)]
	rest, rooted := strings.CutPrefix(path, "/")
	if current == nil || !rooted {
		return nil
	}
	found := current.route
	for {
		name, after, slash := strings.Cut(rest, "/")
		if !slash {
			return found
		}
		current = current.children[name]
		if current == nil {
			return found
		}
		if current.route != nil {
			found = current.route
		}
		rest = after
	}
}

// hostName returns a Host header's value without its port, in lower case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Customer returns the customer that has the key, nil if there is none. Keys are
// looked up by their digest, so that the time of a lookup reveals nothing about
// other keys.
func (x *Index) Customer(key string) *Customer {
	return x.keys[sha256.Sum256([]byte(key))]
}

// NeedsKeys reports whether callers of routes that aren't public need a key.
func (x *Index) NeedsKeys() bool { return len(x.table.Customers) > 0 }
