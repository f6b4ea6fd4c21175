package membership

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"endiveplank/protocol"
)

// Core is one member. Its methods must not run at the same time, and now never
// goes back.
type Core struct {
	config Config
	random *rand.Rand

	members map[protocol.RouterID]*record
	// order holds the members sorted by ID.
	order  []*record
	self   *record
	living int
	digest uint32
	// suspects holds those with a time to refute, in the order of accusation.
	suspects []*record
	// adoptions counts the moves of its own start time.
	adoptions int
	// leaving says that this member said goodbye.
	leaving bool

	// targets are probed in turn, neighbours get gossip; stale asks for both
	// to be found again.
	targets    []protocol.RouterID
	neighbours []protocol.RouterID
	nextTarget int
	stale      bool

	sequence  uint64
	probes    []*probe
	failed    []*probe
	urgent    []protocol.RouterID
	relays    []relay
	nextProbe time.Duration
	// lastAnswer is when a probe was last answered.
	lastAnswer time.Duration

	health  health
	rumours queue
	budget  budget
	items   itemStore
	fetch   fetch
	// differing is since when members' digests differ from this one's.
	differing map[protocol.RouterID]time.Duration

	born       time.Duration
	lastTick   time.Duration
	nextGossip time.Duration
	nextSeed   time.Duration
	nextForget time.Duration

	counts Counts
	out    Output
}

