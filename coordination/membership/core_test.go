package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

const bornAt = 1000

func testMember(id protocol.RouterID) Member {
	return Member{ID: id, Address: "address-" + string(id), Incarnation: Incarnation{Started: bornAt}}
}

func newTestCore(id protocol.RouterID, known ...protocol.RouterID) *Core {
	config := DefaultConfig()
	config.Self, config.Address, config.Started = id, "address-"+string(id), bornAt
	var members []Member
	for _, other := range known {
		members = append(members, testMember(other))
	}
	return New(config, 0, rand.New(rand.NewPCG(1, 2)), members...)
}

// from builds a packet of another member.
func from(id protocol.RouterID, m message) []byte {
	m.From = id
	if m.Incarnation == (Incarnation{}) {
		m.Incarnation = Incarnation{Started: bornAt}
	}
	return encode(m)
}

// run ticks a core up to a moment; respond may answer each packet it sends.
func run(c *Core, until time.Duration, respond func(now time.Duration, p Packet, m message)) []Event {
	var events []Event
	for now := c.lastTick + TickInterval; now <= until; now += TickInterval {
		out := c.Tick(now)
		events = append(events, out.Events...)
		for _, p := range append([]Packet(nil), out.Packets...) {
			m, err := decode(p.Data)
			if err != nil {
				panic("packet that its own codec refuses")
			}
			if respond != nil {
				respond(now, p, m)
			}
		}
	}
	return events
}

func kinds(events []Event, of EventKind) int {
	count := 0
	for _, e := range events {
		if e.Kind == of {
			count++
		}
	}
	return count
}

// witnesses answer pings, and as helpers say that the dead ones are silent.
func witnesses(c *Core, dead ...protocol.RouterID) func(time.Duration, Packet, message) {
	return func(now time.Duration, p Packet, m message) {
		for _, id := range dead {
			if p.To == id {
				return
			}
		}
		switch m.Kind {
		case Ping:
			c.Receive(now, from(p.To, message{Kind: Ack, Sequence: m.Sequence, Target: p.To, Digest: c.digest}))
		case PingRequest:
			c.Receive(now, from(p.To, message{Kind: Nack, Sequence: m.Sequence, Target: m.Target, Digest: c.digest}))
		}
	}
}

// A router dies; its monitors' probes and those of their helpers go
// unanswered. It must be declared dead, told to others, and forgotten later.
func TestSilentMemberDiesAndIsForgotten(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	events := run(c, 10*time.Second, witnesses(c, "b"))
	assert.Equal(t, kinds(events, Died), 1)
	assert.Equal(t, c.Living(), 3)
	assert.Equal(t, c.Known(), 4)
	run(c, 11*time.Second+c.config.ForgetAfter, witnesses(c, "b"))
	assert.Equal(t, c.Known(), 3)
}

// The VM stops for 20 s while a probe and a suspicion are open, and goes on.
// By its timers everyone is long dead, though the answers lie unread. It must
// declare nobody dead for its own absence.
func TestThawedMemberAccusesNobody(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	c.Receive(0, from("c", message{Kind: Gossip, Rumours: []rumour{{Kind: rumourSuspect, Member: testMember("b"), By: "c"}}}))
	run(c, time.Second, nil)
	out := c.Tick(21 * time.Second)
	assert.Equal(t, kinds(out.Events, Died), 0)
	assert.Equal(t, kinds(out.Events, Doubted), 1)
	assert.Equal(t, c.Living(), 4)
	events := run(c, 25*time.Second, witnesses(c))
	assert.Equal(t, kinds(events, Died), 0)
	assert.Equal(t, c.Counts().Frozen, uint64(1))
}

// This router is cut off or far too slow: nobody answers it, no helper either.
// The fault is its own, so for seconds it accuses nobody; when it lasts, it has
// to notice that it is alone.
func TestMemberThatHearsNobodyDoubtsItselfFirst(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	events := run(c, 10*time.Second, nil)
	assert.Equal(t, kinds(events, Suspected), 0)
	assert.Assert(t, kinds(events, Doubted) > 0)
	assert.Equal(t, c.health.doubt, maxDoubt)
	run(c, 5*time.Minute, nil)
	assert.Equal(t, c.Living(), 1)
}

