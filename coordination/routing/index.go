package routing

import (
	"crypto/sha256"
	"strings"

	"endiveplank/protocol"
)

// Index is a table in the form in which a router looks things up. It is read
// by many goroutines and never changed.
type Index struct {
	table    *Table
	hosts    map[string]*node
	services map[protocol.Service]*Service
	keys     map[[sha256.Size]byte]*Customer
}

// node is a directory in the tree of a host's path prefixes.
//
// Load: several hundred routes for one host and hundreds of requests a second
// on a fifth of a core. Walking all routes for each request would cost more
// than forwarding it; here the cost is the number of directories in the path.
type node struct {
	route    *Route
	children map[string]*node
}

// NewIndex prepares a table that Check found no mistake in.
func NewIndex(t *Table) *Index {
	index := &Index{
		table:    t,
		hosts:    map[string]*node{},
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

// insert puts a route under its host and prefix.
func (x *Index) insert(r *Route) {
	host := strings.ToLower(r.Host)
	at := x.hosts[host]
	if at == nil {
		at = &node{}
		x.hosts[host] = at
	}
	for name := range strings.SplitSeq(strings.Trim(r.PathPrefix, "/"), "/") {
		if name == "" {
			continue
		}
		next := at.children[name]
		if next == nil {
			next = &node{}
			if at.children == nil {
				at.children = map[string]*node{}
			}
			at.children[name] = next
		}
		at = next
	}
	at.route = r
}

// Table returns the table behind the index.
func (x *Index) Table() *Table { return x.table }

// Service returns a service, nil if the table has none of that name.
func (x *Index) Service(name protocol.Service) *Service { return x.services[name] }

// Route returns the route with the longest prefix that begins the path, nil if
// there is none. The path is without its query. A port in the host is ignored.
func (x *Index) Route(host, path string) *Route {
	at := x.hosts[hostName(host)]
	rest, rooted := strings.CutPrefix(path, "/")
	if at == nil || !rooted {
		return nil
	}
	found := at.route
	for {
		name, after, slash := strings.Cut(rest, "/")
		if !slash {
			return found
		}
		at = at.children[name]
		if at == nil {
			return found
		}
		if at.route != nil {
			found = at.route
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

// Customer returns who holds a key, nil if nobody does. Keys are looked up by
// their digest, so that the time taken tells nothing about other keys.
func (x *Index) Customer(key string) *Customer {
	return x.keys[sha256.Sum256([]byte(key))]
}

// NeedsKeys reports whether callers of routes that aren't public need a key.
func (x *Index) NeedsKeys() bool { return len(x.table.Customers) > 0 }
