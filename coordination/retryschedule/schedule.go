package retryschedule

import (
	"math"
	"time"
)

const (
	// step is the time that one entry of a schedule covers.
	step = 100 * time.Millisecond
	// horizon is how far ahead times are offered.
	horizon = 10 * time.Second
	// steps is the number of entries of a schedule, the current one included.
	steps = int(horizon/step) + 1
	// retryPart is the part of the limit that may be reserved. It leaves most of it to new requests,
	// which can still be answered in time.
	retryPart = 0.3
	// honouredDivisor: callers honour a Retry-After up to their remaining time divided by it
	// (docs/design/overload.md).
	honouredDivisor = 3
	// pauseDivisor sets the shortest Retry-After: the objective divided by it.
	pauseDivisor = 2
	// mostUrgent is the rank that may use all of a step.
	mostUrgent = 0
	// minRoom is the room in a step, in requests, that is too small to offer.
	minRoom = 1e-9
)

// Settings of a Schedule.
type Settings struct {
	// Reserve is the part of each step that is kept for the most urgent rank, from 0 to 1.
	Reserve float64
}

// Refused is a request that was refused for lack of capacity.
type Refused struct {
	// Digest identifies the request's content.
	Digest uint64
	// Rank is the request's urgency, 0 for the most urgent.
	Rank int
	// Objective is within which time the answer should begin, and Remaining how long the caller
	// still waits.
	Objective, Remaining time.Duration
}

// Capacity is what a router knows of a service's capacity.
type Capacity struct {
	// Limit is the rate limit of all routers together in requests a second, 0 for none.
	Limit float64
	// Spare is what the demand of all ranks but the last leaves of the limit, in requests a second.
	// The last rank includes refused requests that come back without a reservation.
	Spare float64
	// Part is this router's part of all arrivals, from 0 to 1.
	Part float64
	// Known is how long it takes until all routers know a new reservation; see KnownAfter.
	Known time.Duration
	// Carried is how many reservations of this service the router may make a second so that reports
	// have room for them, 0 for any number; see CarriedBy.
	Carried float64
}

// Reservation says that a refused request is expected back, and whether it is admitted then.
type Reservation struct {
	Digest uint32
	// Due is when the caller comes back, on this router's clock.
	Due time.Duration
	// Unreserved says that it isn't admitted then: it is only known to have been refused before.
	Unreserved bool
}

// Offer is the answer to a refused request.
type Offer struct {
	// RetryAfter is the time after which the caller may come back.
	RetryAfter time.Duration
	// Reserved says that the request will be admitted then. Otherwise there is no capacity within
	// the time that the caller honours.
	Reserved    bool
	Reservation Reservation
}

// Schedule holds one router's offers of capacity of one service. It is not safe for concurrent use.
type Schedule struct {
	settings Settings
	// offered is what has been offered of each step, in requests. The entry of a step is its number
	// modulo steps.
	offered [steps]float64
	// borrowed is the part of offered that the most urgent rank uses sooner.
	borrowed [steps]float64
	// current is the number of the step that time is in.
	current int64
}

// NewSchedule returns a schedule in which nothing is offered.
func NewSchedule(settings Settings) *Schedule {
	settings.Reserve = clamp(settings.Reserve)
	return &Schedule{settings: settings}
}

// Offer returns when a refused request may come back. random is from 0 up to 1. The router adds an
// offered Reservation to its Reservations; if these are full, the offer doesn't hold.
func (s *Schedule) Offer(now time.Duration, random float64, r Refused, c Capacity) Offer {
	s.advance(now)
	longest := max(r.Remaining/honouredDivisor, 0)
	shortest := max(r.Objective/pauseDivisor, 0)
	if !(c.Limit > 0) {
		return Offer{RetryAfter: min(shortest, longest)}
	}
	times := span{max(shortest, c.Known), min(longest, horizon)}
	due, ok := s.take(now, random, times, r.Rank, roomPerStep(r, times, c))
	if !ok {
		return Offer{RetryAfter: longest, Reservation: Reservation{Digest: shortDigest(r.Digest), Due: now + longest, Unreserved: true}}
	}
	return Offer{RetryAfter: due - now, Reserved: true, Reservation: Reservation{Digest: shortDigest(r.Digest), Due: due}}
}

