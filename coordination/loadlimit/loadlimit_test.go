package loadlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// upstreams describes a simulated service: it has slots for running requests, and a FIFO
// queue for the others.
type upstreams struct {
	name  string
	slots int
	// duration is the mean duration of a request, and spread its standard deviation as a
	// share of the mean.
	duration time.Duration
	spread   float64
	// objective is the time within which the answer must begin; begins is the time from
	// when a request gets a slot until its answer begins.
	objective, begins time.Duration
	// lag is the age of the load that a router knows.
	lag time.Duration
}

// services differ from each other by a factor of ten or more.
var services = []upstreams{
	{"a desk with six slots", 6, 30 * time.Millisecond, 0.5, 150 * time.Millisecond, 20 * time.Millisecond, 4 * time.Millisecond},
	{"an engine with 64 slots", 64, 1500 * time.Millisecond, 0.6, time.Second, 40 * time.Millisecond, 100 * time.Millisecond},
	{"an engine with 400 slots and long answers", 400, 6 * time.Second, 0.4, 4 * time.Second, 300 * time.Millisecond, 400 * time.Millisecond},
}

// capacity is the number of requests that can run per second.
func (u upstreams) capacity() float64 { return float64(u.slots) / u.duration.Seconds() }

// surge is the duration of a surge.
func (u upstreams) surge() time.Duration { return max(30*u.duration, 30*time.Second) }

// request is a request that was sent: the load known when it arrived, and when its answer
// begins.
type request struct {
	load            int
	arrived, begins time.Duration
}

// simulation is the state of a simulated upstream.
type simulation struct {
	upstreams
	curve  *LatencyCurve
	random *rand.Rand
	now    time.Duration
	// free is when each slot is free, waiting the requests whose answers haven't begun,
	// and ends the sorted ends of the requests in flight.
	free    []time.Duration
	waiting []request
	ends    []time.Duration
	// slower is added to the time at which answers begin, at any load.
	slower time.Duration
	// limited says whether the curve's limit is enforced.
	limited bool
	// admit returns the limit of the next request, and sets whether it is counted; nil
	// means the curve's limit.
	admit   func(load, limit int) int
	counted bool
}

func (u upstreams) simulate() *simulation {
	return &simulation{upstreams: u, curve: &LatencyCurve{}, random: rand.New(rand.NewPCG(3, 4)), free: make([]time.Duration, u.slots), limited: true}
}

// tally counts requests by outcome.
type tally struct{ arrived, refused, timely, late int }

// play sends requests at a multiple of the capacity for some time, and counts those of the
// second half.
func (w *simulation) play(times float64, length time.Duration) tally {
	var got tally
	from := w.now
	step := float64(time.Second) / (times * w.capacity())
	load, known := 0, from-w.lag
	for ; w.now < from+length; w.now += time.Duration(w.random.ExpFloat64() * step) {
		w.advance()
		if w.now-known >= w.lag {
			load, known = len(w.ends), w.now
		}
		outcome := &got.refused
		limit, counted := w.curve.Limit(w.now), w.now >= from+length/2
		if w.admit != nil {
			limit = w.admit(load, limit)
			counted = counted && w.counted
		}
		if !w.limited || load < limit {
			outcome = &got.late
			if w.send(load) <= w.objective {
				outcome = &got.timely
			}
		}
		if counted {
			got.arrived++
			*outcome++
		}
	}
	return got
}

// advance processes what has happened up to now.
func (w *simulation) advance() {
	for len(w.waiting) > 0 && w.waiting[0].begins <= w.now {
		r := w.waiting[0]
		w.waiting = w.waiting[1:]
		w.curve.Record(w.now, r.load, r.begins-r.arrived <= w.objective/2)
	}
	for len(w.ends) > 0 && w.ends[0] <= w.now {
		w.ends = w.ends[1:]
	}
}

