package control

import (
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
)

// The messages between disk VMs and routers. All of them may be lost.

// Watch says who follows and what it has.
type Watch struct {
	// Router is false for another disk VM, which follows the roster alone.
	Router bool `msgpack:"r"`
	// Version and Digest are of the table that the sender has in force.
	Version uint64          `msgpack:"v,omitempty"`
	Digest  document.Digest `msgpack:"d"`
	// WantDocument asks for the newest table.
	WantDocument bool `msgpack:"w,omitempty"`
	// Incarnation and Revision say up to which change the sender has the
	// receiver's roster.
	Incarnation uint64 `msgpack:"i,omitempty"`
	Revision    uint64 `msgpack:"n,omitempty"`
	// Roster is the digest of the sender's own roster. Where it is the same as
	// the receiver's, no entry has to be sent, whoever it came from.
	Roster uint64 `msgpack:"o,omitempty"`
	// Fleet is the digest of the last News.Fleet taken from the receiver.
	Fleet uint64 `msgpack:"f,omitempty"`
}

// News tells a follower of the newest table and of the fleet.
type News struct {
	// Version is that of the table in force, 0 if there is none.
	Version uint64 `msgpack:"v"`
	// Bytes is the size of the change that made it.
	Bytes int `msgpack:"b,omitempty"`
	// Fleet is left out where the follower has it.
	Fleet *Fleet `msgpack:"f,omitempty"`
	// Incarnation and Revision tell a follower whose roster is the same that
	// it has all changes up to here.
	Incarnation uint64 `msgpack:"i,omitempty"`
	Revision    uint64 `msgpack:"n,omitempty"`
}

// Fleet lists the processes that a disk VM knows.
type Fleet struct {
	Digest uint64 `msgpack:"d"`
	// Packed is the compressed list; see packFleet. Names of ninety processes
	// differ in a few characters each.
	Packed []byte `msgpack:"p"`
}

// Roster carries changed entries.
type Roster struct {
	// Incarnation is that of the sender's process, which counts revisions anew.
	// It is 0 where the entries are sent unasked; then they don't say up to
	// which change the receiver has the sender's roster.
	Incarnation uint64         `msgpack:"i"`
	Revision    uint64         `msgpack:"n"`
	Entries     []roster.Entry `msgpack:"e"`
}

// Document carries the newest table as a change from what the follower has, or
// whole.
type Document struct {
	Change document.Change `msgpack:"c"`
}

// Heard tells another disk VM which upstreams still announce themselves.
type Heard struct {
	Upstreams []roster.Heard `msgpack:"u"`
}

// Put asks the leader to make a change the newest table.
type Put struct {
	Call   uint64          `msgpack:"n"`
	Change document.Change `msgpack:"c"`
}

// PutReply answers Put. Outcome is 0 where nothing is known: the receiver
// doesn't lead, or couldn't reach a quorum in time.
type PutReply struct {
	Call    uint64           `msgpack:"n"`
	Outcome document.Outcome `msgpack:"o"`
	// Held is the version in force at the leader.
	Held uint64 `msgpack:"h"`
}

// Read asks the leader which table is in force.
type Read struct {
	Call uint64 `msgpack:"n"`
}

// ReadReply answers Read after a quorum has confirmed the leader. Known is
// false where it couldn't.
type ReadReply struct {
	Call    uint64 `msgpack:"n"`
	Known   bool   `msgpack:"k"`
	Version uint64 `msgpack:"v"`
}
