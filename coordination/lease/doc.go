// Package lease decides when a router may act on what it knows, and when a
// change that was committed is in force on the whole fleet.
//
// Each router opens a session by a committed command and renews it with the
// consensus leader by a small message each 1.25 s, which is not committed. One
// lease serves for the configuration and for the ownership of upstreams.
//
//   - Holder is the router's side. Its lease counts from the time it sent the
//     renewal that was answered, so neither a slow network nor a late answer
//     lengthens it.
//
//   - Tracker and Leader are the leader's side. They count from the time a
//     renewal was received and wait longer than the router does
//     (Timing.Wait against Timing.Lease), by more than clocks can drift apart.
//
//   - Relay gathers the renewals of many routers on another voter and serves
//     them deltas from its own applied state, so that the leader's traffic
//     stays small at 330 routers and more.
//
// A change is in force at a revision when every open session has acknowledged
// that revision in a renewal, or is closed. The leader closes a session, by a
// committed command, only after its lease ran out on the leader's clock. A
// closed session never comes back: its router opens a new one, whose ID is a
// log index, and may not act before its view has reached that index.
//
// The failures this guards against:
//
//   - A router that is cut off or frozen and goes on under old settings. Its
//     Holder is no longer valid at any time after the leader closed it.
//   - A leader behind a silent partition that goes on granting leases. It may
//     grant only while its own leader lease is valid, which ends before
//     another leader takes office, and the new leader takes every session as
//     leased from then on. So all grants of the old leader have run out before
//     the new one closes any session.
//   - A leader that was itself paused finds all renewals old. It starts all
//     waits anew instead of closing the whole fleet's sessions.
//   - A router that restarts, or returns after hundreds of changes. Its new
//     session is not valid before its view has caught up, in chunks and in one
//     step.
//   - A lost push. The next renewal, at most Timing.Renew later, reports the
//     router's position, and its reply carries what is missing.
//
// The clocks are monotonic and must go on while a process is stopped. A clock
// that stands still while a whole VM is suspended would keep a lease valid
// for too long; such platforms need the fencing number as well.
package lease
