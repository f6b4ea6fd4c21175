package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// groups are routers that exchange their work by way of relays: r0, r10, r20 and so
// on add up for the nine behind each of them.
type groups struct {
	at       time.Duration
	books    map[protocol.RouterID]*Book
	order    []protocol.RouterID
	messages map[protocol.RouterID]int
	gone     map[protocol.RouterID]bool
}

func newGroups(routers, upstreams int) *groups {
	const perRelay = 10
	g := &groups{at: now, books: map[protocol.RouterID]*Book{}, messages: map[protocol.RouterID]int{}, gone: map[protocol.RouterID]bool{}}
	name := func(i int) protocol.RouterID { return protocol.RouterID(fmt.Sprint("r", i)) }
	for i := range routers {
		g.order = append(g.order, name(i))
		book := newBook(upstreams)
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
		book.SetNeighbours(neighbours)
		g.books[name(i)] = book
	}
	return g
}

// round lets each router tell its neighbours once.
func (g *groups) round(whole bool) {
	g.at += groupTell
	for _, id := range g.order {
		if g.gone[id] {
			continue
		}
		for _, tell := range g.books[id].Tell(whole) {
			g.messages[tell.To]++
			if !g.gone[tell.To] {
				g.books[tell.To].TakeLoads(g.at, id, tell.Loads)
			}
		}
	}
}

// work lets requests start and end at random, and returns what is in flight.
func (g *groups) work(random *rand.Rand, steps int, inFlight map[protocol.UpstreamID]int) {
	for range steps {
		id := protocol.UpstreamID(fmt.Sprintf("u%02d", random.IntN(20)))
		book := g.books[g.order[random.IntN(len(g.order))]]
		if random.IntN(3) > 0 {
			book.Started(id)
			inFlight[id]++
		} else if u := book.upstreams[id]; u.own.InFlight > 0 {
			book.Ended(g.at, id, Served)
			inFlight[id]--
		}
	}
}

func TestWorkIsAddedUpByRelays(t *testing.T) {
	// Three hundred routers share twenty upstreams. Each has to know the work of
	// all, and can't take a message from each of the others several times a second.
	g := newGroups(300, 20)
	random := seeded()
	inFlight := map[protocol.UpstreamID]int{}
	for range 5 {
		g.work(random, 500, inFlight)
		for range 3 {
			g.round(false)
		}
		for _, id := range g.order {
			for upstream, want := range inFlight {
				load, _ := g.books[id].Load(upstream)
				assert.Equal(t, load, want, "%s on %s", upstream, id)
			}
		}
	}
	for id, messages := range g.messages {
		assert.Assert(t, messages <= 15*(29+9), "%s took %d", id, messages)
	}
}

func TestLostSumsAreMadeUpForByWholeOnes(t *testing.T) {
	// A connection between two relays is replaced, and a sum is lost with it. The
	// whole that follows within a second has to set everything right.
	g := newGroups(40, 20)
	inFlight := map[protocol.UpstreamID]int{}
	g.work(seeded(), 300, inFlight)
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
			load, _ := g.books[id].Load(upstream)
			assert.Equal(t, load, want, "%s on %s", upstream, id)
		}
	}
}

func TestOutcomesAndKeptPromptsPassRelays(t *testing.T) {
	// An upstream fails a third of its requests, of which each router sees one or
	// two; and an engine keeps a prompt that one router has sent there.
	g := newGroups(40, 20)
	for range 3 {
		g.round(true)
	}
	choice := pickAnswered(g.books["r13"], g.at, seeded(), prompt(77))
	for _, id := range g.order {
		for range 2 {
			g.books[id].Started("u05")
			g.books[id].Ended(g.at, "u05", Failed)
		}
	}
	for range 3 {
		g.round(false)
	}
	for _, id := range g.order {
		assert.Assert(t, g.books[id].upstreams["u05"].health.isAvoided(g.at), "%s", id)
		keepers := g.books[id].keepersOf(g.at, 77, g.books[id].services["s"])
		assert.Equal(t, len(keepers), 1, "%s", id)
		assert.Equal(t, keepers[0].entry.ID, choice.ID)
	}
}

func TestWorkIsNotCountedTwiceWhenARelayChanges(t *testing.T) {
	// A relay loses power, and its members get another one that adds up all that
	// the old one did.
	g := newGroups(40, 20)
	inFlight := map[protocol.UpstreamID]int{}
	g.work(seeded(), 300, inFlight)
	for range 3 {
		g.round(true)
	}
	member := g.books["r13"]
	member.SetNeighbours(Neighbours{Relay: "r20"})
	assert.Equal(t, member.Routers(), 0)
	relay := g.books["r20"]
	neighbours := relay.neighbours
	neighbours.Members = append(append([]protocol.RouterID{}, neighbours.Members...), "r13")
	relay.SetNeighbours(neighbours)
	old := g.books["r10"]
	old.SetNeighbours(Neighbours{Members: old.neighbours.Members[:2], Relays: old.neighbours.Relays})
	for range 3 {
		g.round(true)
	}
	load, _ := member.Load("u07")
	assert.Assert(t, load <= inFlight["u07"])
}
