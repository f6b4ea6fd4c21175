// Package balance chooses the upstream of each request on a router that sends
// to upstreams itself.
//
// A Book holds what the router knows of each upstream's work: its own requests
// exactly, those of the other routers by the Loads that they exchange several
// times a second, and how many of all of them failed. Pick chooses from it, and
// Homes says which engines keep the beginning of a prompt.
//
// Ways weighed and their figures: docs/design/platform.md.
//
// Failures guarded:
//
//   - Routers that see an upstream's load late all send to the least loaded one
//     at once. The choice for a prompt is its home, which is spread over all
//     engines and doesn't follow the load of the moment; the load only bounds
//     it. Requests without a prompt go by the load, with ties broken apart on
//     each router.
//   - A router dies, and its requests are counted for ever. Its Loads lapse.
//   - An upstream fails part of its requests while its health check is good. It
//     is judged by outcomes, of all routers together, because one router alone
//     sees too few of them.
//   - Nearly all upstreams fail, by a fault of the network or of the request.
//     A bad judgement never empties the set.
package balance
