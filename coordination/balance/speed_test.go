package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Engines share their machines with other work, and each answer says how long work takes
// there at that moment, in percent of the usual. The figure changes many times a second.
// This file compares routers that choose by it with those that don't.

const (
	// speedHold is how long a machine's figure stays the same, in the mean.
	speedHold = 80 * time.Millisecond
	// speedWork is how long a request takes at 100 percent.
	speedWork = 300 * time.Millisecond
)

// speedEngine is an engine: how long work takes there, and its requests, which all routers
// know.
type speedEngine struct {
	percent float64
	load    int
}

// heardSpeed is what a router knows of an engine's figure: the last one in an answer, and an
// average over several.
type heardSpeed struct{ last, smoothed float64 }

// speedRun is a request in flight.
type speedRun struct {
	engine int
	router int
	left   time.Duration
	began  time.Duration
}

// playSpeeds sends requests from routers to engines for a while and returns their mean
// duration in percent of the usual. rank is what a router minimises among the engines with
// the fewest requests.
func playSpeeds(routers, engines, perSecond int, rank func(*rand.Rand, heardSpeed) float64) (meanPercent float64) {
	const step, played = 10 * time.Millisecond, 20 * time.Second
	random := seeded()
	all := make([]speedEngine, engines)
	heard := make([][]heardSpeed, routers)
	for i := range all {
		all[i] = speedEngine{percent: 100}
	}
	for i := range heard {
		heard[i] = slices.Repeat([]heardSpeed{{last: 100, smoothed: 100}}, engines)
	}
	var running []speedRun
	ended, sum := 0, time.Duration(0)
	for now := time.Duration(0); now < played; now += step {
		for i := range all {
			if random.Float64() < float64(step)/float64(speedHold) {
				all[i].percent = 50 + 250*random.Float64()*random.Float64()
			}
		}
		kept := running[:0]
		for _, r := range running {
			e := &all[r.engine]
			if r.left -= time.Duration(float64(step) * 100 / e.percent); r.left > 0 {
				kept = append(kept, r)
				continue
			}
			e.load--
			known := &heard[r.router][r.engine]
			known.last = e.percent
			known.smoothed += 0.2 * (e.percent - known.smoothed)
			ended++
			sum += now + step - r.began
		}
		running = kept
		for range poisson(random, float64(perSecond)*step.Seconds()) {
			router, best, lowest := random.IntN(routers), -1, 0.0
			for i, e := range all {
				if value := float64(e.load)*1e6 + rank(random, heard[router][i]); best < 0 || value < lowest {
					best, lowest = i, value
				}
			}
			all[best].load++
			running = append(running, speedRun{engine: best, router: router, left: speedWork, began: now})
		}
	}
	return 100 * (sum.Seconds() / float64(ended)) / speedWork.Seconds()
}

// poisson draws how many requests arrive in a step.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		count++
	}
	return count
}

func TestMomentarySpeedOfAMachineIsNoGuide(t *testing.T) {
	// Guards: routers choose by a figure that has changed many times since they heard it.
	// Load alone must do as well. Pattern: 67 routers before 90 engines.
	byLoad := playSpeeds(67, 90, 150, func(r *rand.Rand, _ heardSpeed) float64 { return r.Float64() })
	byLast := playSpeeds(67, 90, 150, func(r *rand.Rand, s heardSpeed) float64 { return s.last + r.Float64() })
	bySmoothed := playSpeeds(67, 90, 150, func(r *rand.Rand, s heardSpeed) float64 { return s.smoothed + r.Float64() })
	t.Logf("mean duration in percent of the usual: by load %.1f, by the last figure %.1f, by an average %.1f", byLoad, byLast, bySmoothed)
	assert.Assert(t, byLoad < 1.01*min(byLast, bySmoothed))
}
