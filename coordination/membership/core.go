package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"endiveplank/protocol"
)

// Core is one member. Its methods must not be called concurrently, and now must
// never decrease.
type Core struct {
	config Config
	random *rand.Rand

	members map[protocol.RouterID]*record
	// order holds the members sorted by ID.
	order  []*record
	self   *record
	living int
	digest uint32
	// suspects holds the suspected members in the order of suspicion.
	suspects []*record
	// startAdvances counts how often advanceStart changed the own start time.
	startAdvances int
	// leaving means that this member announced that it leaves.
	leaving bool

	// targets are probed in turn, and neighbours receive gossip.
	// neighboursStale means that both must be determined again.
	targets         []protocol.RouterID
	neighbours      []protocol.RouterID
	nextTarget      int
	neighboursStale bool

	// probes are in progress. failed holds failed probes whose acks may still
	// come, and urgent the members to probe out of turn.
	sequence  uint64
	probes    []*probe
	failed    []*probe
	urgent    []protocol.RouterID
	relays    []relay
	nextProbe time.Duration
	// lastAck is when a probe was last answered.
	lastAck time.Duration

	health  health
	rumours queue
	budget  budget
	items   itemStore
	fetch   fetch
	// differingSince holds since when the digests of members have differed from
	// this member's.
	differingSince map[protocol.RouterID]time.Duration

	startedAt  time.Duration
	lastTick   time.Duration
	nextGossip time.Duration
	nextSeed   time.Duration
	nextForget time.Duration

	counts Counts
	out    Output
}

// New returns a member whose list holds itself and the known members, if any.
func New(config Config, now time.Duration, random *rand.Rand, known ...Member) *Core {
	c := &Core{
		config:          config,
		random:          random,
		members:         map[protocol.RouterID]*record{},
		differingSince:  map[protocol.RouterID]time.Duration{},
		rumours:         queue{limit: config.MaxRumours},
		budget:          newBudget(config.BytesPerSecond),
		items:           itemStore{seen: map[rumourKey]itemSeen{}},
		startedAt:       now,
		lastTick:        now,
		neighboursStale: true,
	}
	c.budget.last = now
	c.self = c.insert(now, Member{
		ID: config.Self, Address: config.Address, DataCentre: config.DataCentre, Region: config.Region,
		Incarnation: Incarnation{Started: config.Started}, State: Alive,
	})
	for _, m := range known {
		if c.members[m.ID] == nil {
			m.State = Alive
			c.insert(now, m)
		}
	}
	c.rumours.add(rumour{Kind: rumourAlive, Member: c.self.Member})
	// The jitter keeps members that start together from probing together.
	c.nextProbe = now + c.jitter(config.ProbePeriod)
	c.nextGossip = now + c.jitter(config.GossipPeriod)
	c.nextSeed = now + c.jitter(TickInterval)
	if len(known) > 0 {
		c.nextSeed = now + c.jitter(config.SeedPeriod)
	}
	return c
}

func (c *Core) jitter(period time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(period) + 1))
}

// Members returns the living members, this one included, sorted by ID.
func (c *Core) Members() []Member {
	living := make([]Member, 0, c.living)
	for _, m := range c.order {
		if m.State.living() {
			living = append(living, m.Member)
		}
	}
	return living
}

// Member returns a router's entry in the list, which also holds routers that
// died recently.
func (c *Core) Member(id protocol.RouterID) (Member, bool) {
	m := c.members[id]
	if m == nil {
		return Member{}, false
	}
	return m.Member, true
}

// Living returns the number of living members, this one included.
func (c *Core) Living() int { return c.living }

// Known returns the number of members on the list, the dead included.
func (c *Core) Known() int { return len(c.order) }

// Queued returns the number of rumours in the queue.
func (c *Core) Queued() int { return len(c.rumours.items) }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts {
	copied := c.counts
	copied.ShedRumours = c.rumours.shed
	return copied
}

// Tick starts probes and gossip that are due and expires timeouts. The driver
// calls it every TickInterval.
func (c *Core) Tick(now time.Duration) Output {
	c.beginStep(now)
	c.lastTick = now
	if c.leaving {
		return c.out
	}
	if c.neighboursStale {
		c.findNeighbours()
	}
	c.tickSuspicions(now)
	c.tickProbes(now)
	c.tickRelays(now)
	c.tickGossip(now)
	c.tickSeeds(now)
	c.tickFetch(now)
	c.tickForget(now)
	return c.out
}

