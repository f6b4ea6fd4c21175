// Package lease decides when a router may act on its copy of the fleet state,
// and when a committed change is in force on the whole fleet.
//
// Each router opens a session with a committed command. It renews the session
// with a small message to the consensus leader every 1.25 s; renewals are not
// committed. One lease covers both the configuration and the ownership of
// upstreams.
//
//   - Holder is the router's side. Its lease counts from the time at which it
//     sent the renewal that was granted, so neither a slow network nor a late
//     reply extends the lease. Member drives a Holder through a router's whole
//     life, from opening a session to a planned stop.
//
//   - Tracker and Leader are the leader's side. They count from the time at
//     which a renewal arrived and wait longer than the router does
//     (Timing.ExpireAfter against Timing.Lease), by more than the clocks can
//     drift apart in that time.
//
//   - Relay collects the renewals of many routers on another voter and sends
//     the routers deltas from its own applied state. This keeps the leader's
//     traffic small with 330 routers and more.
//
// A change is in force at a revision when every open session has acknowledged
// that revision in a renewal or has been closed. The leader closes a session,
// by a committed command, only after its lease has expired on the leader's
// clock. A closed session is never reopened: its router opens a new one. The
// new session's ID is a log index, and the router may not act before its view
// has reached that index.
//
// The package guards against these failures:
//
//   - A router that is partitioned or frozen and continues with outdated
//     settings. Its Holder is invalid by the time the leader closes its session.
//   - A leader behind a partition that goes on granting leases. It may grant
//     only while its own leader lease is valid, and that lease ends before
//     another leader takes over. The new leader treats every session as renewed
//     at the start of its term, so all leases that the old leader granted have
//     expired before the new one closes any session.
//   - A leader that was itself paused, to which all renewals look old. It
//     restarts the wait of every session instead of closing the whole fleet's
//     sessions.
//   - A router that restarts, or that returns after hundreds of changes. Its new
//     session is not valid before its view has caught up. The view receives the
//     changes in chunks and applies them in one step.
//   - A lost push. The next renewal, at most Timing.RenewEvery later, reports the
//     router's position, and its reply carries the missing changes.
//
// The clocks are monotonic and must advance while a process is stopped. A clock
// that stands still while a whole VM is suspended would keep a lease valid for
// too long. Such platforms also need the fencing number of each assignment
// (ownership.Assignment.Fence).
package lease
