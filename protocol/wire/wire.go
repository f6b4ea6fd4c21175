// Package wire is the form of the messages between the fleet's own processes.
//
// A connection starts with a Hello from each side. Then come frames:
//
//	length  4 bytes, big endian: the bytes that follow it
//	kind    1 byte: what the payload is, see Kind
//	number  8 bytes, big endian: counts the sender's reliable frames towards
//	        this receiver from 1; 0 on a frame that is not resent
//	payload msgpack of the struct that belongs to the kind
//
// A reader allocates no more than it was promised and no more than MaxFrame,
// so a broken or hostile peer costs one connection and nothing else.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// Version is the version of the frames and of all payloads. A process talks
// to peers of MinVersion to Version.
const (
	Version    = 1
	MinVersion = 1
)

// MaxFrame is the largest frame in bytes: a caller's largest body and room
// for what goes with it.
const MaxFrame = 66 << 20

// MaxHello is the largest Hello in bytes. It is small because it comes before
// the peer has proved who it is.
const MaxHello = 1 << 10

// headerBytes is the part of a frame that length counts besides the payload.
const headerBytes = 1 + 8

// Kind says what a frame's payload is. Numbers are never used again for
// something else: processes of two versions talk during an upgrade.
type Kind uint8

const (
	// KindHello opens a connection.
	KindHello Kind = 1
	// KindAck tells the sender the highest reliable frame received.
	KindAck Kind = 2
	// KindConsensus carries consensus.Message.
	KindConsensus Kind = 3
	// KindRenew and KindRenewReply carry lease renewals.
	KindRenew      Kind = 4
	KindRenewReply Kind = 5
	// KindPropose and KindProposeReply carry commands to the leader.
	KindPropose      Kind = 6
	KindProposeReply Kind = 7
	// KindPlace to KindCancel carry the data path between entry and owner.
	KindPlace      Kind = 8
	KindPlaceReply Kind = 9
	KindChunk      Kind = 10
	KindEnd        Kind = 11
	KindCancel     Kind = 12
	// KindAnnounce and KindLeave carry upstreams' announcements to owners.
	KindAnnounce Kind = 13
	KindLeave    Kind = 14
	// KindGossip carries membership and what rides on it.
	KindGossip Kind = 15
	// KindQuery and KindQueryReply carry operators' questions across the fleet.
	KindQuery      Kind = 16
	KindQueryReply Kind = 17
	// KindTotals carries the load totals of the upstreams a router owns.
	KindTotals Kind = 18
	// KindQuarantine carries a quarantined request digest.
	KindQuarantine Kind = 19
	// KindPush carries changes of the replicated state to a router.
	KindPush Kind = 20
	// KindOrderReport tells an entry how an attempt of an order ended.
	KindOrderReport Kind = 21
	// KindMoved tells the owner of a chat's first choice where it ran.
	KindMoved Kind = 22
	// KindLimitAsk and KindLimitAnswer carry credit for customers' limits.
	KindLimitAsk    Kind = 23
	KindLimitAnswer Kind = 24
	// KindCheck and KindAlive find out whether an owner still has an attempt.
	KindCheck Kind = 25
	KindAlive Kind = 26
	// KindProbe carries nothing; its acknowledgement shows that a connection
	// works.
	KindProbe Kind = 27
	// KindEngineRequest and KindEngineReply carry orders to engines, from the
	// issuer to an engine's owner and back.
	KindEngineRequest Kind = 40
	KindEngineReply   Kind = 41
	// KindWatch to KindReadReply are the messages of coordination/control, between
	// disk VMs and the routers that send to upstreams themselves.
	KindWatch      Kind = 50
	KindStatus     Kind = 51
	KindChanges    Kind = 52
	KindDocument   Kind = 53
	KindHeartbeats Kind = 54
	KindPut        Kind = 55
	KindPutReply   Kind = 56
	KindRead       Kind = 57
	KindReadReply  Kind = 58
	KindList       Kind = 59
	KindChangesAck Kind = 64
	// KindAnnouncements and KindAnnouncementsAck hand announcements from a router to a
	// disk VM.
	KindAnnouncements    Kind = 65
	KindAnnouncementsAck Kind = 66
	// KindKeepers goes between routers and disk VMs.
	KindKeepers Kind = 67
	// KindLoads to KindHomeReply go between those routers.
	KindLoads     Kind = 60
	KindHome      Kind = 61
	KindHomeReply Kind = 62
	KindBlame     Kind = 63
)

// kindNames are the names of kinds in metrics.
var kindNames = map[Kind]string{
	KindHello: "hello", KindAck: "ack", KindConsensus: "consensus",
	KindRenew: "renew", KindRenewReply: "renew-reply", KindPush: "push",
	KindPropose: "propose", KindProposeReply: "propose-reply",
	KindPlace: "place", KindPlaceReply: "place-reply", KindChunk: "chunk", KindEnd: "end",
	KindCancel: "cancel", KindAnnounce: "announce", KindLeave: "leave", KindGossip: "gossip",
	KindQuery: "query", KindQueryReply: "query-reply", KindTotals: "totals",
	KindQuarantine: "quarantine", KindOrderReport: "order-report", KindMoved: "moved",
	KindLimitAsk: "limit-ask", KindLimitAnswer: "limit-answer",
	KindCheck: "check", KindAlive: "alive",
	KindProbe:         "probe",
	KindEngineRequest: "engine-ask", KindEngineReply: "engine-reply",
	KindWatch: "watch", KindStatus: "news", KindChanges: "roster", KindChangesAck: "roster-ack", KindList: "list", KindDocument: "document",
	KindHeartbeats: "heard", KindAnnouncements: "announced", KindAnnouncementsAck: "announced-ack", KindPut: "put", KindPutReply: "put-reply", KindRead: "read", KindReadReply: "read-reply",
	KindLoads: "loads", KindHome: "home", KindHomeReply: "home-reply", KindBlame: "blame", KindKeepers: "keepers",
}

