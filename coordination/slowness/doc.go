// Package slowness gives less work to engines that are slower than their peers.
//
// A fail-slow engine answers health checks, takes work and delivers tokens, only
// several times slower than it should: a throttled accelerator, a sick disk, a noisy
// neighbour. It shows as a tail of late answers, and the engine's own reports look
// fine.
//
// Tracker compares engines with their peers of one group, the engines that serve
// the same model in the same role, by the time they lately took for a token. It
// gives each a weight in (0, 1] that placement multiplies its capacity by.
//
//   - An engine is slow when it took Tolerance times the group's median for
//     several steps in a row. Relative to peers, because a burst of long prompts or
//     a busy hour slows all, and shifting work between them would help nobody.
//   - Its weight falls at once to the inverse of its slowness, but never below
//     MinWeight: with the work that remains it shows that it has recovered. No probes
//     are needed.
//   - All cuts of a group together never take more than MaxCut of it. When half
//     the group is slow, the rest could not carry the whole load.
//   - After a recovery the weight rises by RampPerStep a step, so that placement
//     does not rush to the empty engine. One that falls back waits twice as long
//     before the next rise: an engine that is slow only under load would otherwise
//     swing up and down.
//
// Use, one Tracker per router, with what it sees of the streams it relays:
//
//	tracker.Observe(upstream, group, tokens, span)    // tokens took span, per stream
//	for _, change := range tracker.Step() { explain } // every StepInterval
//	weight := tracker.Weight(upstream)
package slowness
