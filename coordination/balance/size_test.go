package balance

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// This file checks that the cost of a router's decisions doesn't grow with the number of
// upstreams. Costs are counted in allocations and bytes, so that no busy machine changes
// them.

// largePools are the numbers of upstreams that costs are compared at.
var largePools = []int{1_000, 10_000, 20_000}

// largeBalancer returns a balancer with upstreams in five data centres, of which all routers
// run a few requests.
func largeBalancer(upstreams int) *Balancer {
	b := NewBalancer(Settings{Multiple: 2, Slack: 3, DataCentre: "dc0"})
	b.SetRoster(largeRoster(upstreams))
	for i := range 200 {
		b.Started(protocol.UpstreamID(fmt.Sprintf("u%05d", i*upstreams/200)))
	}
	return b
}

func largeRoster(upstreams int) []roster.Entry {
	list := make([]roster.Entry, 0, upstreams)
	for i := range upstreams {
		list = append(list, roster.Entry{
			ID: protocol.UpstreamID(fmt.Sprintf("u%05d", i)), Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			State: roster.Ready, DataCentre: protocol.DataCentre(fmt.Sprint("dc", i%5)),
		})
	}
	return list
}

// allocated returns the bytes that one call of a function allocates, in the mean.
func allocated(call func()) uint64 {
	const calls = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		call()
	}
	runtime.ReadMemStats(&after)
	return (after.TotalAlloc - before.TotalAlloc) / calls
}

// maxBytesPerPick is what choosing an upstream may allocate in a large pool.
const maxBytesPerPick = 10 << 10

func TestChoiceAllocatesNoMoreInALargePool(t *testing.T) {
	// Guards: each request allocates lists of all upstreams, a megabyte of ten thousand,
	// and the collector takes the processor from the answers.
	for _, upstreams := range largePools {
		for name, request := range map[string]func(key uint64) Request{
			"known prompt": func(uint64) Request { return prompt(7) },
			"new prompt":   prompt,
			"plain":        func(uint64) Request { return plain() },
		} {
			b, random, at, key := largeBalancer(upstreams), seeded(), now, uint64(0)
			b.Ended(now, "u00000", Failed)
			bytes := allocated(func() {
				at += time.Millisecond
				key++
				b.Pick(at, random, request(key))
			})
			assert.Assert(t, bytes <= maxBytesPerPick, "%s: %d bytes with %d upstreams", name, bytes, upstreams)
		}
	}
}

func TestAFewChangedEntriesCostNoMoreInALargePool(t *testing.T) {
	// Guards: during a release of thousands of upstreams, each changed entry makes a
	// router build its lists of all upstreams anew, and it does nothing else.
	for _, upstreams := range largePools {
		b := largeBalancer(upstreams)
		changed := largeRoster(20)
		step := 0
		bytes := allocated(func() {
			step++
			for i := range changed {
				changed[i].State = roster.Ready + roster.State(step%2)
			}
			b.ApplyEntries(changed)
		})
		assert.Assert(t, bytes <= maxBytesPerPick, "%d bytes with %d upstreams", bytes, upstreams)
	}
}

func TestATickAtRestLooksAtNoUpstream(t *testing.T) {
	// Guards: a router without a request is busy with its upstreams twenty times a second.
	for _, upstreams := range largePools {
		b := largeBalancer(upstreams)
		b.OwnLoadReport(false)
		at := now
		allocations := testing.AllocsPerRun(100, func() {
			at += 50 * time.Millisecond
			b.HealthChanges(at)
			b.OwnLoadReport(false)
			b.Expire(at)
		})
		assert.Equal(t, allocations, 0.0, "with %d upstreams", upstreams)
		assert.Equal(t, len(b.suspects)+len(b.unreported), 0)
	}
}

