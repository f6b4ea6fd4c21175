package control

import (
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// The messages between disk VMs and routers. All of them may be lost.

// Router names a router and where it is.
type Router struct {
	ID         protocol.RouterID
	DataCentre protocol.DataCentre
}

// Watch says who follows and what it has.
type Watch struct {
	// Router is false for another disk VM, which follows the roster alone.
	Router bool `msgpack:"r"`
	// Relays says that this router passes changes of upstreams on to others.
	Relays bool `msgpack:"y,omitempty"`
	// Version and Digest are of the table that the sender has in force.
	Version uint64          `msgpack:"v,omitempty"`
	Digest  document.Digest `msgpack:"d"`
	// WantDocument asks for the newest table, WantList for the parts of the roster
	// that differ from the sender's, whose Summary is Have.
	WantDocument bool           `msgpack:"w,omitempty"`
	WantList     bool           `msgpack:"l,omitempty"`
	Have         roster.Summary `msgpack:"h,omitempty"`
	// WantKeepers asks for the engines that keep prompts' beginnings.
	WantKeepers bool `msgpack:"k,omitempty"`
	// DataCentre is where a router is, and Announcements the IP:port where it takes
	// proofs of life of the upstreams there, empty where it takes none.
	DataCentre    protocol.DataCentre `msgpack:"c,omitempty"`
	Announcements string              `msgpack:"a,omitempty"`
	// Fleet is the digest of the last News.Fleet taken from the receiver.
	Fleet uint64 `msgpack:"f,omitempty"`
}

// News tells a follower of the newest table, of the roster and of the fleet.
type News struct {
	// Version is that of the table in force, 0 if there is none.
	Version uint64 `msgpack:"v"`
	// Recalled says that the table is the one that the sender had in force before it
	// started, and that no quorum has told it since whether there is a newer one.
	Recalled bool `msgpack:"e,omitempty"`
	// Bytes is the size of the change that made it.
	Bytes int `msgpack:"b,omitempty"`
	// Roster is the digest of the sender's roster, and Upstreams how many it
	// lists.
	Roster    uint64 `msgpack:"o"`
	Upstreams int    `msgpack:"u"`
	// Fleet is left out where the follower has it.
	Fleet *Fleet `msgpack:"f,omitempty"`
	// Ask names a router that can pass on what the receiver wants and the sender's
	// link has no room for.
	Ask protocol.RouterID `msgpack:"a,omitempty"`
}

// Fleet lists the processes that a disk VM knows.
type Fleet struct {
	Digest uint64 `msgpack:"d"`
	// Packed is the compressed list; see packFleet. Names of ninety processes
	// differ in a few characters each.
	Packed []byte `msgpack:"p"`
}

// Changes carries entries that the sender was told just now, and those that the
// receiver hasn't acknowledged.
type Changes struct {
	// Number is 0 for those that a router passes on, which aren't acknowledged.
	Number uint64 `msgpack:"n"`
	// PassOn says that the routers behind the receiver weren't told.
	PassOn bool `msgpack:"p,omitempty"`
	// Entries are a few, Packed many, compressed; see packEntries.
	Entries []roster.Entry `msgpack:"e,omitempty"`
	Packed  []byte         `msgpack:"k,omitempty"`
}

// newChanges packs entries where that is worth it.
func newChanges(entries []roster.Entry) Changes {
	if len(entries) < packFrom {
		return Changes{Entries: entries}
	}
	return Changes{Packed: packEntries(entries)}
}

// size is about what the message takes, in bytes.
func (c Changes) size() int { return changesBytes + entryBytes*len(c.Entries) + len(c.Packed) }

// all returns the entries. Error: damage.
func (c Changes) all() ([]roster.Entry, error) {
	if len(c.Packed) == 0 {
		return c.Entries, nil
	}
	return unpackEntries(c.Packed)
}

// ChangesAck acknowledges Changes.
type ChangesAck struct {
	Number uint64 `msgpack:"n"`
}

// List is the roster of a disk VM, without the parts that the receiver has.
type List struct {
	// Digest is that of the whole roster.
	Digest uint64 `msgpack:"d"`
	// Buckets are the parts that are in it.
	Buckets roster.Buckets `msgpack:"b"`
	// Packed is the compressed list of entries; see packList.
	Packed []byte `msgpack:"p"`
}

// Document carries the newest table as a change from what the follower has, or
// whole.
type Document struct {
	Change document.Change `msgpack:"c"`
	// Recalled says that a router sends it, and serves by it only as no disk VM knows
	// yet whether there is a newer one.
	Recalled bool `msgpack:"e,omitempty"`
}

// Heard tells a disk VM which upstreams still announce themselves.
type Heard struct {
	Upstreams []roster.Heartbeat `msgpack:"u"`
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
