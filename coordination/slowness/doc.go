// Package slowness reduces the work of engines that are slower than their peers.
//
// A fail-slow engine answers health checks, accepts work and delivers tokens, but
// several times slower than it should, for example because of a throttled
// accelerator, a failing disk or a noisy neighbour. It shows as a tail of late
// answers, while the engine's own reports look normal.
//
// Tracker compares the engines of a group, which serve the same model in the same
// role, by their recent time per token. It gives each a weight in (0, 1] by which
// placement multiplies the engine's capacity.
//
//   - An engine is slow once its time per token exceeds Tolerance times the group's
//     median in several consecutive steps, which are calls of Step. The measure is
//     relative to the peers, because a burst of long prompts or a busy hour slows all
//     engines, and shifting work between them would not help.
//   - The weight of a slow engine falls at once to the inverse of its slowness, but
//     never below MinWeight. Its remaining work shows when the engine has recovered, so
//     no probes are needed.
//   - All reductions of a group's weights together never take more than MaxCut of its
//     capacity. If half of the group is slow, the rest could not carry the whole load.
//   - After a recovery the weight rises by RampPerStep in each step, so that
//     placement does not flood the empty engine. An engine that becomes slow again
//     waits twice as long before its weight next rises. Otherwise the weight of an
//     engine that is slow only under load would oscillate.
//
// Use, with one Tracker per router, fed with the streams that the router relays:
//
//	tracker.Observe(upstream, group, tokens, span)    // a stream delivered tokens in span
//	for _, change := range tracker.Step() { explain } // every StepInterval
//	weight := tracker.Weight(upstream)
package slowness
