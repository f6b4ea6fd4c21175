package quarantine

import (
	"fmt"
	"testing"
)

// BenchmarkStartEnd measures the cost for each request when there are no
// suspects.
func BenchmarkStartEnd(b *testing.B) {
	for _, inFlight := range []int{8, 64} {
		b.Run(fmt.Sprintf("inflight=%d", inFlight), func(b *testing.B) {
			tracker := New(DefaultConfig())
			for i := range inFlight {
				tracker.Started(0, engineA, Digest(i), "customer")
			}
			b.ReportAllocs()
			for range b.N {
				tracker.MayStart(forever, engineA, 1<<40, forever)
				tracker.Started(forever, engineA, 1<<40, "customer")
				tracker.Ended(forever, engineA, 1<<40, Completed)
			}
		})
	}
}
