// Package loadbench measures the decisions of packages admission, limits, retry,
// quarantine, slowness and stream under load. It runs them in simulated time
// against seeded random arrivals and counts what callers would see. There are no
// sockets, goroutines or wall clocks, so every figure is the same on every
// machine.
//
// Each model contains only what its question needs:
//
//   - Serving: one engine behind an admission queue. The baselines are the same
//     engine behind a first-come queue and without any admission control. It
//     guards against overload that lowers goodput, makes urgent requests wait, or
//     lets one customer's surge delay the others.
//   - Fleet: routers that share customers' limits by credit. It guards against
//     limits that are missed by too much, also when messages get lost or the
//     network is partitioned, and measures the control traffic.
//   - Storm: routers that retry against a saturated or lost pool. It guards
//     against retry storms that keep the pool from recovering.
//   - Crash: requests that crash engines, with routers that quarantine them. It
//     guards against one request that crashes many engines, and against harmless
//     requests that are refused or delayed because of it.
//   - SlowEngines: a group of engines of which some are slow, and placement by
//     the weights of package slowness. It guards against slow engines that get
//     as many requests as the others, and against engines that are wrongly
//     reported slow.
//   - Stall: streams whose connections fall silent. It guards against silent
//     connections that are detected late, and against live streams that are
//     taken for silent.
//
// Scenarios returns the runs of these models, each with its metrics. The tests
// check every metric against the bounds in bounds.json.
package loadbench
