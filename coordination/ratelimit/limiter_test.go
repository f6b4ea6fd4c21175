package ratelimit

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/demand"
)

// totalsOf returns the counts of some routers that ask for a rate.
func totalsOf(routers int, arrived, admitted, inTime, late float64) demand.Totals {
	t := demand.Totals{Routers: routers, InTime: inTime, Late: late, RestCustomers: 10, RestArrived: arrived}
	for rank, part := range rankParts {
		t.Arrived[rank], t.Admitted[rank] = arrived*part, admitted*part
	}
	return t
}

// observe calls Observe for a while and returns the time after it and the changes.
func observe(l *Limiter, now, length time.Duration, t demand.Totals, c Capacity, reported float64) (time.Duration, []Change) {
	var changes []Change
	for end := now + length; now < end; now += tick {
		if change, changed := l.Observe(now, t, c, reported); changed {
			changes = append(changes, change)
		}
	}
	return now, changes
}

// limited returns a Limiter with a limit of 100 requests a second on 10 slots, and the time.
func limited(t *testing.T, routers int) (*Limiter, time.Duration) {
	t.Helper()
	l := New(usualSettings)
	now, changes := observe(l, modelStart, 300*time.Millisecond, totalsOf(routers, 200, 100, 90, 10), Capacity{10, 10}, 100)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Limited && changes[0].Adopted)
	return l, now
}

func TestNothingIsRefusedWithoutEvidence(t *testing.T) {
	// Guards: a service that isn't short of capacity is treated differently than before.
	f := fourServers
	f.routers = 29
	with, without := play(f, trouble{}, 1), play(f, trouble{unlimited: true}, 1)
	assert.Assert(t, slices.Equal(with.seconds, without.seconds))
	l := New(usualSettings)
	assert.Equal(t, l.Admit(modelStart, 0.999, Request{Rank: 3}).Reason, ReasonNoLimit)
}

func TestNoLimitWhereLoadIsNotTheCause(t *testing.T) {
	// Guards: requests are refused although that makes no answer quicker.
	slow := fourServers
	slow.routers, slow.servers, slow.usual = 9, 40, 0.04
	m := play(slow, trouble{slower: 6}, 1)
	assert.Equal(t, m.firstLimit, time.Duration(0), "limited while slots were free")
	assert.Assert(t, m.outcomes["all"].late > 0, "the run shows nothing: no answer was late")
	silent := threeServers
	silent.routers = 9
	assert.Equal(t, play(silent, trouble{demand: 2, silent: true}, 1).firstLimit, time.Duration(0), "limited without slots")
}

func TestSlotsMoveTheLimitAtOnce(t *testing.T) {
	// Guards: half of the upstreams are lost or added, and the limit stays as it was for seconds.
	l, now := limited(t, 9)
	before := l.Limit()
	l.Observe(now, totalsOf(9, 200, 100, 90, 10), Capacity{5, 5}, 0)
	assert.Check(t, math.Abs(l.Limit()/before-0.5) < 0.1, "%.0f after %.0f", l.Limit(), before)
	l.Observe(now, totalsOf(9, 200, 100, 90, 10), Capacity{20, 20}, 0)
	assert.Check(t, math.Abs(l.Limit()/before-2) < 0.4, "%.0f after %.0f", l.Limit(), before)
}

func TestARouterThatStartsTakesTheReportedLimit(t *testing.T) {
	// Guards: a router that starts in a surge floods the upstreams until it has learned a limit.
	f := threeServers
	f.routers = 29
	m := play(f, trouble{demand: 1.8, killed: true}, 1)
	after := m.routers[0].limitedAt - troubleFrom - 3*time.Second
	assert.Check(t, after > 0 && after < 500*time.Millisecond, "limited %v after its start", after)
	l := New(usualSettings)
	_, changes := observe(l, modelStart, time.Second, totalsOf(9, 200, 200, 200, 0), Capacity{10, 8}, 1000)
	assert.Equal(t, len(changes), 0, "took a limit that is far above the demand")
}

func TestARouterThatIsCutOffKeepsItsPart(t *testing.T) {
	// Guards: a router that knows only its own counts takes the limit of all routers for its own.
	l, now := limited(t, 50)
	now, _ = observe(l, now, time.Second, totalsOf(50, 200, 100, 90, 10), Capacity{10, 10}, 100)
	part := l.allowed() / 200
	now, _ = observe(l, now, 200*time.Millisecond, totalsOf(20, 80, 40, 36, 4), Capacity{10, 10}, 100)
	now, _ = observe(l, now, 200*time.Millisecond, totalsOf(1, 4, 2, 2, 0), Capacity{10, 1}, 0)
	assert.Check(t, math.Abs(l.allowed()/4-part) < 0.15, "admits %.2f of its demand, %.2f before", l.allowed()/4, part)
	_, _ = observe(l, now, time.Second, totalsOf(50, 200, 100, 90, 10), Capacity{10, 12}, 100)
	assert.Check(t, math.Abs(l.Limit()-100) < 25, "limit %.0f after it is back", l.Limit())
}