// New returns a member that knows itself and those given, which may be none.
func New(config Config, now time.Duration, random *rand.Rand, known ...Member) *Core {
	c := &Core{
		config:    config,
		random:    random,
		members:   map[protocol.RouterID]*record{},
		differing: map[protocol.RouterID]time.Duration{},
		rumours:   queue{limit: config.MaxRumours},
		budget:    newBudget(config.BytesPerSecond),
		items:     itemStore{seen: map[rumourKey]itemSeen{}},
		born:      now,
		lastTick:  now,
		stale:     true,
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
	// Members that start together must not probe together.
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

// Member returns what is known of a router, also of one that died lately.
func (c *Core) Member(id protocol.RouterID) (Member, bool) {
	m := c.members[id]
	if m == nil {
		return Member{}, false
	}
	return m.Member, true
}

// Living returns the number of living members, this one included.
func (c *Core) Living() int { return c.living }

// Known returns the number of members remembered, the dead included.
func (c *Core) Known() int { return len(c.order) }

// Queued returns the number of rumours that wait.
func (c *Core) Queued() int { return len(c.rumours.items) }

// Counts returns the totals since the start.
func (c *Core) Counts() Counts {
	copied := c.counts
	copied.ShedRumours = c.rumours.shed
	return copied
}

// Tick passes time; the driver calls it every TickInterval.
func (c *Core) Tick(now time.Duration) Output {
	c.begin(now)
	c.lastTick = now
	if c.leaving {
		return c.out
	}
	if c.stale {
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

// Receive takes a packet from a member.
func (c *Core) Receive(now time.Duration, data []byte) Output {
	c.begin(now)
	m, err := decode(data)
	if err != nil || m.From == c.config.Self {
		c.counts.Refused++
		return c.out
	}
	c.hear(now, m)
	c.answer(now, m)
	return c.out
}

// Leave says goodbye, so that nobody has to find out. The member is silent
// from then on.
func (c *Core) Leave(now time.Duration) Output {
	c.begin(now)
	c.leaving = true
	c.rumours.add(rumour{Kind: rumourLeft, Member: c.self.Member})
	for _, id := range c.neighbours {
		c.send(now, c.members[id], message{Kind: Gossip}, classAnswer)
	}
	return c.out
}

// begin starts a step. A process that was frozen first reads what came
// meanwhile, so every step looks at the gap.
func (c *Core) begin(now time.Duration) {
	c.out.Packets = c.out.Packets[:0]
	c.out.Events = c.out.Events[:0]
	c.out.Items = c.out.Items[:0]
	if now-c.lastTick > c.config.FreezeGap {
		c.thaw(now)
	}
}

// thaw throws away what this process concluded from its own absence: answers
// to its probes may lie unread, and the suspects had no chance to be heard.
// Without it a frozen member declares others dead in the moment it goes on.
func (c *Core) thaw(now time.Duration) {
	c.counts.Frozen++
	c.lastTick = now
	c.probes = c.probes[:0]
	c.urgent = c.urgent[:0]
	c.relays = c.relays[:0]
	for _, m := range c.suspects {
		m.suspicion.since = now
	}
	c.health.worse(frozenPenalty)
	c.event(Doubted, c.self, WhyFrozen, "")
}

// answer reacts to a packet after its news was heard.
func (c *Core) answer(now time.Duration, m message) {
	if c.leaving {
		return
	}
	from := c.orStranger(m.From)
	switch m.Kind {
	case Ping:
		if m.Target == c.config.Self {
			c.send(now, from, message{Kind: Ack, Sequence: m.Sequence, Target: m.Target}, classAnswer)
		}
	case Ack:
		c.acknowledged(now, m)
	case PingRequest:
		c.relay(now, from, m)
	case Nack:
		c.refusedBy(m)
	case Join:
		c.sendList(now, from, "")
	case ListRequest:
		c.sendList(now, from, m.Target)
	case List:
		c.listed(now, from, m)
	}
}

// tickGossip sends rumours that wait on packets of their own. Riding on probes
// alone, news takes a second for each doubling.
func (c *Core) tickGossip(now time.Duration) {
	if now < c.nextGossip || len(c.rumours.items) == 0 || len(c.neighbours) == 0 {
		return
	}
	c.nextGossip = now + c.config.GossipPeriod
	first := c.random.IntN(len(c.neighbours))
	for i := range min(c.config.GossipFanout, len(c.neighbours)) {
		to := c.members[c.neighbours[(first+i)%len(c.neighbours)]]
		c.send(now, to, message{Kind: Gossip}, classNews)
	}
}

// tickSeeds asks a seed that is not a living member: to join, and to find the
// other side again after a partition that outlasted the memory of its members.
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
		if !c.reaches(seed) {
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

// reaches says whether a seed is this process or a living member.
func (c *Core) reaches(seed Seed) bool {
	if seed.ID != "" {
		m := c.members[seed.ID]
		return m != nil && m.State.living()
	}
	return slices.ContainsFunc(c.order, func(m *record) bool {
		return m.Address == seed.Address && m.State.living()
	})
}

// tickForget takes out who has been dead for long. A life of a process that is
// forgotten can come back only by old news, and is then probed and dies again.
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

// send sends a message with whatever rumours fit.
func (c *Core) send(now time.Duration, to *record, m message, of class) bool {
	return c.sendWith(now, to, m, of)
}

// sendWith encodes and pays for a packet: the message's own rumours first,
// then what is said about the receiver, who must refute it, then the queue.
func (c *Core) sendWith(now time.Duration, to *record, m message, of class) bool {
	m.From = c.config.Self
	m.Incarnation = c.self.Incarnation
	m.Digest = c.digest
	data := appendHead(make([]byte, 0, 128), m)
	for _, r := range m.Rumours {
		data = appendRumour(data, r)
	}
	data = c.appendDoubt(data, to)
	cost := PacketOverhead + len(data)
	if c.budget.left(now, of) < cost {
		c.counts.ShedPackets++
		return false
	}
	if m.Kind != List {
		room := min(MaxPacket-len(data), c.budget.left(now, classNews)-cost)
		data = c.rumours.take(data, room, c.transmissions())
	}
	cost = PacketOverhead + len(data)
	c.budget.spend(cost)
	c.counts.Bytes[m.Kind] += uint64(cost)
	c.counts.Packets[m.Kind]++
	c.out.Packets = append(c.out.Packets, Packet{To: to.ID, Address: to.Address, Kind: m.Kind, Data: data})
	return true
}

// appendDoubt tells a member that it is suspected or held for dead. Nobody
// else can refute it, and the rumour may have passed it by.
func (c *Core) appendDoubt(data []byte, to *record) []byte {
	switch to.State {
	case Suspect:
		return appendRumour(data, rumour{Kind: rumourSuspect, Member: to.Member, By: c.config.Self})
	case Dead:
		return appendRumour(data, rumour{Kind: rumourDead, Member: to.Member, By: c.config.Self})
	}
	return data
}

func (c *Core) event(kind EventKind, about *record, why Why, by protocol.RouterID) {
	c.out.Events = append(c.out.Events, Event{Kind: kind, Member: about.Member, Why: why, By: by})
}

// insert adds a member in order of IDs.
func (c *Core) insert(now time.Duration, m Member) *record {
	added := &record{Member: m, hash: idHash(m.ID), changed: now}
	at, _ := c.find(m.ID)
	c.order = slices.Insert(c.order, at, added)
	c.members[m.ID] = added
	c.count(added, 1)
	return added
}

func (c *Core) find(id protocol.RouterID) (int, bool) {
	return slices.BinarySearchFunc(c.order, id, func(m *record, id protocol.RouterID) int {
		return strings.Compare(string(m.ID), string(id))
	})
}

// count takes a living member into the digest and the number of the living, or
// out of them.
func (c *Core) count(m *record, by int) {
	c.living += by
	c.digest ^= uint32(position(m.hash^m.Incarnation.Started, 0))
	c.stale = true
}
