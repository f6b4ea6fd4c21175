package membership

import (
	"encoding/binary"
	"errors"

	"endiveplank/protocol"
)

// PacketKind is the kind of a packet. Numbers are never reused for another kind.
type PacketKind uint8

// Kinds of packets.
const (
	// Ping asks Target, the receiver, for an Ack.
	Ping PacketKind = iota + 1
	// Ack answers the Ping of that Sequence about Target.
	Ack
	// PingRequest asks the receiver to ping Target.
	PingRequest
	// Nack tells the receiver that Target did not answer this helper.
	Nack
	// Gossip carries rumours only.
	Gossip
	// Join asks a seed for its list.
	Join
	// ListRequest asks for the page of the list after the member Target.
	ListRequest
	// List is a page of the list, in order of IDs after Target.
	List
	packetKinds
)

// String returns the kind's name in metrics.
func (k PacketKind) String() string {
	names := [packetKinds]string{Ping: "ping", Ack: "ack", PingRequest: "ping-request", Nack: "nack", Gossip: "gossip", Join: "join", ListRequest: "list-request", List: "list"}
	if k == 0 || k >= packetKinds {
		return "unknown"
	}
	return names[k]
}

// PacketKinds lists all kinds, for metrics.
func PacketKinds() []PacketKind {
	return []PacketKind{Ping, Ack, PingRequest, Nack, Gossip, Join, ListRequest, List}
}

// formatVersion starts every packet.
const formatVersion = 1

// message is a decoded packet.
//
//	version   1 byte
//	kind      1 byte
//	sequence  uvarint
//	from      string: uvarint length, bytes
//	started, refuted  uvarint each, of the sender
//	digest    4 bytes, big endian: of the sender's membership
//	target    string
//	more      1 byte: 1 if the list continues after the last record
//	rumours   up to the end, see appendRumour
type message struct {
	Kind        PacketKind
	Sequence    uint64
	From        protocol.RouterID
	Incarnation Incarnation
	Digest      uint32
	Target      protocol.RouterID
	More        bool
	Rumours     []rumour
}

// rumourKind is the kind of update that a rumour carries.
type rumourKind uint8

const (
	rumourAlive rumourKind = iota + 1
	rumourSuspect
	rumourDead
	rumourLeft
	rumourItem
	rumourKinds
)

// rumour is one update about a member, or one broadcast item.
type rumour struct {
	Kind rumourKind
	// Member is complete for rumourAlive; otherwise only ID and Incarnation are
	// set. For an item they are those of its origin.
	Member Member
	// By is the member that reported a rumourSuspect or rumourDead.
	By protocol.RouterID
	// ItemKind, Key, Version and Payload belong to rumourItem. A higher
	// version replaces a lower one of the same origin, kind and key.
	ItemKind uint8
	Key      uint64
	Version  uint64
	Payload  []byte
}

// maxNameBytes bounds a router ID, address, data centre or region.
const maxNameBytes = 64

var errMalformed = errors.New("membership: packet is malformed")

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendIncarnation(b []byte, i Incarnation) []byte {
	b = binary.AppendUvarint(b, i.Started)
	return binary.AppendUvarint(b, uint64(i.Refuted))
}

// appendHead encodes a message without its rumours.
func appendHead(b []byte, m message) []byte {
	b = append(b, formatVersion, byte(m.Kind))
	b = binary.AppendUvarint(b, m.Sequence)
	b = appendString(b, string(m.From))
	b = appendIncarnation(b, m.Incarnation)
	b = binary.BigEndian.AppendUint32(b, m.Digest)
	b = appendString(b, string(m.Target))
	if m.More {
		return append(b, 1)
	}
	return append(b, 0)
}

