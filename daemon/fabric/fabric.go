// Package fabric carries the typed messages between the processes of a fleet
// whose routers send to upstreams themselves, over the connections of package
// transport/peer. A process's name is the address it listens at, so whoever
// knows a name can send.
package fabric

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/consensus"
	"endiveplank/coordination/control"
	"endiveplank/coordination/crashes"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
	"endiveplank/protocol/wire"
	"endiveplank/transport/peer"
)

const (
	// stall is how long a connection may acknowledge nothing. A disk VM on a
	// fifth of a core is busy for half a second when a whole fleet starts, and
	// connections that are replaced for its slowness make it slower still.
	stall = time.Second
	// lostAfter is how long frames wait for a process that can't be reached.
	// Every message here is sent again by who needs it.
	lostAfter = 2 * time.Second
)

// Receiver takes messages. It is called from the connections' goroutines and
// must not block for long. body is one of the types that Send takes.
type Receiver interface {
	Receive(from protocol.RouterID, body any)
}

// Fabric sends and receives.
type Fabric struct {
	mesh     *peer.Mesh
	listen   string
	receiver Receiver
	log      zerolog.Logger
}

// Options of a Fabric.
type Options struct {
	Self protocol.RouterID
	// Listen is the IP:port to listen at.
	Listen      string
	DataCentre  protocol.DataCentre
	Incarnation uint64
	Receiver    Receiver
	Log         zerolog.Logger
}

// New returns a fabric that takes no messages before Listen. Peers that look for a
// process that was away dial within microseconds of its listening, and its Receiver
// answers through the fabric: one that listened before it was returned would be asked
// before its owner holds it, which ended a process at its start.
func New(options Options) *Fabric {
	f := &Fabric{listen: options.Listen, receiver: options.Receiver, log: options.Log}
	f.mesh = peer.New(peer.Options{
		Self:         options.Self,
		DataCentre:   options.DataCentre,
		Incarnation:  options.Incarnation,
		Address:      string(options.Self),
		StallTimeout: stall,
		LostAfter:    lostAfter,
		Handler:      f,
		Log:          options.Log,
		Duplex:       true,
	})
	return f
}

// Listen starts taking messages.
func (f *Fabric) Listen() error { return f.mesh.Listen(f.listen) }

// Close drops all connections.
func (f *Fabric) Close() { f.mesh.Close() }

// Counts returns the totals of the connections.
func (f *Fabric) Counts() peer.Counts { return f.mesh.Counts() }

// Send queues a message. It never waits, and the message may be lost.
func (f *Fabric) Send(to protocol.RouterID, body any) {
	kind := kindOf(body)
	f.mesh.SetAddress(to, string(to))
	if !f.mesh.Send(to, kind, encode(body), false) {
		f.log.Debug().Str("event", "not-sent").Stringer("kind", kind).Str("to", string(to)).Send()
	}
}

// encode returns the bytes of a message. Load reports go to every router several times
// a second, so they do without the names of their fields.
func encode(body any) []byte {
	if report, often := body.(balance.LoadReport); often {
		return codec.MarshalArrays(report)
	}
	return wire.Encode(body)
}

// SendAll queues several messages.
func (f *Fabric) SendAll(messages []control.Message) {
	for _, message := range messages {
		f.Send(message.To, message.Body)
	}
}

// HandleFrame implements peer.Handler.
func (f *Fabric) HandleFrame(from protocol.RouterID, frame wire.Frame) {
	body, err := decode(frame)
	if err != nil {
		f.log.Warn().Str("event", "message-refused").Str("from", string(from)).Stringer("kind", frame.Kind).Err(err).Send()
		return
	}
	f.receiver.Receive(from, body)
}

// HandlePeerLost implements peer.Handler. Who needs an answer asks again.
func (f *Fabric) HandlePeerLost(protocol.RouterID) {}

// kindOf returns the kind under which a message travels.
func kindOf(body any) wire.Kind {
	switch body.(type) {
	case consensus.Message:
		return wire.KindConsensus
	case control.Watch:
		return wire.KindWatch
	case control.Status:
		return wire.KindStatus
	case control.Changes:
		return wire.KindChanges
	case control.ChangesAck:
		return wire.KindChangesAck
	case control.List:
		return wire.KindList
	case control.Document:
		return wire.KindDocument
	case control.Heartbeats:
		return wire.KindHeartbeats
	case control.Announcements:
		return wire.KindAnnouncements
	case control.AnnouncementsAck:
		return wire.KindAnnouncementsAck
	case control.Put:
		return wire.KindPut
	case control.PutReply:
		return wire.KindPutReply
	case control.Read:
		return wire.KindRead
	case control.ReadReply:
		return wire.KindReadReply
	case balance.LoadReport:
		return wire.KindLoads
	case balance.CacheHolderList:
		return wire.KindKeepers
	case crashes.Crash:
		return wire.KindBlame
	}
	panic(fmt.Sprintf("fabric: a message of type %T", body))
}

// decode returns the message in a frame.
func decode(frame wire.Frame) (any, error) {
	switch frame.Kind {
	case wire.KindConsensus:
		return decodeAs[consensus.Message](frame)
	case wire.KindWatch:
		return decodeAs[control.Watch](frame)
	case wire.KindStatus:
		return decodeAs[control.Status](frame)
	case wire.KindChanges:
		return decodeAs[control.Changes](frame)
	case wire.KindChangesAck:
		return decodeAs[control.ChangesAck](frame)
	case wire.KindList:
		return decodeAs[control.List](frame)
	case wire.KindDocument:
		return decodeAs[control.Document](frame)
	case wire.KindHeartbeats:
		return decodeAs[control.Heartbeats](frame)
	case wire.KindAnnouncements:
		return decodeAs[control.Announcements](frame)
	case wire.KindAnnouncementsAck:
		return decodeAs[control.AnnouncementsAck](frame)
	case wire.KindPut:
		return decodeAs[control.Put](frame)
	case wire.KindPutReply:
		return decodeAs[control.PutReply](frame)
	case wire.KindRead:
		return decodeAs[control.Read](frame)
	case wire.KindReadReply:
		return decodeAs[control.ReadReply](frame)
	case wire.KindLoads:
		return decodeAs[balance.LoadReport](frame)
	case wire.KindKeepers:
		return decodeAs[balance.CacheHolderList](frame)
	case wire.KindBlame:
		return decodeAs[crashes.Crash](frame)
	}
	return nil, fmt.Errorf("fabric: no message has kind %d", frame.Kind)
}

func decodeAs[T any](frame wire.Frame) (any, error) {
	var body T
	err := wire.Decode(frame.Payload, &body)
	return body, err
}
