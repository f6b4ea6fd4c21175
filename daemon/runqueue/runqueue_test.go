package runqueue

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards: a process whose processor is busy isn't told from one that waits for others.
func TestTheWaitShowsWhatIsReadyBeforeTheProcessor(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var m Meter
	longest := func(ticks int) time.Duration {
		most := time.Duration(0)
		for range ticks {
			most = max(most, m.Measure())
			time.Sleep(10 * time.Millisecond)
		}
		return most
	}
	m.Measure()
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, longest(10) < 20*time.Millisecond)
	var stop atomic.Bool
	for range 50 {
		go func() {
			for !stop.Load() {
				for began := time.Now(); time.Since(began) < 2*time.Millisecond; {
				}
				runtime.Gosched()
			}
		}()
	}
	busy := longest(30)
	stop.Store(true)
	assert.Assert(t, busy > 40*time.Millisecond, "%s", busy)
}
