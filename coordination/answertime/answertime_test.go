package answertime

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// workload describes how long answers take.
type workload struct {
	name string
	mean time.Duration
	// spread is the standard deviation as a share of the mean.
	spread     float64
	maxTimeout time.Duration
}

// workloads differ from each other by a factor of ten or more.
var workloads = []workload{
	{"a desk that answers in 4 ms", 4 * time.Millisecond, 0.3, 400 * time.Millisecond},
	{"prompts of 400 tokens", 60 * time.Millisecond, 0.4, 1200 * time.Millisecond},
	{"prompts of 100,000 tokens on slow engines", 4 * time.Second, 0.4, 120 * time.Second},
}

// draw returns the random duration of one answer.
func (w workload) draw(random *rand.Rand) time.Duration {
	return time.Duration(float64(w.mean) * normalFactor(random, w.spread))
}

// normalFactor returns a normally distributed factor with a mean of 1, at least 0.1.
func normalFactor(random *rand.Rand, spread float64) float64 {
	return max(0.1, 1+spread*random.NormFloat64())
}

func TestTimeoutAdaptsToAnswerTimes(t *testing.T) {
	// Guards: the timeout doesn't fit a service, so that lost answers are noticed late or
	// slow ones are called overdue. Three services have answers that take from 4 ms to 4
	// s.
	for _, w := range workloads {
		t.Run(w.name, func(t *testing.T) {
			times, kind, random := New(), Kind{Route: "r"}, rand.New(rand.NewPCG(1, 1))
			assert.Equal(t, times.Timeout(kind, w.maxTimeout), w.maxTimeout, "nothing is recorded yet")
			overdue := 0
			for i := range 10_000 {
				took := w.draw(random)
				if i > 100 && took > times.Timeout(kind, w.maxTimeout) {
					overdue++
				}
				times.Record(kind, took)
			}
			timeout := times.Timeout(kind, w.maxTimeout)
			assert.Assert(t, timeout <= max(10*w.mean, minTimeout), "%v", timeout)
			assert.Assert(t, overdue <= 10, "%d of 10,000 answers are overdue", overdue)
		})
	}
}

func TestSlownessOfAllCausesFewRetries(t *testing.T) {
	// Guards: slowness causes retries to engines that are already overloaded. Half of the
	// engines are lost, and answers take ten times as long as before.
	for _, w := range workloads {
		t.Run(w.name, func(t *testing.T) {
			times, kind, random := New(), Kind{Route: "r"}, rand.New(rand.NewPCG(1, 1))
			for range 100 {
				times.Record(kind, w.draw(random))
			}
			overdue := 0
			for range 200 {
				took, timeout := 10*w.draw(random), times.Timeout(kind, w.maxTimeout)
				if took > timeout {
					overdue++
					times.Record(kind, timeout)
				}
				times.Record(kind, took)
			}
			assert.Assert(t, overdue <= 20, "%d of 200", overdue)
		})
	}
}

func TestLostAnswersDoNotExtendTheTimeout(t *testing.T) {
	// Guards: lost answers extend the timeout. One engine in four loses all its answers
	// for a while, and later callers would wait longer than the first.
	times, kind, random := New(), Kind{Route: "r"}, rand.New(rand.NewPCG(1, 1))
	w := workloads[1]
	for range 100 {
		times.Record(kind, w.draw(random))
	}
	before := times.Timeout(kind, w.maxTimeout)
	for range 300 {
		if random.IntN(4) == 0 {
			times.Record(kind, times.Timeout(kind, w.maxTimeout))
		} else {
			times.Record(kind, w.draw(random))
		}
		assert.Assert(t, times.Timeout(kind, w.maxTimeout) <= 2*before)
	}
}

func TestRemovedRoutesAreDropped(t *testing.T) {
	// Guards: the samples of routes that a table no longer has are kept for ever.
	times := New()
	for range minSamples {
		times.Record(Kind{Route: "old"}, time.Millisecond)
		times.Record(Kind{Route: "kept", Cold: true}, time.Millisecond)
	}
	times.Retain(func(route string) bool { return route == "kept" })
	assert.Equal(t, times.Timeout(Kind{Route: "old"}, time.Second), time.Second)
	assert.Equal(t, times.Timeout(Kind{Route: "kept", Cold: true}, time.Second), minTimeout)
	assert.Equal(t, len(times.kinds), 1)
}
