// Package wire defines the frames in which the fleet's processes send messages to
// each other.
//
// A connection starts with a Hello from each side. Then come frames:
//
//	length  4 bytes, big endian: the number of bytes that follow it
//	kind    1 byte: the type of the payload, see Kind
//	number  8 bytes, big endian: sequence number, from 1, of the reliable frames
//	        from this sender to this receiver; 0 for a frame that is not resent
//	payload msgpack of the struct that belongs to the kind
//
// A broken or hostile peer costs its own connection only: a reader rejects frames
// larger than its limit and allocates memory as bytes arrive, not at the declared
// length.
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

// Version is the version of the frames and of all payloads. A process accepts
// peers that support a version from MinVersion to Version.
const (
	Version    = 1
	MinVersion = 1
)

// MaxFrame is the maximum size of a frame in bytes. It holds the largest request
// body, 64 MiB, and the fields sent with it.
const MaxFrame = 66 << 20

// MaxHello is the maximum size of a Hello in bytes. It is small because the peer
// is not authenticated yet when it sends a Hello.
const MaxHello = 1 << 10

// headerBytes is the size of kind and number, which length includes.
const headerBytes = 1 + 8

// Kind is the type of a frame's payload. A number is never reused for another
// type, because processes of two versions exchange frames during an upgrade.
type Kind uint8

const (
	// KindHello opens a connection.
	KindHello Kind = 1
	// KindAck carries the number of the highest reliable frame received.
	KindAck Kind = 2
	// KindConsensus carries consensus.Message.
	KindConsensus Kind = 3
	// KindRenew and KindRenewReply carry lease renewals.
	KindRenew      Kind = 4
	KindRenewReply Kind = 5
	// KindPropose and KindProposeReply carry commands to the leader.
	KindPropose      Kind = 6
	KindProposeReply Kind = 7
	// KindPlace to KindCancel are the messages of package fleet between the entry
	// router of a request and the owner of an upstream.
	KindPlace      Kind = 8
	KindPlaceReply Kind = 9
	KindChunk      Kind = 10
	KindEnd        Kind = 11
	KindCancel     Kind = 12
	// KindAnnounce and KindLeave carry upstreams' announcements to owners.
	KindAnnounce Kind = 13
	KindLeave    Kind = 14
	// KindGossip carries membership updates and other gossiped items.
	KindGossip Kind = 15
	// KindQuery and KindQueryReply carry operators' queries to other routers.
	KindQuery      Kind = 16
	KindQueryReply Kind = 17
	// KindLoadTotals carries the load totals of the upstreams that a router owns.
	KindLoadTotals Kind = 18
	// KindQuarantine carries the digest of a quarantined request.
	KindQuarantine Kind = 19
	// KindPush carries changes of the replicated state to a router.
	KindPush Kind = 20
	// KindOrderReport tells the entry router how an attempt of an order ended.
	KindOrderReport Kind = 21
	// KindChatMoved tells the owner of a chat's first-choice upstream where the
	// chat ran instead.
	KindChatMoved Kind = 22
	// KindCreditRequest and KindCreditGrant request and grant credit from
	// customers' limits.
	KindCreditRequest Kind = 23
	KindCreditGrant   Kind = 24
	// KindAttemptCheck asks an owner whether it still has an attempt, and
	// KindAttemptAlive confirms it.
	KindAttemptCheck Kind = 25
	KindAttemptAlive Kind = 26
	// KindProbe has no payload. Its acknowledgement shows that a connection works.
	KindProbe Kind = 27
	// KindEngineRequest carries an engine order from its issuer to the engine's owner,
	// and KindEngineReply the answer to it.
	KindEngineRequest Kind = 40
	KindEngineReply   Kind = 41
	// KindWatch to KindChangesAck are the messages of coordination/control between
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
	// KindAnnouncements passes announcements from a router to a disk VM, and
	// KindAnnouncementsAck acknowledges them.
	KindAnnouncements    Kind = 65
	KindAnnouncementsAck Kind = 66
	// KindCacheHolders carries lists of cache holders between routers and disk VMs.
	KindCacheHolders Kind = 67
	// KindEvacuate carries an operator's order for a data centre to the leader, and
	// KindEvacuateReply the answer to it.
	KindEvacuate      Kind = 68
	KindEvacuateReply Kind = 69
	// KindLoadReport carries a load report between the routers that send to
	// upstreams themselves.
	KindLoadReport Kind = 60
	// KindHome and KindHomeReply are not sent any more; their numbers stay
	// reserved.
	KindHome      Kind = 61
	KindHomeReply Kind = 62
	// KindCrash tells those routers that an upstream's connection broke while a
	// request was in flight.
	KindCrash Kind = 63
	// KindRefusal tells them that a fragile upstream has refused a request.
	KindRefusal Kind = 70
	// KindUnreachable tells them that an upstream takes no connection from the sender.
	KindUnreachable Kind = 71
	// KindBuildsRead asks a disk VM which builds it has listed, and KindBuildsReply answers.
	KindBuildsRead  Kind = 72
	KindBuildsReply Kind = 73
	// KindOrigins tells other routers at which builds streams began. KindOriginQuery asks
	// them, and KindOriginReply answers.
	KindOrigins     Kind = 74
	KindOriginQuery Kind = 75
	KindOriginReply Kind = 76
	// KindSuspects asks routers which parts of prompts they have seen answered, and KindSound
	// answers.
	KindSuspects Kind = 77
	KindSound    Kind = 78
	// KindQuarantinesRead asks another router what is quarantined, and KindQuarantinesReply
	// answers.
	KindQuarantinesRead  Kind = 79
	KindQuarantinesReply Kind = 80
)

