package retryschedule

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

const at = 100 * time.Second

// order is a refused request.
func order(digest uint64) Refused {
	return Refused{Digest: digest, Rank: 1, Objective: 300 * time.Millisecond, Remaining: 6 * time.Second}
}

// alone is the capacity of a router that gets all requests.
func alone(limit float64) Capacity {
	return Capacity{Limit: limit, Spare: limit, Part: 1, Known: meshInterval}
}

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// perStep counts offers by the step in which they are due.
func perStep(offers []Offer) map[time.Duration]float64 {
	counts := map[time.Duration]float64{}
	for _, offer := range offers {
		if offer.Reserved {
			counts[offer.Reservation.Due/step]++
		}
	}
	return counts
}

// offers returns what a schedule offers to some requests of one moment.
func offers(s *Schedule, random *rand.Rand, requests int, r Refused, c Capacity) []Offer {
	var all []Offer
	for i := range requests {
		r.Digest = uint64(i)
		all = append(all, s.Offer(at, random.Float64(), r, c))
	}
	return all
}

func reservedOf(all []Offer) int {
	return len(slices.DeleteFunc(slices.Clone(all), func(o Offer) bool { return !o.Reserved }))
}

func TestRefusedCallersAreSpread(t *testing.T) {
	// Guards: all callers refused at one moment come back at one moment.
	all := offers(NewSchedule(Settings{Reserve: 0.05}), newRandom(), 300, order(0), alone(200))
	dues := map[time.Duration]bool{}
	for _, offer := range all {
		if offer.Reserved {
			assert.Assert(t, offer.RetryAfter >= meshInterval && offer.RetryAfter <= 2*time.Second, offer.RetryAfter)
			assert.Equal(t, offer.Reservation.Due, at+offer.RetryAfter)
			dues[offer.RetryAfter] = true
		}
	}
	assert.Assert(t, len(dues) > 85 && len(dues) == reservedOf(all), "%d times for %d callers", len(dues), reservedOf(all))
	for number, count := range perStep(all) {
		assert.Assert(t, count <= 7, "%.0f in step %d", count, number)
	}
}

func TestOffersOfAllRoutersFitTheCapacity(t *testing.T) {
	// Guards: each router offers its part, rounded up or counted from the same moment, and
	// together they offer more than becomes free, or far less.
	for _, routers := range []int{9, 29, 67, 330} {
		others := offeredPerSecond(routers, 1)
		const scheduled = 0.95 * retryPart * 200
		mean := meanOf(others)
		logRates(t, routers, "others", others)
		assert.Assert(t, mean <= 1.05*scheduled && mean >= 0.8*scheduled, "%d routers: %.1f", routers, mean)
		assert.Assert(t, slices.Max(others) <= withinNoise(scheduled), "%d routers: %v", routers, others)

		// The most urgent rank has the reserve of all steps up to the horizon at once.
		urgent := offeredPerSecond(routers, mostUrgent)
		const all = retryPart * 200
		mean = meanOf(urgent)
		logRates(t, routers, "most urgent rank", urgent)
		assert.Assert(t, mean <= 1.05*all, "%d routers: %.1f", routers, mean)
		assert.Assert(t, slices.Max(urgent) <= withinNoise(all+0.05*all*horizon.Seconds()), "%d routers: %v", routers, urgent)
	}
}

// offeredPerSecond returns how many requests of a rank are due in each second after 400 a second are
// refused, at a limit of 200. One router gets a tenth of them, the others the same part of the rest.
func offeredPerSecond(routers, rank int) []float64 {
	random := rand.New(rand.NewPCG(uint64(routers), 3))
	schedules := make([]*Schedule, routers)
	for i := range schedules {
		schedules[i] = NewSchedule(Settings{Reserve: 0.05})
	}
	const seconds, refusedPerTick, largest = 30, 4, 0.1
	perSecond := make([]float64, seconds+int(horizon/time.Second))
	refused := order(0)
	refused.Rank = rank
	for now := time.Duration(0); now < seconds*time.Second; now += tick {
		for range refusedPerTick {
			i, part := 0, largest
			if random.Float64() >= largest {
				i, part = 1+random.IntN(routers-1), (1-largest)/float64(routers-1)
			}
			capacity := Capacity{Limit: 200, Spare: 200, Part: part, Known: meshInterval}
			offer := schedules[i].Offer(now, random.Float64(), refused, capacity)
			if offer.Reserved {
				perSecond[offer.Reservation.Due/time.Second]++
			}
		}
	}
	return perSecond[1:seconds]
}

func logRates(t *testing.T, routers int, rank string, counts []float64) {
	lowest, highest := slices.Min(counts), slices.Max(counts)
	t.Logf("%d routers, %s: %.1f a second, from %.0f to %.0f", routers, rank, meanOf(counts), lowest, highest)
}

