package slowness

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
)

// usual is the time per token of a healthy engine.
const usual = 27 * time.Millisecond

func name(i int) protocol.UpstreamID { return protocol.UpstreamID(fmt.Sprintf("e%02d", i)) }

// step observes one sample of each engine, with the given time per token, and runs
// one step.
func step(t *Tracker, timesPerToken ...time.Duration) []Change {
	for i, timePerToken := range timesPerToken {
		const tokens = 100
		t.Observe(name(i), "model", tokens, tokens*timePerToken)
	}
	return t.Step()
}

func steps(t *Tracker, count int, timesPerToken ...time.Duration) []Change {
	var all []Change
	for range count {
		all = append(all, step(t, timesPerToken...)...)
	}
	return all
}

// One engine's accelerator throttles. The engine must get less work after a few
// seconds, but never none, and must get it back gradually once it has recovered.
func TestSlowEngineGetsLessAndRecoversGradually(t *testing.T) {
	tracker := New(DefaultConfig())
	changes := steps(tracker, 20, 4*usual, usual, usual, usual)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Upstream, name(0))
	assert.Assert(t, changes[0].Slow)
	low := tracker.Weight(name(0))
	assert.Assert(t, low >= 0.2 && low < 0.35, "%v", low)
	assert.Equal(t, tracker.Weight(name(1)), 1.0)
	before := low
	for tracker.Weight(name(0)) < 1 {
		step(tracker, usual, usual, usual, usual)
		now := tracker.Weight(name(0))
		// The target itself rises while the estimate recovers.
		assert.Assert(t, now-before <= DefaultConfig().RampPerStep+1e-9, "%v after %v", now, before)
		before = now
	}
}

// A busy hour slows all engines. If they counted as slow, work would be shifted
// between them to no use.
func TestAllSlowIsNobodySlow(t *testing.T) {
	tracker := New(DefaultConfig())
	steps(tracker, 10, usual, usual, usual, usual)
	assert.Equal(t, len(steps(tracker, 20, 4*usual, 4*usual, 4*usual, 4*usual)), 0)
}

// With two engines there is no telling which one is abnormal, so neither may count
// as slow.
func TestTooFewPeersDetectNoSlowEngine(t *testing.T) {
	tracker := New(DefaultConfig())
	assert.Equal(t, len(steps(tracker, 20, usual, 9*usual)), 0)
	assert.Equal(t, tracker.Ratio(name(1)), 0.0)
	assert.Equal(t, tracker.Weight("unknown"), 1.0)
}

// An engine is slow only under load: it recovers when its work is taken away and
// becomes slow again when the work returns. If its weight were not held for longer
// each time, it would oscillate.
func TestWeightIsHeldLongerAfterEachRelapse(t *testing.T) {
	tracker := New(DefaultConfig())
	stepsToFullWeight := func() int {
		steps(tracker, 20, 4*usual, usual, usual, usual)
		count := 0
		for tracker.Weight(name(0)) < 1 {
			step(tracker, usual, usual, usual, usual)
			count++
		}
		return count
	}
	first := stepsToFullWeight()
	second := stepsToFullWeight()
	third := stepsToFullWeight()
	assert.Assert(t, first < second && second < third, "%d %d %d", first, second, third)
}

// Whatever times engines take and whichever leave, the reductions of a group's
// weights must never exceed its allowance, and no engine may lose all its work.
func TestCutsStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		tracker := New(config)
		count := rapid.IntRange(3, 12).Draw(t, "engines")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			times := make([]time.Duration, count)
			for i := range times {
				times[i] = usual * time.Duration(rapid.IntRange(1, 8).Draw(t, "pace"))
			}
			if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 && count > 3 {
				count--
				tracker.Remove(name(count))
				times = times[:count]
			}
			for range rapid.IntRange(1, 6).Draw(t, "for") {
				step(tracker, times...)
			}
			cut := 0.0
			for i := range count {
				weight := tracker.Weight(name(i))
				assert.Assert(t, weight >= config.MinWeight-1e-9 && weight <= 1+1e-9, "%v", weight)
				cut += 1 - weight
			}
			assert.Assert(t, cut <= config.MaxCut*float64(count)+1e-9, "%v of %d", cut, count)
		}
	})
}