// String returns the kind's name.
func (k Kind) String() string {
	if name, known := kindNames[k]; known {
		return name
	}
	return "unknown"
}

// Frame is one message.
type Frame struct {
	Kind    Kind
	Number  uint64
	Payload []byte
}

// Hello is the payload of KindHello.
type Hello struct {
	Version    uint8               `msgpack:"v"`
	MinVersion uint8               `msgpack:"m"`
	From       protocol.RouterID   `msgpack:"f"`
	To         protocol.RouterID   `msgpack:"t"`
	DataCentre protocol.DataCentre `msgpack:"d"`
	// Address is where the sender listens for peers, so that the receiver can
	// answer before the replicated state names it.
	Address string `msgpack:"a"`
	// Incarnation differs between two starts of a process, so that a receiver
	// starts counting frames anew.
	Incarnation uint64 `msgpack:"i"`
	// Duplex says that the dialer also takes frames, beside acknowledgements,
	// on this connection.
	Duplex bool `msgpack:"x,omitempty"`
}

// Ack is the payload of KindAck.
type Ack struct {
	Number uint64 `msgpack:"n"`
}

// ErrTooLarge means that a frame's length is over the limit.
var ErrTooLarge = errors.New("wire: frame is larger than the limit")

// ErrTooShort means that a frame's length can't hold its own header.
var ErrTooShort = errors.New("wire: frame is shorter than its header")

// VersionError means that two processes share no version.
type VersionError struct{ Theirs, TheirMin uint8 }

// Error names both ranges.
func (e *VersionError) Error() string {
	return fmt.Sprintf("wire: peer talks versions %d to %d, this process %d to %d", e.TheirMin, e.Theirs, MinVersion, Version)
}

// Check returns a VersionError when the peer's versions don't meet ours.
func (h Hello) Check() error {
	if h.Version < MinVersion || h.MinVersion > Version {
		return &VersionError{Theirs: h.Version, TheirMin: h.MinVersion}
	}
	return nil
}

// Append puts a frame behind buffer and returns the longer buffer. It returns
// ErrTooLarge for a payload that no reader would take.
func Append(buffer []byte, frame Frame) ([]byte, error) {
	length := headerBytes + len(frame.Payload)
	if length > MaxFrame {
		return buffer, ErrTooLarge
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(length))
	buffer = append(buffer, byte(frame.Kind))
	buffer = binary.BigEndian.AppendUint64(buffer, frame.Number)
	return append(buffer, frame.Payload...), nil
}

// Read takes one frame of at most limit bytes. It returns ErrTooLarge or
// ErrTooShort for a bad length, io.EOF between frames and
// io.ErrUnexpectedEOF inside one.
func Read(reader io.Reader, limit int) (Frame, error) {
	var lengthBytes [4]byte
	if _, err := io.ReadFull(reader, lengthBytes[:]); err != nil {
		return Frame{}, err
	}
	length := binary.BigEndian.Uint32(lengthBytes[:])
	if length > uint32(limit) {
		return Frame{}, ErrTooLarge
	}
	if length < headerBytes {
		return Frame{}, ErrTooShort
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		return Frame{}, inside(err)
	}
	payload, err := readPayload(reader, int(length)-headerBytes)
	if err != nil {
		return Frame{}, inside(err)
	}
	return Frame{
		Kind:    Kind(header[0]),
		Number:  binary.BigEndian.Uint64(header[1:]),
		Payload: payload,
	}, nil
}

// payloadStep bounds what a promised length alone can make a reader allocate.
const payloadStep = 64 << 10

// readPayload reads length bytes. It grows its buffer as bytes arrive, so a
// peer that promises much and sends nothing costs little memory.
func readPayload(reader io.Reader, length int) ([]byte, error) {
	payload := make([]byte, 0, min(length, payloadStep))
	for len(payload) < length {
		step := min(length-len(payload), payloadStep)
		start := len(payload)
		payload = append(payload, make([]byte, step)...)
		if _, err := io.ReadFull(reader, payload[start:]); err != nil {
			return nil, err
		}
	}
	return payload, nil
}

// inside turns the end of the input within a frame into io.ErrUnexpectedEOF.
func inside(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Encode returns the msgpack form of a payload struct. The structs of this
// project always encode, so a failure is a broken invariant.
func Encode(payload any) []byte {
	encoded, err := msgpack.Marshal(payload)
	if err != nil {
		panic("wire: payload that can't be encoded: " + err.Error())
	}
	return encoded
}

// Decode reads a payload struct. Payloads come from peers, so a failure is an
// error to drop the connection on. Package codec checks first that lists are no
// longer than the bytes that hold them: the msgpack library would make room for
// whatever length a few bytes promise, which ends the process.
func Decode(encoded []byte, payload any) error {
	if err := codec.Unmarshal(encoded, payload); err != nil {
		return fmt.Errorf("wire: payload doesn't decode: %w", err)
	}
	return nil
}