func TestALimitThatIsTooLowRecovers(t *testing.T) {
	// Guards: a limit follows what is served, what is served follows the limit, and both stay low.
	for _, routers := range []int{9, 67} {
		f := threeServers
		f.routers = routers
		m := play(f, trouble{demand: 2, lowered: true}, 1)
		served := 0.0
		for second := 12; second < 15; second++ {
			served += m.seconds[second].inTime / 3
		}
		t.Logf("%d routers: %.0f of %.0f a second in time from 4 s after on", routers, served, m.capacity())
		assert.Check(t, served > 0.8*m.capacity())
	}
}

func TestTheLimitStaysAboveWhatIsInTime(t *testing.T) {
	// Guards: a limit is cut below what the upstreams answer in time.
	l, now := limited(t, 9)
	_, _ = observe(l, now, 10*time.Second, totalsOf(9, 200, 95, 80, 15), Capacity{10, 100}, 0)
	assert.Check(t, l.Limit() >= inTimePart*80, "limit %.0f", l.Limit())
}

func TestTheLimitEndsAfterTheSurge(t *testing.T) {
	// Guards: requests are refused, or counts reported, for long after a surge.
	f := threeServers
	f.routers = 29
	m := play(f, twice, 1)
	for _, r := range m.routers {
		assert.Equal(t, r.limiter.Limit(), 0.0)
	}
	assert.Equal(t, m.seconds[17].refused, 0.0)
}

func TestRoutersThatJoinOrLeaveTheSumsAreNoChangeOfTheDemand(t *testing.T) {
	// Guards: the counts of other routers join the sums, that is taken for a surge, and less than the
	// upstreams can do is admitted; or they leave, and urgent requests don't get what they ask for.
	for name, test := range map[string]struct{ before, after int }{
		"the first reports arrive": {1, 3},
		"a router is started":      {4, 5},
		"one of many is started":   {28, 29},
		"a router is killed":       {3, 2},
		"half of them are cut off": {30, 15},
	} {
		t.Run(name, func(t *testing.T) {
			l, now := limited(t, test.before)
			of := func(routers int) demand.Totals {
				n := float64(routers) / float64(test.before)
				return totalsOf(routers, 200*n, 100*n, 90*n, 10*n)
			}
			now, _ = observe(l, now, 2*time.Second, of(test.before), Capacity{10, 10}, 0)
			joined := of(test.after)
			asked := demand.Sum(joined.Arrived)
			for range 40 {
				now, _ = observe(l, now, tick, joined, Capacity{10, 10}, 0)
				latest := demand.Sum(l.latest().Arrived)
				assert.Assert(t, math.Abs(latest/asked-1) < 0.1, "%.0f, %.0f are asked for", latest, asked)
			}
		})
	}
}

func TestRanksAreServedInOrderAboveTheirFloors(t *testing.T) {
	// Guards: urgent requests are refused with others, or the least urgent get nothing.
	s := newShares(usualSettings, 100, totalsOf(9, 400, 0, 0, 0))
	assert.Check(t, s.rank[0] == s.demand[0], "%v of %v", s.rank, s.demand)
	assert.Check(t, s.rank[1] < s.demand[1] && s.rank[1] > s.rank[2])
	for rank := range demand.Ranks {
		assert.Check(t, s.rank[rank] >= 0.3*0.25*s.demand[rank]-1e-9, "rank %d gets %.1f of %.1f", rank, s.rank[rank], s.demand[rank])
	}
	assert.Check(t, math.Abs(demand.Sum(s.rank)-100) < 1e-6)
	few := totalsOf(9, 400, 0, 0, 0)
	few.Arrived[0] = 0
	s = newShares(usualSettings, 100, few)
	assert.Check(t, demand.Sum(s.rank) <= 95+1e-6, "the reserve is given away: %.1f", demand.Sum(s.rank))
}

func TestCustomersHaveMaxMinShares(t *testing.T) {
	// Guards: whoever asks for most is served most, and small customers are refused.
	totals := totalsOf(9, 200, 0, 0, 0)
	totals.Customers = []demand.CustomerRate{{Customer: 1, Arrived: 90}, {Customer: 2, Arrived: 70}}
	totals.RestArrived = 40
	s := newShares(usualSettings, 100, totals)
	share := func(customer demand.CustomerHash) float64 {
		got, asked := s.of(1, customer)
		return got / asked
	}
	assert.Check(t, share(3) > 0.99, "a small customer gets %.2f", share(3))
	assert.Check(t, share(1) < share(2) && share(2) < 1, "%.2f and %.2f", share(1), share(2))
	assert.Check(t, share(1) >= 0.3*0.5)
}

