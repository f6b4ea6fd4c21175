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

// handle hands one frame to the part it is for.
func (d *Daemon) handle(from protocol.RouterID, frame wire.Frame) error {
	if input, err := dataPath(from, frame); input != nil || err != nil {
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
		d.member.onProposeReply(reply)
		return nil
	case wire.KindGossip:
		d.gossip.receive(from, frame.Payload)
		return nil
	case wire.KindEngineRequest, wire.KindEngineReply:
		return d.handleEngineOrder(from, frame)
	case wire.KindQuery, wire.KindQueryReply:
		return d.handleQuery(from, frame)
	}
	return d.handleUpstreamNews(from, frame)
}

// handleQuery answers an operator's question from another process, or takes
// the answer to one.
func (d *Daemon) handleQuery(from protocol.RouterID, frame wire.Frame) error {
	if frame.Kind == wire.KindQueryReply {
		var reply queryReply
		if err := wire.Decode(frame.Payload, &reply); err != nil {
			return err
		}
		d.questions.answered(reply)
		return nil
	}
	var question query
	if err := wire.Decode(frame.Payload, &question); err != nil {
		return err
	}
	d.mesh.Send(from, wire.KindQueryReply, wire.Encode(d.answerQuery(question)), true)
	return nil
}

// handleUpstreamNews takes what peers pass on about upstreams and load.
func (d *Daemon) handleUpstreamNews(from protocol.RouterID, frame wire.Frame) error {
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
			return eris.New("load summary of the wrong size")
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
	return eris.Errorf("frame of kind %d is unknown", frame.Kind)
}

func (d *Daemon) handleConsensus(frame wire.Frame) error {
	if d.replica == nil {
		return eris.New("consensus message to a process that keeps no state")
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
		reply = d.host.renew(renewal)
	}
	d.mesh.Send(from, wire.KindRenewReply, encodeArrays(reply), false)
	return nil
}

func (d *Daemon) handleRenewReply(from protocol.RouterID, frame wire.Frame) error {
	var reply lease.Reply
	if err := codec.Unmarshal(frame.Payload, &reply); err != nil {
		return eris.Wrap(err, "renewal reply")
	}
	d.member.onReply(from, reply)
	return nil
}

func (d *Daemon) handlePush(frame wire.Frame) error {
	var push lease.Push
	if err := codec.Unmarshal(frame.Payload, &push); err != nil {
		return eris.Wrap(err, "push")
	}
	d.member.onPush(push)
	return nil
}

// sendPush sends changes to a router, which may be this one. It is called
// under the state host's lock, which the local router's answer needs too.
func (d *Daemon) sendPush(to protocol.RouterID, push lease.Push) {
	if to == d.settings.RouterID {
		go d.member.onPush(push)
		return
	}
	d.mesh.Send(to, wire.KindPush, encodeArrays(push), false)
}

// inForcePatience bounds how long a proposal may wait to be in force.
const inForcePatience = 8 * time.Second

func (d *Daemon) handlePropose(from protocol.RouterID, frame wire.Frame) error {
	var request fleet.Propose
	if err := wire.Decode(frame.Payload, &request); err != nil {
		return err
	}
	if d.host == nil {
		d.reply(from, fleet.ProposeReply{ID: request.ID, Verdict: fleet.VerdictNotLeader})
		return nil
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), inForcePatience)
		defer cancel()
		d.reply(from, d.host.propose(ctx, request))
	}()
	return nil
}

func (d *Daemon) reply(to protocol.RouterID, reply fleet.ProposeReply) {
	d.mesh.Send(to, wire.KindProposeReply, wire.Encode(reply), true)
}

// consensusTransport sends consensus messages over the mesh. They may be
// lost; consensus sends again what matters.
type consensusTransport struct{ mesh *peer.Mesh }

// Send implements replica.Transport.
func (t consensusTransport) Send(to protocol.RouterID, message consensus.Message) {
	t.mesh.Send(to, wire.KindConsensus, wire.Encode(message), false)
}
