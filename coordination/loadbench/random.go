package loadbench

import (
	"math/rand/v2"
	"slices"
	"time"
)

// exponential draws the time between two arrivals of a Poisson process with a rate
// per second.
func exponential(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

func sortedCopy(durations []time.Duration) []time.Duration {
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	return sorted
}
