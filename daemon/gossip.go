package daemon

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"endiveplank/coordination/membership"
	"endiveplank/coordination/node"
	"endiveplank/coordination/quarantine"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
	"endiveplank/protocol/wire"
	"endiveplank/transport/peer"
)

// Kinds of broadcast items. Numbers are never used again for something else.
const (
	// itemCrash tells of a crash and is keyed by it.
	itemCrash uint8 = 1
	// itemVerdict condemns or lifts a digest and is keyed by it, so that the
	// later of the two replaces the other.
	itemVerdict uint8 = 2
)

// packets carries membership packets, which may be lost. The mesh does it
// today; a datagram socket could.
type packets interface {
	Send(packet membership.Packet)
}

// meshPackets sends packets as frames that are not resent. A member has few
// partners, so their connections stay open.
type meshPackets struct{ mesh *peer.Mesh }

// Send implements packets. A packet to an address without an ID can't go: the
// mesh proves who a peer is.
func (m meshPackets) Send(packet membership.Packet) {
	if packet.To != "" {
		m.mesh.Send(packet.To, wire.KindGossip, packet.Data, false)
	}
}

// gossip drives the membership core: it passes time and packets to it and
// carries out what it wants. Its lock is never held while others are called.
type gossip struct {
	packets packets
	input   func(node.Input)
	explain func(node.Event)
	learn   func(protocol.RouterID, string)
	now     func() time.Duration
	log     zerolog.Logger

	mu   sync.Mutex
	core *membership.Core
}

// run passes time until quit is closed.
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

// receive takes a packet from a peer.
func (g *gossip) receive(from protocol.RouterID, data []byte) {
	g.step(func(c *membership.Core) membership.Output { return c.ReceiveFrom(g.now(), from, data) })
}

// leave says goodbye at a planned stop.
func (g *gossip) leave() {
	g.step(func(c *membership.Core) membership.Output { return c.Leave(g.now()) })
}

// broadcast spreads a quarantine notice. It returns false for one too large.
func (g *gossip) broadcast(notice quarantine.Notice) bool {
	kind, key := itemVerdict, uint64(notice.Digest)
	if notice.Kind == quarantine.CrashNotice {
		kind, key = itemCrash, uint64(notice.Crash)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Broadcast(kind, key, codec.MarshalArrays(notice))
}

// step runs one step of the core and then acts on a copy of its output, since
// another step may begin once the lock is free.
func (g *gossip) step(run func(*membership.Core) membership.Output) {
	g.mu.Lock()
	out := run(g.core)
	sending := append([]membership.Packet(nil), out.Packets...)
	events := append([]membership.Event(nil), out.Events...)
	items := append([]membership.Item(nil), out.Items...)
	g.mu.Unlock()
	for _, packet := range sending {
		g.packets.Send(packet)
	}
	for _, event := range events {
		g.act(event)
	}
	for _, item := range items {
		g.hear(item)
	}
}

// act tells the core of a lost peer long before its lease ends, so that
// callers whose owner died are served by another. A wrong verdict costs a
// resumed answer, as a broken connection does; who owns what is not touched.
func (g *gossip) act(event membership.Event) {
	g.explain(node.Event{Router: event.Member.ID, Kind: string(event.Kind), Detail: string(event.Why)})
	switch event.Kind {
	case membership.Died, membership.Departed:
		g.log.Warn().Str("peer", string(event.Member.ID)).Str("why", string(event.Why)).Msg("membership: " + string(event.Kind))
		g.input(node.PeerLost{Peer: event.Member.ID})
	case membership.Reborn:
		g.learn(event.Member.ID, event.Member.Address)
		g.input(node.PeerLost{Peer: event.Member.ID})
	case membership.Joined:
		g.learn(event.Member.ID, event.Member.Address)
	}
}

// hear takes a broadcast item. One that doesn't decode, or of a kind that a
// later version sends, changes nothing.
func (g *gossip) hear(item membership.Item) {
	if item.Kind != itemCrash && item.Kind != itemVerdict {
		return
	}
	var notice quarantine.Notice
	if err := codec.Unmarshal(item.Payload, &notice); err != nil {
		g.log.Warn().Err(err).Str("peer", string(item.Origin)).Msg("membership: item dropped")
		return
	}
	g.input(node.PeerQuarantineNotice{Notice: notice})
}

// living returns the routers believed to live, this one included.
func (g *gossip) living() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Members()
}

// measure sets the membership's gauges.
func (g *gossip) measure(c *counters) {
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

// provisionGossip makes the membership core from the settings.
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
		packets: meshPackets{d.mesh},
		input:   d.runner.Input,
		explain: d.runner.explainApart,
		learn:   d.mesh.SetAddress,
		now:     d.now,
		log:     d.log,
		core:    membership.New(config, d.now(), newRandom()),
	}
	d.runner.spread = d.spread
}

// spread tells every router of a crash or quarantine. A notice too large for
// a broadcast, of a crash with very many requests in flight, goes to each.
func (d *Daemon) spread(notice quarantine.Notice) {
	if d.gossip.broadcast(notice) {
		return
	}
	encoded := wire.Encode(notice)
	for _, member := range d.gossip.living() {
		if member.ID != d.settings.RouterID {
			d.mesh.Send(member.ID, wire.KindQuarantine, encoded, true)
		}
	}
}