// roomPerStep returns how many requests may be offered a step.
//
// A caller that can't be back within the objective is answered late whenever it is served. It gets at
// most Capacity.Spare, so that it doesn't displace requests that can still be answered in time.
func roomPerStep(r Refused, times span, c Capacity) float64 {
	rate := c.Limit * retryPart
	if r.Objective > 0 && times.shortest >= r.Objective {
		rate = spare(c, rate)
	}
	rate *= clamp(c.Part)
	if c.Carried > 0 {
		rate = min(rate, c.Carried)
	}
	return rate * step.Seconds()
}

// spare returns Capacity.Spare, at most rate, and 0 for NaN.
func spare(c Capacity, rate float64) float64 {
	if !(c.Spare > 0) {
		return 0
	}
	return min(rate, c.Spare)
}

// span is the time from now within which a caller may come back.
type span struct{ shortest, longest time.Duration }

// take takes the first free room within a span, up to one request, and returns when the request is
// due. If the room taken is less than one request, the request gets a time with that probability, so
// that the mean number of requests due in each step equals the room taken from it.
//
// The reserve in these few steps is rarely enough for a request at a router with a small part. The
// most urgent rank therefore also takes the reserve of later steps, in return for which others find
// less room there.
func (s *Schedule) take(now time.Duration, random float64, times span, rank int, room float64) (time.Duration, bool) {
	if times.longest < times.shortest || now > math.MaxInt64-2*horizon {
		return 0, false
	}
	first := max(stepAfter(now+times.shortest), s.current)
	end := min(int64((now+times.longest)/step), s.current+int64(steps))
	reserve := room * s.settings.Reserve
	if rank != mostUrgent {
		room -= reserve
	}
	d := draw{random: random}
	for number := first; number < end && d.taken < 1; number++ {
		d.add(s.fill(number, room, 1-d.taken), time.Duration(number)*step, step)
	}
	if rank == mostUrgent && first < end {
		d.add(s.borrow(end, reserve, 1-d.taken), time.Duration(first)*step, time.Duration(end-first)*step)
	}
	return d.due, d.found
}

// draw chooses the time of a request from the room that it takes.
type draw struct {
	random, taken float64
	due           time.Duration
	found         bool
}

// add adds room that was taken for times in a span. The time within the span depends on the random
// number, so that the requests of one step don't come at the same moment.
func (d *draw) add(part float64, begin, span time.Duration) {
	if part <= 0 {
		return
	}
	if !d.found && d.random < d.taken+part {
		d.found = true
		d.due = begin + time.Duration(clamp((d.random-d.taken)/part)*float64(span-1))
	}
	d.taken += part
}

// fill takes room of a step, up to a part of a request, and returns how much it took.
func (s *Schedule) fill(number int64, room, wanted float64) float64 {
	part := min(room-s.offered[index(number)], wanted)
	if part < minRoom {
		return 0
	}
	s.offered[index(number)] += part
	return part
}

// borrow takes the reserve of the steps from one on, up to a part of a request, and returns how
// much it took.
func (s *Schedule) borrow(from int64, reserve, wanted float64) float64 {
	var taken float64
	for number := from; number < s.current+int64(steps) && taken < wanted; number++ {
		part := min(reserve-s.borrowed[index(number)], wanted-taken)
		if part < minRoom {
			continue
		}
		s.borrowed[index(number)] += part
		s.offered[index(number)] += part
		taken += part
	}
	return taken
}

// index returns the entry of a step.
func index(number int64) int { return int(number % int64(steps)) }

// stepAfter returns the number of the first step that doesn't begin before a time.
func stepAfter(at time.Duration) int64 { return int64((at + step - 1) / step) }

// advance drops the steps that have passed.
func (s *Schedule) advance(now time.Duration) {
	current := int64(max(now, 0) / step)
	if current <= s.current {
		return
	}
	if current-s.current >= int64(steps) {
		s.offered, s.borrowed = [steps]float64{}, [steps]float64{}
	} else {
		for number := s.current; number < current; number++ {
			s.offered[index(number)], s.borrowed[index(number)] = 0, 0
		}
	}
	s.current = current
}

// clamp returns part limited to 0 to 1, and 0 for NaN.
func clamp(part float64) float64 {
	if !(part > 0) {
		return 0
	}
	return min(part, 1)
}

// shortDigest returns the hash that stands for a content digest in reservations.
func shortDigest(digest uint64) uint32 { return uint32(digest ^ digest>>32) }
