package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// groups are routers that exchange their load through relays: r0 aggregates for r1 to r9,
// r10 for r11 to r19, and so on.
type groups struct {
	at        time.Duration
	balancers map[protocol.RouterID]*Balancer
	order     []protocol.RouterID
	messages  map[protocol.RouterID]int
	gone      map[protocol.RouterID]bool
}

func newGroups(routers, upstreams int) *groups {
	const perRelay = 10
	g := &groups{at: now, balancers: map[protocol.RouterID]*Balancer{}, messages: map[protocol.RouterID]int{}, gone: map[protocol.RouterID]bool{}}
	name := func(i int) protocol.RouterID { return protocol.RouterID(fmt.Sprint("r", i)) }
	for i := range routers {
		g.order = append(g.order, name(i))
		balancer := newBalancer(upstreams)
		neighbours := Neighbours{Relay: name(i - i%perRelay)}
		if i%perRelay == 0 {
			neighbours = Neighbours{}
			for other := range routers {
				switch {
				case other == i:
				case other%perRelay == 0:
					neighbours.Relays = append(neighbours.Relays, name(other))
				case other-other%perRelay == i:
					neighbours.Members = append(neighbours.Members, name(other))
				}
			}
		}
		balancer.SetNeighbours(neighbours)
		g.balancers[name(i)] = balancer
	}
	return g
}

// round lets each router send one report to its neighbours.
func (g *groups) round(full bool) {
	g.at += groupReportInterval
	for _, id := range g.order {
		if g.gone[id] {
			continue
		}
		for _, report := range g.balancers[id].PendingReports(full) {
			for _, to := range report.To {
				g.messages[to]++
				if !g.gone[to] {
					g.balancers[to].ApplyLoadReport(g.at, id, report.Report)
				}
			}
		}
	}
}

// change starts and ends requests at random, and counts what is in flight.
func (g *groups) change(random *rand.Rand, steps int, inFlight map[protocol.UpstreamID]int) {
	for range steps {
		id := protocol.UpstreamID(fmt.Sprintf("u%02d", random.IntN(20)))
		balancer := g.balancers[g.order[random.IntN(len(g.order))]]
		if random.IntN(3) > 0 {
			balancer.Started(id)
			inFlight[id]++
		} else if u := balancer.upstreams[id]; u.own.InFlight > 0 {
			balancer.Ended(g.at, id, Served)
			inFlight[id]--
		}
	}
}

func TestRelaysAggregateLoads(t *testing.T) {
	// Guards: routers of a large fleet lack part of the load, or get too many messages.
	// Three hundred routers share twenty upstreams. Each must know the load of all, but
	// must not receive a message from every other router several times a second.
	g := newGroups(300, 20)
	random := seeded()
	inFlight := map[protocol.UpstreamID]int{}
	for range 5 {
		g.change(random, 500, inFlight)
		for range 3 {
			g.round(false)
		}
		for _, id := range g.order {
			for upstream, want := range inFlight {
				load, _ := g.balancers[id].Load(upstream)
				assert.Equal(t, load, want, "%s on %s", upstream, id)
			}
		}
	}
	for id, messages := range g.messages {
		assert.Assert(t, messages <= 15*(29+9), "%s received %d", id, messages)
	}
}

func TestFullReportsCorrectLostTotals(t *testing.T) {
	// Guards: a lost total leaves wrong loads. A connection between two relays is
	// replaced, and a report is lost; the full report that follows within a second must
	// correct everything.
	g := newGroups(40, 20)
	inFlight := map[protocol.UpstreamID]int{}
	g.change(seeded(), 300, inFlight)
	g.gone["r10"] = true
	for range 3 {
		g.round(false)
	}
	g.gone["r10"] = false
	for range 3 {
		g.round(true)
	}
	for _, id := range g.order {
		for upstream, want := range inFlight {
			load, _ := g.balancers[id].Load(upstream)
			assert.Equal(t, load, want, "%s on %s", upstream, id)
		}
	}
}

func TestRelaysForwardOutcomesAndCacheHolders(t *testing.T) {
	// Guards: relays drop outcomes or cache holders. An upstream fails a third of its
	// requests, of which each router sees one or two, and an engine holds a prompt that
	// one router sent.
	g := newGroups(40, 20)
	for range 3 {
		g.round(true)
	}
	choice := pickAnswered(g.balancers["r13"], g.at, seeded(), prompt(77))
	for _, id := range g.order {
		for range 2 {
			g.balancers[id].Started("u05")
			g.balancers[id].Ended(g.at, "u05", Failed)
		}
	}
	for range 3 {
		g.round(false)
	}
	for _, id := range g.order {
		assert.Assert(t, g.balancers[id].upstreams["u05"].health.isEjected(g.at), "%s", id)
		known := holders(g.balancers[id], g.at, 77)
		assert.Equal(t, len(known), 1, "%s", id)
		assert.Equal(t, known[0].entry.ID, choice.ID)
	}
}

func TestLoadIsNotCountedTwiceWhenARelayChanges(t *testing.T) {
	// Guards: load is counted twice. A relay loses power, and its members get another
	// relay, which adds up the load that the old one did.
	g := newGroups(40, 20)
	inFlight := map[protocol.UpstreamID]int{}
	g.change(seeded(), 300, inFlight)
	for range 3 {
		g.round(true)
	}
	member := g.balancers["r13"]
	member.SetNeighbours(Neighbours{Relay: "r20"})
	assert.Equal(t, member.Routers(), 0)
	relay := g.balancers["r20"]
	neighbours := relay.neighbours
	neighbours.Members = append(append([]protocol.RouterID{}, neighbours.Members...), "r13")
	relay.SetNeighbours(neighbours)
	old := g.balancers["r10"]
	old.SetNeighbours(Neighbours{Members: old.neighbours.Members[:2], Relays: old.neighbours.Relays})
	for range 3 {
		g.round(true)
	}
	load, _ := member.Load("u07")
	assert.Assert(t, load <= inFlight["u07"])
}
