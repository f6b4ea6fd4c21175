package stream

import (
	"testing"
	"time"
)

// BenchmarkChunk measures one chunk in order, with the update of the wait estimate.
func BenchmarkChunk(b *testing.B) {
	assembler := NewAssembler("r", 64)
	monitor := NewMonitor(0, DefaultMonitorConfig())
	estimator := NewWaitEstimator(DefaultWaitEstimatorConfig())
	b.ReportAllocs()
	for i := range b.N {
		assembler.Accept(Chunk{Request: "r", Attempt: 1, Index: i})
		now := time.Duration(i) * 27 * time.Millisecond
		if sample, ok := monitor.Progress(now, assembler.Next()); ok {
			estimator.Observe(sample)
		}
	}
}
