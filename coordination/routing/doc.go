// Package routing holds the routing table of a fleet whose routers send requests
// to upstreams themselves: routes by host and path, services, customers with their
// keys, and limits on callers.
//
// Operators send the whole table with a version. Check finds every mistake in a
// table; NewIndex builds the Index in which a router looks up routes and keys.
// Nothing here does I/O, and a Table is never changed once it is in use.
package routing
