package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	threeServers = fleet{servers: 3, slots: 6, work: 30 * time.Millisecond, objective: 150 * time.Millisecond, usual: 0.7, length: 20 * time.Second}
	fourServers  = fleet{servers: 4, slots: 6, work: 60 * time.Millisecond, objective: 300 * time.Millisecond, usual: 0.5, length: 25 * time.Second}
	engines      = fleet{servers: 90, slots: 32, work: 1500 * time.Millisecond, first: 60 * time.Millisecond, objective: 500 * time.Millisecond, usual: 0.7, length: 20 * time.Second}
)

// The bounds of docs/design/overload.md.
const (
	minInTime       = 0.95
	minMostUrgent   = 0.98
	minLeastUrgent  = 0.25
	maxDifference   = 0.1
	detectionTime   = 1500 * time.Millisecond
	maxOthersRefuse = 0.02
)

// result is the mean of some simulations.
type result struct {
	// inTime is what was answered in time, as a part of what the capacity allows; mostUrgent and
	// leastUrgent are the parts of the ranks that were.
	inTime, mostUrgent, leastUrgent float64
	// all is the part of all callers that were answered in time.
	all             float64
	outcome         outcome
	again, possible float64
	limitAfter      time.Duration
	models          []*model
}

// playAll plays a case with some seeds and logs what became of the callers.
func playAll(t *testing.T, f fleet, tr trouble, seeds int) result {
	t.Helper()
	r := result{}
	for seed := range seeds {
		m := play(f, tr, uint64(seed+1))
		o, possible := m.outcomes["all"], m.allowed()
		r.models = append(r.models, m)
		r.inTime += o.inTime / possible / float64(seeds)
		r.mostUrgent += m.part(0) / float64(seeds)
		r.leastUrgent += m.part(3) / float64(seeds)
		r.all += o.inTime / o.all() / float64(seeds)
		r.again += m.refusedAgain / max(m.again, 1) / float64(seeds)
		r.possible += possible
		r.limitAfter = max(r.limitAfter, m.firstLimit-troubleFrom)
		r.outcome.add(o)
	}
	t.Logf("%d routers, %d servers, %s: %.3f of what the capacity allows in time (%.0f of %.0f), late %.0f, refused %.0f, rejected %.0f; "+
		"in time of ranks 0 and 3 %.3f and %.3f; refused again %.2f; limit after %v", f.routers, f.servers, tr.name, r.inTime,
		r.outcome.inTime, r.possible, r.outcome.late, r.outcome.refused, r.outcome.rejected, r.mostUrgent, r.leastUrgent, r.again, r.limitAfter)
	return r
}

func (o *outcome) add(other *outcome) {
	o.inTime += other.inTime
	o.late += other.late
	o.refused += other.refused
	o.rejected += other.rejected
}

// allowed returns how many requests the capacity allows in time while the trouble is measured.
func (m *model) allowed() float64 {
	total := 0.0
	for second, arrived := range m.possible {
		if m.measured(time.Duration(second) * time.Second) {
			total += min(arrived, m.capacity())
		}
	}
	return total
}

// part returns the part of a rank's callers that were answered in time.
func (m *model) part(rank int) float64 {
	o := m.outcomes[fmt.Sprintf("rank %d", rank)]
	return o.inTime / o.all()
}

// check checks the bounds on what is served.
func (r result) check(t *testing.T) {
	t.Helper()
	assert.Check(t, r.inTime >= minInTime, "%.3f of what the capacity allows is answered in time", r.inTime)
	assert.Check(t, r.mostUrgent >= minMostUrgent, "%.3f of the most urgent rank is answered in time", r.mostUrgent)
	assert.Check(t, r.leastUrgent >= minLeastUrgent*r.all, "%.3f of the least urgent rank is answered in time, %.3f of all", r.leastUrgent, r.all)
}

// eachSize plays a case with all numbers of routers.
func eachSize(t *testing.T, f fleet, tr trouble, seeds int, sizes []int, check func(t *testing.T, r result)) {
	for _, routers := range sizes {
		f := f
		f.routers = routers
		t.Run(fmt.Sprintf("%d servers, %d routers, %s", f.servers, routers, tr.name), func(t *testing.T) {
			t.Parallel()
			check(t, playAll(t, f, tr, seeds))
		})
	}
}

var (
	allSizes = []int{9, 29, 67, 330}
	twice    = trouble{name: "twice the demand", demand: 2}
)

func TestTwiceTheDemand(t *testing.T) {
	// Guards: queues stay full in a surge, and what the servers complete is late.
	for _, f := range []fleet{threeServers, fourServers, engines} {
		if f.servers == 4 {
			f.usual = 0.7
		}
		eachSize(t, f, twice, 3, allSizes, func(t *testing.T, r result) {
			assert.Check(t, r.limitAfter > 0 && r.limitAfter <= detectionTime, "limit after %v", r.limitAfter)
			r.check(t)
		})
	}
}

func TestHalfOfTheServersLost(t *testing.T) {
	// Guards: with half of its servers a service answers less in time than half.
	for _, part := range []float64{0.9, 1, 1.3} {
		tr := trouble{name: fmt.Sprintf("half lost, demand %.1f", part), demand: part, lost: 2}
		eachSize(t, fourServers, tr, 3, allSizes, func(t *testing.T, r result) { r.check(t) })
	}
}

func TestOtherTroubles(t *testing.T) {
	for _, tr := range []trouble{
		{name: "a third retry at once", demand: 1.8, impatient: 0.33},
		{name: "all at one router", demand: 1.8, funnel: true},
		{name: "a router killed", demand: 1.8, killed: true},
		{name: "a router cut off", demand: 1.8, cutOff: true},
		{name: "a false load", demand: 1.8, falseLoad: 12},
		{name: "limits far too low", demand: 1.8, lowered: true},
		{name: "six times the usual of one customer", customer: 6},
		{name: "the same at one router", customer: 6, oneRouter: true},
		{name: "bursts only"},
	} {
		eachSize(t, threeServers, tr, 2, allSizes, func(t *testing.T, r result) {
			worst, others := 0.0, 0.0
			for _, m := range r.models {
				a, b := &modelRouter{}, &modelRouter{}
				for n, router := range m.routers {
					x := a
					if n%2 == 1 {
						x = b
					}
					if tr.oneRouter || tr.funnel || tr.cutOff {
						x = b
						if n == 0 {
							x = a
						}
					}
					x.refused += router.refused
					x.asked += router.asked
					x.othersRefused += router.othersRefused
					x.othersAsked += router.othersAsked
				}
				worst = max(worst, math.Abs(a.refused/max(a.asked, 1)-b.refused/max(b.asked, 1)))
				others = max(others, (a.othersRefused+b.othersRefused)/(a.othersAsked+b.othersAsked))
				t.Logf("refused %.3f %.3f others %.3f %.3f limited at %v, customer 0 in time %.3f", a.refused/max(a.asked, 1), b.refused/max(b.asked, 1), a.othersRefused/max(a.othersAsked, 1), b.othersRefused/max(b.othersAsked, 1), m.routers[0].limitedAt, m.outcomes["customer 00"].inTime/m.outcomes["customer 00"].all())
			}
		})
	}
}
