package retryschedule

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/internal/timequeue"
)

// conduct is what a refused caller does.
type conduct uint8

const (
	// honours Retry-After, and stays away if nothing is reserved.
	honours conduct = iota
	// hopes comes back after Retry-After also if nothing is reserved.
	hopes
	// hurries comes back at once.
	hurries
)

// The requests of a surge.
const (
	surgeObjective = 300 * time.Millisecond
	surgeRemaining = 5 * time.Second
	surgeEnd       = 20 * time.Second
	hurryAfter     = 20 * time.Millisecond
	// One request in urgentEvery is of the most urgent rank.
	urgentEvery = 50
	// surgeFrom is the time from which callers are counted.
	surgeFrom = 3 * time.Second
)

// surge plays callers who send more than the limit of one service. Each retries once, at a router
// chosen at random. New requests are admitted at random, up to the part of the limit that isn't
// scheduled or, with conserves, that isn't used by reservations.
type surge struct {
	*network
	// limit and demand are requests a second.
	limit, demand float64
	hurrying      float64
	unpromised    conduct
	conserves     bool
	schedules     []*Schedule
	returning     timequeue.Queue[caller]
	// arrivals is the moving rate of requests that are judged as new ones, and keptRate that of
	// those admitted by a reservation, a second.
	arrivals, keptRate float64
	tallies            map[conduct]*tally
	// admitted counts the admissions in each second, and kept those of them by reservation.
	admitted, kept []float64
	// refused counts the requests that asked for an offer, and promised the reservations, by rank.
	refused, promised [2]float64
}

type caller struct {
	conduct
	digest   uint64
	rank     int
	counted  bool
	reserved bool
	retried  bool
}

// tally counts callers by what became of them.
type tally struct{ callers, served, reserved, reservedAgain, back, again float64 }

// part returns the part of the callers that was served.
func (t *tally) part() float64 { return t.served / t.callers }

// newSurge returns a surge. A part of the callers hurries; the others do as unpromised says if
// nothing is reserved for them.
func newSurge(routers, perRelay int, limit, demand, hurrying float64, unpromised conduct) *surge {
	s := &surge{
		network: newNetwork(routers, perRelay), limit: limit, demand: demand * limit, hurrying: hurrying, unpromised: unpromised,
		arrivals: demand * limit, tallies: map[conduct]*tally{honours: {}, hopes: {}, hurries: {}},
		admitted: make([]float64, surgeEnd/time.Second+1), kept: make([]float64, surgeEnd/time.Second+1),
	}
	for range routers {
		s.schedules = append(s.schedules, NewSchedule(Settings{Reserve: 0.05}))
	}
	return s
}

func (s *surge) play() {
	for s.now < surgeEnd {
		s.step()
		s.arrivals -= s.arrivals * tick.Seconds()
		s.keptRate -= s.keptRate * tick.Seconds()
		for at := s.random.ExpFloat64() / s.demand; at < tick.Seconds(); at += s.random.ExpFloat64() / s.demand {
			s.arrive(s.newCaller())
		}
		for at, ok := s.returning.Next(); ok && at <= s.now; at, ok = s.returning.Next() {
			_, c := s.returning.Pop()
			s.arrive(c)
		}
	}
}

func (s *surge) newCaller() caller {
	counted := s.now >= surgeFrom && s.now < surgeEnd-surgeRemaining
	c := caller{conduct: s.unpromised, digest: s.random.Uint64(), counted: counted}
	if c.digest%urgentEvery != 0 {
		c.rank = 1
	}
	if s.random.Float64() < s.hurrying {
		c.conduct = hurries
	}
	s.count(c, func(t *tally) { t.callers++ })
	return c
}

func (s *surge) count(c caller, add func(*tally)) {
	if c.counted {
		add(s.tallies[c.conduct])
	}
}

func (s *surge) arrive(c caller) {
	i := s.random.IntN(len(s.ids))
	reservations := s.all[s.ids[i]]
	match, left := reservations.Match(s.now, c.digest)
	switch {
	case match == Due:
		reservations.Consume(s.now, c.digest)
		s.kept[s.now/time.Second]++
		s.keptRate++
		s.serve(c)
	case match == Early:
		s.refuse(c, Offer{RetryAfter: left, Reserved: true})
	default:
		s.arrivals++
		if s.random.Float64() < s.forNew()/s.arrivals {
			s.serve(c)
			return
		}
		s.refuse(c, s.offer(i, c))
	}
}

// forNew returns the part of the limit that new requests get.
func (s *surge) forNew() float64 {
	if s.conserves {
		return s.limit - s.keptRate
	}
	return (1 - retryPart) * s.limit
}

func (s *surge) serve(c caller) {
	s.admitted[s.now/time.Second]++
	s.count(c, func(t *tally) { t.served++ })
}