// Answers come, but each after its probe was given up: this router is the slow
// one. It must take back what it concluded.
func TestLateAnswerTakesAccusationBack(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	var missed []message
	answer := witnesses(c, "b")
	events := run(c, 4*time.Second, func(now time.Duration, p Packet, m message) {
		if p.To == "b" && m.Kind == Ping {
			missed = append(missed, m)
		}
		answer(now, p, m)
	})
	assert.Equal(t, kinds(events, Suspected), 1)
	doubt := c.health.doubt
	out := c.Receive(4*time.Second, from("b", message{Kind: Ack, Sequence: missed[0].Sequence, Target: "b"}))
	assert.Equal(t, kinds(out.Events, Refuted), 1)
	assert.Equal(t, c.health.doubt, doubt+1)
}

// A living router is accused, by mistake, and hears of it. It must raise its
// incarnation; a member that holds it for dead must take it back by that.
func TestAccusedMemberRefutes(t *testing.T) {
	accused := newTestCore("b", "a", "c")
	accused.Receive(0, from("a", message{Kind: Ping, Target: "b", Rumours: []rumour{{Kind: rumourDead, Member: testMember("b"), By: "a"}}}))
	assert.Equal(t, accused.self.Incarnation.Refuted, uint32(1))

	// It had refuted a suspicion already, so the death names an older
	// incarnation, which it need not refute again. Its packets show it.
	c := newTestCore("a", "b", "c")
	c.gone(0, testMember("b"), Dead, WhyTold, "c")
	out := c.Receive(0, from("b", message{Kind: Ping, Target: "a", Incarnation: Incarnation{Started: bornAt, Refuted: 1}}))
	assert.Equal(t, kinds(out.Events, Joined), 1)
	assert.Equal(t, c.Living(), 3)
	c.gone(0, testMember("b"), Dead, WhyTold, "c")
	assert.Equal(t, c.Living(), 3, "news of the older incarnation is void")
}

// A router restarts under its ID before anyone misses it. Those that wait for
// what the old process held must hear of it, and old news must not undo it.
func TestRestartedMemberIsReborn(t *testing.T) {
	c := newTestCore("a", "b", "c")
	reborn := testMember("b")
	reborn.Incarnation.Started++
	out := c.Receive(0, from("b", message{Kind: Join, Incarnation: reborn.Incarnation, Rumours: []rumour{{Kind: rumourAlive, Member: reborn}}}))
	assert.Equal(t, kinds(out.Events, Reborn), 1)
	assert.Equal(t, len(out.Packets), 1)
	c.gone(0, testMember("b"), Dead, WhyTold, "c")
	assert.Equal(t, c.Living(), 3)
	unknown := reborn
	unknown.Incarnation.Started++
	c.gone(0, unknown, Dead, WhyTold, "c")
	assert.Equal(t, c.Living(), 3, "nor the death of a life that was never heard of")
}

// A VM is replaced: a process with another ID answers at the address of one
// that is gone. The old one must not stay on the list.
func TestAddressTakenOverEndsFormerMember(t *testing.T) {
	c := newTestCore("a", "b", "c")
	newcomer := Member{ID: "z", Address: "address-b", Incarnation: Incarnation{Started: bornAt + 1}}
	out := c.Receive(0, from("z", message{Kind: Join, Incarnation: newcomer.Incarnation, Rumours: []rumour{{Kind: rumourAlive, Member: newcomer}}}))
	assert.Equal(t, kinds(out.Events, Died), 1)
	assert.Equal(t, out.Events[1].Why, WhyAddressTaken)
	assert.Equal(t, c.Living(), 3)
}

// A router restarts on a VM whose clock is behind. Others hold its new life
// for the older one and take none of its news.
func TestClockThatWentBackIsOvercome(t *testing.T) {
	c := newTestCore("a", "b")
	old := testMember("a")
	old.Incarnation.Started = bornAt + 500
	c.Receive(0, from("b", message{Kind: List, Rumours: []rumour{{Kind: rumourAlive, Member: old}}}))
	assert.Equal(t, c.self.Incarnation.Started, uint64(bornAt+501))
	for range 10 {
		old.Incarnation.Started += 1000
		c.Receive(0, from("b", message{Kind: List, Rumours: []rumour{{Kind: rumourAlive, Member: old}}}))
	}
	assert.Assert(t, c.adoptions <= maxAdoptions, "two processes under one ID must not outbid each other for ever")
}