func TestACustomerThatCausesTheShortageIsHeldToItsShare(t *testing.T) {
	// Guards: one customer asks for six times its usual rate, and others are refused because of it.
	totals := totalsOf(9, 150, 0, 0, 0)
	totals.Customers = []demand.CustomerRate{{Customer: 1, Arrived: 90}, {Customer: 2, Arrived: 15}}
	totals.RestArrived = 45
	s := newShares(usualSettings, 100, totals)
	for rank := range demand.Ranks {
		for _, customer := range []demand.CustomerHash{2, 3} {
			got, asked := s.of(rank, customer)
			assert.Check(t, got >= asked-1e-9, "customer %d gets %.1f of %.1f in rank %d", customer, got, asked, rank)
		}
	}
	first, asked := s.of(0, 1)
	assert.Check(t, first >= asked-1e-9, "its most urgent requests come first")
	last, _ := s.of(3, 1)
	assert.Check(t, last < asked/10)
	assert.Assert(t, s.isOutlier(1) && !s.isOutlier(2))
}

func TestRequestsThatWouldBeginTooLateAreRefused(t *testing.T) {
	// Guards: a request is sent to a queue in which its caller gives up, or a reservation isn't kept.
	l, now := limited(t, 9)
	now, _ = observe(l, now, 100*time.Millisecond, totalsOf(9, 200, 100, 90, 10), Capacity{10, 14}, 100)
	d := l.Admit(now, 0, Request{Remaining: 20 * time.Millisecond, Reserved: true})
	assert.Equal(t, d.Reason, ReasonTooLate)
	assert.Check(t, d.Wait > 30*time.Millisecond && d.Wait < 50*time.Millisecond, "%v", d.Wait)
	assert.Equal(t, l.Admit(now, 0.999, Request{Rank: 3, Remaining: time.Minute, Reserved: true}).Reason, ReasonReserved)
	assert.Equal(t, l.Admit(now, 0.999, Request{Rank: 3, Remaining: time.Minute}).Reason, ReasonOverShare)
	assert.Equal(t, l.Admit(now, 0.999, Request{Rank: 0, Remaining: time.Minute}).Reason, ReasonShare)
}

func TestPaceEvensOutBursts(t *testing.T) {
	// Guards: bursts fill the queues although the admitted rate is right on average.
	play := func(even bool) (mean, variance float64) {
		random, p, now := rand.New(rand.NewPCG(1, 1)), &pace{}, modelStart
		const windows, bursts, probability = 200, 10, 0.3
		squares := 0.0
		for range windows {
			admitted := 0.0
			for n := range bursts * burst {
				if n%burst == 0 {
					now += time.Duration(random.ExpFloat64() * float64(150*time.Millisecond))
				}
				adjusted := p.adjust(now, probability, probability)
				if (even && random.Float64() < adjusted) || (!even && random.Float64() < probability) {
					p.admitted()
					admitted++
				}
			}
			mean += admitted / windows
			squares += admitted * admitted / windows
		}
		return mean, squares - mean*mean
	}
	mean, variance := play(true)
	plainMean, plainVariance := play(false)
	t.Logf("admitted of 30 %.2f with variance %.2f, without %.2f with %.2f", mean, variance, plainMean, plainVariance)
	assert.Check(t, math.Abs(mean-plainMean) < 0.5)
	assert.Check(t, variance < 0.8*plainVariance)
}

func TestABurstBelowTheCapacityBeginsNoLimit(t *testing.T) {
	// Guards: a burst makes many answers late at two thirds of what the upstreams complete, and a
	// limit at the rate of before refuses requests that could be answered in time.
	const slots, work = 18, 0.033
	burst := totalsOf(9, 390, 390, 230, 160)
	l := New(usualSettings)
	now, changes := observe(l, modelStart, 3*time.Second, totalsOf(9, 390, 390, 390, 0), Capacity{slots, 12}, 0)
	assert.Equal(t, len(changes), 0)
	_, changes = observe(l, now, 500*time.Millisecond, burst, Capacity{slots, 44}, 0)
	assert.Equal(t, len(changes), 0, "limited at %.0f of %.0f", 390.0, slots/work)

	// The same answers at a demand that fills the slots all the time are a lack of capacity.
	l = New(usualSettings)
	_, changes = observe(l, modelStart, 3*time.Second, totalsOf(9, 600, 540, 300, 240), Capacity{slots, 44}, 0)
	assert.Assert(t, len(changes) > 0 && changes[0].Limited)
}

func TestTheFiguresOfARequestAreReadWithoutCountingIt(t *testing.T) {
	// Guards: looking at the figures, as operators do, changes what is admitted next.
	l, now := limited(t, 9)
	looked, _ := limited(t, 9)
	for n := range 200 {
		at, request := now+time.Duration(n)*time.Millisecond, Request{Rank: n % 3}
		looked.Inspect(request)
		looked.CustomerShare(1)
		assert.Equal(t, looked.Admit(at, 0.5, request), l.Admit(at, 0.5, request))
	}
}