func meanOf(counts []float64) float64 {
	var sum float64
	for _, count := range counts {
		sum += count
	}
	return sum / float64(len(counts))
}

func TestEarlyCallerGainsAndMovesNothing(t *testing.T) {
	// Guards: a caller that comes back early is admitted, loses its place, or moves another's.
	r := NewReservations()
	assert.Assert(t, r.Add(at, Reservation{Digest: 1, Due: at + time.Second}))
	assert.Assert(t, r.Add(at, Reservation{Digest: 2, Due: at + time.Second}))
	for early := time.Duration(0); early < 900*time.Millisecond; early += 50 * time.Millisecond {
		match, left := r.Match(at+early, 1)
		assert.Equal(t, match, Early)
		assert.Equal(t, left, time.Second-early)
		r.Consume(at+early, 1)
	}
	for digest := range uint64(2) {
		match, _ := r.Match(at+900*time.Millisecond, digest+1)
		assert.Equal(t, match, Due)
	}
}

func TestUnusedReservationEnds(t *testing.T) {
	// Guards: a caller never comes back, and its reservation takes room for ever.
	r := NewReservations()
	for i := range uint32(maxReservations) {
		assert.Assert(t, r.Add(at, Reservation{Digest: i, Due: at + time.Second}))
	}
	assert.Assert(t, !r.Add(at, Reservation{Digest: maxReservations, Due: at + time.Second}))
	later := at + time.Second + keepFor + time.Millisecond
	match, _ := r.Match(later, 1)
	assert.Equal(t, match, None)
	assert.Assert(t, r.Add(later, Reservation{Digest: 1, Due: later}))
	assert.Equal(t, r.Len(), 1)
	r.Expire(later + 2*keepFor)
	assert.Equal(t, r.Len(), 0)
}

func TestSameContentFromTwoCallers(t *testing.T) {
	// Guards: two callers with the same content use one reservation twice, or one of them finds
	// its own gone.
	r := NewReservations()
	r.Add(at, Reservation{Digest: 1, Due: at + 500*time.Millisecond})
	r.Add(at, Reservation{Digest: 1, Due: at})
	r.Consume(at, 1)
	match, left := r.Match(at, 1)
	assert.Equal(t, match, Early)
	assert.Equal(t, left, 500*time.Millisecond)
	r.Consume(at+500*time.Millisecond, 1)
	match, _ = r.Match(at+500*time.Millisecond, 1)
	assert.Equal(t, match, None)
	assert.Equal(t, r.Len(), 0)
}

func TestKilledRouterLosesItsLastReportOnly(t *testing.T) {
	// Guards: reservations die with the router that made them.
	n := newNetwork(67, 0)
	n.run(5 * time.Second)
	killed, digest := n.ids[0], uint64(0)
	before := n.now
	for n.now < before+2*time.Second {
		n.all[killed].Add(n.now, Reservation{Digest: uint32(digest), Due: n.now + 3*time.Second})
		digest++
		n.step()
	}
	n.killed[killed] = true
	n.run(n.now + meshInterval)
	kept, lost := 0, 0
	for d := range digest {
		switch n.known(d) {
		case len(n.ids) - 1:
			kept++
		case 0:
			lost++
		}
	}
	t.Logf("%d reservations: %d known to all others, %d lost", digest, kept, lost)
	assert.Equal(t, kept+lost, int(digest))
	assert.Assert(t, time.Duration(lost)*tick <= meshInterval+tick)
}

func TestFullScheduleReservesNothing(t *testing.T) {
	// Guards: with no capacity left the caller gets no Retry-After, or a reservation that others
	// pay for.
	all := offers(NewSchedule(Settings{Reserve: 0.05}), newRandom(), 300, order(0), alone(200))
	last := all[len(all)-1]
	unreserved := func(after time.Duration) Reservation {
		return Reservation{Digest: last.Reservation.Digest, Due: at + after, Unreserved: true}
	}
	assert.DeepEqual(t, last, Offer{RetryAfter: 2 * time.Second, Reservation: unreserved(2 * time.Second)})
	soon := order(1)
	soon.Remaining = 3 * meshInterval
	soon.Digest = uint64(last.Reservation.Digest)
	assert.DeepEqual(t, NewSchedule(Settings{}).Offer(at, 0, soon, alone(200)), Offer{RetryAfter: meshInterval, Reservation: unreserved(meshInterval)})
	soon.Remaining = -time.Second
	assert.DeepEqual(t, NewSchedule(Settings{}).Offer(at, 0, soon, alone(200)), Offer{Reservation: unreserved(0)})
}

