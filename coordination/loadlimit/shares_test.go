package loadlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// surgeOfOne simulates a service on which one of ten customers sends so much that the
// total is twice the capacity; otherwise all ten together use half of the capacity. It
// returns the share of the requests of the other nine that are answered in time.
func surgeOfOne(u upstreams, fair bool) float64 {
	w := u.simulate()
	shares, random := NewFairShares(), rand.New(rand.NewPCG(5, 6))
	surging := false
	w.admit = func(load, limit int) int {
		customer := protocol.CustomerID(fmt.Sprint("c", random.IntN(10)))
		if surging && random.IntN(4) > 0 {
			customer = "c0"
		}
		shares.Arrived(w.now, customer)
		w.counted = customer != "c0" && surging
		if fair {
			limit = shares.Limit(w.now, customer, limit)
		}
		if load < limit {
			shares.Admitted(w.now)
		}
		return limit
	}
	w.play(0.5, u.surge()/3)
	surging = true
	got := w.play(2, u.surge())
	return float64(got.timely) / float64(got.arrived)
}

func TestSurgeOfOneCustomerIsRefusedToThatCustomer(t *testing.T) {
	// Guards: one customer's surge causes refusals to the others. One customer's program
	// sends thirty times its usual rate. The others use half of the capacity; with one
	// limit for all, half of their requests would be refused, because that customer's
	// requests would take the capacity.
	for _, u := range services {
		t.Run(u.name, func(t *testing.T) {
			uniform, fair := surgeOfOne(u, false), surgeOfOne(u, true)
			assert.Assert(t, uniform < 0.75, "%.3f without shares", uniform)
			assert.Assert(t, fair > 0.96, "%.3f with shares", fair)
		})
	}
}

func TestSharesAreCappedByDemand(t *testing.T) {
	// Guards: a customer gets a larger share by sending more. Twenty requests are
	// admitted: the two small customers get their demand, and the two large ones share
	// the rest evenly, however much more one of them sends.
	s := NewFairShares()
	for customer, demand := range map[protocol.CustomerID]int{"small": 2, "middle": 4, "large": 10, "huge": 100} {
		for range demand {
			s.Arrived(0, customer)
		}
	}
	for range 20 {
		s.Admitted(0)
	}
	assert.Equal(t, s.computeLevel(), 7.0)
	now := levelTTL
	assert.Equal(t, s.Limit(now, "middle", 100), 125)
	assert.Equal(t, s.Limit(now, "large", 100), 100)
	assert.Equal(t, s.Limit(now, "huge", 100), 100)
	assert.Equal(t, s.Limit(now, "huge", Unlimited), Unlimited)
	assert.Equal(t, s.Limit(now, "small", 4), 7, "headroomRoots allows three more")
	assert.Equal(t, s.Limit(now+time.Minute, "huge", 100), 125, "the demand has decayed")
	assert.Equal(t, len(s.demand), 0, "customers are dropped")
}
