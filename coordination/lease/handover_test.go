package lease

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/ownership"
	"endiveplank/coordination/table"
)

// longestGap runs the simulation for a while and returns the longest time for
// which some upstream had no router that admits requests to it.
func (s *sim) longestGap(length time.Duration) time.Duration {
	const step = time.Millisecond
	gaps := map[int]time.Duration{}
	longest := time.Duration(0)
	for end := s.now + length; s.now < end; {
		s.run(s.now + step)
		for i, upstream := range s.upstreams {
			gaps[i] += step
			for _, r := range s.routers {
				if _, verdict := r.guard.MayAdmit(r.clock.read(s.now), upstream.ID); verdict == ownership.Allowed && s.now >= r.frozenUntil {
					gaps[i] = 0
				}
			}
			longest = max(longest, gaps[i])
		}
	}
	return longest
}

// longestHandoverGap injects a fault into a router and returns the longest gap
// over several seeds.
func longestHandoverGap(relays int, inject func(*sim, *simRouter)) time.Duration {
	longest := time.Duration(0)
	for seed := range uint64(12) {
		s := newSim(seed, 9, 12, "")
		s.addRelays(relays)
		s.run(10*time.Second + time.Duration(seed)*110*time.Millisecond)
		inject(s, s.routers[seed%9])
		longest = max(longest, s.longestGap(5*time.Second))
	}
	return longest
}

// Guards against a slow handover when a router stops as planned or is lost.
// Callers of the upstreams that it owned wait for the next owner: for a few
// commits after a planned stop, and less than 3 s after a loss, whether
// routers renew with the leader or through relays.
func TestHandover(t *testing.T) {
	planned := func(s *sim, r *simRouter) {
		r.Stop()
		assert.Equal(t, r.Ready(r.clock.read(s.now)), false)
		s.after(3*time.Second, r, r.MarkDrained)
		s.after(5*time.Second-time.Millisecond, r, func() { assert.Equal(t, r.Stopped(), true) })
	}
	lost := func(s *sim, r *simRouter) { r.frozenUntil = 1 << 62 }
	for _, relays := range []int{0, 2} {
		t.Run(fmt.Sprintf("relays=%d", relays), func(t *testing.T) {
			gap := longestHandoverGap(relays, planned)
			t.Logf("planned stop %v", gap)
			assert.Assert(t, gap < 100*time.Millisecond, "%v", gap)
			gap = longestHandoverGap(relays, lost)
			t.Logf("loss %v", gap)
			assert.Assert(t, gap < 3*time.Second, "%v", gap)
		})
	}
}

// Guards against a router that serves a customer under an old limit. An
// operator lowers the limit while one router is partitioned, and is told that
// the change is in force. From then on the partitioned router must not serve:
// its lease must have expired earlier, on its own clock. The other routers
// serve under the new row, and the operator waits about Timing.ExpireAfter at
// most.
func TestChangeWaitsForPartitionedRouter(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed, 3, 0, "")
		s.run(5 * time.Second)
		partitioned := s.routers[1]
		partitioned.partitioned = true
		s.changeRow("acme")
		for s.now < 12*time.Second {
			s.run(s.now + time.Millisecond)
			if len(s.inForce) > 0 {
				assert.Equal(t, partitioned.Ready(partitioned.clock.read(s.now)), false)
			}
		}
		assert.Equal(t, len(s.inForce), 1)
		assert.Assert(t, s.inForce[0] > s.timing.RenewEvery && s.inForce[0] < s.timing.ExpireAfter+300*time.Millisecond, "%v", s.inForce[0])
		for _, r := range []*simRouter{s.routers[0], s.routers[2]} {
			row, ok := r.View().Row(table.Customers, "acme")
			assert.Assert(t, ok && row.Revision == s.machine.Table().Revision(table.Customers, "acme") && r.Ready(r.clock.read(s.now)))
		}
	}
}
