package retryschedule

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/internal/timequeue"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// The times of a network.
const (
	tick         = 10 * time.Millisecond
	messageDelay = 30 * time.Millisecond
	meshInterval = 335 * time.Millisecond
	// groupInterval is the report interval of routers with relays.
	groupInterval = 250 * time.Millisecond
)

// network plays routers that report their reservations to each other.
type network struct {
	random   *rand.Rand
	now      time.Duration
	interval time.Duration
	relays   bool
	ids      []protocol.RouterID
	all      map[protocol.RouterID]*Reservations
	phase    []time.Duration
	// killed routers neither send nor receive.
	killed map[protocol.RouterID]bool
	under  timequeue.Queue[delivery]
	// sent is the bytes that each router has sent.
	sent map[protocol.RouterID]int
}

type delivery struct {
	from protocol.RouterID
	Outgoing
}

// newNetwork returns routers in a mesh or, if perRelay isn't 0, in groups with a relay each.
func newNetwork(routers, perRelay int) *network {
	n := &network{
		random: rand.New(rand.NewPCG(uint64(routers), 7)), interval: meshInterval, relays: perRelay > 0,
		all: map[protocol.RouterID]*Reservations{}, killed: map[protocol.RouterID]bool{}, sent: map[protocol.RouterID]int{},
	}
	if n.relays {
		n.interval = groupInterval
	}
	for i := range routers {
		n.ids = append(n.ids, protocol.RouterID(fmt.Sprint("r", i)))
		n.phase = append(n.phase, time.Duration(n.random.Int64N(int64(n.interval))))
	}
	for i, id := range n.ids {
		n.all[id] = NewReservations()
		n.all[id].SetNeighbours(n.neighboursOf(i, perRelay))
	}
	return n
}

// neighboursOf returns the neighbours of a router. The first router of each group is its relay.
func (n *network) neighboursOf(i, perRelay int) Neighbours {
	var neighbours Neighbours
	for j, id := range n.ids {
		switch {
		case j == i:
		case perRelay == 0:
			neighbours.Mesh = append(neighbours.Mesh, id)
		case i%perRelay != 0:
			neighbours.Relay = n.ids[i-i%perRelay]
		case j%perRelay == 0:
			neighbours.Relays = append(neighbours.Relays, id)
		case j/perRelay == i/perRelay:
			neighbours.Members = append(neighbours.Members, id)
		}
	}
	return neighbours
}

// step plays one tick.
func (n *network) step() {
	n.now += tick
	for at, ok := n.under.Next(); ok && at <= n.now; at, ok = n.under.Next() {
		_, d := n.under.Pop()
		for _, to := range d.To {
			if !n.killed[to] {
				n.all[to].Apply(n.now, d.from, d.Reported)
			}
		}
	}
	for i, id := range n.ids {
		n.all[id].Expire(n.now)
		if (n.now+n.phase[i])%n.interval < tick && !n.killed[id] {
			n.report(id)
		}
	}
}

func (n *network) report(id protocol.RouterID) {
	for _, out := range n.all[id].Reports(n.now) {
		n.sent[id] += len(out.To) * len(codec.MarshalArrays(out.Reported))
		n.under.Push(n.now+messageDelay, delivery{id, out})
	}
}

// run plays ticks until a time.
func (n *network) run(until time.Duration) {
	for n.now < until {
		n.step()
	}
}

func (n *network) anyRouter() protocol.RouterID { return n.ids[n.random.IntN(len(n.ids))] }

// known returns how many routers that aren't killed expect a digest.
func (n *network) known(digest uint64) int {
	count := 0
	for _, id := range n.ids {
		if match, _ := n.all[id].Match(n.now, digest); match != None && !n.killed[id] {
			count++
		}
	}
	return count
}
