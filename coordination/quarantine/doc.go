// Package quarantine finds requests that crash the upstreams that run them, and
// keeps them away from upstreams.
//
// Now and then one request kills each engine that runs it, and its caller, or
// a router on its behalf, sends it again: without a defence it takes down the
// fleet engine by engine. Dozens of innocent requests are in flight beside it
// and die with each engine.
//
// # Mechanism
//
// A request is known by its Digest, a hash of customer and body, so a resend
// through any router is recognised.
//
//  1. Crash. All requests in flight on a crashed upstream become suspects. The
//     owner tells all routers, by a Notice with four bytes for each suspect.
//  2. Trial. A suspect runs again only alone: no other suspect on that
//     upstream, no other request there that has run for less than a moment, and
//     no new one until the suspect has outlived the point at which the crash came.
//     TrialUpstream spreads suspects over upstreams and brings all copies of
//     one digest to the same owner.
//  3. Verdict. A suspect that ends its run, or outlives that point, is cleared. An
//     upstream that crashes with a suspect alone condemns it: the digest is
//     quarantined everywhere, by a Notice of about 20 bytes. That is two crashes
//     in the usual case.
//
// When a suspect cannot wait for a lonely upstream because of its deadline, it
// shares one. A crash then blames the intersection: suspects in flight again rank
// higher, fresh requests become suspects, and nobody is condemned except after
// three crashes that leave a single suspect in common.
//
// # What protects innocents
//
// A condemnation expires, after 5 minutes the first time, and the request is then
// tried alone again; only a crash in that trial renews it, for twice as long. So
// no innocent is refused for good. A rack or switch that takes several upstreams
// within moments condemns nobody: at least three crashes whose requests have
// nothing in common are void, since one bad request would be in all of them.
// Operators list and lift entries.
//
// # Use, one Tracker per router
//
//	verdict := tracker.Check(now, digest)                   // on arrival at the entry
//	start := tracker.MayStart(now, upstream, digest, by)    // at the owner, before the gate
//	tracker.Started(now, upstream, digest, customer)
//	tracker.Ended(now, upstream, digest, outcome)
//	report := tracker.Crashed(now, upstream, incarnation)   // connections broke and it is gone
//	tracker.Merge(now, notice)                              // from another router
//
// The caller sends the notices in a report to every router; repeated or lost
// ones do no harm beyond one more crash.
package quarantine
