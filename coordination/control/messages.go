package control

import (
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/document"
	"endiveplank/coordination/evacuation"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// The messages between disk VMs and routers. Each of them may be lost.

// Router is a router's ID and its data centre.
type Router struct {
	ID         protocol.RouterID
	DataCentre protocol.DataCentre
}

// Watch asks a disk VM, or another router, for what the sender lacks, and says what the
// sender has.
type Watch struct {
	// Router is false for another disk VM, which follows the roster alone.
	Router bool `msgpack:"r"`
	// Relays says that this router passes changes of upstreams on to other routers.
	Relays bool `msgpack:"y,omitempty"`
	// Version and Digest identify the table that the sender has in force.
	Version uint64          `msgpack:"v,omitempty"`
	Digest  document.Digest `msgpack:"d"`
	// WantDocument asks for the newest table. WantList asks for the parts of the roster
	// that differ from the sender's, whose Summary is Have.
	WantDocument bool           `msgpack:"w,omitempty"`
	WantList     bool           `msgpack:"l,omitempty"`
	Have         roster.Summary `msgpack:"h,omitempty"`
	// WantCacheHolders asks which engines hold which prompt prefixes in their caches.
	WantCacheHolders bool `msgpack:"k,omitempty"`
	// DataCentre is the router's data centre. AnnounceAddress is the IP:port where the
	// router takes heartbeats of the upstreams there; it is empty if the router takes
	// none.
	DataCentre      protocol.DataCentre `msgpack:"c,omitempty"`
	AnnounceAddress string              `msgpack:"a,omitempty"`
	// Fleet is the digest of the last Status.Fleet that the receiver sent to the sender.
	Fleet uint64 `msgpack:"f,omitempty"`
	// Evacuations is the digest of the evacuations that the sender has in force.
	Evacuations uint64 `msgpack:"z,omitempty"`
	// Quarantines is the digest of what the sender has quarantined. Lacking is its list, if
	// the receiver's was another one and is the disk VM that the sender prefers.
	Quarantines uint64               `msgpack:"q,omitempty"`
	Lacking     []crashes.Quarantine `msgpack:"x,omitempty"`
}

// Status tells a follower which table, roster and fleet the sending disk VM has.
type Status struct {
	// Version is the version of the table in force, 0 if there is none.
	Version uint64 `msgpack:"v"`
	// Restored says that the sender had this table in force before it restarted. Since
	// then no quorum has confirmed whether there is a newer one.
	Restored bool `msgpack:"e,omitempty"`
	// Bytes is the size of the change that made this table.
	Bytes int `msgpack:"b,omitempty"`
	// Roster is the digest of the sender's roster, and Upstreams the number of usable
	// upstreams in it.
	Roster    uint64 `msgpack:"o"`
	Upstreams int    `msgpack:"u"`
	// Fleet is nil if the follower has it or was sent one a moment ago, or if the
	// sender's link has no capacity for it.
	Fleet *Fleet `msgpack:"f,omitempty"`
	// Referral names a router that can send what the receiver asked for and the sender's
	// link has no capacity for. It is empty if the sender refers the receiver to nobody.
	Referral protocol.RouterID `msgpack:"a,omitempty"`
	// Evacuations are the last orders of all data centres that the sender knows, nil if the
	// follower has them.
	Evacuations []evacuation.Record `msgpack:"z,omitempty"`
	// Quarantines is the digest of what the sender has quarantined. Quarantined is its list,
	// nil if the follower has it.
	Quarantines uint64               `msgpack:"q,omitempty"`
	Quarantined []crashes.Quarantine `msgpack:"x,omitempty"`
}

// Fleet lists the disk VMs and routers that a disk VM knows.
type Fleet struct {
	Digest uint64 `msgpack:"d"`
	// Packed is the compressed list; see packFleet. It compresses well because the names
	// of ninety processes differ in a few characters each.
	Packed []byte `msgpack:"p"`
}

// Changes carries roster entries that the sender has just learned from upstreams, or
// entries that it sent before and that the receiver hasn't acknowledged.
type Changes struct {
	// Number is 0 if a router relays the message. Such messages aren't acknowledged.
	Number uint64 `msgpack:"n"`
	// PassOn says that the sender didn't send these changes to the routers that the
	// receiver relays to.
	PassOn bool `msgpack:"p,omitempty"`
	// Entries holds a few entries. Many are compressed into Packed; see packEntries.
	Entries []roster.Entry `msgpack:"e,omitempty"`
	Packed  []byte         `msgpack:"k,omitempty"`
}

// newChanges returns a message with entries, packed if there are packThreshold or more.
func newChanges(entries []roster.Entry) Changes {
	if len(entries) < packThreshold {
		return Changes{Entries: entries}
	}
	return Changes{Packed: packEntries(entries)}
}

// size returns the approximate size of the message in bytes.
func (c Changes) size() int { return changesBytes + entryBytes*len(c.Entries) + len(c.Packed) }

// all returns the entries. It fails if the packed ones are damaged.
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

// List carries the roster of a disk VM without the parts that the receiver has.
type List struct {
	// Digest is the digest of the sender's whole roster.
	Digest uint64 `msgpack:"d"`
	// Buckets are the parts of the roster that the list contains.
	Buckets roster.Buckets `msgpack:"b"`
	// Packed is the compressed list of entries; see packList.
	Packed []byte `msgpack:"p"`
}

// Document carries the newest table, either as a change to the table that the follower
// has or as a change that makes it from nothing.
type Document struct {
	Change document.Change `msgpack:"c"`
	// Restored says that the sender is a router, and that it has this table from a disk
	// VM that set Status.Restored: no disk VM knows yet whether there is a newer table.
	Restored bool `msgpack:"e,omitempty"`
	// Evacuations are the last orders that the sender knows, so that no router serves by
	// this table without them.
	Evacuations []evacuation.Record `msgpack:"z,omitempty"`
}

// Heartbeats tells a disk VM which upstreams have announced themselves to the sender
// lately.
type Heartbeats struct {
	Upstreams []roster.Heartbeat `msgpack:"u"`
}

// Put asks the leader to put a changed table in force.
type Put struct {
	// Call identifies the request among the sender's. The reply repeats it.
	Call   uint64          `msgpack:"n"`
	Change document.Change `msgpack:"c"`
}

// PutReply answers Put. Outcome is 0 if the outcome is unknown: the receiver isn't the
// leader, or it couldn't reach a quorum in time.
type PutReply struct {
	Call    uint64           `msgpack:"n"`
	Outcome document.Outcome `msgpack:"o"`
	// InForce is the version in force at the leader.
	InForce uint64 `msgpack:"h"`
}

// Evacuate asks the leader to commit an operator's order.
type Evacuate struct {
	// Call identifies the request among the sender's. The reply repeats it.
	Call  uint64           `msgpack:"n"`
	Order evacuation.Order `msgpack:"o"`
}

// EvacuateReply answers Evacuate. Outcome is 0 if the outcome is unknown.
type EvacuateReply struct {
	Call    uint64             `msgpack:"n"`
	Outcome evacuation.Outcome `msgpack:"o"`
}

// Read asks the leader which table version and evacuations are in force.
type Read struct {
	// Call identifies the request among the sender's. The reply repeats it.
	Call uint64 `msgpack:"n"`
}

// ReadReply answers Read after a quorum has confirmed the leader. Known is false if the
// quorum couldn't be reached.
type ReadReply struct {
	Call    uint64 `msgpack:"n"`
	Known   bool   `msgpack:"k"`
	Version uint64 `msgpack:"v"`
	// Evacuations are the last orders of all data centres.
	Evacuations []evacuation.Record `msgpack:"z,omitempty"`
}
