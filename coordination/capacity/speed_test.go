package capacity

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// outcome is the sum of several simulations.
type outcome struct {
	asked, inTime, askedDuring, inTimeDuring, unused, refused int
	// first and later are the parts of the requests that the slow upstream gets in the first second
	// and after it, recovering and again those in the first second after its end and in the two
	// seconds after that, as multiples of an even part.
	first, later, recovering, again float64
}

func (run uneven) outcome(seeds int) outcome {
	var sum outcome
	for seed := range seeds {
		m := run.play(uint64(seed))
		sum.asked, sum.inTime = sum.asked+m.asked, sum.inTime+m.inTime
		sum.askedDuring, sum.inTimeDuring = sum.askedDuring+m.askedDuring, sum.inTimeDuring+m.inTimeDuring
		sum.unused, sum.refused = sum.unused+m.unused, sum.refused+m.refused
		sum.first += m.part(slowFrom, slowFrom+time.Second) / float64(seeds)
		sum.later += m.part(slowFrom+time.Second, slowEnd) / float64(seeds)
		sum.recovering += m.part(slowEnd, slowEnd+time.Second) / float64(seeds)
		sum.again += m.part(slowEnd+time.Second, slowEnd+3*time.Second) / float64(seeds)
	}
	return sum
}

func (o outcome) share() float64       { return float64(o.inTime) / float64(o.asked) }
func (o outcome) duringShare() float64 { return float64(o.inTimeDuring) / float64(o.askedDuring) }

func (o outcome) String() string {
	return fmt.Sprintf("in time %.4f, in the slow time %.4f; the slow server's part in the first second %.2f, then %.2f, after it %.2f, then %.2f; %d refused, %d reports not used of %d",
		o.share(), o.duringShare(), o.first, o.later, o.recovering, o.again, o.refused, o.unused, o.asked)
}

func TestChoiceByReportedPaceAvoidsASlowServer(t *testing.T) {
	// Guards: a server that works five times slower for five seconds keeps a part of the requests
	// that makes them late, gets none long after it has recovered, or honest reports aren't believed.
	const (
		seeds     = 3
		maxUnused = 0.03
	)
	// Nine routers know most of the load themselves, so the pace tells them less.
	leastGain := map[int]float64{9: 0, 29: 0.01, 67: 0.01}
	for _, routers := range []int{9, 29, 67} {
		for _, perSecond := range []float64{200, 280} {
			for _, jitter := range []bool{false, true} {
				run := uneven{routers: routers, upstreams: 4, slots: 6, perSecond: perSecond, jitter: jitter, source: noSource}
				name := fmt.Sprintf("%d routers, %.0f a second, jitter %t", routers, perSecond, jitter)
				byLoad := run.outcome(seeds)
				run.source = fromPace
				byPace := run.outcome(seeds)
				t.Logf("%s, by load: %v", name, byLoad)
				t.Logf("%s, by pace: %v", name, byPace)
				assert.Check(t, byPace.duringShare() > byLoad.duringShare()+leastGain[routers], name)
				assert.Check(t, byPace.first < 0.5 && byPace.again > 0.8, name)
				assert.Check(t, float64(byPace.unused) < maxUnused*float64(byPace.asked), name)
			}
		}
	}
}

func TestReportedPaceIsWorthItsMessages(t *testing.T) {
	// Guards: the pace costs messages, and a router's own answer times would do as well. What all
	// routers' completions tell is an upper bound: the model passes them on without delay.
	results := map[speedSource]outcome{}
	for _, source := range []speedSource{noSource, fromPace, fromCompletions, fromTimes, fromOracle} {
		results[source] = uneven{routers: 67, upstreams: 4, slots: 6, perSecond: 200, source: source}.outcome(3)
		t.Logf("%s: %v", source, results[source])
	}
	assert.Assert(t, results[fromPace].duringShare() > results[fromTimes].duringShare()+0.01)
	assert.Assert(t, results[fromPace].duringShare() > results[fromOracle].duringShare()-0.02)
}
