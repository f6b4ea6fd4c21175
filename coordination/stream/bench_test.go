package stream

import (
	"testing"
	"time"
)

// BenchmarkChunk measures one chunk in order, with its pace.
func BenchmarkChunk(b *testing.B) {
	assembler := NewAssembler("r", 64)
	watch := NewWatch(0, DefaultWatchConfig())
	pace := NewPace(DefaultPaceConfig())
	b.ReportAllocs()
	for i := range b.N {
		assembler.Accept(Chunk{Request: "r", Attempt: 1, Index: i})
		now := time.Duration(i) * 27 * time.Millisecond
		if sample, ok := watch.Progress(now, assembler.Next()); ok {
			pace.Observe(sample)
		}
	}
}
