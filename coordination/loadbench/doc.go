// Package loadbench steps the decisions of packages admission, limits, retry,
// quarantine and slowness through simulated time, under seeded load, and
// counts what callers would see. There are no sockets, goroutines or wall
// clocks, so every figure is the same on every machine.
//
// Each model is small and only as true as its question needs:
//
//   - Serving: one engine behind one admission queue, or the same engine
//     behind a first-come queue as the baseline.
//   - Storm: callers and routers that retry against a saturated or lost pool.
//   - Crash: requests that crash engines, with routers that share suspicion.
//   - Fleet limits and slow engines have models of their own.
//
// The bounds that CI checks stand in bounds.json beside the tests.
package loadbench
