// Package routing holds the routing table of a fleet whose routers send to
// upstreams themselves: routes by host and path, services, customers with their
// keys, and limits on callers.
//
// Operators send the table whole, with a version. Check finds every mistake in
// one; NewIndex makes the form in which a router looks up routes and keys.
// Nothing here does I/O, and a Table is never changed once it is in use.
package routing
