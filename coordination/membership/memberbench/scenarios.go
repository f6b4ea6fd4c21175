package memberbench

import (
	"fmt"
	"runtime"
	"slices"
	"time"

	"endiveplank/coordination/membership"
	"endiveplank/protocol"
)

// Metric is one figure of a run.
type Metric struct {
	Name  string
	Value float64
}

// Scenario is a run with its figures. CI says whether it is short enough to
// run with the tests.
type Scenario struct {
	Name string
	CI   bool
	Run  func(seed uint64) []Metric
}

// settle lets a new world spread its members' first news.
const settle = 20 * time.Second

// Scenarios lists all runs.
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
		Scenario{"parted-hour/nodes=48", true, func(seed uint64) []Metric { return partedHour(48, seed) }},
		Scenario{"parted-hour/nodes=330", false, func(seed uint64) []Metric { return partedHour(330, seed) }},
		Scenario{"restarts-120/nodes=48", true, func(seed uint64) []Metric { return restarts(48, seed) }},
		Scenario{"restarts-120/nodes=330", false, func(seed uint64) []Metric { return restarts(330, seed) }},
		Scenario{"items/nodes=330", true, func(seed uint64) []Metric { return items(330, seed) }},
	)
}

// variants are runs of other timings, for the choice of the default ones.
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

// traffic is the bytes that all members had sent at a moment.
type traffic struct {
	at    time.Duration
	kinds map[membership.PacketKind]uint64
	all   []uint64
}

func (w *world) traffic() traffic {
	t := traffic{at: w.now, kinds: map[membership.PacketKind]uint64{}, all: make([]uint64, len(w.nodes))}
	for i, n := range w.nodes {
		counts := n.core.(*membership.Core).Counts()
		for _, kind := range membership.PacketKinds() {
			t.kinds[kind] += counts.Bytes[kind]
			t.all[i] += counts.Bytes[kind]
		}
	}
	return t
}

// rates gives the bytes a node a second since an earlier moment: by kind, the
// mean, and that of the node that sent most.
func (w *world) rates(since traffic, byKind bool) []Metric {
	now := w.traffic()
	seconds := (now.at - since.at).Seconds()
	var metrics []Metric
	var sum, most uint64
	for i := range now.all {
		sum += now.all[i] - since.all[i]
		most = max(most, now.all[i]-since.all[i])
	}
	perNode := seconds * float64(len(w.nodes))
	for _, kind := range membership.PacketKinds() {
		if byKind {
			metrics = append(metrics, Metric{kind.String() + "-B/node/s", float64(now.kinds[kind]-since.kinds[kind]) / perNode})
		}
	}
	return append(metrics, Metric{"B/node/s", float64(sum) / perNode}, Metric{"max-B/node/s", float64(most) / seconds})
}

// quiet measures what a fleet costs in which nothing happens, in bytes and in
// memory for each member known.
func quiet(n int, seed uint64) []Metric {
	w := newWorld(n, seed, membership.DefaultConfig())
	w.run(settle)
	since := w.traffic()
	w.run(settle + time.Minute)
	return w.rates(since, true)
}

// MemoryPerMember returns the heap bytes that one core takes for each member
// it knows. It depends on the runtime, so no bound rests on it.
func MemoryPerMember(n int) float64 {
	w := newWorld(1, 1, membership.DefaultConfig())
	known := make([]membership.Member, n)
	for i := range known {
		known[i] = w.member(i, baseStart)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	core := w.newCore(0, baseStart, known)
	core.Tick(time.Millisecond)
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(core)
	runtime.KeepAlive(known)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(n)
}

// verdicts gathers what the members say about each other.
type verdicts struct {
	killed map[protocol.RouterID]time.Duration
	// first and last are the times from a kill to the first and the last
	// member that knows; all holds every member's.
	first, last map[protocol.RouterID]time.Duration
	all         []time.Duration
	// accusations and deaths of members that run, by whether they were
	// healthy; each death is counted once for each member that believes it.
	accused, wronged, impairedDead int
	wrongedIDs                     map[protocol.RouterID]bool
	impaired                       map[protocol.RouterID]bool
}

func watch(w *world) *verdicts {
	v := &verdicts{
		killed: map[protocol.RouterID]time.Duration{}, first: map[protocol.RouterID]time.Duration{}, last: map[protocol.RouterID]time.Duration{},
		impaired: map[protocol.RouterID]bool{}, wrongedIDs: map[protocol.RouterID]bool{},
	}
	w.record = func(s seen) { v.take(w, s) }
	return v
}

func (v *verdicts) take(w *world, s seen) {
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
		v.accused++
	case s.Kind == membership.Died && v.impaired[id]:
		v.impairedDead++
	case s.Kind == membership.Died:
		v.wronged++
		v.wrongedIDs[id] = true
	}
}

