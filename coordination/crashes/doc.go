// Package crashes detects requests that crash the upstreams which run them, on routers
// that send requests to upstreams themselves.
//
// Routers report which requests an upstream had when its connections broke (Crash). A
// Record counts the crashes of each content: what was in flight at several of them is
// quarantined, that is refused for a while. A Detector, on each disk VM, finds the part of
// prompts that requests of different contents have in common. A List holds what is
// quarantined; disk VMs and routers keep copies, which they compare all the time, so a
// process that starts again has it from the others.
//
// Package quarantine does more, as it retries suspects in isolation, but needs an owner that
// handles all requests of an upstream; here there is none.
//
// The package guards against these failures:
//
//   - A request crashes the fleet's upstreams one by one, while its caller sends it again
//     with other IDs or keys and through other routers. It is recognised by its content.
//   - Requests that have nothing but one part of their prompts in common do so. The part
//     is recognised, as each upstream crashes before it has answered, and no request with it is
//     ever answered.
//   - A request is refused although another one caused the crash at which it was in
//     flight. A quarantine therefore takes several crashes at different times, and the
//     innocent requests that are in flight at each of them have different contents. Parts
//     that they have in common are answered elsewhere, which routers tell when asked.
//   - Many upstreams lose power at once, with the same parts in flight. Crashes at nearly
//     the same time count once.
//   - A router or a disk VM starts again and has forgotten what is quarantined.
package crashes