// Receive handles a packet from a member whose ID the transport did not verify.
func (c *Core) Receive(now time.Duration, data []byte) Output {
	return c.ReceiveFrom(now, "", data)
}

// ReceiveFrom handles a packet from a member whose ID the transport verified. It
// refuses a packet that names another sender, because the packet could make that
// other member count as alive or as left.
func (c *Core) ReceiveFrom(now time.Duration, sender protocol.RouterID, data []byte) Output {
	c.beginStep(now)
	m, err := decode(data)
	if err != nil || m.From == c.config.Self || (sender != "" && m.From != sender) {
		c.counts.Refused++
		return c.out
	}
	c.applyUpdates(now, m)
	c.respond(now, m)
	return c.out
}

// Leave announces that this member leaves, so that the others need not detect
// it. The member sends nothing after that.
func (c *Core) Leave(now time.Duration) Output {
	c.beginStep(now)
	c.leaving = true
	c.rumours.add(rumour{Kind: rumourLeft, Member: c.self.Member})
	for _, id := range c.neighbours {
		c.send(now, c.members[id], message{Kind: Gossip}, classAck)
	}
	return c.out
}

// beginStep starts a step. A process that was frozen may first read the packets
// that came meanwhile, so every step checks the gap, not only Tick.
func (c *Core) beginStep(now time.Duration) {
	c.out.Packets = c.out.Packets[:0]
	c.out.Events = c.out.Events[:0]
	c.out.Items = c.out.Items[:0]
	if now-c.lastTick > c.config.FreezeGap {
		c.handleFreeze(now)
	}
}

// handleFreeze discards what this process would conclude from its own freeze:
// acks of its probes may still be unread, and it could receive no refutations.
// Otherwise a frozen member would declare others dead as soon as it resumes.
func (c *Core) handleFreeze(now time.Duration) {
	c.counts.Frozen++
	c.lastTick = now
	c.probes = c.probes[:0]
	c.urgent = c.urgent[:0]
	c.relays = c.relays[:0]
	for _, m := range c.suspects {
		m.suspicion.since = now
	}
	c.health.degrade(frozenPenalty)
	c.emit(HealthDegraded, c.self, WhyFrozen, "")
}

// respond handles a packet by its kind after its updates were applied.
func (c *Core) respond(now time.Duration, m message) {
	if c.leaving {
		return
	}
	from := c.memberOrUnknown(m.From)
	switch m.Kind {
	case Ping:
		if m.Target == c.config.Self {
			c.send(now, from, message{Kind: Ack, Sequence: m.Sequence, Target: m.Target}, classAck)
		}
	case Ack:
		c.handleAck(now, m)
	case PingRequest:
		c.handlePingRequest(now, from, m)
	case Nack:
		c.handleNack(m)
	case Join:
		c.sendList(now, from, "")
	case ListRequest:
		c.sendList(now, from, m.Target)
	case List:
		c.handleList(now, from, m)
	}
}

// tickGossip sends queued rumours in gossip packets. If rumours were sent only
// on probes, the number of members that an update has reached would double only
// once a second.
func (c *Core) tickGossip(now time.Duration) {
	if now < c.nextGossip || len(c.rumours.items) == 0 || len(c.neighbours) == 0 {
		return
	}
	c.nextGossip = now + c.config.GossipPeriod
	first := c.random.IntN(len(c.neighbours))
	for i := range min(c.config.GossipFanout, len(c.neighbours)) {
		to := c.members[c.neighbours[(first+i)%len(c.neighbours)]]
		c.send(now, to, message{Kind: Gossip}, classGossip)
	}
}

// tickSeeds sends a Join to a seed that is not a living member. A new member
// joins that way, and after a partition longer than ForgetAfter, the two sides
// find each other again.
func (c *Core) tickSeeds(now time.Duration) {
	if now < c.nextSeed {
		return
	}
	period := c.config.SeedPeriod
	if c.living == 1 {
		period = c.config.ProbePeriod
	}
	c.nextSeed = now + period/2 + c.jitter(period)
	var absent []Seed
	for _, seed := range c.config.Seeds {
		if !c.isLive(seed) {
			absent = append(absent, seed)
		}
	}
	if len(absent) == 0 {
		return
	}
	seed := absent[c.random.IntN(len(absent))]
	to := &record{Member: Member{ID: seed.ID, Address: seed.Address, State: Alive}}
	c.sendWith(now, to, message{Kind: Join, Rumours: []rumour{{Kind: rumourAlive, Member: c.self.Member}}}, classProbe)
}

