// Package balance selects the upstream of each request on a router that sends requests to
// upstreams itself.
//
// A Balancer holds the router's view of each upstream: the router's own requests in
// flight, which it knows exactly; the load of the other routers, which they send several
// times a second in LoadReports; the failure rate that all routers together have seen;
// and which engines hold the prefixes of prompts in their caches. Pick chooses from this
// view. A disk VM keeps a CacheHolderRecord, from which it sends the known cache holders to
// routers that start.
//
// docs/design/platform.md compares the strategies that were considered, with measurements.
//
// The package guards against these failures:
//
//   - Routers have stale views of an upstream's load, and all of them send to the least
//     loaded one at once. A prompt therefore goes to an engine that has its prefix
//     cached, or by rendezvous hashing, which spreads prompts over all engines and
//     doesn't depend on the current load; load only bounds the choice. Requests without a
//     prompt go to one of the upstreams with the fewest requests of this router, drawn at
//     random with weights by the moving average of the other routers' load.
//   - An upstream becomes slower, and its load shows it only once requests have piled up there. With
//     Settings.BySpeed, loads are compared at the speeds that upstreams report.
//   - A router dies, and its requests are counted for ever. They are dropped when the last
//     connection with it ends, and its LoadReports expire.
//   - A data centre is evacuated, or its engines are cold, and each router fills the other
//     engines up to a bound that is by the mean of all. The bound is lower then, and what
//     is beyond it is refused. Where so few engines are left that refusing by old news can't keep
//     the bound, each router gets a share of what each engine may have.
//   - An upstream that refuses a request says for how long it wants no others, and gets them
//     all the same, because its refusals look like an idle upstream's quick answers. It gets
//     none from this router for so long, not even as the last resort; a caller for whom no
//     other upstream is left is refused with that time.
//   - This router can't open connections to upstreams that others reach. That is kept apart from
//     the upstreams' health, which all routers judge together: others' answers don't make them
//     reachable from here, and what this router can't reach isn't avoided by the others.
//   - An upstream fails part of its requests while its health check passes. Outlier
//     detection uses the outcomes of all routers together, because one router alone sees
//     too few. Requests that can't be retried avoid such an upstream long before the
//     others do.
//   - All routers restart while the engines run on, and no router knows which engine has
//     which prefix cached. Disk VMs keep a record of it.
//   - All upstreams of a service fail for some seconds. The first ones to serve again get all
//     requests, as the others have no chance to show that they serve. The failures of all are
//     reduced with the first answer.
//   - The upstreams that this router reaches are at the load limit, and it refuses requests while
//     others that only other routers reach are idle. It sends requests to these through a proxy.
//   - Nearly all upstreams fail, because of the network or of a request. Outlier
//     detection never ejects all upstreams.
package balance