// send assigns a request to the slot that is free first, and returns the time until its
// answer begins.
func (w *simulation) send(load int) time.Duration {
	first := 0
	for i := range w.free {
		if w.free[i] < w.free[first] {
			first = i
		}
	}
	runs := max(w.now, w.free[first])
	ends := runs + time.Duration(float64(w.duration)*max(0.1, 1+w.spread*w.random.NormFloat64()))
	w.free[first] = ends
	at, _ := slices.BinarySearch(w.ends, ends)
	w.ends = slices.Insert(w.ends, at, ends)
	begins := runs + w.begins + w.slower
	w.waiting = append(w.waiting, request{load, w.now, begins})
	return begins - w.now
}

func TestSurgeIsServedInTimeUpToCapacity(t *testing.T) {
	// Guards: overload makes all answers late. Callers send two or six times what a
	// service can do. Without a limit its queue grows until every caller waits too long;
	// with one, most of the capacity produces timely answers and the other requests are
	// refused at once.
	for _, u := range services {
		for _, times := range []float64{2, 6} {
			t.Run(fmt.Sprintf("%s, %.0f times", u.name, times), func(t *testing.T) {
				unlimited := u.simulate()
				unlimited.limited = false
				without := unlimited.play(times, u.surge())
				assert.Assert(t, without.timely < without.arrived/20, "%+v", without)
				w := u.simulate()
				w.play(0.5, u.surge()/3)
				with := w.play(times, u.surge())
				capacity := u.capacity() * (u.surge() / 2).Seconds()
				assert.Assert(t, float64(with.timely) > 0.9*capacity, "%+v with a capacity of %.0f", with, capacity)
				assert.Assert(t, with.late < with.timely/50, "%+v", with)
			})
		}
	}
}

func TestNothingIsRefusedBelowCapacity(t *testing.T) {
	// Guards: requests are refused although there is capacity. Seven in ten slots are in
	// use on average, and a few answers are late.
	for _, u := range services {
		t.Run(u.name, func(t *testing.T) {
			got := u.simulate().play(0.7, u.surge())
			assert.Assert(t, got.refused <= got.arrived/200, "%+v", got)
		})
	}
}

func TestUpstreamsSlowAtAnyLoadAreNotLimited(t *testing.T) {
	// Guards: requests are refused because of upstreams that are slow at any load. A late
	// answer is better than none, and refusing some makes the others no quicker.
	for _, u := range services {
		t.Run(u.name, func(t *testing.T) {
			w := u.simulate()
			w.slower = 2 * u.objective
			got := w.play(0.6, u.surge())
			assert.Equal(t, got.refused, 0, "%+v", got)
		})
	}
}

func TestLimitIsLiftedWhenCapacityGrows(t *testing.T) {
	// Guards: a limit stays although the capacity has grown. After a surge the capacity
	// is quadrupled; within a minute, or the duration of some requests, nothing is
	// refused any more.
	for _, u := range services {
		t.Run(u.name, func(t *testing.T) {
			w := u.simulate()
			surge := w.play(3, u.surge())
			assert.Assert(t, surge.refused > 0, "%+v", surge)
			w.slots *= 4
			w.free = append(w.free, make([]time.Duration, 3*u.slots)...)
			got := w.play(0.6, 2*max(time.Minute, 4*u.duration))
			assert.Assert(t, got.refused <= got.arrived/50, "%+v", got)
		})
	}
}

func TestFewLateAnswersSetNoLimit(t *testing.T) {
	// Guards: a few late answers set a limit. A prompt that isn't cached takes longer
	// than the others at any load.
	c := &LatencyCurve{}
	for load := range 100 {
		c.Record(0, load, load%20 != 19)
	}
	assert.Equal(t, c.Limit(0), Unlimited)
	assert.Equal(t, (&LatencyCurve{}).Limit(0), Unlimited, "nothing is recorded")
	c.Record(0, 1<<40, false)
	assert.Equal(t, c.Limit(0), Unlimited, "a load above the last class")
}
