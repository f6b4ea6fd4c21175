package daemon

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/crashes"
	"endiveplank/coordination/membership"
	"endiveplank/coordination/node"
	"endiveplank/coordination/quarantine"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
	"endiveplank/protocol/wire"
	"endiveplank/transport/peer"
)

// Kinds of broadcast items. A number is never reused for another kind.
const (
	// itemCrash reports a crash. The crash is its key.
	itemCrash uint8 = 1
	// itemQuarantine quarantines a digest or lifts its quarantine. The digest is its key, so that the
	// later of the two replaces the earlier.
	itemQuarantine uint8 = 2
	// itemPart quarantines a part of prompts. The part is its key.
	itemPart uint8 = 3
)

// packetSender sends membership packets, which may be lost. The mesh implements it; a datagram
// socket could.
type packetSender interface {
	Send(packet membership.Packet)
}

// meshSender sends packets over the mesh as frames that are not resent. A member has few partners,
// so the connections to them stay open.
type meshSender struct{ mesh *peer.Mesh }

// Send implements packetSender. It drops a packet to an address whose router ID isn't known: the
// mesh only connects to a peer whose ID it can verify.
func (m meshSender) Send(packet membership.Packet) {
	if packet.To != "" {
		m.mesh.Send(packet.To, wire.KindGossip, packet.Data, false)
	}
}

// gossip drives the membership core: it passes ticks and packets to it and carries out its
// outputs. It never holds its lock while it calls other parts.
type gossip struct {
	sender      packetSender
	input       func(node.Input)
	recordEvent func(node.Event)
	setAddress  func(protocol.RouterID, string)
	now         func() time.Duration
	log         zerolog.Logger

	mu   sync.Mutex
	core *membership.Core
}

// run sends ticks to the core until quit is closed.
func (g *gossip) run(quit <-chan struct{}) {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-quit:
			return
		case <-ticker.C:
			g.step(func(c *membership.Core) membership.Output { return c.Tick(g.now()) })
		}
	}
}

// handlePacket handles a packet from a peer.
func (g *gossip) handlePacket(from protocol.RouterID, data []byte) {
	g.step(func(c *membership.Core) membership.Output { return c.ReceiveFrom(g.now(), from, data) })
}

// leave tells the other members that this one leaves in a planned stop.
func (g *gossip) leave() {
	g.step(func(c *membership.Core) membership.Output { return c.Leave(g.now()) })
}

