package capacity

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

const engines = protocol.Service("engines")

// fleet is routers that send to some plain servers and to engines, which are busy at random.
type fleet struct {
	random   *rand.Rand
	routers  []*Reports
	roles    []balance.Neighbours
	servers  []roster.Entry
	engines  []roster.Entry
	indexOf  map[protocol.RouterID]int
	sent     []int
	messages int
}

func newFleet(routers, servers, engineCount int) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(1, 2)), servers: listed(plain, servers, slots), engines: listed(engines, engineCount, 32),
		indexOf: map[protocol.RouterID]int{}, sent: make([]int, routers), roles: rolesOf(routers),
	}
	for i := range routers {
		r := New()
		r.SetRoster(append(append([]roster.Entry{}, f.servers...), f.engines...))
		f.routers = append(f.routers, r)
		f.indexOf[routerID(i)] = i
	}
	return f
}

func routerID(i int) protocol.RouterID { return protocol.RouterID(fmt.Sprintf("r%04d", i)) }

// rolesOf returns what routers are to each other, in five data centres where relays aggregate.
func rolesOf(routers int) []balance.Neighbours {
	const dataCentres = 5
	roles := make([]balance.Neighbours, routers)
	group := 1
	if routers >= balance.GroupingThreshold {
		group = int(math.Sqrt(float64(routers / dataCentres)))
	}
	for i := range roles {
		for other := range routers {
			switch {
			case other == i:
			case group == 1:
				roles[i].Mesh = append(roles[i].Mesh, routerID(other))
			case other/group == i/group && i%group == 0:
				roles[i].Members = append(roles[i].Members, routerID(other))
			case other%group == 0 && i%group == 0:
				roles[i].Relays = append(roles[i].Relays, routerID(other))
			case other == i-i%group:
				roles[i].Relay = routerID(other)
			}
		}
	}
	return roles
}

// play lets each router get three answers of plain servers and two of engines a second, and report.
func (f *fleet) play(duration time.Duration, wanted func(protocol.Service) bool) {
	const step = 50 * time.Millisecond
	balancer := balance.NewBalancer(balance.Settings{})
	balancer.SetNeighbours(f.roles[0])
	every := int((balancer.ReportInterval() + step - 1) / step)
	for tick := range int(duration / step) {
		now := start + time.Duration(tick)*step
		for i, r := range f.routers {
			f.observe(now, r, f.servers, 3*step.Seconds())
			f.observe(now, r, f.engines, 2*step.Seconds())
			if (tick+i)%every == 0 {
				f.report(now, i, wanted)
			}
		}
	}
}

func (f *fleet) observe(now time.Duration, r *Reports, entries []roster.Entry, probability float64) {
	if f.random.Float64() < probability {
		e := entries[f.random.IntN(len(entries))]
		l := load(f.random.IntN(e.Slots+1), 0, 80+f.random.IntN(60))
		l.Slots = e.Slots
		r.Observe(now, answer(e, l))
	}
}

func (f *fleet) report(now time.Duration, i int, wanted func(protocol.Service) bool) {
	for _, out := range f.routers[i].Pending(now, f.roles[i], wanted) {
		f.sent[i] += len(encoded(out.Reported)) * len(out.To)
		for _, to := range out.To {
			f.messages++
			other := f.indexOf[to]
			f.routers[other].Apply(now+20*time.Millisecond, f.roles[other], routerID(i), out.Reported)
		}
	}
}

// encoded returns the bytes by which a load report grows with entries.
func encoded(reported []balance.ReportedLoad) []byte {
	empty := codec.MarshalArrays(balance.LoadReport{})
	return codec.MarshalArrays(balance.LoadReport{Reported: reported})[len(empty):]
}

// known returns the part of a service's upstreams that a router knows in the mean.
func (f *fleet) known(now time.Duration, name protocol.Service) float64 {
	sum := 0.0
	for _, r := range f.routers {
		c := r.Free(now, name)
		sum += float64(c.Known) / float64(c.Upstreams)
	}
	return sum / float64(len(f.routers))
}

