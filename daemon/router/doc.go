// Package router is the process that takes callers' requests and sends them to
// upstreams itself. It keeps no files.
//
// It learns the routing table and the list of upstreams from the disk VMs and
// goes on by the last of both while they are away: no request waits for them.
// It tells the other routers of its work several times a second. A router that
// starts says that it isn't ready until it knows a table.
package router
