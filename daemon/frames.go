package daemon

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/consensus"
	"endiveplank/coordination/lease"
	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/node"
	"endiveplank/coordination/quarantine"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/protocol/wire"
	"endiveplank/transport/peer"
)

// dispatchFrame passes a frame to the part of the process that handles its kind.
func (d *Daemon) dispatchFrame(from protocol.RouterID, frame wire.Frame) error {
	if input, err := decodeDataPath(from, frame); input != nil || err != nil {
		if err != nil {
			return err
		}
		d.runner.Input(input)
		return nil
	}
	switch frame.Kind {
	case wire.KindConsensus:
		return d.handleConsensus(frame)
	case wire.KindRenew:
		return d.handleRenew(from, frame)
	case wire.KindRenewReply:
		return d.handleRenewReply(from, frame)
	case wire.KindPush:
		return d.handlePush(frame)
	case wire.KindPropose:
		return d.handlePropose(from, frame)
	case wire.KindProposeReply:
		var reply fleet.ProposeReply
		if err := wire.Decode(frame.Payload, &reply); err != nil {
			return err
		}
		d.member.handleProposeReply(reply)
		return nil
	case wire.KindGossip:
		d.gossip.handlePacket(from, frame.Payload)
		return nil
	case wire.KindEngineRequest, wire.KindEngineReply:
		return d.handleEngineOrder(from, frame)
	case wire.KindQuery, wire.KindQueryReply:
		return d.handleQuery(from, frame)
	}
	return d.handleUpstreamUpdate(from, frame)
}

// handleQuery answers a query of another process, or handles the reply to a query of this one.
func (d *Daemon) handleQuery(from protocol.RouterID, frame wire.Frame) error {
	if frame.Kind == wire.KindQueryReply {
		var reply queryReply
		if err := wire.Decode(frame.Payload, &reply); err != nil {
			return err
		}
		d.queries.handleReply(reply)
		return nil
	}
	var q query
	if err := wire.Decode(frame.Payload, &q); err != nil {
		return err
	}
	d.mesh.Send(from, wire.KindQueryReply, wire.Encode(d.answerQuery(q)), true)
	return nil
}

// handleUpstreamUpdate handles what peers forward about upstreams, their load and quarantines.
func (d *Daemon) handleUpstreamUpdate(from protocol.RouterID, frame wire.Frame) error {
	switch frame.Kind {
	case wire.KindAnnounce:
		var announcement upstreamapi.Announcement
		if err := wire.Decode(frame.Payload, &announcement); err != nil {
			return err
		}
		d.runner.Input(node.UpstreamAnnounced{Announcement: announcement, Forwarded: true})
		return nil
	case wire.KindLeave:
		var leave upstreamapi.Leave
		if err := wire.Decode(frame.Payload, &leave); err != nil {
			return err
		}
		d.runner.Input(node.UpstreamLeaving{Leave: leave, Forwarded: true})
		return nil
	case wire.KindLoadTotals:
		summary, ok := loadbound.DecodeSummary(frame.Payload)
		if !ok {
			return eris.Errorf("load summary has an invalid size of %d bytes", len(frame.Payload))
		}
		d.runner.Input(node.PeerLoadTotals{From: from, Summary: summary})
		return nil
	case wire.KindQuarantine:
		var notice quarantine.Notice
		if err := wire.Decode(frame.Payload, &notice); err != nil {
			return err
		}
		d.runner.Input(node.PeerQuarantineNotice{Notice: notice})
		return nil
	}
	return eris.Errorf("frame of unknown kind %d", frame.Kind)
}

func (d *Daemon) handleConsensus(frame wire.Frame) error {
	if d.replica == nil {
		return eris.New("received a consensus message, but this process keeps no state")
	}
	var message consensus.Message
	if err := wire.Decode(frame.Payload, &message); err != nil {
		return err
	}
	d.replica.Receive(message)
	return nil
}

func (d *Daemon) handleRenew(from protocol.RouterID, frame wire.Frame) error {
	var renewal lease.Renewal
	if err := codec.Unmarshal(frame.Payload, &renewal); err != nil {
		return eris.Wrap(err, "renewal")
	}
	reply := lease.Reply{Outcome: lease.NotLeader, Seq: renewal.Seq}
	if d.host != nil {
		reply = d.host.handleRenewal(renewal)
	}
	d.mesh.Send(from, wire.KindRenewReply, encodeArrays(reply), false)
	return nil
}

func (d *Daemon) handleRenewReply(from protocol.RouterID, frame wire.Frame) error {
	var reply lease.Reply
	if err := codec.Unmarshal(frame.Payload, &reply); err != nil {
		return eris.Wrap(err, "renewal reply")
	}
	d.member.handleRenewReply(from, reply)
	return nil
}

func (d *Daemon) handlePush(frame wire.Frame) error {
	var push lease.Push
	if err := codec.Unmarshal(frame.Payload, &push); err != nil {
		return eris.Wrap(err, "push")
	}
	d.member.handlePush(push)
	return nil
}

// sendPush sends changes to a router, which may be this one. The caller holds the state host's
// lock, which the local router's acknowledgement needs too; a local push therefore runs on a
// goroutine of its own.
func (d *Daemon) sendPush(to protocol.RouterID, push lease.Push) {
	if to == d.settings.RouterID {
		go d.member.handlePush(push)
		return
	}
	d.mesh.Send(to, wire.KindPush, encodeArrays(push), false)
}

// inForceTimeout bounds the handling of another process's proposal, with the wait until the change
// is in force.
const inForceTimeout = 8 * time.Second

func (d *Daemon) handlePropose(from protocol.RouterID, frame wire.Frame) error {
	var request fleet.Propose
	if err := wire.Decode(frame.Payload, &request); err != nil {
		return err
	}
	if d.host == nil {
		d.sendProposeReply(from, fleet.ProposeReply{ID: request.ID, Verdict: fleet.VerdictNotLeader})
		return nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
		defer cancel()
		d.sendProposeReply(from, d.host.propose(ctx, request))
	}()
	return nil
}

func (d *Daemon) sendProposeReply(to protocol.RouterID, reply fleet.ProposeReply) {
	d.mesh.Send(to, wire.KindProposeReply, wire.Encode(reply), true)
}

// consensusTransport sends consensus messages over the mesh. They may be lost; consensus repeats
// those that matter.
type consensusTransport struct{ mesh *peer.Mesh }

// Send implements replica.Transport.
func (t consensusTransport) Send(to protocol.RouterID, message consensus.Message) {
	t.mesh.Send(to, wire.KindConsensus, wire.Encode(message), false)
}
