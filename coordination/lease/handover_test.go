package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/ownership"
	"endiveplank/coordination/table"
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

// An operator lowers a customer's limit and is told that it is in force, while
// one router is cut off. That router must not serve under the old row from
// then on: its lease has to run out before, on its own clock. The others serve
// under the new row, and the operator waits no longer than the leader's wait.
func TestChangeWaitsForCutOffRouter(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3, 0, "")
		s.run(5 * time.Second)
		cut := s.routers[1]
		cut.cut = true
		s.change("acme")
		for s.now < 12*time.Second {
			s.run(s.now + time.Millisecond)
			if len(s.inForce) > 0 {
				assert.Equal(t, cut.Ready(cut.clock.read(s.now)), false)
			}
		}
		assert.Equal(t, len(s.inForce), 1)
		assert.Assert(t, s.inForce[0] > s.timing.Renew && s.inForce[0] < s.timing.Wait+300*time.Millisecond, "%v", s.inForce[0])
		for _, r := range []*simRouter{s.routers[0], s.routers[2]} {
			row, ok := r.View().Row(table.Customers, "acme")
			assert.Assert(t, ok && row.Revision == s.machine.Table().Revision(table.Customers, "acme") && r.Ready(r.clock.read(s.now)))
		}
	}
}
