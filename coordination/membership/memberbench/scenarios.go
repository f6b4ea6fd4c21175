package memberbench

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"endiveplank/coordination/membership"
	"endiveplank/protocol"
)

// Metric is one measured value of a run.
type Metric struct {
	Name  string
	Value float64
}

// Scenario is a simulation that returns metrics. CI is set if it is short enough
// to run with the tests.
type Scenario struct {
	Name string
	CI   bool
	Run  func(seed uint64) []Metric
}

// warmUp is the time in which a new simulation spreads the first updates of its
// members.
const warmUp = 20 * time.Second

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	var list []Scenario
	for _, n := range []int{9, 330, 1000} {
		ci := n <= 330
		list = append(list,
			Scenario{fmt.Sprintf("quiet/nodes=%d", n), ci, func(seed uint64) []Metric { return quiet(n, seed) }},
			Scenario{fmt.Sprintf("kill/nodes=%d", n), ci, func(seed uint64) []Metric { return kills(n, min(12, n/3), 0, seed, membership.DefaultConfig()) }},
			Scenario{fmt.Sprintf("loss30/nodes=%d", n), ci, func(seed uint64) []Metric { return lossy(n, seed) }},
			Scenario{fmt.Sprintf("loss30-kill/nodes=%d", n), n == 9, func(seed uint64) []Metric { return kills(n, min(12, n/3), 0.3, seed, membership.DefaultConfig()) }},
			Scenario{fmt.Sprintf("freeze10/nodes=%d", n), ci, func(seed uint64) []Metric { return impaired(n, seed, false, membership.DefaultConfig()) }},
			Scenario{fmt.Sprintf("overload10/nodes=%d", n), n == 9, func(seed uint64) []Metric { return impaired(n, seed, true, membership.DefaultConfig()) }},
		)
	}
	list = append(list, variants()...)
	return append(list,
		Scenario{"heartbeats/nodes=9", true, func(seed uint64) []Metric { return baseline(9, seed) }},
		Scenario{"heartbeats/nodes=330", false, func(seed uint64) []Metric { return baseline(330, seed) }},
		Scenario{"data-centre-lost/nodes=330", true, dataCentreLost},
		Scenario{"parted-hour/nodes=48", true, func(seed uint64) []Metric { return partitionedHour(48, seed) }},
		Scenario{"parted-hour/nodes=330", false, func(seed uint64) []Metric { return partitionedHour(330, seed) }},
		Scenario{"restarts-120/nodes=48", true, func(seed uint64) []Metric { return restarts(48, seed) }},
		Scenario{"restarts-120/nodes=330", false, func(seed uint64) []Metric { return restarts(330, seed) }},
		Scenario{"items/nodes=330", true, func(seed uint64) []Metric { return items(330, seed) }},
	)
}

// variants returns scenarios with other timings than the default ones, to
// compare them.
func variants() []Scenario {
	var list []Scenario
	const n = 330
	for _, period := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second} {
		for _, least := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second} {
			config := membership.DefaultConfig()
			config.ProbePeriod, config.SuspicionMin = period, least
			name := fmt.Sprintf("period=%v,least=%v", period, least)
			list = append(list,
				Scenario{"variant-kill/" + name, false, func(seed uint64) []Metric { return kills(n, 12, 0, seed, config) }},
				Scenario{"variant-freeze10/" + name, false, func(seed uint64) []Metric { return impaired(n, seed, false, config) }})
		}
	}
	return list
}

// traffic holds the bytes that the processes have sent until a time, in total by
// packet kind and for each process.
type traffic struct {
	at    time.Duration
	kinds map[membership.PacketKind]uint64
	all   []uint64
}

func (sim *simulation) traffic() traffic {
	t := traffic{at: sim.now, kinds: map[membership.PacketKind]uint64{}, all: make([]uint64, len(sim.processes))}
	for i, p := range sim.processes {
		counts := p.core.(*membership.Core).Counts()
		for _, kind := range membership.PacketKinds() {
			t.kinds[kind] += counts.Bytes[kind]
			t.all[i] += counts.Bytes[kind]
		}
	}
	return t
}

