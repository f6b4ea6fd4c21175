// Package throttle limits what a router sends to fragile upstreams: those that say that they
// fall over if they have to refuse more than some requests in a second.
//
// A Throttle runs on every router. It notes what fragile upstreams answer, and counts their
// refusals for lack of room, its own and those that other routers tell it of at once. Once an
// upstream has refused a part of what it bears in a second, every router cuts what it sends
// there to less than what the upstream has lately served it, and raises that again: quickly up
// to where the upstream refused requests before, slowly beyond. What no upstream may be sent is refused by
// the router.
//
// The package guards against these failures:
//
//   - Many routers fill the same fragile upstream, each refused only now and then, and together
//     more often than it bears. All of them cut at the same time, so together they send no more
//     than it serves, whatever their number.
//   - It falls over, its requests go to the others of its service, and these fall over too.
//   - A load report that is some tenths of a second old tells of the refusals after the upstream
//     has fallen over. They are told by a message of their own, of which a router sends a bounded
//     number.
//   - A router loses its paths to the upstreams for a while. It is served nothing, would cut its
//     limits to almost nothing with the others, and be served less than they for long after its
//     paths are back. It cuts no limits meanwhile.
//   - Upstreams stop to be fragile, and are still sent little. Limits end with that.
package throttle
