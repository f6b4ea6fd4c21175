package demand_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/demand"
	"endiveplank/protocol"
)

// near asserts that a value is within a part of what is wanted.
func near(t *testing.T, got, want, part float64, what string) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= part*math.Abs(want), "%s: %.2f, want %.2f", what, got, want)
}

func TestReportsAreLostLateAndRepeated(t *testing.T) {
	// Guards: lost, late or repeated reports leave wrong sums. Of the reports between relays, too,
	// a fifth is lost, a fifth comes twice, and a fifth 200 ms late, behind newer ones.
	for _, routers := range []int{9, 67, 120} {
		f := newFleet(routers)
		type late struct {
			at       time.Duration
			from, to protocol.RouterID
			report   []demand.ServiceCounts
		}
		var queue []late
		f.deliver = func(from, to protocol.RouterID, report []demand.ServiceCounts) {
			for len(queue) > 0 && queue[0].at <= f.now {
				f.hand(queue[0].from, queue[0].to, queue[0].report)
				queue = queue[1:]
			}
			switch draw := f.random.IntN(5); draw {
			case 0:
				return
			case 1:
				queue = append(queue, late{f.now + 200*time.Millisecond, from, to, report})
			case 2:
				f.hand(from, to, report)
				f.hand(from, to, report)
			default:
				f.hand(from, to, report)
			}
		}
		f.run(5 * time.Second)
		for _, id := range []protocol.RouterID{f.order[0], f.order[routers-1]} {
			seen, actual := f.meanDemand(id, 5*time.Second)
			near(t, seen, actual, 0.1, string(id))
		}
	}
}

func TestKilledRouterLeavesTheSums(t *testing.T) {
	// Guards: a killed router's requests count for ever. They leave as its connections end, or
	// with its last report's age.
	for _, told := range []bool{true, false} {
		f := newFleet(9)
		f.run(4 * time.Second)
		f.kill(f.order[3], told)
		if !told {
			assert.Equal(t, f.totals(f.order[0]).Routers, 9)
			f.run(2600 * time.Millisecond)
		}
		assert.Equal(t, f.totals(f.order[0]).Routers, 8)
	}
}

func TestRouterThatStartsDoesNotUnderstate(t *testing.T) {
	// Guards: a router that starts in a surge reports a part of its rate, or a limit of none, and
	// lowers what the others know.
	rates := 0.0
	const starts = 100
	for start := range starts {
		f := newFleet(9)
		f.random = rand.New(rand.NewPCG(uint64(start), 3))
		f.run(3 * time.Second)
		for _, id := range f.up() {
			f.routers[id].counter.SetLimit(service, 50)
		}
		f.run(2 * time.Second)
		id := f.order[4]
		f.kill(id, true)
		r := f.start(id)
		f.list()
		f.run(800 * time.Millisecond)
		assert.Equal(t, r.reports, 0, "counts of less than a second")
		near(t, r.counter.ReportedLimit(f.now, service), 50, 0.01, "limit")
		assert.Equal(t, f.totals(id).Routers, 9)
		for end := f.now + 1500*time.Millisecond; r.reports == 0 && f.now < end; {
			f.run(tick)
		}
		assert.Assert(t, r.reports > 0, "no report")
		rates += demandOf(r.counter.Own(f.now, service)) / starts
	}
	near(t, rates, 10, 0.15, "mean rate as first reported")
}

func TestRouterThatIsCutOffUsesTheLastSumsThenItsOwn(t *testing.T) {
	// Guards: a router without links takes its own counts for the fleet's at once, or old ones
	// for ever.
	f := newFleet(30)
	alone := f.order[7]
	f.run(4 * time.Second)
	f.deliver = func(from, to protocol.RouterID, report []demand.ServiceCounts) {
		if from != alone && to != alone {
			f.hand(from, to, report)
		}
	}
	f.run(1400 * time.Millisecond)
	near(t, demandOf(f.totals(alone)), 300, 0.2, "within the age limit")
	f.run(1200 * time.Millisecond)
	totals := f.totals(alone)
	assert.Equal(t, totals.Routers, 1)
	assert.DeepEqual(t, totals, f.routers[alone].counter.Own(f.now, service))
	assert.Assert(t, f.routers[alone].counter.IsConstrained(f.now, service))
	assert.Equal(t, f.totals(f.order[0]).Routers, 29)
}

