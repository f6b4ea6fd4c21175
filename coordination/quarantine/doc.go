// Package quarantine finds requests that crash the upstreams that run them, and
// keeps them away from upstreams.
//
// Now and then one request crashes each engine that runs it, and its caller, or
// a router on the caller's behalf, sends it again: without quarantine it crashes
// the fleet engine by engine. Dozens of harmless requests are in flight beside it
// and fail with each engine.
//
// # Mechanism
//
// A request is known by its Digest, a hash of customer and body, so a resend
// through any router is recognised.
//
//  1. Crash. All requests in flight on a crashed upstream become suspects: each
//     of them may have caused the crash. The culprit is the request that did. The
//     owner sends all routers a Notice with five bytes for each suspect: four of
//     its digest and one for the time that it had run.
//  2. Trial. A trial is the first part of a suspect's next run, which shows
//     whether it crashes the upstream again; until then it is on trial. A suspect
//     runs again only alone: no other suspect on that
//     upstream, no other request there that started within the last second
//     (Config.ProvenAfter), and no new one until the suspect has run longer than
//     before the crash. TrialUpstream spreads suspects over upstreams and sends
//     all copies of one digest to the same owner.
//  3. Result. A suspect whose run completes is cleared. If the upstream crashes
//     during the trial, the digest is quarantined everywhere, by a Notice of
//     about 20 bytes. That takes two crashes in the usual case.
//
// When a suspect's deadline doesn't let it wait until it can run alone, it
// shares an upstream. After a crash there, the requests in flight become suspects
// or get one more crash on their record, and none is quarantined until a single
// suspect is in three crashes.
//
// # How harmless requests are protected
//
// A quarantine expires, after 5 minutes the first time, and the request then runs
// alone again; only a crash in that trial renews the quarantine, for twice as
// long. So no harmless request is refused for good. In a mass failure, several
// upstreams fail at once for a reason other than a request, for example because a
// rack or switch fails. Then no request is quarantined: at least three crashes whose requests have nothing in common don't
// count, since one bad request would be in all of them. Operators list
// and lift quarantines.
//
// # Use, one Tracker per router
//
//	result := tracker.Check(now, digest)                    // on arrival at the entry router
//	start := tracker.MayStart(now, upstream, digest, by)    // at the owner, before the gate
//	tracker.Started(now, upstream, digest, customer)
//	tracker.Ended(now, upstream, digest, outcome)
//	report := tracker.Crashed(now, upstream, incarnation)   // connections broke and it is gone
//	tracker.Merge(now, notice)                              // from another router
//
// The caller sends the notices in a report to every router. A repeated notice
// changes nothing, and a lost one costs at most one more crash.
package quarantine