func TestReportedLoadsCostABoundedNumberOfBytes(t *testing.T) {
	// Guards: what routers pass on grows with the upstreams or with the square of the routers, or the
	// few servers of a short service stay unknown beside many engines.
	const duration = 10 * time.Second
	onlyPlain := func(s protocol.Service) bool { return s == plain }
	for _, size := range []struct{ routers, servers, engines int }{{67, 4, 90}, {330, 12, 300}, {984, 12, 300}} {
		for name, wanted := range map[string]func(protocol.Service) bool{"plain": onlyPlain, "both": always} {
			f := newFleet(size.routers, size.servers, size.engines)
			f.play(duration, wanted)
			sum, most := 0, 0
			for _, bytes := range f.sent {
				sum, most = sum+bytes, max(most, bytes)
			}
			seconds := duration.Seconds()
			mean, highest := float64(sum)/float64(size.routers)/seconds, float64(most)/seconds
			t.Logf("%d routers, %s short: %.0f bytes a second for a router, %.0f for the busiest; known at the end: %.2f of %d servers, %.2f of %d engines",
				size.routers, name, mean, highest, f.known(start+duration, plain), size.servers, f.known(start+duration, engines), size.engines)
			assert.Assert(t, highest <= 1024, "%d routers, %s", size.routers, name)
			assert.Assert(t, f.known(start+duration, plain) >= 0.9, "%d routers, %s", size.routers, name)
		}
	}
}

func TestAnEntryHasTheBytesThatAreBudgeted(t *testing.T) {
	// Guards: entries are larger than the budget counts them.
	f := newFleet(2, 1, 90)
	for _, e := range f.engines {
		l := load(24, 200, 130)
		l.Slots = 32
		f.routers[0].Observe(start, answer(e, l))
	}
	reported := f.routers[0].Pending(start+900*time.Millisecond, f.roles[0], always)[0].Reported
	assert.Equal(t, len(reported), balance.MaxReportedLoads)
	bytes := len(encoded(reported))
	t.Logf("%d bytes for a report of %d entries", bytes, len(reported))
	assert.Assert(t, bytes <= entryBytes*len(reported)+4)
}

func TestARelayPassesOnBothWays(t *testing.T) {
	// Guards: routers of another group never learn of a load, or what a relay got from another relay
	// goes back to all relays.
	f := newFleet(120, 1, 1)
	f.routers[1].Observe(start, answer(f.servers[0], load(3, 0, 100)))
	for _, i := range []int{1, 0, 4, 8} {
		f.report(start+time.Duration(i)*50*time.Millisecond, i, always)
	}
	for i, r := range f.routers[:12] {
		_, known := r.Load(start+time.Second, f.servers[0].ID)
		assert.Assert(t, known, "router %d", i)
	}
	group := len(f.roles[0].Members) + 1
	assert.Equal(t, f.messages, 1+(group-1)+len(f.roles[0].Relays)+2*(group-1))
}

func BenchmarkUpstreams(b *testing.B) {
	// Memory and time by the number of upstreams, all of which are known and due.
	for _, count := range []int{90, 3_000, 10_000} {
		entries := listed(plain, count, slots)
		observeAll := func(r *Reports, now time.Duration) {
			for _, e := range entries {
				r.Observe(now, answer(e, load(3, 0, 100)))
			}
		}
		b.Run(fmt.Sprintf("free/%d", count), func(b *testing.B) {
			before := heapBytes()
			r := New()
			r.SetRoster(entries)
			observeAll(r, start)
			perUpstream := float64(heapBytes()-before) / float64(count)
			for b.Loop() {
				r.Free(start, plain)
			}
			b.ReportMetric(perUpstream, "B/upstream")
		})
		b.Run(fmt.Sprintf("pending/%d", count), func(b *testing.B) {
			r, now := New(), start
			r.SetRoster(entries)
			for b.Loop() {
				now += 250 * time.Millisecond
				b.StopTimer()
				observeAll(r, now)
				b.StartTimer()
				r.Pending(now, mesh, always)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
