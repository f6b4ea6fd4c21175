// Package consensus keeps one log of commands on several VMs with disks.
//
// Each member (a router together with one disk) runs a Core, a pure step
// machine: time, messages, proposals and the news of a finished sync go in by
// methods; Take returns what to persist, send and apply. The driver is package
// state/replica.
//
// The mechanism is that of Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014; Ongaro's thesis, 2014, for
// pre-vote, leases and single-step membership change):
//
//   - One leader a term, elected by a quorum of voters. A vote is synced
//     before it is answered, and is refused to a candidate whose log is behind.
//   - The leader appends; a follower acknowledges only what it has synced; an
//     entry of the leader's own term on a quorum of disks is committed. A
//     leader starts with a no-op, so it soon has one.
//   - Pre-vote and check quorum: a member that was cut off disturbs nobody
//     when it returns, and a leader that no quorum answers steps down.
//   - Lease: see leaseUntil. A leader reads locally only while it holds it.
//   - Learners receive the log and decide nothing. Membership changes by one
//     voter at a time, each step committed before the next.
//   - A wiped or exchanged disk is another member: it comes back blank, says
//     hello, and is a learner until a committed change promotes it. Package
//     repair decides such changes without an operator.
//   - Snapshots go in chunks within a byte budget.
//
// Failures guarded: loss, restart, freeze and long isolation of members; late,
// lost, doubled and reordered messages; wiped and exchanged disks; clocks that
// drift within the stated bound.
package consensus