// broadcast queues a quarantine notice for all members. It returns false if the notice is too
// large.
func (g *gossip) broadcast(notice quarantine.Notice) bool {
	kind, key := itemQuarantine, uint64(notice.Digest)
	if notice.Kind == quarantine.CrashNotice {
		kind, key = itemCrash, uint64(notice.Crash)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Broadcast(kind, key, codec.MarshalArrays(notice))
}

// broadcastPart queues a quarantined part of prompts for all members.
func (g *gossip) broadcastPart(q crashes.Quarantine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.core.Broadcast(itemPart, q.Key, codec.MarshalArrays(q))
}

// step runs one step of the core and carries out a copy of its output, because another step may
// begin once the lock is released.
func (g *gossip) step(run func(*membership.Core) membership.Output) {
	g.mu.Lock()
	out := run(g.core)
	sending := append([]membership.Packet(nil), out.Packets...)
	events := append([]membership.Event(nil), out.Events...)
	items := append([]membership.Item(nil), out.Items...)
	g.mu.Unlock()
	for _, packet := range sending {
		g.sender.Send(packet)
	}
	for _, event := range events {
		g.handleEvent(event)
	}
	for _, item := range items {
		g.handleItem(item)
	}
}

// handleEvent tells the node core that a peer is lost long before the peer's lease expires, so
// that callers whose owner died are served by another router. If the peer isn't dead after all,
// answers in flight have to be resumed, as after a broken connection. Who owns which upstream
// doesn't change.
func (g *gossip) handleEvent(event membership.Event) {
	g.recordEvent(node.Event{Router: event.Member.ID, Kind: string(event.Kind), Detail: string(event.Why)})
	switch event.Kind {
	case membership.Died, membership.Departed:
		g.log.Warn().Str("peer", string(event.Member.ID)).Str("why", string(event.Why)).Msg("membership: " + string(event.Kind))
		g.input(node.PeerLost{Peer: event.Member.ID})
	case membership.Restarted:
		g.setAddress(event.Member.ID, event.Member.Address)
		g.input(node.PeerLost{Peer: event.Member.ID})
	case membership.Joined:
		g.setAddress(event.Member.ID, event.Member.Address)
	}
}

// handleItem passes a broadcast item to the node core. It ignores an item that doesn't decode, and
// one of a kind that only later versions of this program know.
func (g *gossip) handleItem(item membership.Item) {
	var in node.Input
	var err error
	switch item.Kind {
	case itemCrash, itemQuarantine:
		var notice quarantine.Notice
		err = codec.Unmarshal(item.Payload, &notice)
		in = node.PeerQuarantineNotice{Notice: notice}
	case itemPart:
		var part crashes.Quarantine
		err = codec.Unmarshal(item.Payload, &part)
		in = node.PeerPartQuarantine{Quarantine: part}
	default:
		return
	}
	if err != nil {
		g.log.Warn().Err(err).Str("peer", string(item.Origin)).Msg("membership: item dropped")
		return
	}
	g.input(in)
}

// liveMembers returns the routers that this member considers alive, itself included.
func (g *gossip) liveMembers() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Members()
}

// updateGauges sets the gauges of the membership.
func (g *gossip) updateGauges(c *counters) {
	g.mu.Lock()
	counts, living, queued := g.core.Counts(), g.core.Living(), g.core.Queued()
	g.mu.Unlock()
	c.set("membership_members", float64(living))
	c.set("membership_rumours_queued", float64(queued))
	c.set("membership_packets_shed_total", float64(counts.ShedPackets))
	c.set("membership_rumours_shed_total", float64(counts.ShedRumours))
	c.set("membership_packets_refused_total", float64(counts.Refused))
	c.set("membership_frozen_total", float64(counts.Frozen))
	for _, kind := range membership.PacketKinds() {
		c.set("membership_bytes_total."+kind.String(), float64(counts.Bytes[kind]))
	}
}

// provisionGossip builds the membership core from the settings.
func (d *Daemon) provisionGossip(incarnation uint64) {
	config := membership.DefaultConfig()
	config.Self, config.Address = d.settings.RouterID, d.settings.Listen.Peers
	config.DataCentre, config.Region = d.settings.DataCentre, d.settings.Region
	config.Started = incarnation
	config.BytesPerSecond = d.settings.Membership.BytesPerSecond
	for _, known := range d.settings.Peers {
		config.Seeds = append(config.Seeds, membership.Seed{ID: known.RouterID, Address: known.Address})
	}
	d.gossip = &gossip{
		sender:      meshSender{d.mesh},
		input:       d.runner.Input,
		recordEvent: d.runner.recordEventWithoutRequest,
		setAddress:  d.mesh.SetAddress,
		now:         d.now,
		log:         d.log,
		core:        membership.New(config, d.now(), newRandom()),
	}
	d.runner.broadcast = d.broadcastNotice
	d.runner.broadcastPart = d.gossip.broadcastPart
}

// broadcastNotice sends a notice of a crash or a quarantine to all routers. A notice of a crash
// with very many requests in flight is too large for a broadcast and goes to each router directly.
func (d *Daemon) broadcastNotice(notice quarantine.Notice) {
	if d.gossip.broadcast(notice) {
		return
	}
	encoded := wire.Encode(notice)
	for _, member := range d.gossip.liveMembers() {
		if member.ID != d.settings.RouterID {
			d.mesh.Send(member.ID, wire.KindQuarantine, encoded, true)
		}
	}
}
