package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/ownership"
)

// longestGap runs for a while and returns the longest time for which some
// upstream had no router that admits to it.
func (s *sim) longestGap(length time.Duration) time.Duration {
	const step = time.Millisecond
	gaps := map[int]time.Duration{}
	longest := time.Duration(0)
	for end := s.now + length; s.now < end; {
		s.run(s.now + step)
		for i, upstream := range s.upstreams {
			gaps[i] += step
			for _, r := range s.routers {
				if _, verdict := r.guard.MayAdmit(r.clock.read(s.now), upstream.ID); verdict == ownership.Allowed && s.now >= r.frozen {
					gaps[i] = 0
				}
			}
			longest = max(longest, gaps[i])
		}
	}
	return longest
}

// handover returns the longest gap over several seeds when a router strikes.
func handover(relays int, strike func(*sim, *simRouter)) time.Duration {
	longest := time.Duration(0)
	for seed := range uint64(12) {
		s := newSim(seed, 9, 12, "")
		s.addRelays(relays)
		s.run(10*time.Second + time.Duration(seed)*110*time.Millisecond)
		strike(s, s.routers[seed%9])
		longest = max(longest, s.longestGap(5*time.Second))
	}
	return longest
}

// A router is stopped by plan, or is lost. Callers of the upstreams it owned
// wait for the next owner: a few commits in the first case, and less than 3 s
// in the second, whether routers renew with the leader or through relays.
func TestHandover(t *testing.T) {
	planned := func(s *sim, r *simRouter) {
		r.Stop()
		assert.Equal(t, r.Ready(r.clock.read(s.now)), false)
		s.after(3*time.Second, r, r.Drained)
		s.after(5*time.Second-time.Millisecond, r, func() { assert.Equal(t, r.Stopped(), true) })
	}
	lost := func(s *sim, r *simRouter) { r.frozen = 1 << 62 }
	for _, relays := range []int{0, 2} {
		t.Run(fmt.Sprintf("relays=%d", relays), func(t *testing.T) {
			gap := handover(relays, planned)
			t.Logf("planned stop %v", gap)
			assert.Assert(t, gap < 100*time.Millisecond, "%v", gap)
			gap = handover(relays, lost)
			t.Logf("loss %v", gap)
			assert.Assert(t, gap < 3*time.Second, "%v", gap)
		})
	}
}