func TestSumsFollowEveryChange(t *testing.T) {
	// Guards: the lists and sums that replace a look at all upstreams drift from them, and
	// a router takes a pool for loaded or empty for as long as it runs.
	random := seeded()
	b := newBalancer(60)
	at := now
	for step := range 20_000 {
		at += time.Duration(random.IntN(20)) * time.Millisecond
		id := protocol.UpstreamID(fmt.Sprintf("u%02d", random.IntN(70)))
		switch random.IntN(9) {
		case 0, 1, 2:
			b.Started(id)
		case 3, 4:
			b.Ended(at, id, []Result{Served, Failed, Unreachable, Refused, Abandoned}[random.IntN(5)])
		case 5:
			e := roster.Entry{ID: id, Service: "s", State: roster.State(1 + random.IntN(3)), DataCentre: protocol.DataCentre(fmt.Sprint("dc", random.IntN(3)))}
			b.ApplyEntries([]roster.Entry{e})
		case 6:
			load := UpstreamLoad{ID: ShortIDOf(id), InFlight: random.IntN(4), Served: uint64(step)}
			b.ApplyLoadReport(at, protocol.RouterID(fmt.Sprint("r", random.IntN(3))), LoadReport{Full: random.IntN(9) == 0, Upstreams: []UpstreamLoad{load}})
		case 7:
			b.HealthChanges(at)
			b.Expire(at)
			if random.IntN(50) == 0 {
				b.SetRoster(entries(random.IntN(60)))
			}
		case 8:
			b.PauseUpstream(at, id, 0, time.Duration(random.IntN(500))*time.Millisecond)
			if random.IntN(50) == 0 {
				b.MarkLeaving(at, id, 0)
			}
		}
		assertSums(t, b, step)
	}
}

// assertSums compares the lists and sums of the only pool with its upstreams.
func assertSums(t *testing.T, b *Balancer, step int) {
	t.Helper()
	load, ready, suspects, paused := 0, 0, 0, 0
	loadIn := map[protocol.DataCentre]int{}
	for _, u := range b.upstreams {
		elsewhere := 0
		for _, remote := range b.routers {
			elsewhere += remote.loads[u.own.ID].InFlight
		}
		assert.Equal(t, u.elsewhere, elsewhere, "%s at step %d", u.entry.ID, step)
		if u.suspect {
			suspects++
		}
		if u.entry.State == roster.Ready {
			load += u.load()
			loadIn[u.entry.DataCentre] += u.load()
			ready++
			if u.pause != nil {
				paused++
			}
		}
	}
	p := b.poolOf("s")
	assert.Equal(t, len(p.all), len(b.upstreams), "at step %d", step)
	assert.Equal(t, len(p.ready), ready, "at step %d", step)
	assert.Equal(t, len(p.keys), ready, "at step %d", step)
	assert.Equal(t, p.load, load, "at step %d", step)
	assert.Equal(t, p.suspects, suspects, "at step %d", step)
	assert.Equal(t, p.paused, paused, "at step %d", step)
	assert.DeepEqual(t, p.loadIn, loadIn)
	assert.Equal(t, len(b.suspects), suspects, "at step %d", step)
}

// BenchmarkChoice measures the choice of an upstream in pools of several sizes.
func BenchmarkChoice(b *testing.B) {
	for _, upstreams := range largePools {
		for name, request := range map[string]func(key uint64) Request{
			"known": func(uint64) Request { return prompt(7) }, "new": prompt, "plain": func(uint64) Request { return plain() },
		} {
			b.Run(fmt.Sprintf("%s/%d", name, upstreams), func(b *testing.B) {
				balancer, random, key := largeBalancer(upstreams), seeded(), uint64(0)
				b.ReportAllocs()
				for b.Loop() {
					key++
					balancer.Pick(now, random, request(key))
				}
			})
		}
	}
}

// relayIn returns a relay of a fleet whose data centres have groups of about the square root
// of their routers, with its neighbours.
func relayIn(routers, upstreams int) (*Balancer, Neighbours) {
	const dataCentres = 5
	perRelay := int(math.Sqrt(float64(routers / dataCentres)))
	var n Neighbours
	for i := range perRelay - 1 {
		n.Members = append(n.Members, protocol.RouterID(fmt.Sprint("member", i)))
	}
	for i := range routers/perRelay - 1 {
		n.Relays = append(n.Relays, protocol.RouterID(fmt.Sprint("relay", i)))
	}
	b := largeBalancer(upstreams)
	b.SetNeighbours(n)
	return b, n
}