// isLive reports whether a seed is this process or a living member.
func (c *Core) isLive(seed Seed) bool {
	if seed.ID != "" {
		m := c.members[seed.ID]
		return m != nil && m.State.living()
	}
	return slices.ContainsFunc(c.order, func(m *record) bool {
		return m.Address == seed.Address && m.State.living()
	})
}

// tickForget removes members that have been dead for ForgetAfter. An old update
// can add such a member again; it is then probed and declared dead once more.
func (c *Core) tickForget(now time.Duration) {
	if now < c.nextForget {
		return
	}
	c.nextForget = now + c.config.ProbePeriod
	c.items.forget(now, c.config.ForgetAfter)
	c.order = slices.DeleteFunc(c.order, func(m *record) bool {
		old := !m.State.living() && now-m.changed > c.config.ForgetAfter
		if old {
			delete(c.members, m.ID)
		}
		return old
	})
}

// send sends a message with as many queued rumours as fit.
func (c *Core) send(now time.Duration, to *record, m message, of class) bool {
	return c.sendWith(now, to, m, of)
}

// sendWith encodes a packet and takes its bytes from the budget. The packet holds
// the message's own rumours, then a suspicion or death of the receiver, who must
// refute it, then queued rumours, except on a List packet. It returns false if the
// budget is spent.
func (c *Core) sendWith(now time.Duration, to *record, m message, of class) bool {
	m.From = c.config.Self
	m.Incarnation = c.self.Incarnation
	m.Digest = c.digest
	data := appendHead(make([]byte, 0, 128), m)
	for _, r := range m.Rumours {
		data = appendRumour(data, r)
	}
	data = c.appendReceiverState(data, to)
	cost := PacketOverhead + len(data)
	if c.budget.available(now, of) < cost {
		c.counts.ShedPackets++
		return false
	}
	if m.Kind != List {
		space := min(MaxPacket-len(data), c.budget.available(now, classGossip)-cost)
		data = c.rumours.take(data, space, c.transmissions())
	}
	cost = PacketOverhead + len(data)
	c.budget.spend(cost)
	c.counts.Bytes[m.Kind] += uint64(cost)
	c.counts.Packets[m.Kind]++
	c.out.Packets = append(c.out.Packets, Packet{To: to.ID, Address: to.Address, Kind: m.Kind, Data: data})
	return true
}

// appendReceiverState tells the receiver that it is suspected or declared dead.
// Nobody else can refute that, and the rumour may not have reached it.
func (c *Core) appendReceiverState(data []byte, to *record) []byte {
	switch to.State {
	case Suspect:
		return appendRumour(data, rumour{Kind: rumourSuspect, Member: to.Member, By: c.config.Self})
	case Dead:
		return appendRumour(data, rumour{Kind: rumourDead, Member: to.Member, By: c.config.Self})
	}
	return data
}

func (c *Core) emit(kind EventKind, about *record, why Why, by protocol.RouterID) {
	c.out.Events = append(c.out.Events, Event{Kind: kind, Member: about.Member, Why: why, By: by})
}

// insert adds a member to the list, which is sorted by ID.
func (c *Core) insert(now time.Duration, m Member) *record {
	added := &record{Member: m, hash: idHash(m.ID), changed: now}
	at, _ := c.find(m.ID)
	c.order = slices.Insert(c.order, at, added)
	c.members[m.ID] = added
	c.updateDigest(added, 1)
	return added
}

func (c *Core) find(id protocol.RouterID) (int, bool) {
	return slices.BinarySearchFunc(c.order, id, func(m *record, id protocol.RouterID) int {
		return strings.Compare(string(m.ID), string(id))
	})
}

// updateDigest adds a living member to the digest and to the number of living
// members if delta is 1, and removes it if delta is -1.
func (c *Core) updateDigest(m *record, delta int) {
	c.living += delta
	c.digest ^= uint32(position(m.hash^m.Incarnation.Started, 0))
	c.neighboursStale = true
}