// appendRumour encodes one rumour.
func appendRumour(b []byte, r rumour) []byte {
	b = append(b, byte(r.Kind))
	b = appendString(b, string(r.Member.ID))
	b = appendIncarnation(b, r.Member.Incarnation)
	switch r.Kind {
	case rumourAlive:
		b = appendString(b, r.Member.Address)
		b = appendString(b, string(r.Member.DataCentre))
		return appendString(b, r.Member.Region)
	case rumourSuspect, rumourDead:
		return appendString(b, string(r.By))
	case rumourItem:
		b = append(b, r.ItemKind)
		b = binary.AppendUvarint(b, r.Key)
		b = binary.AppendUvarint(b, r.Version)
		b = binary.AppendUvarint(b, uint64(len(r.Payload)))
		return append(b, r.Payload...)
	}
	return b
}

// reader reads the fields of a packet. A malformed field sets bad and reads as
// the zero value; the packet is then refused.
type reader struct {
	rest []byte
	bad  bool
}

func (r *reader) byte() byte {
	if len(r.rest) == 0 {
		r.bad = true
		return 0
	}
	first := r.rest[0]
	r.rest = r.rest[1:]
	return first
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.bad = true
		r.rest = nil
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

func (r *reader) bytes(limit int) []byte {
	length := r.uvarint()
	if r.bad || length > uint64(limit) || length > uint64(len(r.rest)) {
		r.bad = true
		return nil
	}
	taken := r.rest[:length]
	r.rest = r.rest[length:]
	return taken
}

func (r *reader) string() string { return string(r.bytes(maxNameBytes)) }

func (r *reader) id() protocol.RouterID { return protocol.RouterID(r.string()) }

func (r *reader) incarnation() Incarnation {
	started := r.uvarint()
	refuted := r.uvarint()
	if refuted > maxRefuted || started > maxStarted {
		r.bad = true
	}
	return Incarnation{Started: started, Refuted: uint32(refuted)}
}

// maxRefuted and maxStarted bound an incarnation, so that a member can always
// refute a forged one by a higher one. A member that refutes once a second takes
// years to reach maxRefuted, and a clock in milliseconds thousands of years to
// reach maxStarted.
const (
	maxRefuted = 1 << 30
	maxStarted = 1 << 50
)

func (r *reader) digest() uint32 {
	if len(r.rest) < 4 {
		r.bad = true
		return 0
	}
	value := binary.BigEndian.Uint32(r.rest)
	r.rest = r.rest[4:]
	return value
}

// decode decodes a packet. Packets come from peers, so anything but a complete
// packet of a known version and kind is an error.
func decode(data []byte) (message, error) {
	r := &reader{rest: data}
	if len(data) > MaxPacket || r.byte() != formatVersion {
		return message{}, errMalformed
	}
	m := message{Kind: PacketKind(r.byte()), Sequence: r.uvarint(), From: r.id(), Incarnation: r.incarnation(), Digest: r.digest(), Target: r.id()}
	more := r.byte()
	m.More = more == 1
	if r.bad || m.Kind == 0 || m.Kind >= packetKinds || m.From == "" || more > 1 {
		return message{}, errMalformed
	}
	for len(r.rest) > 0 {
		m.Rumours = append(m.Rumours, r.rumour())
		if r.bad {
			return message{}, errMalformed
		}
	}
	return m, nil
}

func (r *reader) rumour() rumour {
	out := rumour{Kind: rumourKind(r.byte())}
	out.Member.ID = r.id()
	out.Member.Incarnation = r.incarnation()
	switch out.Kind {
	case rumourAlive:
		out.Member.Address = r.string()
		out.Member.DataCentre = protocol.DataCentre(r.string())
		out.Member.Region = r.string()
	case rumourSuspect, rumourDead:
		out.By = r.id()
	case rumourLeft:
	case rumourItem:
		out.ItemKind = r.byte()
		out.Key = r.uvarint()
		out.Version = r.uvarint()
		out.Payload = append([]byte(nil), r.bytes(MaxItem)...)
	default:
		r.bad = true
	}
	r.bad = r.bad || out.Member.ID == ""
	return out
}