// kindNames are the names of the kinds in metrics and logs. They stay the same when
// a constant is renamed.
var kindNames = map[Kind]string{
	KindHello: "hello", KindAck: "ack", KindConsensus: "consensus",
	KindRenew: "renew", KindRenewReply: "renew-reply", KindPush: "push",
	KindPropose: "propose", KindProposeReply: "propose-reply",
	KindPlace: "place", KindPlaceReply: "place-reply", KindChunk: "chunk", KindEnd: "end",
	KindCancel: "cancel", KindAnnounce: "announce", KindLeave: "leave", KindGossip: "gossip",
	KindQuery: "query", KindQueryReply: "query-reply", KindLoadTotals: "totals",
	KindQuarantine: "quarantine", KindOrderReport: "order-report", KindChatMoved: "moved",
	KindCreditRequest: "limit-ask", KindCreditGrant: "limit-answer",
	KindAttemptCheck: "check", KindAttemptAlive: "alive",
	KindProbe:         "probe",
	KindEngineRequest: "engine-ask", KindEngineReply: "engine-reply",
	KindWatch: "watch", KindStatus: "news", KindChanges: "roster", KindChangesAck: "roster-ack", KindList: "list", KindDocument: "document",
	KindHeartbeats: "heard", KindAnnouncements: "announced", KindAnnouncementsAck: "announced-ack", KindPut: "put", KindPutReply: "put-reply", KindRead: "read", KindReadReply: "read-reply",
	KindLoadReport: "loads", KindHome: "home", KindHomeReply: "home-reply", KindCrash: "blame", KindCacheHolders: "keepers", KindRefusal: "refusal", KindUnreachable: "unreachable",
	KindBuildsRead: "builds-read", KindBuildsReply: "builds-reply", KindOrigins: "origins", KindOriginQuery: "origin-query", KindOriginReply: "origin-reply",
	KindSuspects: "suspects", KindSound: "sound", KindQuarantinesRead: "quarantines-read", KindQuarantinesReply: "quarantines-reply",
	KindEvacuate: "evacuate", KindEvacuateReply: "evacuate-reply",
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
	// Address is the address at which the sender listens for peers, so that the
	// receiver can connect to it before the replicated state contains it.
	Address string `msgpack:"a"`
	// Incarnation differs between two starts of a process. When it changes, the
	// receiver expects frame numbers from 1 again.
	Incarnation uint64 `msgpack:"i"`
	// Duplex means that the dialer accepts frames on this connection, not only
	// acknowledgements.
	Duplex bool `msgpack:"x,omitempty"`
}

// Ack is the payload of KindAck.
type Ack struct {
	Number uint64 `msgpack:"n"`
}

// ErrTooLarge means that a frame is longer than the limit.
var ErrTooLarge = errors.New("wire: frame is larger than the limit")

// ErrTooShort means that a frame's length is less than that of its header.
var ErrTooShort = errors.New("wire: frame is shorter than its header")

// VersionError means that this process and its peer support no common version.
type VersionError struct{ PeerVersion, PeerMinVersion uint8 }

// Error names the versions that both processes support.
func (e *VersionError) Error() string {
	return fmt.Sprintf("wire: peer supports versions %d to %d, this process %d to %d", e.PeerMinVersion, e.PeerVersion, MinVersion, Version)
}

// Check returns a VersionError if the sender of the Hello and this process
// support no common version.
func (h Hello) Check() error {
	if h.Version < MinVersion || h.MinVersion > Version {
		return &VersionError{PeerVersion: h.Version, PeerMinVersion: h.MinVersion}
	}
	return nil
}

// Append appends an encoded frame to buffer and returns the extended buffer. It
// returns ErrTooLarge if the frame is larger than MaxFrame.
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

// Read reads one frame of at most limit bytes. It returns ErrTooLarge or
// ErrTooShort for an invalid length, io.EOF if the input ends between frames, and
// io.ErrUnexpectedEOF if it ends within one.
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
		return Frame{}, unexpectedEOF(err)
	}
	payload, err := readPayload(reader, int(length)-headerBytes)
	if err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	return Frame{
		Kind:    Kind(header[0]),
		Number:  binary.BigEndian.Uint64(header[1:]),
		Payload: payload,
	}, nil
}

// payloadStep limits how much memory a reader allocates ahead of the bytes that
// have arrived.
const payloadStep = 64 << 10

// readPayload reads length bytes. It grows its buffer as bytes arrive, so a peer
// that declares a large frame and sends nothing costs little memory.
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

// unexpectedEOF replaces io.EOF, which here means that the input ended within a
// frame, by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Encode returns the msgpack encoding of a payload struct. All payload structs can
// be encoded, so Encode panics on an error.
func Encode(payload any) []byte {
	encoded, err := msgpack.Marshal(payload)
	if err != nil {
		panic("wire: payload that can't be encoded: " + err.Error())
	}
	return encoded
}

// Decode decodes a payload struct. Payloads come from peers; the caller closes the
// connection if Decode returns an error. Package codec first checks that lists
// are no longer than the bytes that hold them, because the msgpack library would
// allocate any length that a few bytes declare, which ends the process.
func Decode(encoded []byte, payload any) error {
	if err := codec.Unmarshal(encoded, payload); err != nil {
		return fmt.Errorf("wire: payload doesn't decode: %w", err)
	}
	return nil
}
