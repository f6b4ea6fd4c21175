// Package fabric carries typed messages between the processes of a fleet whose routers
// send requests to upstreams themselves. A Fabric maps each message type to a wire kind and
// sends it over the connections of package transport/peer.
//
// The name of a process is the address at which it listens, so any process that knows the
// name can send to it. Messages may be lost; a process that needs an answer asks again.
package fabric

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/builds"
	"endiveplank/coordination/consensus"
	"endiveplank/coordination/control"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/origin"
	"endiveplank/coordination/reach"
	"endiveplank/coordination/throttle"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
	"endiveplank/protocol/wire"
	"endiveplank/transport/peer"
)

const (
	// stallTimeout is how long a connection may acknowledge nothing before it is
	// replaced. A disk VM with a fifth of a core is busy for half a second when a whole
	// fleet starts. Replacing connections because it is slow would make it slower still.
	stallTimeout = time.Second
	// lostTimeout is how long frames wait for a process that can't be reached before they
	// are dropped. Every sender sends its message again if it is still needed.
	lostTimeout = 2 * time.Second
)

// Receiver handles the messages that arrive. Receive is called from the connections'
// goroutines and must not block for long. body is one of the types that Send takes.
type Receiver interface {
	Receive(from protocol.RouterID, body any)
}

// DisconnectReceiver is implemented by Receivers that want to know at once when a process
// may have ended.
type DisconnectReceiver interface {
	// Disconnected is called when the last connection with a process has ended.
	Disconnected(from protocol.RouterID)
}

// Fabric sends messages to other processes and passes theirs to a Receiver.
type Fabric struct {
	mesh     *peer.Mesh
	listen   string
	receiver Receiver
	log      zerolog.Logger
}

// Options configure a Fabric.
type Options struct {
	Self protocol.RouterID
	// Listen is the IP:port at which to listen.
	Listen      string
	DataCentre  protocol.DataCentre
	Incarnation uint64
	Receiver    Receiver
	// MaxConnections bounds the connections that other processes have opened, 0 for no bound.
	MaxConnections int
	Log            zerolog.Logger
}

// New returns a Fabric that takes no messages before Listen is called.
//
// Peers that look for a restarted process connect within microseconds after it listens, and
// its Receiver answers through the Fabric. If New listened itself, the first message could
// arrive before the Receiver holds the Fabric. Answering it ended a process at its start.
func New(options Options) *Fabric {
	f := &Fabric{listen: options.Listen, receiver: options.Receiver, log: options.Log}
	f.mesh = peer.New(peer.Options{
		Self:         options.Self,
		DataCentre:   options.DataCentre,
		Incarnation:  options.Incarnation,
		Address:      string(options.Self),
		StallTimeout: stallTimeout,
		LostAfter:    lostTimeout,
		Handler:      f,
		Log:          options.Log,
		Duplex:       true,
		MaxAccepted:  options.MaxConnections,
	})
	return f
}

// Listen starts to take messages.
func (f *Fabric) Listen() error { return f.mesh.Listen(f.listen) }

// Close closes all connections.
func (f *Fabric) Close() { f.mesh.Close() }

// Counts returns the totals of the connections.
func (f *Fabric) Counts() peer.Counts { return f.mesh.Counts() }

// SetGauges sets the gauges of the connections, with those of each kind of message that was
// sent. Answers to callers aren't among them.
func (f *Fabric) SetGauges(set func(name string, value int64)) {
	counts := f.Counts()
	set("peer_connections_stalled_total", int64(counts.Stalled))
	for kind, sent := range counts.BytesSent {
		set("peer_bytes_sent_total."+kind.String(), int64(sent))
		set("peer_messages_sent_total."+kind.String(), int64(counts.FramesSent[kind]))
	}
}

// Send queues a message. It never blocks, and the message may be lost.
func (f *Fabric) Send(to protocol.RouterID, body any) { f.SendEach([]protocol.RouterID{to}, body) }

// SendEach queues a message for several processes, encoded once.
func (f *Fabric) SendEach(to []protocol.RouterID, body any) {
	kind, payload := kindOf(body), encode(body)
	for _, id := range to {
		f.mesh.SetAddress(id, string(id))
		if !f.mesh.Send(id, kind, payload, false) {
			f.log.Debug().Str("event", "not-sent").Stringer("kind", kind).Str("to", string(id)).Send()
		}
	}
}

// encode returns the bytes of a message. Load reports go to every router several times a
// second, so they are encoded without field names.
func encode(body any) []byte {
	if report, ok := body.(balance.LoadReport); ok {
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

// HandleDisconnect implements peer.DisconnectHandler.
func (f *Fabric) HandleDisconnect(from protocol.RouterID) {
	if receiver, wanted := f.receiver.(DisconnectReceiver); wanted {
		receiver.Disconnected(from)
	}
}

// HandlePeerLost implements peer.Handler. A process that needs an answer asks again.
func (f *Fabric) HandlePeerLost(protocol.RouterID) {}

// kindOf returns the wire kind of a message's type.
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
	case control.Evacuate:
		return wire.KindEvacuate
	case control.EvacuateReply:
		return wire.KindEvacuateReply
	case control.Read:
		return wire.KindRead
	case control.ReadReply:
		return wire.KindReadReply
	case balance.LoadReport:
		return wire.KindLoadReport
	case balance.CacheHolderList:
		return wire.KindCacheHolders
	case crashes.Crash:
		return wire.KindCrash
	case crashes.Suspects:
		return wire.KindSuspects
	case crashes.Sound:
		return wire.KindSound
	case throttle.Refusal:
		return wire.KindRefusal
	case reach.Unreachable:
		return wire.KindUnreachable
	case builds.Read:
		return wire.KindBuildsRead
	case builds.Reply:
		return wire.KindBuildsReply
	case origin.Origins:
		return wire.KindOrigins
	case origin.Query:
		return wire.KindOriginQuery
	case origin.Reply:
		return wire.KindOriginReply
	}
	panic(fmt.Sprintf("fabric: message type %T has no wire kind", body))
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
	case wire.KindEvacuate:
		return decodeAs[control.Evacuate](frame)
	case wire.KindEvacuateReply:
		return decodeAs[control.EvacuateReply](frame)
	case wire.KindRead:
		return decodeAs[control.Read](frame)
	case wire.KindReadReply:
		return decodeAs[control.ReadReply](frame)
	case wire.KindLoadReport:
		return decodeAs[balance.LoadReport](frame)
	case wire.KindCacheHolders:
		return decodeAs[balance.CacheHolderList](frame)
	case wire.KindCrash:
		return decodeAs[crashes.Crash](frame)
	case wire.KindSuspects:
		return decodeAs[crashes.Suspects](frame)
	case wire.KindSound:
		return decodeAs[crashes.Sound](frame)
	case wire.KindRefusal:
		return decodeAs[throttle.Refusal](frame)
	case wire.KindUnreachable:
		return decodeAs[reach.Unreachable](frame)
	case wire.KindBuildsRead:
		return decodeAs[builds.Read](frame)
	case wire.KindBuildsReply:
		return decodeAs[builds.Reply](frame)
	case wire.KindOrigins:
		return decodeAs[origin.Origins](frame)
	case wire.KindOriginQuery:
		return decodeAs[origin.Query](frame)
	case wire.KindOriginReply:
		return decodeAs[origin.Reply](frame)
	}
	return nil, fmt.Errorf("fabric: unknown message kind %d", frame.Kind)
}

func decodeAs[T any](frame wire.Frame) (any, error) {
	var body T
	err := wire.Decode(frame.Payload, &body)
	return body, err
}
