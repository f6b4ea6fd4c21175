package fleetbench

import (
	"os"
	"strings"
	"testing"
	"time"

	"endiveplank/coordination/placement"
)

// smallConfig is the fleet of today: 12 engines and 9 routers.
func smallConfig() (Config, TraceConfig) {
	return Config{
			Seed: 1, Routers: 9, Engines: 12, Batch: 32, CacheTokens: 1_000_000,
			Unequal: true, Churn: 2 * time.Minute, WarmUp: 20 * time.Minute,
		}, TraceConfig{
			Seed: 1, Duration: 2 * time.Hour, Customers: 10, ZipfExponent: 0.9,
			RequestsPerSecond: 24, SurgeAt: time.Hour,
		}
}

func ways() []Way {
	return append([]Way{
		OwnerAdmission("owners-reuse-first", placement.DefaultPolicy(placement.ReuseFirst)),
		OwnerAdmission("owners-skew-first", placement.DefaultPolicy(placement.SkewFirst)),
	}, Baselines()...)
}

func report(b *testing.B, r Result) {
	b.ReportMetric(r.SkewMax, "skew-max/mean")
	b.ReportMetric(r.SkewP99, "skew-p99/mean")
	b.ReportMetric(r.SkewAny, "skew-any-max/mean")
	b.ReportMetric(r.OverPct, "over-pct")
	b.ReportMetric(r.ReusePct, "reuse-pct")
	b.ReportMetric(r.MeanStreams, "streams/engine")
	b.ReportMetric(r.Asks, "asks/req")
	b.ReportMetric(r.MovedPct, "moved-pct")
	b.ReportMetric(r.FewPct, "few-pct")
	b.ReportMetric(r.WaitPct, "waits-pct")
	b.ReportMetric(r.ControlBytes, "ctl-B/s/node")
	b.ReportMetric(r.ControlMost, "ctl-most-B/s/node")
	b.ReportMetric(r.StateBytes, "B/chat")
}

func BenchmarkFleet12(b *testing.B) {
	config, traceConfig := smallConfig()
	trace := NewTrace(traceConfig)
	for _, way := range ways() {
		if only := os.Getenv("WAY"); only != "" && !strings.Contains(way.Name, only) {
			continue
		}
		b.Run(way.Name, func(b *testing.B) {
			var r Result
			for b.Loop() {
				r = Run(config, trace, way)
			}
			report(b, r)
		})
	}
}
