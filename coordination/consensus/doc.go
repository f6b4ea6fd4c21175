// Package consensus replicates one log of commands across several VMs with
// disks. It implements Raft.
//
// Each member, which is a router together with one disk, runs a Core. A Core is
// a pure step machine: its methods take the time, messages, proposals and
// completed syncs, and Take returns an Output that says what to persist, send
// and apply. Package state/replica drives it. Settings holds the parameters of
// a member, Configuration is the set of members, and Status is a view of a Core
// for operators and for package repair.
//
// The algorithm follows Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm" (2014), and, for pre-vote, leases and single-step
// membership changes, Ongaro's thesis (2014):
//
//   - Each term has at most one leader, elected by a quorum of voters. A voter
//     syncs its vote before it replies, and refuses a candidate whose log is
//     behind its own.
//   - The leader appends entries. A follower acknowledges only entries that it
//     has synced. An entry is committed when it belongs to the leader's own term
//     and a quorum of disks holds it. A leader starts with a no-op, so it soon
//     has such an entry.
//   - Pre-vote and check quorum: a member that returns from a partition does not
//     disturb the leader, and a leader that receives replies from no quorum
//     steps down.
//   - Lease: a leader reads locally only while it holds its lease. See
//     quorumLeaseEnd.
//   - Learners receive the log but neither vote nor count for commits. A
//     membership change adds or removes at most one voter, and each change is
//     committed before the next one starts.
//   - A wiped or exchanged disk makes a new member. It starts blank, announces
//     itself by hello messages, and is a learner until a committed change
//     promotes it. Package repair decides such changes without an operator.
//   - Snapshots are sent in chunks within a byte budget.
//
// The package guards against the loss, restart, freeze and long isolation of
// members; against late, lost, duplicated and reordered messages; against wiped
// and exchanged disks; and against clocks that drift within the configured
// bound.
package consensus
