package loadbench

import (
	"encoding/json"
	"os"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// bound is the range that a metric must stay in. Either end may be missing.
type bound struct {
	Min *float64 `json:"min,omitempty"`
	Max *float64 `json:"max,omitempty"`
}

// TestBounds checks every metric of every scenario against bounds.json. It fails
// when a change of admission, limits, retry, quarantine, slowness or stream makes
// the result worse for callers, for example more refusals, longer waits or more
// retries. The lower bounds of baselines check that a model still reproduces the
// failure that it is about. All figures are counts or simulated times on fixed
// seeds, so the result is the same on every machine.
func TestBounds(t *testing.T) {
	data, err := os.ReadFile("bounds.json")
	assert.NilError(t, err)
	bounds := make(map[string]map[string]bound)
	assert.NilError(t, json.Unmarshal(data, &bounds))
	seen := 0
	for _, scenario := range Scenarios() {
		seen++
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			metrics := scenario.Run()
			for _, m := range metrics {
				checkBound(t, m, bounds[scenario.Name])
			}
			assert.Equal(t, len(metrics), len(bounds[scenario.Name]), "each metric needs a bound, each bound a metric")
		})
	}
	assert.Equal(t, seen, len(bounds), "each scenario needs bounds, each bound a scenario")
}

func checkBound(t *testing.T, m Metric, bounds map[string]bound) {
	t.Helper()
	t.Logf("%s = %.4g", m.Name, m.Value)
	b, ok := bounds[m.Name]
	if !ok || b.Min == nil && b.Max == nil {
		t.Errorf("%s has no bound", m.Name)
	}
	if b.Min != nil && m.Value < *b.Min {
		t.Errorf("%s is %.4g, below %.4g", m.Name, m.Value, *b.Min)
	}
	if b.Max != nil && m.Value > *b.Max {
		t.Errorf("%s is %.4g, above %.4g", m.Name, m.Value, *b.Max)
	}
}

// BenchmarkScenarios reports the figures that TestBounds checks, and those of
// LargeScenarios.
func BenchmarkScenarios(b *testing.B) {
	for _, scenario := range slices.Concat(Scenarios(), LargeScenarios()) {
		b.Run(scenario.Name, func(b *testing.B) {
			var metrics []Metric
			for range b.N {
				metrics = scenario.Run()
			}
			for _, m := range metrics {
				b.ReportMetric(m.Value, m.Name)
			}
		})
	}
}
