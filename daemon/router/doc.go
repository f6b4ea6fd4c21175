// Package router implements the router process, which takes callers' requests and
// sends them to upstreams itself. It keeps no files.
//
// A Router learns the routing table and the list of upstreams from the disk VMs
// (package control), chooses an upstream for every attempt (package balance) and sends
// its loads to the other routers several times a second. It answers the load balancer's
// readiness checks and may take upstreams' announcements for the disk VMs.
//
// The package guards against these failures:
//   - No disk VM can be reached: the router serves callers by the last table and list of
//     upstreams that it knows. No request waits for a disk VM.
//   - Upstreams are in an evacuated data centre, or cold: the router passes them over, and
//     refuses at once what no other upstream can take.
//   - The router has just started: it reports that it isn't ready until it knows a table
//     and most of the upstreams.
//   - The router is stopped while callers wait for answers: it reports that it isn't
//     ready, still takes requests until the load balancer has removed it, and ends after
//     the last answer.
package router
