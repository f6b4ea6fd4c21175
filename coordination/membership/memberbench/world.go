// Package memberbench measures package membership by stepping its cores in
// memory: virtual time, a seeded random source, and a network that delays,
// loses and parts packets. The baseline, heartbeats from all to all, runs in
// the same world. A run is the same on every machine.
package memberbench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/membership"
	"endiveplank/protocol"
)

// stepper is what the world drives: a membership core or the baseline.
type stepper interface {
	Tick(now time.Duration) membership.Output
	Receive(now time.Duration, data []byte) membership.Output
}

// node is one process in the world.
type node struct {
	id     protocol.RouterID
	core   stepper
	region int
	dead   bool
	// frozenUntil holds back ticks and packets, slowUntil delays what comes
	// in by slowBy.
	frozenUntil time.Duration
	slowUntil   time.Duration
	slowBy      time.Duration
	// life tells the ticks of a process from those of the one before it.
	life int
}

// happening is a tick (data nil) or the arrival of a packet.
type happening struct {
	at    time.Duration
	order uint64
	to    int
	life  int
	data  []byte
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// seen is an event with when and where it came up.
type seen struct {
	at time.Duration
	by int
	membership.Event
}

// world steps nodes through virtual time.
type world struct {
	now    time.Duration
	random *rand.Rand
	nodes  []*node
	index  map[protocol.RouterID]int
	agenda agenda
	order  uint64
	// loss is the share of packets lost; parted stops packets between regions.
	loss    float64
	parted  bool
	regions int
	config  membership.Config
	// record is called for each event, item for each broadcast item.
	record func(seen)
	item   func(by int, item membership.Item)
}

const (
	// seedNodes are the nodes that others ask to join.
	seedNodes = 9
	// perDataCentre is the size of a data centre in nodes.
	perDataCentre = 8
	// nearDelay and farDelay are one-way delays within a region and between
	// regions; each packet takes up to twice as long.
	nearDelay = 1 * time.Millisecond
	farDelay  = 15 * time.Millisecond
	// baseStart is the start time of the first processes, in Unix
	// milliseconds.
	baseStart = 1_800_000_000_000
)

func nodeID(i int) protocol.RouterID { return protocol.RouterID(fmt.Sprintf("r%d", i+1)) }

// newWorld builds n members that know each other, in three regions.
func newWorld(n int, seed uint64, config membership.Config) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, uint64(n))), index: map[protocol.RouterID]int{},
		regions: 3, config: config, record: func(seen) {}, item: func(int, membership.Item) {},
	}
	known := make([]membership.Member, n)
	for i := range n {
		known[i] = w.member(i, baseStart)
	}
	for i := range n {
		w.add(i, w.newCore(i, baseStart, known))
	}
	return w
}

func (w *world) member(i int, started uint64) membership.Member {
	return membership.Member{
		ID: nodeID(i), Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		DataCentre:  protocol.DataCentre(fmt.Sprintf("dc%d", i/perDataCentre)),
		Region:      fmt.Sprintf("region%d", w.regionOf(i)),
		Incarnation: membership.Incarnation{Started: started},
	}
}

// regionOf spreads data centres over the regions.
func (w *world) regionOf(i int) int { return i / perDataCentre % w.regions }

func (w *world) newCore(i int, started uint64, known []membership.Member) *membership.Core {
	config := w.config
	m := w.member(i, started)
	config.Self, config.Address, config.DataCentre, config.Region = m.ID, m.Address, m.DataCentre, m.Region
	config.Started = started
	for s := range seedNodes {
		config.Seeds = append(config.Seeds, membership.Seed{ID: nodeID(s * perDataCentre), Address: w.member(s*perDataCentre, 0).Address})
	}
	return membership.New(config, w.now, rand.New(rand.NewPCG(w.random.Uint64(), w.random.Uint64())), known...)
}

// add puts a process in place i and starts its ticks.
func (w *world) add(i int, core stepper) {
	if i == len(w.nodes) {
		w.nodes = append(w.nodes, &node{id: nodeID(i), region: w.regionOf(i)})
		w.index[nodeID(i)] = i
	}
	target := w.nodes[i]
	target.core = core
	target.dead = false
	target.life++
	w.put(happening{at: w.now + time.Duration(w.random.Int64N(int64(membership.TickInterval))), to: i, life: target.life})
}

func (w *world) put(h happening) {
	w.order++
	h.order = w.order
	heap.Push(&w.agenda, h)
}

// run steps until a moment.
func (w *world) run(until time.Duration) {
	for len(w.agenda) > 0 && w.agenda[0].at <= until {
		next := heap.Pop(&w.agenda).(happening)
		w.now = next.at
		w.happen(next)
	}
	w.now = until
}

func (w *world) happen(h happening) {
	target := w.nodes[h.to]
	if target.dead || (h.data == nil && h.life != target.life) {
		return
	}
	if w.now < target.frozenUntil {
		h.at = target.frozenUntil
		w.put(h)
		return
	}
	if h.data == nil {
		w.put(happening{at: w.now + membership.TickInterval, to: h.to, life: h.life})
		w.carryOut(h.to, target.core.Tick(w.now))
		return
	}
	w.carryOut(h.to, target.core.Receive(w.now, h.data))
}

func (w *world) carryOut(from int, out membership.Output) {
	for _, packet := range out.Packets {
		w.deliver(from, packet)
	}
	for _, event := range out.Events {
		w.record(seen{at: w.now, by: from, Event: event})
	}
	for _, item := range out.Items {
		w.item(from, item)
	}
}

// deliver passes a packet through the network.
func (w *world) deliver(from int, packet membership.Packet) {
	to, known := w.index[packet.To]
	if !known || w.random.Float64() < w.loss {
		return
	}
	delay := nearDelay
	if w.nodes[from].region != w.nodes[to].region {
		if w.parted {
			return
		}
		delay = farDelay
	}
	at := w.now + delay + time.Duration(w.random.Int64N(int64(delay)))
	if w.now < w.nodes[to].slowUntil {
		at += w.nodes[to].slowBy
	}
	w.put(happening{at: at, to: to, data: packet.Data})
}

// agree counts the running nodes that hold exactly the running ones for alive.
func (w *world) agree() (agreeing, running int) {
	for _, n := range w.nodes {
		if !n.dead {
			running++
		}
	}
	for _, n := range w.nodes {
		if !n.dead && w.holdsRunning(n.core.(*membership.Core), running) {
			agreeing++
		}
	}
	return agreeing, running
}

func (w *world) holdsRunning(core *membership.Core, running int) bool {
	if core.Living() != running {
		return false
	}
	for _, m := range core.Members() {
		if w.nodes[w.index[m.ID]].dead {
			return false
		}
	}
	return true
}