// kill stops a process without a word.
func (v *verdicts) kill(w *world, i int) {
	w.nodes[i].dead = true
	v.killed[w.nodes[i].id] = w.now
}

// detection gives the times to find the killed ones, in milliseconds.
func (v *verdicts) detection() []Metric {
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

// kills stops members one after the other, under a share of lost packets.
func kills(n, count int, loss float64, seed uint64, config membership.Config) []Metric {
	w := newWorld(n, seed, config)
	v := watch(w)
	w.loss = loss
	w.run(settle)
	order := w.random.Perm(n)
	for k := range count {
		w.run(settle + time.Duration(k)*15*time.Second + time.Duration(w.random.Int64N(int64(time.Second))))
		v.kill(w, order[k])
	}
	w.run(settle + time.Duration(count)*15*time.Second)
	return append(v.detection(), Metric{"false-deaths", float64(len(v.wrongedIDs))})
}

// lossy loses three packets in ten for a minute.
func lossy(n int, seed uint64) []Metric {
	w := newWorld(n, seed, membership.DefaultConfig())
	w.run(settle)
	v := watch(w)
	w.loss = 0.3
	since := w.traffic()
	w.run(settle + time.Minute)
	return append(w.rates(since, false),
		Metric{"accusations/node/min", float64(v.accused) / float64(n)},
		Metric{"false-deaths", float64(len(v.wrongedIDs))})
}

// impaired freezes or overloads a tenth of the members for 1 to 5 s, six
// times. An overloaded one reads what comes that much later.
func impaired(n int, seed uint64, slow bool, config membership.Config) []Metric {
	w := newWorld(n, seed, config)
	v := watch(w)
	w.run(settle)
	since := w.traffic()
	const rounds = 6
	for round := range rounds {
		v.impaired = map[protocol.RouterID]bool{}
		for _, i := range w.random.Perm(n)[:max(1, n/10)] {
			length := time.Second + time.Duration(w.random.Int64N(int64(4*time.Second)))
			v.impaired[w.nodes[i].id] = true
			if slow {
				w.nodes[i].slowUntil, w.nodes[i].slowBy = w.now+10*time.Second, length
			} else {
				w.nodes[i].frozenUntil = w.now + length
			}
		}
		w.run(settle + time.Duration(round+1)*25*time.Second)
	}
	agreeing, running := w.agree()
	return append(w.rates(since, false),
		Metric{"accusations-of-healthy", float64(v.accused)},
		Metric{"healthy-declared-dead", float64(len(v.wrongedIDs))},
		Metric{"impaired-deaths-believed/node", float64(v.impairedDead) / float64(rounds*max(1, n/10)) / float64(n)},
		Metric{"disagreeing-at-end", float64(running - agreeing)})
}

// baseline runs heartbeats from all to all: quiet, one kill, then loss.
func baseline(n int, seed uint64) []Metric {
	w := newWorld(0, seed, membership.DefaultConfig())
	v := watch(w)
	all := make([]protocol.RouterID, n)
	for i := range n {
		all[i] = nodeID(i)
	}
	for i := range n {
		w.add(i, newHeartbeats(all[i], all, time.Duration(w.random.Int64N(int64(heartbeatPeriod)))))
	}
	const length = 10 * time.Second
	w.run(length)
	var bytes uint64
	for _, n := range w.nodes {
		bytes += n.core.(*heartbeats).bytes
	}
	v.kill(w, n/2)
	w.run(2 * length)
	w.loss = 0.3
	w.run(3 * length)
	return append(v.detection(),
		Metric{"B/node/s", float64(bytes) / float64(n) / length.Seconds()},
		Metric{"false-deaths-believed/node/10s", float64(v.wronged) / float64(n)})
}

// dataCentreLost stops the eight members of a data centre together.
func dataCentreLost(seed uint64) []Metric {
	const n = 330
	w := newWorld(n, seed, membership.DefaultConfig())
	v := watch(w)
	w.run(settle)
	since := w.traffic()
	for i := range perDataCentre {
		v.kill(w, 5*perDataCentre+i)
	}
	w.run(settle + 15*time.Second)
	metrics := append(v.detection(), w.rates(since, false)...)
	return append(metrics, Metric{"false-deaths", float64(len(v.wrongedIDs))})
}

// partedHour parts three regions for an hour and joins them again.
func partedHour(n int, seed uint64) []Metric {
	w := newWorld(n, seed, membership.DefaultConfig())
	w.run(settle)
	since := w.traffic()
	w.parted = true
	w.run(settle + time.Hour)
	known := 0
	for _, n := range w.nodes {
		known = max(known, n.core.(*membership.Core).Known())
	}
	metrics := w.rates(since, false)
	v := watch(w)
	w.parted = false
	joined := w.now
	since = w.traffic()
	agreeing := 0
	for agreeing < n && w.now < joined+10*time.Minute {
		w.run(w.now + time.Second)
		agreeing, _ = w.agree()
	}
	whole := w.now - joined
	after := w.rates(since, false)
	return []Metric{
		{"parted-" + metrics[0].Name, metrics[0].Value}, {"parted-" + metrics[1].Name, metrics[1].Value},
		{"known-after-hour", float64(known)},
		{"whole-after-s", whole.Seconds()},
		{"rejoin-" + after[0].Name, after[0].Value}, {"rejoin-" + after[1].Name, after[1].Value},
		{"false-deaths", float64(len(v.wrongedIDs))},
		{"disagreeing-at-end", float64(n - agreeing)},
	}
}

// restarts replaces 120 processes under their old IDs, one each ten seconds:
// a day's worth in twenty minutes. Half say goodbye, half are killed and back
// after three seconds.
func restarts(n int, seed uint64) []Metric {
	w := newWorld(n, seed, membership.DefaultConfig())
	v := watch(w)
	w.run(settle)
	since := w.traffic()
	const count, pause = 120, 10 * time.Second
	var left uint64
	for k := range count {
		i := w.random.IntN(n)
		old := w.nodes[i].core.(*membership.Core)
		if k%2 == 0 {
			w.carryOut(i, old.Leave(w.now))
		}
		w.nodes[i].dead = true
		v.impaired = map[protocol.RouterID]bool{w.nodes[i].id: true}
		w.run(w.now + 3*time.Second)
		left += sent(old)
		since.all[i] = 0
		w.add(i, w.newCore(i, baseStart+uint64(w.now/time.Millisecond), nil))
		w.run(w.now + pause - 3*time.Second)
	}
	w.run(w.now + time.Minute)
	agreeing, running := w.agree()
	mean := 0.0
	for _, n := range w.nodes {
		mean += float64(sent(n.core.(*membership.Core)))
	}
	mean = (mean + float64(left)) / float64(n) / w.now.Seconds()
	return []Metric{
		{"B/node/s", mean},
		{"healthy-declared-dead", float64(len(v.wrongedIDs))},
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

// items broadcasts a quarantine notice of 20 bytes each second for a minute.
func items(n int, seed uint64) []Metric {
	w := newWorld(n, seed, membership.DefaultConfig())
	w.run(settle)
	since := w.traffic()
	started := map[uint64]time.Duration{}
	var took []time.Duration
	w.item = func(_ int, item membership.Item) { took = append(took, w.now-started[item.Key]) }
	const count = 60
	for k := range count {
		w.run(settle + time.Duration(k)*time.Second)
		started[uint64(k)] = w.now
		w.nodes[w.random.IntN(n)].core.(*membership.Core).Broadcast(1, uint64(k), make([]byte, 20))
	}
	w.run(w.now + 10*time.Second)
	missed := count*(n-1) - len(took)
	return append(w.rates(since, false),
		Metric{"arrived-median-ms", median(took)},
		Metric{"arrived-max-ms", largest(took)},
		Metric{"missed-ppm", float64(missed) * 1e6 / float64(count*(n-1))})
}
