package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

const testStart = 1000

func testMember(id protocol.RouterID) Member {
	return Member{ID: id, Address: "address-" + string(id), Incarnation: Incarnation{Started: testStart}}
}

func newTestCore(id protocol.RouterID, known ...protocol.RouterID) *Core {
	config := DefaultConfig()
	config.Self, config.Address, config.Started = id, "address-"+string(id), testStart
	var members []Member
	for _, other := range known {
		members = append(members, testMember(other))
	}
	return New(config, 0, rand.New(rand.NewPCG(1, 2)), members...)
}

// from encodes a packet of another member.
func from(id protocol.RouterID, m message) []byte {
	m.From = id
	if m.Incarnation == (Incarnation{}) {
		m.Incarnation = Incarnation{Started: testStart}
	}
	return encode(m)
}

// run ticks a core until a time. respond, if set, may reply to each packet that
// it sends.
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

// answerPings returns a respond function for run: all members but the dead ones
// answer pings, and send nacks when they are asked to ping a member.
func answerPings(c *Core, dead ...protocol.RouterID) func(time.Duration, Packet, message) {
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

// A router dies, and the probes of its monitors and of their helpers go
// unanswered. It must be declared dead, and removed from the list later.
func TestUnansweredMemberIsDeclaredDeadAndRemoved(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	events := run(c, 10*time.Second, answerPings(c, "b"))
	assert.Equal(t, kinds(events, Died), 1)
	assert.Equal(t, c.Living(), 3)
	assert.Equal(t, c.Known(), 4)
	run(c, 11*time.Second+c.config.ForgetAfter, answerPings(c, "b"))
	assert.Equal(t, c.Known(), 3)
}

// The VM is frozen for 20 s while a probe and a suspicion are open. When it
// resumes, all timeouts have expired, although the acks are there but unread.
// The member must declare nobody dead because of its own freeze.
func TestResumedMemberDeclaresNobodyDead(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	c.Receive(0, from("c", message{Kind: Gossip, Rumours: []rumour{{Kind: rumourSuspect, Member: testMember("b"), By: "c"}}}))
	run(c, time.Second, nil)
	out := c.Tick(21 * time.Second)
	assert.Equal(t, kinds(out.Events, Died), 0)
	assert.Equal(t, kinds(out.Events, HealthDegraded), 1)
	assert.Equal(t, c.Living(), 4)
	events := run(c, 25*time.Second, answerPings(c))
	assert.Equal(t, kinds(events, Died), 0)
	assert.Equal(t, c.Counts().Frozen, uint64(1))
}

// This router is isolated or far too slow: neither members nor helpers answer
// it. The fault is its own, so it must suspect nobody for some seconds. If that
// lasts, it must detect that it has lost all others.
func TestIsolatedMemberDegradesItsHealthFirst(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	events := run(c, 10*time.Second, nil)
	assert.Equal(t, kinds(events, Suspected), 0)
	assert.Assert(t, kinds(events, HealthDegraded) > 0)
	assert.Equal(t, c.health.score, maxHealthScore)
	run(c, 5*time.Minute, nil)
	assert.Equal(t, c.Living(), 1)
}

// Acks arrive, but each after its probe has failed, so this router is the slow
// one. It must clear its suspicion and degrade its own health.
func TestLateAckClearsSuspicion(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	var missed []message
	answer := answerPings(c, "b")
	events := run(c, 4*time.Second, func(now time.Duration, p Packet, m message) {
		if p.To == "b" && m.Kind == Ping {
			missed = append(missed, m)
		}
		answer(now, p, m)
	})
	assert.Equal(t, kinds(events, Suspected), 1)
	score := c.health.score
	out := c.Receive(4*time.Second, from("b", message{Kind: Ack, Sequence: missed[0].Sequence, Target: "b"}))
	assert.Equal(t, kinds(out.Events, Refuted), 1)
	assert.Equal(t, c.health.score, score+1)
}

// A living router is wrongly declared dead and receives that update. It must
// raise its incarnation, and a member that considers it dead must add it again
// when it receives that incarnation.
func TestDeathIsRefuted(t *testing.T) {
	reported := newTestCore("b", "a", "c")
	reported.Receive(0, from("a", message{Kind: Ping, Target: "b", Rumours: []rumour{{Kind: rumourDead, Member: testMember("b"), By: "a"}}}))
	assert.Equal(t, reported.self.Incarnation.Refuted, uint32(1))

	// The member has already refuted a suspicion, so the death names an older
	// incarnation and needs no second refutation. Its packets carry the newer one.
	c := newTestCore("a", "b", "c")
	c.handleDeadOrLeft(0, testMember("b"), Dead, WhyReported, "c")
	out := c.Receive(0, from("b", message{Kind: Ping, Target: "a", Incarnation: Incarnation{Started: testStart, Refuted: 1}}))
	assert.Equal(t, kinds(out.Events, Joined), 1)
	assert.Equal(t, c.Living(), 3)
	c.handleDeadOrLeft(0, testMember("b"), Dead, WhyReported, "c")
	assert.Equal(t, c.Living(), 3, "an update of the older incarnation is ignored")
}

// A router restarts under its ID before anyone suspects it. Callers that wait for
// the old process must be told, and a late update about the old process must not
// declare the new one dead.
func TestRestartIsReported(t *testing.T) {
	c := newTestCore("a", "b", "c")
	restarted := testMember("b")
	restarted.Incarnation.Started++
	out := c.Receive(0, from("b", message{Kind: Join, Incarnation: restarted.Incarnation, Rumours: []rumour{{Kind: rumourAlive, Member: restarted}}}))
	assert.Equal(t, kinds(out.Events, Restarted), 1)
	assert.Equal(t, len(out.Packets), 1)
	c.handleDeadOrLeft(0, testMember("b"), Dead, WhyReported, "c")
	assert.Equal(t, c.Living(), 3)
	unknown := restarted
	unknown.Incarnation.Started++
	c.handleDeadOrLeft(0, unknown, Dead, WhyReported, "c")
	assert.Equal(t, c.Living(), 3, "nor the death of a process that is not known yet")
}

// A VM is replaced: a process with another ID answers at the address of a former
// member. The former member must not stay alive on the list.
func TestAddressTakenOverEndsFormerMember(t *testing.T) {
	c := newTestCore("a", "b", "c")
	newcomer := Member{ID: "z", Address: "address-b", Incarnation: Incarnation{Started: testStart + 1}}
	out := c.Receive(0, from("z", message{Kind: Join, Incarnation: newcomer.Incarnation, Rumours: []rumour{{Kind: rumourAlive, Member: newcomer}}}))
	assert.Equal(t, kinds(out.Events, Died), 1)
	assert.Equal(t, out.Events[1].Why, WhyAddressTaken)
	assert.Equal(t, c.Living(), 3)
}

// A router restarts on a VM whose clock is behind. The others would take the new
// process for the older one and ignore its updates, so the router must advance
// its start time.
func TestStartTimeAdvancesWhenTheClockIsBehind(t *testing.T) {
	c := newTestCore("a", "b")
	old := testMember("a")
	old.Incarnation.Started = testStart + 500
	c.Receive(0, from("b", message{Kind: List, Rumours: []rumour{{Kind: rumourAlive, Member: old}}}))
	assert.Equal(t, c.self.Incarnation.Started, uint64(testStart+501))
	for range 10 {
		old.Incarnation.Started += 1000
		c.Receive(0, from("b", message{Kind: List, Rumours: []rumour{{Kind: rumourAlive, Member: old}}}))
	}
	assert.Assert(t, c.startAdvances <= maxStartAdvances, "two processes with one ID must not advance past each other forever")
}

// A new router knows one address and no ID. It must still join.
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

// A partition between regions ends, and members fetch lists of the other side.
// Each list holds the other side's members as dead; none of them may be declared
// dead for that without a chance to refute.
func TestDeathOnAListIsOnlySuspected(t *testing.T) {
	c := newTestCore("a", "b", "c")
	out := c.Receive(0, from("c", message{Kind: List, Rumours: []rumour{{Kind: rumourDead, Member: testMember("b")}}}))
	assert.Equal(t, kinds(out.Events, Suspected), 1)
	assert.Equal(t, kinds(out.Events, Died), 0)
}

// More items are queued than the queue holds, and probes arrive at every tick.
// The bytes sent must stay within the budget, and no ack may be shed for less
// useful packets.
func TestBudgetHoldsAndAcksGoFirst(t *testing.T) {
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

// Load summaries come faster than they can be spread. Only the newest item of
// each key may be sent, each arrives once, and a quarantine notice goes first.
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

// The budget is spent, so probes aren't sent. Their failure says nothing about
// the targets: the member must suspect nobody, and must not declare a suspect
// dead that it has not probed.
func TestSpentBudgetSuspectsNobody(t *testing.T) {
	c := newTestCore("a", "b", "c", "d")
	c.Receive(0, from("c", message{Kind: Gossip, Rumours: []rumour{{Kind: rumourSuspect, Member: testMember("b"), By: "c"}}}))
	c.config.BytesPerSecond, c.budget = 0, budget{}
	events := run(c, 20*time.Second, nil)
	assert.Equal(t, len(events), 0)
	assert.Equal(t, c.Living(), 4)
}

// An overloaded router answers seconds late for a while. It must not be declared
// dead and added again every few seconds for as long as that lasts.
func TestFlappingMemberGetsMoreTime(t *testing.T) {
	c := newTestCore("a", "b", "c")
	b := c.members["b"]
	b.suspicion.by = []protocol.RouterID{"c"}
	first := c.suspicionTimeout(b)
	for flap := range uint32(5) {
		c.handleDeadOrLeft(TickInterval, b.Member, Dead, WhyReported, "c")
		c.Receive(TickInterval, from("b", message{Kind: Gossip, Incarnation: Incarnation{Started: testStart, Refuted: flap + 1}}))
	}
	b.suspicion.by = []protocol.RouterID{"c"}
	assert.Equal(t, c.suspicionTimeout(b), first<<maxFalseDeaths)
	c.Receive(2*steadyTime, from("b", message{Kind: Gossip, Incarnation: Incarnation{Started: testStart, Refuted: 9}}))
	assert.Equal(t, b.falseDeaths, 0)
}