// rates returns the bytes per process and second since an earlier time: by kind
// if byKind is set, the mean, and the maximum over all processes.
func (sim *simulation) rates(since traffic, byKind bool) []Metric {
	now := sim.traffic()
	seconds := (now.at - since.at).Seconds()
	var metrics []Metric
	var sum, most uint64
	for i := range now.all {
		sum += now.all[i] - since.all[i]
		most = max(most, now.all[i]-since.all[i])
	}
	processSeconds := seconds * float64(len(sim.processes))
	for _, kind := range membership.PacketKinds() {
		if byKind {
			metrics = append(metrics, Metric{kind.String() + "-B/node/s", float64(now.kinds[kind]-since.kinds[kind]) / processSeconds})
		}
	}
	return append(metrics, Metric{"B/node/s", float64(sum) / processSeconds}, Metric{"max-B/node/s", float64(most) / seconds})
}

// quiet measures the traffic of a fleet without failures.
func quiet(n int, seed uint64) []Metric {
	sim := newSimulation(n, seed, membership.DefaultConfig())
	sim.runUntil(warmUp)
	since := sim.traffic()
	sim.runUntil(warmUp + time.Minute)
	return sim.rates(since, true)
}

// MemoryPerMember returns the heap bytes that one core takes per known member.
// The value depends on the Go runtime, so it has no bound.
func MemoryPerMember(n int) float64 {
	sim := newSimulation(1, 1, membership.DefaultConfig())
	known := make([]membership.Member, n)
	for i := range known {
		known[i] = sim.member(i, baseStart)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	core := sim.newCore(0, baseStart, known)
	core.Tick(time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(core)
	runtime.KeepAlive(known)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

// observer collects the suspicions and deaths that members report.
type observer struct {
	killed map[protocol.RouterID]time.Duration
	// first and last are the times from a kill until the first and the last
	// member declared the killed one dead; all holds the times of all members.
	first, last map[protocol.RouterID]time.Duration
	all         []time.Duration
	// falseSuspicions counts failed probes of healthy running members that led
	// to a suspicion. falseDeaths and impairedDead count the deaths of healthy
	// and of impaired running members, once per member that reports the death.
	falseSuspicions, falseDeaths, impairedDead int
	falselyDeclared                            map[protocol.RouterID]bool
	impaired                                   map[protocol.RouterID]bool
}

func observe(sim *simulation) *observer {
	v := &observer{
		killed: map[protocol.RouterID]time.Duration{}, first: map[protocol.RouterID]time.Duration{}, last: map[protocol.RouterID]time.Duration{},
		impaired: map[protocol.RouterID]bool{}, falselyDeclared: map[protocol.RouterID]bool{},
	}
	sim.record = func(s observation) { v.record(sim, s) }
	return v
}

func (v *observer) record(sim *simulation, s observation) {
	id := s.Member.ID
	killedAt, killed := v.killed[id]
	switch {
	case s.Kind == membership.Died && killed:
		took := s.at - killedAt
		if _, known := v.first[id]; !known {
			v.first[id] = took
		}
		v.last[id] = took
		v.all = append(v.all, took)
	case s.Kind == membership.Suspected && !killed && s.Why == membership.WhyProbeFailed && !v.impaired[id]:
		v.falseSuspicions++
	case s.Kind == membership.Died && v.impaired[id]:
		v.impairedDead++
	case s.Kind == membership.Died:
		v.falseDeaths++
		v.falselyDeclared[id] = true
	}
}

// kill stops a process without a leave.
func (v *observer) kill(sim *simulation, i int) {
	sim.processes[i].dead = true
	v.killed[sim.processes[i].id] = sim.now
}

// detection returns the times until the killed processes were detected, in
// milliseconds.
func (v *observer) detection() []Metric {
	return []Metric{
		{"killed", float64(len(v.killed))},
		{"found", float64(len(v.first))},
		{"first-median-ms", median(values(v.first))},
		{"first-max-ms", largest(values(v.first))},
		{"everywhere-median-ms", median(v.all)},
		{"everywhere-max-ms", largest(v.all)},
	}
}

func values(m map[protocol.RouterID]time.Duration) []time.Duration {
	list := make([]time.Duration, 0, len(m))
	for _, d := range m {
		list = append(list, d)
	}
	return list
}

func median(list []time.Duration) float64 {
	if len(list) == 0 {
		return -1
	}
	sorted := slices.Clone(list)
	slices.Sort(sorted)
	return milliseconds(sorted[len(sorted)/2])
}

func largest(list []time.Duration) float64 {
	if len(list) == 0 {
		return -1
	}
	return milliseconds(slices.Max(list))
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// kills stops members one after the other while the network loses the share loss
// of all packets.
func kills(n, count int, loss float64, seed uint64, config membership.Config) []Metric {
	sim := newSimulation(n, seed, config)
	v := observe(sim)
	sim.loss = loss
	sim.runUntil(warmUp)
	order := sim.random.Perm(n)
	for k := range count {
		sim.runUntil(warmUp + time.Duration(k)*15*time.Second + time.Duration(sim.random.Int64N(int64(time.Second))))
		v.kill(sim, order[k])
	}
	sim.runUntil(warmUp + time.Duration(count)*15*time.Second)
	return append(v.detection(), Metric{"false-deaths", float64(len(v.falselyDeclared))})
}

// lossy runs a fleet for a minute while the network loses three packets in ten.
func lossy(n int, seed uint64) []Metric {
	sim := newSimulation(n, seed, membership.DefaultConfig())
	sim.runUntil(warmUp)
	v := observe(sim)
	sim.loss = 0.3
	since := sim.traffic()
	sim.runUntil(warmUp + time.Minute)
	return append(sim.rates(since, false),
		Metric{"accusations/node/min", float64(v.falseSuspicions) / float64(n)},
		Metric{"false-deaths", float64(len(v.falselyDeclared))})
}

// impaired freezes or overloads a tenth of the members, six times. A frozen
// member stops for 1 to 5 s; an overloaded one receives packets 1 to 5 s late.
func impaired(n int, seed uint64, slow bool, config membership.Config) []Metric {
	sim := newSimulation(n, seed, config)
	v := observe(sim)
	sim.runUntil(warmUp)
	since := sim.traffic()
	const rounds = 6
	for round := range rounds {
		v.impaired = map[protocol.RouterID]bool{}
		for _, i := range sim.random.Perm(n)[:max(1, n/10)] {
			length := time.Second + time.Duration(sim.random.Int64N(int64(4*time.Second)))
			v.impaired[sim.processes[i].id] = true
			if slow {
				sim.processes[i].slowUntil, sim.processes[i].slowBy = sim.now+10*time.Second, length
			} else {
				sim.processes[i].frozenUntil = sim.now + length
			}
		}
		sim.runUntil(warmUp + time.Duration(round+1)*25*time.Second)
	}
	agreeing, running := sim.agree()
	return append(sim.rates(since, false),
		Metric{"accusations-of-healthy", float64(v.falseSuspicions)},
		Metric{"healthy-declared-dead", float64(len(v.falselyDeclared))},
		Metric{"impaired-deaths-believed/node", float64(v.impairedDead) / float64(rounds*max(1, n/10)) / float64(n)},
		Metric{"disagreeing-at-end", float64(running - agreeing)})
}

// baseline runs heartbeats from all to all: first without failures, then with one
// killed member, then with packet loss.
func baseline(n int, seed uint64) []Metric {
	sim := newSimulation(0, seed, membership.DefaultConfig())
	v := observe(sim)
	all := make([]protocol.RouterID, n)
	for i := range n {
		all[i] = routerID(i)
	}
	for i := range n {
		sim.add(i, newHeartbeats(all[i], all, time.Duration(sim.random.Int64N(int64(heartbeatPeriod)))))
	}
	const length = 10 * time.Second
	sim.runUntil(length)
	var bytes uint64
	for _, p := range sim.processes {
		bytes += p.core.(*heartbeats).bytes
	}
	v.kill(sim, n/2)
	sim.runUntil(2 * length)
	sim.loss = 0.3
	sim.runUntil(3 * length)
	return append(v.detection(),
		Metric{"B/node/s", float64(bytes) / float64(n) / length.Seconds()},
		Metric{"false-deaths-believed/node/10s", float64(v.falseDeaths) / float64(n)})
}

// dataCentreLost stops the eight members of a data centre at the same time.
func dataCentreLost(seed uint64) []Metric {
	const n = 330
	sim := newSimulation(n, seed, membership.DefaultConfig())
	v := observe(sim)
	sim.runUntil(warmUp)
	since := sim.traffic()
	for i := range perDataCentre {
		v.kill(sim, 5*perDataCentre+i)
	}
	sim.runUntil(warmUp + 15*time.Second)
	metrics := append(v.detection(), sim.rates(since, false)...)
	return append(metrics, Metric{"false-deaths", float64(len(v.falselyDeclared))})
}

// partitionedHour partitions three regions for an hour and then measures how
// long their lists take to agree again.
func partitionedHour(n int, seed uint64) []Metric {
	sim := newSimulation(n, seed, membership.DefaultConfig())
	sim.runUntil(warmUp)
	since := sim.traffic()
	sim.partitioned = true
	sim.runUntil(warmUp + time.Hour)
	known := 0
	for _, p := range sim.processes {
		known = max(known, p.core.(*membership.Core).Known())
	}
	metrics := sim.rates(since, false)
	v := observe(sim)
	sim.partitioned = false
	healedAt := sim.now
	since = sim.traffic()
	agreeing := 0
	for agreeing < n && sim.now < healedAt+10*time.Minute {
		sim.runUntil(sim.now + time.Second)
		agreeing, _ = sim.agree()
	}
	rejoined := sim.now - healedAt
	after := sim.rates(since, false)
	return []Metric{
		{"parted-" + metrics[0].Name, metrics[0].Value}, {"parted-" + metrics[1].Name, metrics[1].Value},
		{"known-after-hour", float64(known)},
		{"whole-after-s", rejoined.Seconds()},
		{"rejoin-" + after[0].Name, after[0].Value}, {"rejoin-" + after[1].Name, after[1].Value},
		{"false-deaths", float64(len(v.falselyDeclared))},
		{"disagreeing-at-end", float64(n - agreeing)},
	}
}

// restarts replaces 120 processes under their old IDs, one every ten seconds, so
// the restarts of a day in twenty minutes. Half of them announce that they leave,
// half are killed; all are back after three seconds.
func restarts(n int, seed uint64) []Metric {
	sim := newSimulation(n, seed, membership.DefaultConfig())
	v := observe(sim)
	sim.runUntil(warmUp)
	since := sim.traffic()
	const count, pause = 120, 10 * time.Second
	var left uint64
	for k := range count {
		i := sim.random.IntN(n)
		old := sim.processes[i].core.(*membership.Core)
		if k%2 == 0 {
			sim.handleOutput(i, old.Leave(sim.now))
		}
		sim.processes[i].dead = true
		v.impaired = map[protocol.RouterID]bool{sim.processes[i].id: true}
		sim.runUntil(sim.now + 3*time.Second)
		left += sent(old)
		since.all[i] = 0
		sim.add(i, sim.newCore(i, baseStart+uint64(sim.now/time.Millisecond), nil))
		sim.runUntil(sim.now + pause - 3*time.Second)
	}
	sim.runUntil(sim.now + time.Minute)
	agreeing, running := sim.agree()
	mean := 0.0
	for _, p := range sim.processes {
		mean += float64(sent(p.core.(*membership.Core)))
	}
	mean = (mean + float64(left)) / float64(n) / sim.now.Seconds()
	return []Metric{
		{"B/node/s", mean},
		{"healthy-declared-dead", float64(len(v.falselyDeclared))},
		{"disagreeing-at-end", float64(running - agreeing)},
	}
}

func sent(core *membership.Core) uint64 {
	var sum uint64
	for _, bytes := range core.Counts().Bytes {
		sum += bytes
	}
	return sum
}

// items broadcasts a quarantine notice of 20 bytes every second for a minute.
func items(n int, seed uint64) []Metric {
	sim := newSimulation(n, seed, membership.DefaultConfig())
	sim.runUntil(warmUp)
	since := sim.traffic()
	started := map[uint64]time.Duration{}
	var took []time.Duration
	sim.item = func(_ int, item membership.Item) { took = append(took, sim.now-started[item.Key]) }
	const count = 60
	for k := range count {
		sim.runUntil(warmUp + time.Duration(k)*time.Second)
		started[uint64(k)] = sim.now
		sim.processes[sim.random.IntN(n)].core.(*membership.Core).Broadcast(1, uint64(k), make([]byte, 20))
	}
	sim.runUntil(sim.now + 10*time.Second)
	missed := count*(n-1) - len(took)
	return append(sim.rates(since, false),
		Metric{"arrived-median-ms", median(took)},
		Metric{"arrived-max-ms", largest(took)},
		Metric{"missed-ppm", float64(missed) * 1e6 / float64(count*(n-1))})
}
