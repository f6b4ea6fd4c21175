package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// An engine slows to half from heat and answers every health check. It
// must get less, and after it recovers its share must come back in steps; if
// the whole fleet seems slow, no more than a set share may be taken out.
func TestSlowEngineGetsLessWithoutBeingEmptied(t *testing.T) {
	s := NewSlowness()
	update := func(now time.Duration, speed float64) float64 {
		s.Update(now, []SpeedSample{{ID: "slow", Capacity: 100, Speed: speed}}, 1200, 0)
		return s.Factor("slow")
	}
	assert.Equal(t, update(0, 1), 1.0)
	assert.Equal(t, update(time.Second, 0.5), 0.5)
	assert.Equal(t, update(2*time.Second, 0.01), leastFactor)
	assert.Equal(t, update(3*time.Second, 1), leastFactor)
	assert.Equal(t, update(8*time.Second, 1), leastFactor+recoverStep)
	assert.Equal(t, update(9*time.Second, 1), leastFactor+recoverStep)
	for i := range 10 {
		update(time.Duration(20+10*i)*time.Second, 1)
	}
	assert.Equal(t, s.Factor("slow"), 1.0)
}

func TestSlownessNeverTakesOutMoreThanItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSlowness()
		var samples []SpeedSample
		total := 0.0
		for _, m := range members(rapid.IntRange(1, 20).Draw(t, "n")) {
			capacity := rapid.Float64Range(1, 100).Draw(t, "capacity")
			total += capacity
			samples = append(samples, SpeedSample{ID: m.ID, Capacity: capacity,
				Speed: rapid.Float64Range(0, 2).Draw(t, "speed")})
		}
		for step := range 3 {
			s.Update(time.Duration(step)*time.Second, samples, total, 0)
			reduced := 0.0
			for _, sample := range samples {
				reduced += (1 - s.Factor(sample.ID)) * sample.Capacity
			}
			assert.Assert(t, reduced <= MaxReducedShare*total*(1+1e-9))
		}
	})
}
