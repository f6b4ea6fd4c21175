// Package control decides what the disk VMs, which keep the routing table and
// hear the upstreams, and the routers, which follow them, tell each other.
//
// A Follower sends Watch to every disk VM it knows, once a second and whenever
// it lacks something. A Publisher answers with News, Roster and Document, and
// sends News and Roster unasked when something changes. Every message may be
// lost: the next Watch says what the router has, and it gets what it lacks. A
// router learns the other disk VMs and routers on the way, so one address that
// works is enough.
//
// Large tables are pulled, not pushed: five disk VMs that each push a whole
// table to ninety routers would fill their links for seconds. All tell its
// version, and a router asks one of them for it, another when that one doesn't
// answer.
//
// Failures guarded: every disk VM is away (the Follower keeps what it has and
// goes on asking); a disk VM is replaced at another address (others name it); a
// disk VM restarts and counts its changes anew (its incarnation differs, and it
// sends its whole roster); a disk VM is behind a partition and has an old table
// (a Follower never goes back to a lower version).
package control
