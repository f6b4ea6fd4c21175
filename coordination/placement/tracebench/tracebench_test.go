package tracebench

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"endiveplank/coordination/placement"
)

var seeds = []uint64{1, 2, 3}

func ownerStrategies() []Strategy {
	return []Strategy{
		OwnerAdmission("owners-reuse-first", placement.DefaultPolicy(placement.ReuseFirst)),
		OwnerAdmission("owners-skew-first", placement.DefaultPolicy(placement.SkewFirst)),
		OwnerAdmission("owners-reuse-only", placement.DefaultPolicy(1)),
	}
}

func allStrategies() []Strategy { return append(ownerStrategies(), Baselines()...) }

func report(b *testing.B, r Result) {
	b.ReportMetric(r.SkewMax, "skew-max/mean")
	b.ReportMetric(r.SkewP99, "skew-p99/mean")
	b.ReportMetric(r.SkewAny, "skew-any-max/mean")
	b.ReportMetric(r.SkewCounted, "skew-counted-max/mean")
	b.ReportMetric(r.OverPct, "over-pct")
	b.ReportMetric(r.ReusePct, "reuse-pct")
	b.ReportMetric(r.MeanStreams, "streams/engine")
	b.ReportMetric(r.Queries, "asks/req")
	b.ReportMetric(r.MovedPct, "moved-pct")
	b.ReportMetric(r.IdleOrOneOverPct, "few-pct")
	b.ReportMetric(r.WaitPct, "waits-pct")
	b.ReportMetric(r.ControlBytes, "ctl-B/s/node")
	b.ReportMetric(r.ControlMaxBytes, "ctl-most-B/s/node")
}

func benchmark(b *testing.B, s Scenario, seeds []uint64, strategies []Strategy) {
	for _, strategy := range strategies {
		if only := os.Getenv("WAY"); only != "" && !strings.Contains(strategy.Name, only) {
			continue
		}
		b.Run(strategy.Name, func(b *testing.B) {
			var r []Result
			for b.Loop() {
				r = Measure(s, seeds, []Strategy{strategy})
			}
			report(b, r[0])
		})
	}
}

func BenchmarkToday(b *testing.B) { benchmark(b, Today(), seeds, allStrategies()) }

func BenchmarkGoal(b *testing.B) { benchmark(b, Goal(), seeds[:1], allStrategies()) }

// BenchmarkEventLoss measures reuse when cache events are lost.
func BenchmarkEventLoss(b *testing.B) {
	for _, loss := range []float64{0, 0.01, 0.1, 0.5} {
		b.Run(fmt.Sprintf("loss=%v", loss), func(b *testing.B) {
			s := Today()
			s.Fleet.EventLoss = loss
			benchmark(b, s, seeds, allStrategies()[:3])
		})
	}
}

// BenchmarkReuseWeight measures skew against reuse for several reuse weights.
func BenchmarkReuseWeight(b *testing.B) {
	var list []Strategy
	for _, weight := range []float64{0, 0.2, 0.35, 0.5, 0.75, 1} {
		list = append(list, OwnerAdmission(fmt.Sprintf("weight=%v", weight), placement.DefaultPolicy(weight)))
	}
	benchmark(b, Today(), seeds, list)
}
