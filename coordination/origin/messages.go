package origin

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/builds"
	"endiveplank/protocol"
)

// StreamID is a hash of the ID of the caller's attempt that began a stream.
type StreamID uint64

// IDOf returns the StreamID of a stream that began with a caller's attempt.
func IDOf(attempt protocol.RequestID) StreamID { return StreamID(xxhash.Sum64String(string(attempt))) }

// Origins tells at which builds streams began.
type Origins struct {
	Groups []Group `msgpack:"g"`
	// Distribute asks a relay to send them to the streams' replicas.
	Distribute bool `msgpack:"d,omitempty"`
}

// Group holds the streams that began at one build.
type Group struct {
	Began builds.Pair `msgpack:"b"`
	// Packed are the StreamIDs, streamBytes each.
	Packed []byte `msgpack:"s"`
}

// streamBytes is the size of a StreamID in a Group.
const streamBytes = 8

// each calls f for each stream, without an incomplete one at the end of a group.
func (o Origins) each(f func(StreamID, builds.Pair)) {
	for _, group := range o.Groups {
		for rest := group.Packed; len(rest) >= streamBytes; rest = rest[streamBytes:] {
			f(StreamID(binary.BigEndian.Uint64(rest)), group.Began)
		}
	}
}

// add adds a stream.
func (o *Origins) add(stream StreamID, began builds.Pair) {
	for i := range o.Groups {
		if o.Groups[i].Began == began {
			o.Groups[i].Packed = binary.BigEndian.AppendUint64(o.Groups[i].Packed, uint64(stream))
			return
		}
	}
	o.Groups = append(o.Groups, Group{Began: began, Packed: binary.BigEndian.AppendUint64(nil, uint64(stream))})
}

// count returns the number of streams.
func (o *Origins) count() int {
	count := 0
	for _, group := range o.Groups {
		count += len(group.Packed) / streamBytes
	}
	return count
}

// Query asks where a stream began.
type Query struct {
	Call   uint64   `msgpack:"n"`
	Stream StreamID `msgpack:"s"`
	// Relayed asks a relay to ask the stream's replicas.
	Relayed bool `msgpack:"r,omitempty"`
}

// Reply answers a Query.
type Reply struct {
	Call  uint64      `msgpack:"n"`
	Known bool        `msgpack:"k,omitempty"`
	Began builds.Pair `msgpack:"b,omitempty"`
}

// Message is a message and its receiver.
type Message struct {
	To   protocol.RouterID
	Body any
}
