package loadbench

import (
	"slices"
	"time"
)

// Metric is one figure of a scenario. bounds.json refers to it by Name.
type Metric struct {
	Name  string
	Value float64
}

// Scenario answers one question about the product's decisions. Run also runs the
// baselines, on the same seeds.
type Scenario struct {
	Name string
	Run  func() []Metric
}

// Scenarios returns all scenarios in the order of the benchmark page.
func Scenarios() []Scenario {
	return slices.Concat(servingScenarios(), fleetScenarios(), stormScenarios(), crashScenarios(), slowEngineScenarios(), stallScenarios())
}

// Seeds are the seeds of the scenarios. Scenarios of the Fleet and Stall models
// run with the first one only. Scenarios of the Storm, Crash and SlowEngines
// models report the worst figure over all seeds, or the sum where the metric
// counts wrong decisions. Scenarios of the Serving model report the lowest
// goodput and pool what they count.
var Seeds = []uint64{1, 2, 3, 4, 5}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
