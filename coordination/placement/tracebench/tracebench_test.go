package tracebench

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"endiveplank/coordination/placement"
)

var seeds = []uint64{1, 2, 3}

func ownerWays() []Way {
	return []Way{
		OwnerAdmission("owners-reuse-first", placement.DefaultPolicy(placement.ReuseFirst)),
		OwnerAdmission("owners-skew-first", placement.DefaultPolicy(placement.SkewFirst)),
		OwnerAdmission("owners-reuse-only", placement.DefaultPolicy(1)),
	}
}

func ways() []Way { return append(ownerWays(), Baselines()...) }

func report(b *testing.B, r Result) {
	b.ReportMetric(r.SkewMax, "skew-max/mean")
	b.ReportMetric(r.SkewP99, "skew-p99/mean")
	b.ReportMetric(r.SkewAny, "skew-any-max/mean")
	b.ReportMetric(r.SkewCounted, "skew-counted-max/mean")
	b.ReportMetric(r.OverPct, "over-pct")
	b.ReportMetric(r.ReusePct, "reuse-pct")
	b.ReportMetric(r.MeanStreams, "streams/engine")
	b.ReportMetric(r.Asks, "asks/req")
	b.ReportMetric(r.MovedPct, "moved-pct")
	b.ReportMetric(r.FewPct, "few-pct")
	b.ReportMetric(r.WaitPct, "waits-pct")
	b.ReportMetric(r.ControlBytes, "ctl-B/s/node")
	b.ReportMetric(r.ControlMost, "ctl-most-B/s/node")
}

func benchmark(b *testing.B, s Scenario, seeds []uint64, ways []Way) {
	for _, way := range ways {
		if only := os.Getenv("WAY"); only != "" && !strings.Contains(way.Name, only) {
			continue
		}
		b.Run(way.Name, func(b *testing.B) {
			var r []Result
			for b.Loop() {
				r = Measure(s, seeds, []Way{way})
			}
			report(b, r[0])
		})
	}
}

func BenchmarkToday(b *testing.B) { benchmark(b, Today(), seeds, ways()) }

func BenchmarkGoal(b *testing.B) { benchmark(b, Goal(), seeds[:1], ways()) }

// BenchmarkEventLoss shows reuse as cache events are lost.
func BenchmarkEventLoss(b *testing.B) {
	for _, loss := range []float64{0, 0.01, 0.1, 0.5} {
		b.Run(fmt.Sprintf("loss=%v", loss), func(b *testing.B) {
			s := Today()
			s.Fleet.EventLoss = loss
			benchmark(b, s, seeds, ways()[:3])
		})
	}
}

// BenchmarkKnob shows skew against reuse as the weight moves.
func BenchmarkKnob(b *testing.B) {
	var list []Way
	for _, weight := range []float64{0, 0.2, 0.35, 0.5, 0.75, 1} {
		list = append(list, OwnerAdmission(fmt.Sprintf("weight=%v", weight), placement.DefaultPolicy(weight)))
	}
	benchmark(b, Today(), seeds, list)
}