func TestLostRelayHidesOnlyItsMembers(t *testing.T) {
	// Guards: with a relay other relays lose a whole row of groups, or its members judge by old
	// sums until they get another relay.
	f := newFleet(330)
	f.run(8 * time.Second)
	lost := f.relays()[5]
	members := f.routers[lost].neighbours.Members
	f.kill(lost, true)
	f.run(8 * time.Second)
	for _, id := range f.up() {
		want := 330 - 1 - len(members)
		if slices.Contains(members, id) {
			want = 1
		}
		assert.Equal(t, f.totals(id).Routers, want, "%s", id)
	}
	f.list()
	f.run(8 * time.Second)
	for _, id := range f.up() {
		assert.Equal(t, f.totals(id).Routers, 329, "%s", id)
	}
}

func TestReportsEndOnceTheServiceHasRecovered(t *testing.T) {
	// Guards: routers that hear of a shortage report it, and keep each other reporting for ever.
	for _, routers := range []int{9, 67, 330} {
		f := newFleet(routers)
		f.run(4 * time.Second)
		for _, id := range f.up() {
			assert.Assert(t, f.routers[id].counter.IsConstrained(f.now, service))
		}
		f.recovered = true
		f.run(9 * time.Second)
		f.resetCounts()
		f.run(5 * time.Second)
		for _, id := range f.up() {
			assert.Equal(t, f.routers[id].reports, 0, "%s of %d", id, routers)
			assert.Assert(t, !f.routers[id].counter.IsConstrained(f.now, service))
		}
	}
}

func TestOneRoutersShortageIsKnownToAll(t *testing.T) {
	// Guards: a shortage that few routers see is judged without the others' counts.
	f := newFleet(330)
	f.recovered = true
	f.run(4 * time.Second)
	for range 8 {
		f.routers[f.order[13]].counter.NoteConstrained(f.now, service)
		f.run(time.Second)
	}
	for _, id := range f.up() {
		assert.Equal(t, f.totals(id).Routers, 330, "%s", id)
	}
}

func TestMembersAreCountedOnce(t *testing.T) {
	// Guards: a member's requests are in the relay's total and counted again, by the member itself
	// or by the relay that it had before.
	f := newFleet(120)
	f.run(8 * time.Second)
	for _, id := range []protocol.RouterID{f.order[0], f.order[55], f.relays()[3]} {
		seen, actual := f.meanDemand(id, 4*time.Second)
		near(t, seen, actual, 0.07, string(id))
	}
	f.kill(f.relays()[2], true)
	f.kill(f.relays()[7], true)
	f.list()
	// Until all relays have reported in their new places, some groups are missing.
	most, missing, last := 0, 0, time.Duration(0)
	for step := range 160 {
		f.run(tick)
		for _, id := range f.up() {
			if len(f.routers[id].neighbours.Relays) > 0 {
				continue
			}
			most = max(most, f.totals(id).Routers)
			if f.totals(id).Routers < 118 {
				missing++
				last = time.Duration(step+1) * tick
			}
		}
	}
	t.Logf("at most %d of 118 routers are counted; %.3f of the members' views miss some, the last after %v", most, float64(missing)/160/100, last)
	assert.Assert(t, most <= 118+12, "%d routers are counted", most)
	assert.Assert(t, last <= 5*time.Second, "routers are missing after %v", last)
	for _, id := range f.up() {
		assert.Equal(t, f.totals(id).Routers, 118)
	}
	// A fleet that becomes a mesh drops the sums of relays at once.
	for i := range 60 {
		f.kill(f.order[i], true)
	}
	f.list()
	f.run(callInterval + tick)
	for _, id := range f.up() {
		assert.Assert(t, f.totals(id).Routers <= len(f.up()), "%s", id)
	}
}