// A new router knows one address and no ID.
func TestJoinByAddressAlone(t *testing.T) {
	seed, joiner := newTestCore("a", "c"), newTestCore("b")
	joiner.config.Seeds = []Seed{{Address: "address-a"}}
	run(joiner, 2*time.Second, func(now time.Duration, p Packet, m message) {
		if p.Address == "address-a" && m.Kind == Join {
			joiner.Receive(now, seed.Receive(now, p.Data).Packets[0].Data)
		}
	})
	assert.Equal(t, joiner.Living(), 3)
	assert.Equal(t, seed.Living(), 3)
}

// One region was parted, and lists meet again. Each says that the other's
// members are dead; none may die of that without a chance to refute.
func TestDeathOnAListIsOnlySuspected(t *testing.T) {
	c := newTestCore("a", "b", "c")
	out := c.Receive(0, from("c", message{Kind: List, Rumours: []rumour{{Kind: rumourDead, Member: testMember("b")}}}))
	assert.Equal(t, kinds(out.Events, Suspected), 1)
	assert.Equal(t, kinds(out.Events, Died), 0)
}

// A thousand members' news and a flood of probes come in the same second.
// What is sent must stay within the budget, and answers go before the rest.
func TestBudgetHoldsAndAnswersGoFirst(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	for key := range uint64(3000) {
		c.Broadcast(1, key, make([]byte, 100))
	}
	assert.Equal(t, c.Queued(), c.config.MaxRumours)
	sent, answers := 0, 0
	for now := TickInterval; now <= 10*time.Second; now += TickInterval {
		for _, p := range c.Tick(now).Packets {
			sent += PacketOverhead + len(p.Data)
		}
		for _, p := range c.Receive(now, from("b", message{Kind: Ping, Target: "a"})).Packets {
			sent += PacketOverhead + len(p.Data)
			answers++
		}
	}
	assert.Assert(t, sent <= 11*c.config.BytesPerSecond, "%d bytes", sent)
	assert.Equal(t, answers, 100)
	assert.Assert(t, c.Counts().ShedPackets > 0)
	assert.Assert(t, c.Counts().ShedRumours > 0)
}

// Load summaries come faster than they can be spread. Only the newest of each
// key is worth sending, each arrives once, and none before a notice.
func TestItemsReplaceEachOtherAndArriveOnce(t *testing.T) {
	c, other := newTestCore("a", "b"), newTestCore("b", "a")
	for version := range byte(5) {
		c.Broadcast(BulkKind, 7, []byte{version})
	}
	c.Broadcast(1, 7, []byte("notice"))
	assert.Assert(t, !c.Broadcast(1, 8, make([]byte, MaxItem+1)))
	c.rumours.sort()
	assert.Equal(t, string(c.rumours.items[0].Payload), "notice")
	var items []Item
	run(c, 3*time.Second, func(now time.Duration, p Packet, _ message) {
		items = append(items, other.Receive(now, p.Data).Items...)
	})
	assert.Equal(t, len(items), 2)
	assert.DeepEqual(t, items[1].Payload, []byte{4})
}

// The budget is spent, so probes aren't sent. That nobody answers them says
// nothing about anybody, and a suspect must be asked before it dies.
func TestSpentBudgetAccusesNobody(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	c.Receive(0, from("c", message{Kind: Gossip, Rumours: []rumour{{Kind: rumourSuspect, Member: testMember("b"), By: "c"}}}))
	c.config.BytesPerSecond, c.budget = 0, budget{}
	events := run(c, 20*time.Second, nil)
	assert.Equal(t, len(events), 0)
	assert.Equal(t, c.Living(), 4)
}

// An overloaded router answers seconds late for a while. It must not be
// declared dead and revived every few seconds for as long as that lasts.
func TestFlappingMemberGetsMoreTime(t *testing.T) {
	c := newTestCore("a", "b", "c")
	b := c.members["b"]
	b.suspicion.by = []protocol.RouterID{"c"}
	first := c.timeToRefute(b)
	for flap := range uint32(5) {
		c.gone(TickInterval, b.Member, Dead, WhyTold, "c")
		c.Receive(TickInterval, from("b", message{Kind: Gossip, Incarnation: Incarnation{Started: bornAt, Refuted: flap + 1}}))
	}
	b.suspicion.by = []protocol.RouterID{"c"}
	assert.Equal(t, c.timeToRefute(b), first<<maxRevivals)
	c.Receive(2*calm, from("b", message{Kind: Gossip, Incarnation: Incarnation{Started: bornAt, Refuted: 9}}))
	assert.Equal(t, b.revivals, 0)
}