func (s *surge) offer(i int, c caller) Offer {
	part := 1 / float64(len(s.ids))
	capacity := Capacity{
		Limit: s.limit, Spare: s.limit, Part: part, Known: KnownAfter(s.interval, s.relays), Carried: CarriedBy(s.interval, s.relays, part, 1),
	}
	refused := Refused{Digest: c.digest, Rank: c.rank, Objective: surgeObjective, Remaining: surgeRemaining}
	offer := s.schedules[i].Offer(s.now, s.random.Float64(), refused, capacity)
	s.refused[c.rank]++
	if offer.Reserved {
		s.promised[c.rank]++
		s.all[s.ids[i]].Add(s.now, offer.Reservation)
	}
	return offer
}

// refuse lets a caller come back, the first time.
func (s *surge) refuse(c caller, offer Offer) {
	if c.retried {
		s.count(c, func(t *tally) { t.again++ })
		if c.reserved {
			s.count(c, func(t *tally) { t.reservedAgain++ })
		}
		return
	}
	c.retried, c.reserved = true, offer.Reserved
	if offer.Reserved {
		s.count(c, func(t *tally) { t.reserved++ })
	}
	if c.conduct == honours && !offer.Reserved {
		return
	}
	s.count(c, func(t *tally) { t.back++ })
	after := offer.RetryAfter.Round(tick)
	if c.conduct == hurries {
		after = hurryAfter
	}
	s.returning.Push(s.now+after+time.Duration(s.random.Int64N(int64(2*tick))), c)
}

func (s *surge) log(t *testing.T, c conduct) {
	a := s.tallies[c]
	t.Logf("%d routers, limit %.0f, %.1f times, conduct %d: %.0f callers, served %.3f, "+
		"reserved %.0f, refused again %.3f of reserved, %.3f of %.0f back",
		len(s.ids), s.limit, s.demand/s.limit, c, a.callers, a.part(),
		a.reserved, a.reservedAgain/max(a.reserved, 1), a.again/max(a.back, 1), a.back)
}

// perSecond returns the mean and the highest number of some seconds, without the first ones and
// the last.
func perSecond(counts []float64) (mean, highest float64) {
	counts = counts[surgeFrom/time.Second : len(counts)-2]
	for _, count := range counts {
		mean += count / float64(len(counts))
		highest = max(highest, count)
	}
	return mean, highest
}

// withinNoise is the highest number of events that arrive at random to expect in one of some
// seconds.
func withinNoise(mean float64) float64 { return mean + 4*math.Sqrt(mean) }

func TestReservedCallersAreRarelyRefusedAgain(t *testing.T) {
	// Guards: callers honour Retry-After and are refused again, because the router that they come
	// back to doesn't expect them, or because more are due than there is capacity for.
	for _, fleet := range []struct {
		routers, perRelay int
		limit             float64
		// leastKept is the part of the scheduled capacity that is used at least.
		leastKept float64
	}{{9, 0, 200, 0.8}, {67, 0, 200, 0.8}, {330, 18, 200, 0}, {330, 18, 1000, 0}} {
		for _, demand := range []float64{1.3, 2} {
			s := newSurge(fleet.routers, fleet.perRelay, fleet.limit, demand, 0, honours)
			s.play()
			s.log(t, honours)
			a := s.tallies[honours]
			mean, highest := perSecond(s.admitted)
			kept, mostKept := perSecond(s.kept)
			t.Logf("admitted a second: %.1f, at most %.0f; by reservation %.1f, at most %.0f",
				mean, highest, kept, mostKept)
			assert.Assert(t, a.back > 0 && a.again < 0.1*a.back && a.reservedAgain < 0.1*a.reserved)
			urgent, others := s.promised[0]/s.refused[0], s.promised[1]/s.refused[1]
			t.Logf("reserved for %.3f of the most urgent rank, %.3f of the others", urgent, others)
			assert.Assert(t, urgent > 1.2*others)
			assert.Assert(t, mean <= 1.03*fleet.limit && highest <= withinNoise(fleet.limit))
			assert.Assert(t, kept >= fleet.leastKept*retryPart*fleet.limit && mostKept <= withinNoise(retryPart*fleet.limit))
		}
	}
}

func TestCallersThatHurryGainNothing(t *testing.T) {
	// Guards: a third of the callers ignore Retry-After and are served more often for it, or the
	// others are served less often.
	for _, routers := range []int{9, 67} {
		for _, conserves := range []bool{false, true} {
			without, with := newSurge(routers, 0, 200, 1.3, 0, hopes), newSurge(routers, 0, 200, 1.3, 1.0/3, hopes)
			without.conserves, with.conserves = conserves, conserves
			without.play()
			with.play()
			without.log(t, hopes)
			with.log(t, hopes)
			with.log(t, hurries)
			assert.Assert(t, with.tallies[hurries].part() < with.tallies[hopes].part())
			if conserves {
				assert.Assert(t, with.tallies[hopes].part() > without.tallies[hopes].part()-0.02)
			}
		}
	}
}
