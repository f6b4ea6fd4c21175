// Package memberbench measures package membership in a simulation: it steps the
// cores in memory with virtual time, a seeded random source, and a network that
// delays and loses packets and can be partitioned. The baseline, heartbeats from
// all to all, runs in the same simulation. A run is the same on every machine.
package memberbench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/membership"
	"endiveplank/protocol"
)

// stepper is a member that the simulation drives: a membership core or the
// baseline.
type stepper interface {
	Tick(now time.Duration) membership.Output
	Receive(now time.Duration, data []byte) membership.Output
}

// process is one simulated process.
type process struct {
	id     protocol.RouterID
	core   stepper
	region int
	dead   bool
	// Ticks and packets before frozenUntil wait until then. Packets that are
	// sent to the process before slowUntil arrive later by slowBy.
	frozenUntil time.Duration
	slowUntil   time.Duration
	slowBy      time.Duration
	// run counts the starts of the process, so that ticks of the process before
	// a restart are ignored.
	run int
}

// event is a tick (data is nil) or the arrival of a packet.
type event struct {
	at    time.Duration
	order uint64
	to    int
	run   int
	data  []byte
}

type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	old := *a
	last := old[len(old)-1]
	*a = old[:len(old)-1]
	return last
}

// observation is a membership event with the time and the process that reported
// it.
type observation struct {
	at time.Duration
	by int
	membership.Event
}

// simulation steps processes through virtual time.
type simulation struct {
	now        time.Duration
	random     *rand.Rand
	processes  []*process
	index      map[protocol.RouterID]int
	eventQueue eventQueue
	order      uint64
	// loss is the share of packets lost; partitioned drops packets between
	// regions.
	loss        float64
	partitioned bool
	regions     int
	config      membership.Config
	// record is called for each membership event, item for each broadcast item.
	record func(observation)
	item   func(by int, item membership.Item)
}

const (
	// seedCount is the number of processes that others ask to join.
	seedCount = 9
	// perDataCentre is the number of processes in a data centre.
	perDataCentre = 8
	// regionDelay and crossRegionDelay are the least one-way delays within a
	// region and between regions; a packet takes up to twice as long.
	regionDelay      = 1 * time.Millisecond
	crossRegionDelay = 15 * time.Millisecond
	// baseStart is the start time of the first processes, in Unix
	// milliseconds.
	baseStart = 1_800_000_000_000
)

func routerID(i int) protocol.RouterID { return protocol.RouterID(fmt.Sprintf("r%d", i+1)) }

// newSimulation returns a simulation of n members that know each other, in three regions.
func newSimulation(n int, seed uint64, config membership.Config) *simulation {
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, uint64(n))), index: map[protocol.RouterID]int{},
		regions: 3, config: config, record: func(observation) {}, item: func(int, membership.Item) {},
	}
	known := make([]membership.Member, n)
	for i := range n {
		known[i] = sim.member(i, baseStart)
	}
	for i := range n {
		sim.add(i, sim.newCore(i, baseStart, known))
	}
	return sim
}

func (sim *simulation) member(i int, started uint64) membership.Member {
	return membership.Member{
		ID: routerID(i), Address: fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250),
		DataCentre:  protocol.DataCentre(fmt.Sprintf("dc%d", i/perDataCentre)),
		Region:      fmt.Sprintf("region%d", sim.regionOf(i)),
		Incarnation: membership.Incarnation{Started: started},
	}
}

// regionOf spreads data centres over the regions.
func (sim *simulation) regionOf(i int) int { return i / perDataCentre % sim.regions }

func (sim *simulation) newCore(i int, started uint64, known []membership.Member) *membership.Core {
	config := sim.config
	m := sim.member(i, started)
	config.Self, config.Address, config.DataCentre, config.Region = m.ID, m.Address, m.DataCentre, m.Region
	config.Started = started
	for s := range seedCount {
		config.Seeds = append(config.Seeds, membership.Seed{ID: routerID(s * perDataCentre), Address: sim.member(s*perDataCentre, 0).Address})
	}
	return membership.New(config, sim.now, rand.New(rand.NewPCG(sim.random.Uint64(), sim.random.Uint64())), known...)
}

// add starts a process with index i, or restarts it, and schedules its ticks.
func (sim *simulation) add(i int, core stepper) {
	if i == len(sim.processes) {
		sim.processes = append(sim.processes, &process{id: routerID(i), region: sim.regionOf(i)})
		sim.index[routerID(i)] = i
	}
	target := sim.processes[i]
	target.core = core
	target.dead = false
	target.run++
	sim.put(event{at: sim.now + time.Duration(sim.random.Int64N(int64(membership.TickInterval))), to: i, run: target.run})
}

func (sim *simulation) put(e event) {
	sim.order++
	e.order = sim.order
	heap.Push(&sim.eventQueue, e)
}

// runUntil steps the simulation until a time.
func (sim *simulation) runUntil(until time.Duration) {
	for len(sim.eventQueue) > 0 && sim.eventQueue[0].at <= until {
		next := heap.Pop(&sim.eventQueue).(event)
		sim.now = next.at
		sim.handle(next)
	}
	sim.now = until
}

func (sim *simulation) handle(e event) {
	target := sim.processes[e.to]
	if target.dead || (e.data == nil && e.run != target.run) {
		return
	}
	if sim.now < target.frozenUntil {
		e.at = target.frozenUntil
		sim.put(e)
		return
	}
	if e.data == nil {
		sim.put(event{at: sim.now + membership.TickInterval, to: e.to, run: e.run})
		sim.handleOutput(e.to, target.core.Tick(sim.now))
		return
	}
	sim.handleOutput(e.to, target.core.Receive(sim.now, e.data))
}

func (sim *simulation) handleOutput(from int, out membership.Output) {
	for _, packet := range out.Packets {
		sim.deliver(from, packet)
	}
	for _, reported := range out.Events {
		sim.record(observation{at: sim.now, by: from, Event: reported})
	}
	for _, item := range out.Items {
		sim.item(from, item)
	}
}

// deliver sends a packet through the simulated network.
func (sim *simulation) deliver(from int, packet membership.Packet) {
	to, known := sim.index[packet.To]
	if !known || sim.random.Float64() < sim.loss {
		return
	}
	delay := regionDelay
	if sim.processes[from].region != sim.processes[to].region {
		if sim.partitioned {
			return
		}
		delay = crossRegionDelay
	}
	at := sim.now + delay + time.Duration(sim.random.Int64N(int64(delay)))
	if sim.now < sim.processes[to].slowUntil {
		at += sim.processes[to].slowBy
	}
	sim.put(event{at: at, to: to, data: packet.Data})
}

// agree counts the running processes whose list of living members is exactly the
// running ones.
func (sim *simulation) agree() (agreeing, running int) {
	for _, p := range sim.processes {
		if !p.dead {
			running++
		}
	}
	for _, p := range sim.processes {
		if !p.dead && sim.listsRunning(p.core.(*membership.Core), running) {
			agreeing++
		}
	}
	return agreeing, running
}

func (sim *simulation) listsRunning(core *membership.Core, running int) bool {
	if core.Living() != running {
		return false
	}
	for _, m := range core.Members() {
		if sim.processes[sim.index[m.ID]].dead {
			return false
		}
	}
	return true
}