func TestUrgentRequestsFindRoomBehindOthers(t *testing.T) {
	// Guards: less urgent requests take all steps, and urgent ones refused later get none.
	s, random := NewSchedule(Settings{Reserve: 0.05}), newRandom()
	others := offers(s, random, 300, order(0), alone(200))
	urgent := order(0)
	urgent.Rank = mostUrgent
	offered := offers(s, random, 300, urgent, alone(200))
	t.Logf("%d reserved for others, %d for the most urgent rank behind them", reservedOf(others), reservedOf(offered))
	assert.Assert(t, reservedOf(others) <= 91 && reservedOf(offered) >= 3)
	first := offers(NewSchedule(Settings{Reserve: 0.05}), random, 300, urgent, alone(200))
	assert.Assert(t, reservedOf(first) > reservedOf(others))
}

func TestFallingLimitKeepsWhatWasOffered(t *testing.T) {
	// Guards: the limit falls or ends, and callers that were promised admission are refused, or
	// new offers still follow the old limit.
	s, r, random := NewSchedule(Settings{}), NewReservations(), newRandom()
	before := offers(s, random, 20, order(0), alone(200))
	for _, offer := range before {
		assert.Assert(t, offer.Reserved && r.Add(at, offer.Reservation))
	}
	after := offers(s, random, 300, order(0), alone(20))
	for number, count := range perStep(after) {
		assert.Assert(t, count <= 2 && perStep(before)[number] == 0, "%.0f in step %d", count, number)
	}
	none := s.Offer(at, 0, order(0), alone(0))
	assert.DeepEqual(t, none, Offer{RetryAfter: 150 * time.Millisecond})
	for i, offer := range before {
		match, _ := r.Match(offer.Reservation.Due, uint64(i))
		assert.Equal(t, match, Due)
	}
}

func TestDamagedReportsAreBounded(t *testing.T) {
	// Guards: a damaged or huge report fills the memory, or reserves for ever.
	for _, dueIn := range []int{math.MaxInt, math.MinInt, math.MaxInt / int(time.Millisecond), 10_001, unreservedMark - 10_001} {
		r := NewReservations()
		r.Apply(at, "a", []Reported{{Digest: 1, DueIn: dueIn}})
		assert.Equal(t, r.Len(), 0, "%d", dueIn)
	}
	huge := make([]Reported, 100_000)
	for i := range huge {
		huge[i] = Reported{Digest: uint32(i), DueIn: 1000}
	}
	r := NewReservations()
	r.SetNeighbours(Neighbours{Members: []protocol.RouterID{"a"}, Relays: []protocol.RouterID{"b"}})
	r.Apply(at, "a", huge)
	assert.Equal(t, r.Len(), maxPerReport)
	for i := 0; i < len(huge); i += maxPerReport {
		r.Apply(at, "a", huge[i:])
	}
	assert.Equal(t, r.Len(), maxReservations)
	assert.Equal(t, len(r.far.waiting), maxQueued)
	r.Apply(at, "stranger", huge)
	r.Apply(at, "", huge)
	assert.Equal(t, r.Len(), maxReservations)
}

func TestWrapOfTimes(t *testing.T) {
	// Guards: times near the ends of their range wrap, and the schedule panics, offers a time that
	// has passed, or takes an old step for a new one.
	for _, now := range []time.Duration{0, -time.Second, math.MinInt64, math.MaxInt64 - time.Second, math.MaxInt64} {
		s, r := NewSchedule(Settings{}), NewReservations()
		endless := order(1)
		endless.Remaining, endless.Objective = math.MaxInt64, math.MaxInt64/2
		for _, refused := range []Refused{order(1), endless} {
			offer := s.Offer(now, 0, refused, alone(200))
			assert.Assert(t, offer.RetryAfter >= 0)
			if offer.Reserved {
				assert.Assert(t, offer.Reservation.Due > now && offer.RetryAfter <= horizon)
			}
		}
		r.Apply(now, "a", []Reported{{Digest: 1, DueIn: 10_000}, {Digest: 1, DueIn: usedMark}})
		match, left := r.Match(now, 1)
		assert.Assert(t, match != Due && left >= 0)
		r.Expire(now)
	}
	s := NewSchedule(Settings{})
	for round := range time.Duration(3) {
		now := at + round*time.Duration(steps)*step
		full := 0
		for range 300 {
			if s.Offer(now, 0, order(1), alone(200)).Reserved {
				full++
			}
		}
		assert.Assert(t, full >= 90 && full <= 110, "%d", full)
	}
}

func TestNonsenseInputsOfferNothing(t *testing.T) {
	// Guards: a limit or part that is no number reserves without bound.
	nan := math.NaN()
	for _, c := range []Capacity{{Limit: nan, Part: 1}, {Limit: -1, Part: 1}, {Limit: 200, Spare: 200, Part: nan}, {Limit: 200, Spare: 200, Part: -1}, {Limit: 200, Spare: nan, Part: 1, Known: time.Second}} {
		assert.Assert(t, !NewSchedule(Settings{Reserve: nan}).Offer(at, 0, order(1), c).Reserved)
	}
}
