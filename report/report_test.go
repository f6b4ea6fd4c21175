package report_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"endiveplank/loadgen"
	"endiveplank/report"
)

// sample is a small result with two phases, orders and two engines.
func sample() loadgen.Result {
	quantiles := func(scale float64) loadgen.Quantiles {
		return loadgen.Quantiles{Count: 100, Points: []loadgen.Point{
			{Q: 0.5, Ms: scale}, {Q: 0.95, Ms: 2 * scale}, {Q: 0.99, Ms: 3 * scale}, {Q: 1, Ms: 9 * scale},
		}}
	}
	series := func(id string, load int) loadgen.EngineSeries {
		s := loadgen.EngineSeries{ID: id}
		for i := range 20 {
			s.Samples = append(s.Samples, loadgen.EngineSample{
				AtS: float64(i) / 4, OutstandingTokens: load * i,
				PromptTokens: uint64(100 * i), CachedTokens: uint64(60 * i),
			})
		}
		return s
	}
	phase := func(name string, scale float64) loadgen.Phase {
		return loadgen.Phase{
			Name: name, Counts: loadgen.Counts{Sent: 100, Whole: 98, Refused: 2, Retries: 5}, ReusePct: 60,
			Latency: loadgen.Latency{FirstToken: quantiles(scale), BetweenTokens: quantiles(scale / 10), Whole: quantiles(5 * scale)},
			Engines: []loadgen.EngineSeries{series("e1", 10), series("e2", 12)},
			Processes: []loadgen.ProcessCost{{
				Name: "r1", CPUS: 1.5, CPUPerTokenUs: 30, MemoryStartMB: 20, MemoryEndMB: 22, MemoryPeakMB: 25,
			}},
			Skew: &loadgen.Skew{TimeAverage: 1.09, P95: 1.2},
		}
	}
	return loadgen.Result{
		Schema: loadgen.Schema, Title: "sample",
		Settings: loadgen.RunSettings{Seed: 1, Rate: 50, DurationS: 5, Customers: 10, Targets: 3, Engines: 2},
		Phases:   []loadgen.Phase{phase("direct", 10), phase("fleet", 11)},
		Added:    &loadgen.Added{FirstTokenP50Ms: 1, FirstTokenP99Ms: 3, BetweenTokensP50Ms: 0.1, BetweenTokensP99Ms: 0.3},
		Audit:    &loadgen.Audit{Keys: 7, Accepted: 6, Unknown: 1},
		Broken:   []string{"fleet: an answer was cut"},
	}
}

func write(t *testing.T, result loadgen.Result, format string) string {
	t.Helper()
	directory := t.TempDir()
	path := filepath.Join(directory, "sample.json")
	text, err := json.Marshal(result)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, text, 0o600))
	command := report.NewCommand()
	command.SetArgs([]string{"--out", directory, "--format", format, path})
	command.SilenceUsage, command.SilenceErrors = true, true
	assert.NilError(t, command.Execute())
	return directory
}

// Guards against an unnoticed change of the page. CI draws committed reports
// again and compares them, so they would no longer agree with their results.
func TestMarkdownPage(t *testing.T) {
	golden.Assert(t, report.Markdown([]report.Run{{Name: "sample", Result: sample()}}, "svg"), "report.md")
}

// CI draws committed reports again and compares them, so the same result must
// always give the same bytes.
func TestSameResultGivesSameBytes(t *testing.T) {
	for _, format := range []string{report.FormatSVG, report.FormatPNG} {
		one, two := write(t, sample(), format), write(t, sample(), format)
		files, err := filepath.Glob(filepath.Join(one, "*"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), 5)
		for _, file := range files {
			first, err := os.ReadFile(file)
			assert.NilError(t, err)
			second, err := os.ReadFile(filepath.Join(two, filepath.Base(file)))
			assert.NilError(t, err)
			assert.Assert(t, string(first) == string(second), file)
		}
	}
}

// A result without phases or readings still gets a report. A result
// of another schema and an unknown plot format are refused.
func TestEmptyResultAndRefusedInputs(t *testing.T) {
	write(t, loadgen.Result{Schema: loadgen.Schema}, report.FormatSVG)
	path := filepath.Join(t.TempDir(), "old.json")
	assert.NilError(t, os.WriteFile(path, []byte(`{"schema":"other/v1"}`), 0o600))
	_, err := report.Read(path)
	assert.ErrorContains(t, err, `schema "other/v1"`)
	assert.ErrorContains(t, report.Write(t.TempDir(), "gif", nil), "svg and png")
}
