package loadbench

import (
	"slices"
	"time"
)

// Metric is one figure of a scenario. Names are part of bounds.json.
type Metric struct {
	Name  string
	Value float64
}

// Scenario is one question put to the decisions, with its baselines in the same
// run and on the same seeds.
type Scenario struct {
	Name string
	Run  func() []Metric
}

// Scenarios returns all scenarios in the order of the benchmark page.
func Scenarios() []Scenario {
	return slices.Concat(servingScenarios(), fleetScenarios(), stormScenarios(), crashScenarios(), peersScenarios(), stallScenarios())
}

// Seeds are the seeds every scenario runs with; figures are the worst or the
// mean over them, as their names say.
var Seeds = []uint64{1, 2, 3, 4, 5}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