func TestRelayReportsDontGrowWithTheFleet(t *testing.T) {
	// Guards: relays send every load on every upstream to everybody, and their links are
	// full of loads that decide nothing. Pattern: each router has a request a second, and
	// half of the upstreams are busy.
	for _, size := range []struct{ routers, upstreams int }{{330, 3_000}, {984, 10_000}, {2_000, 20_000}} {
		relay, n := relayIn(size.routers, size.upstreams)
		random := seeded()
		messages := 0
		const rounds = 20
		for round := range rounds {
			at := now + time.Duration(round)*groupReportInterval
			for _, from := range append(append([]protocol.RouterID{}, n.Members...), n.Relays...) {
				load := UpstreamLoad{ID: ShortIDOf(protocol.UpstreamID(fmt.Sprintf("u%05d", random.IntN(size.upstreams)))), InFlight: 1 + random.IntN(4)}
				relay.ApplyLoadReport(at, from, LoadReport{Upstreams: []UpstreamLoad{load}})
			}
			for _, report := range relay.PendingReports(round%4 == 0) {
				messages += len(report.To)
				assert.Assert(t, len(report.Report.Upstreams) <= maxLoadsPerReport, "%d loads in a fleet of %d", len(report.Report.Upstreams), size.routers)
			}
		}
		most := rounds * (len(n.Members) + 2*relaysPerRound)
		assert.Assert(t, messages <= most, "%d messages in a fleet of %d", messages, size.routers)
	}
}

func TestARelayForgetsUpstreamsThatNobodyUses(t *testing.T) {
	// Guards: a relay of a large fleet remembers every upstream that any of its neighbours
	// ever used, and its memory grows for hours until the platform kills it. Pattern: each
	// neighbour uses an upstream a second, another one each time.
	const upstreams = 5_000
	relay, n := relayIn(330, upstreams)
	at := now
	for second := range 300 {
		at += time.Second
		for i, from := range append(append([]protocol.RouterID{}, n.Members...), n.Relays...) {
			id := ShortIDOf(protocol.UpstreamID(fmt.Sprintf("u%05d", (second+97*i)%upstreams)))
			relay.ApplyLoadReport(at, from, LoadReport{Upstreams: []UpstreamLoad{{ID: id, InFlight: 1, Served: uint64(second)}}})
			relay.ApplyLoadReport(at, from, LoadReport{Upstreams: []UpstreamLoad{{ID: id, Served: uint64(second) + 1, Failed: 1}}})
		}
		relay.PendingReports(second%2 == 0)
		relay.Expire(at)
	}
	most := 2*int(idleLoadTTL/time.Second) + 1
	remembered := 0
	for _, remote := range relay.routers {
		assert.Assert(t, len(remote.loads) <= most, "%d loads of a router", len(remote.loads))
		remembered += len(remote.loads)
	}
	for _, sums := range []loadSums{relay.relay.group, relay.relay.total} {
		assert.Assert(t, len(sums.loads) <= remembered+200, "%d loads in a sum", len(sums.loads))
	}
}

func TestRoutersKnowTheMeanOfLoadsThatAreNotReported(t *testing.T) {
	// Guards: a relay reports a few of thousands of loads, and its members take the mean,
	// by which the load bound is, for a fraction of what it is.
	const upstreams = 2_000
	members := map[protocol.RouterID]*Balancer{"m1": largeBalancer(upstreams), "m2": largeBalancer(upstreams)}
	relay := largeBalancer(upstreams)
	relay.SetNeighbours(Neighbours{Members: []protocol.RouterID{"m1", "m2"}})
	for id, member := range members {
		member.SetNeighbours(Neighbours{Relay: "relay"})
		for i := range 700 {
			member.Started(protocol.UpstreamID(fmt.Sprintf("u%05d", i)))
		}
		for _, report := range member.PendingReports(true) {
			relay.ApplyLoadReport(now, id, report.Report)
		}
	}
	for _, full := range []bool{true, false, false, true, false} {
		for _, report := range relay.PendingReports(full) {
			assert.Assert(t, len(report.Report.Upstreams) <= maxLoadsPerReport)
			for _, to := range report.To {
				members[to].ApplyLoadReport(now, "relay", report.Report)
			}
		}
		for id, member := range members {
			assert.Equal(t, member.mean("s"), (3*200+2*700)/float64(upstreams), "%s", id)
		}
	}
}
