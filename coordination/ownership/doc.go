// Package ownership decides which router owns which upstream, and keeps that
// decision in the replicated state. The owner of an upstream counts its load
// and admits requests to it.
//
// Every upstream has at most one owner at a time:
//
//   - A router opens a session by a committed command (Open) and keeps it by
//     renewing a lease with the consensus leader (package lease).
//   - The leader calls MakePlan, which assigns unowned upstreams to sessions
//     and asks owners to release upstreams that should move. The leader
//     proposes the plan as Assign, Move and Forget commands.
//   - State applies the commands. It assigns only upstreams that nobody owns,
//     so an owner changes only after a Release by the old owner or a Close of
//     the old owner's session.
//   - A Guard in the owner checks every admission against the router's own
//     lease and its newest view of the assignments.
//
// The failures it guards against:
//
//   - A frozen owner resumes and admits requests while its successor does too.
//     Two routers would count the load, and the upstream would exceed its load
//     bound. The lease has expired by the frozen router's own clock, so its
//     Guard refuses, and the leader closes the session only after waiting
//     longer than the lease.
//   - A leader acts on a stale view: State ignores an Assign of an upstream
//     that has an owner.
//   - One router ID has two sessions, after a restart or because two processes
//     have the same settings: sessions, not routers, own upstreams.
//
// The target is 790 upstreams over 330 routers; tests go up to 1,000 routers.
package ownership