func TestLimitsOfRoutersThatDifferComeToOneValue(t *testing.T) {
	// Guards: routers judge by different limits, one whose limit is far off moves the others, or
	// routers keep each other's limit for ever. Some have no limit, one comes back from alone with
	// a hundredth of it.
	for _, routers := range []int{9, 67, 330} {
		f := newFleet(routers)
		logs, limited := 0.0, 0
		for i, id := range f.order {
			limit := 200 + float64(f.random.IntN(20))
			if i == 2 {
				limit = 2
			}
			if i%4 > 0 {
				f.routers[id].counter.SetLimit(service, limit)
				logs += math.Log(limit)
				limited++
			}
		}
		f.run(8 * time.Second)
		lowest, highest := math.Inf(1), 0.0
		for _, id := range f.up() {
			limit := f.routers[id].counter.ReportedLimit(f.now, service)
			lowest, highest = min(lowest, limit), max(highest, limit)
		}
		t.Logf("%d routers: limits from %.1f to %.1f", routers, lowest, highest)
		assert.Assert(t, lowest > 0 && highest/lowest < 1.02, "%d routers: from %f to %f", routers, lowest, highest)
		near(t, lowest, math.Exp(logs/float64(limited)), 0.01, "mean of all limits")
		assert.Assert(t, routers < 60 || lowest > 180)
		// Once most have lifted it, the others' limit isn't told on.
		for i, id := range f.order {
			if i%4 > 1 {
				f.routers[id].counter.SetLimit(service, 0)
			}
		}
		f.run(8 * time.Second)
		for _, id := range f.order {
			assert.Equal(t, f.routers[id].counter.ReportedLimit(f.now, service), 0.0)
		}
	}
}

func TestDamagedCountsAreIgnored(t *testing.T) {
	// Guards: impossible numbers of one report get into all routers' sums and limits.
	f := newFleet(9)
	f.run(4 * time.Second)
	var sample demand.ServiceCounts
	f.deliver = func(_, _ protocol.RouterID, report []demand.ServiceCounts) { sample = report[0] }
	for len(sample.Customers) == 0 {
		f.run(tick)
	}
	before := f.totals(f.order[0])
	huge := func(list []byte) []byte {
		list = slices.Clone(list)
		for i := range list {
			list[i] = 255
		}
		return list
	}
	for i, damage := range []func(*demand.ServiceCounts){
		func(c *demand.ServiceCounts) { c.Routers = -1 },
		func(c *demand.ServiceCounts) { c.Routers = 1 << 40 },
		func(c *demand.ServiceCounts) { c.Scope = 77 },
		func(c *demand.ServiceCounts) { c.Limit, c.Limited = -5, 1 },
		func(c *demand.ServiceCounts) { c.Limit, c.Limited = math.MaxInt, 1 },
		func(c *demand.ServiceCounts) { c.Limit, c.Limited = 100, -1 },
		func(c *demand.ServiceCounts) { c.Limit, c.Limited = 100, 1000 },
		func(c *demand.ServiceCounts) { c.Limit, c.Limited = 0, 1 },
		func(c *demand.ServiceCounts) { c.Rates = huge(c.Rates) },
		func(c *demand.ServiceCounts) { c.Rates = c.Rates[1:] },
		func(c *demand.ServiceCounts) { c.Rates = nil },
		func(c *demand.ServiceCounts) { c.Customers = huge(c.Customers) },
		func(c *demand.ServiceCounts) { c.Customers = c.Customers[:19] },
		func(c *demand.ServiceCounts) { c.Customers = slices.Concat(c.Customers, c.Customers) },
	} {
		damaged := sample
		damage(&damaged)
		f.hand(f.order[1], f.order[0], []demand.ServiceCounts{damaged})
		assert.DeepEqual(t, f.totals(f.order[0]), before)
		assert.Equal(t, f.routers[f.order[0]].counter.ReportedLimit(f.now, service), 0.0, "%d", i)
	}
}

func TestRejectedRequestsAreNotAdmitted(t *testing.T) {
	// Guards: upstreams reject half of the requests, these count as admitted, and the first limit is
	// twice what the upstreams complete.
	c := demand.NewCounter("a")
	at := time.Minute
	for range 4000 {
		at += 5 * time.Millisecond
		c.Arrived(at, "s", 1, "acme")
		c.Admitted(at, "s", 1, "acme")
		if at%(10*time.Millisecond) == 0 {
			c.Rejected(at, "s", 1, "acme")
		}
	}
	own := c.Own(at, "s")
	assert.Check(t, math.Abs(own.Arrived[1]-200) < 10, "%.0f arrived", own.Arrived[1])
	assert.Check(t, math.Abs(own.Admitted[1]-100) < 10, "%.0f admitted", own.Admitted[1])
	assert.Check(t, math.Abs(own.Customers[0].Admitted-100) < 10, "%.0f of the customer", own.Customers[0].Admitted)
	c.Rejected(at, "other", 0, "acme")
	assert.Equal(t, c.Own(at, "other").Admitted[0], 0.0)
}
