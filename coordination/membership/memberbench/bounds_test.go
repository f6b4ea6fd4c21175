package memberbench

import (
	"encoding/json"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// bound is the range of a metric. Either end may be missing.
type bound struct {
	Min *float64 `json:"min,omitempty"`
	Max *float64 `json:"max,omitempty"`
}

// benchSeed is the seed of every metric in docs/benchmarks/membership.md.
const benchSeed = 6

// TestBounds checks the metrics of the short scenarios against bounds.json. All
// of them are counts or virtual times with a fixed seed, so they don't depend on
// the machine.
func TestBounds(t *testing.T) {
	data, err := os.ReadFile("bounds.json")
	assert.NilError(t, err)
	var bounds map[string]map[string]bound
	assert.NilError(t, json.Unmarshal(data, &bounds))
	for _, scenario := range Scenarios() {
		if !scenario.CI {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			scenarioBounds := bounds[scenario.Name]
			assert.Assert(t, len(scenarioBounds) > 0, "scenario without bounds")
			checked := 0
			for _, m := range scenario.Run(benchSeed) {
				t.Logf("%s = %.4g", m.Name, m.Value)
				b, bounded := scenarioBounds[m.Name]
				if !bounded {
					continue
				}
				checked++
				assert.Assert(t, b.Min == nil || m.Value >= *b.Min, "%s is %.4g", m.Name, m.Value)
				assert.Assert(t, b.Max == nil || m.Value <= *b.Max, "%s is %.4g", m.Name, m.Value)
			}
			assert.Equal(t, checked, len(scenarioBounds), "each bound needs a metric")
		})
	}
}

// BenchmarkScenarios reports every metric; run it with -benchtime=1x.
func BenchmarkScenarios(b *testing.B) {
	for _, scenario := range Scenarios() {
		b.Run(scenario.Name, func(b *testing.B) {
			var metrics []Metric
			for range b.N {
				metrics = scenario.Run(benchSeed)
			}
			for _, m := range metrics {
				b.ReportMetric(m.Value, m.Name)
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes per known member.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		b.ReportMetric(MemoryPerMember(1000), "B/member")
	}
}
