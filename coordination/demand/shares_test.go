package demand_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/demand"
	"endiveplank/protocol"
)

// refusedShare returns the share of a customer's requests that max-min fairness refuses by some
// totals, where half of all demand can be served.
func refusedShare(t demand.Totals, customer protocol.CustomerID) float64 {
	demands := make([]float64, 0, len(t.Customers)+t.RestCustomers)
	asked := t.RestArrived / float64(max(1, t.RestCustomers))
	for _, c := range t.Customers {
		demands = append(demands, c.Arrived)
		if c.Customer == demand.CustomerHashOf(customer) {
			asked = c.Arrived
		}
	}
	for range t.RestCustomers {
		demands = append(demands, t.RestArrived/float64(t.RestCustomers))
	}
	slices.Sort(demands)
	left, level := demandOf(t)/2, math.Inf(1)
	for i, d := range demands {
		if others := float64(len(demands) - i); d*others >= left {
			level = left / others
			break
		}
		left -= d
	}
	return max(0, 1-level/asked)
}

func TestLargeCustomerIsSeenAlike(t *testing.T) {
	// Guards: routers disagree how much a customer asks for that sends six times its usual rate,
	// and refuse different shares of its requests.
	for _, at := range []string{"one router", "all routers"} {
		for _, routers := range []int{9, 29, 67, 330} {
			f := newFleet(routers)
			// All requests together are 200 a second in the smaller fleets.
			f.perRouter = max(200/float64(routers), 3)
			usual := f.customer
			f.customer = func(f *fleet, router protocol.RouterID) protocol.CustomerID {
				if at == "all routers" && f.random.IntN(5) == 0 {
					return "c0"
				}
				return usual(f, router)
			}
			surge := func() {
				if at == "one router" {
					for range f.poisson(f.perRouter * float64(routers) / 5 * tick.Seconds()) {
						f.routers[f.order[1]].counter.Arrived(f.now, service, 1, "c0")
					}
				}
				f.run(tick)
			}
			shares := map[protocol.RouterID]float64{}
			const steps = int(5 * time.Second / tick)
			for step := range 2 * steps {
				surge()
				for _, id := range f.order {
					if step >= steps {
						shares[id] += refusedShare(f.totals(id), "c0") / float64(steps)
					}
				}
			}
			lowest, highest := 1.0, 0.0
			for _, share := range shares {
				lowest, highest = min(lowest, share), max(highest, share)
			}
			t.Logf("%d routers, surge at %s: refused between %.3f and %.3f", routers, at, lowest, highest)
			assert.Assert(t, highest-lowest < 0.1)
			assert.Assert(t, lowest > 0.4, "the large customer is refused little")
		}
	}
}

func TestSurgeOfACustomerIsKnownSoon(t *testing.T) {
	// Guards: lists of customers go so rarely, or through so many routers, that a customer's surge
	// is over before all judge by it. Each must see three fifths of it.
	for _, c := range []struct {
		routers, services int
		within            time.Duration
	}{{9, 2, 1500 * time.Millisecond}, {67, 1, 2 * time.Second}, {67, 2, 2500 * time.Millisecond}, {330, 1, 3500 * time.Millisecond}, {330, 2, 5500 * time.Millisecond}} {
		f := newFleet(c.routers)
		f.perRouter = max(200/float64(c.routers), 3)
		f.services = []protocol.Service{service, "other"}[:c.services]
		f.run(6150 * time.Millisecond)
		begin, usual := f.now, f.customer
		f.customer = func(f *fleet, router protocol.RouterID) protocol.CustomerID {
			if f.random.IntN(5) == 0 {
				return "c0"
			}
			return usual(f, router)
		}
		seen, last := map[protocol.RouterID]bool{}, time.Duration(0)
		for f.now < begin+c.within {
			f.run(tick)
			for _, id := range f.order {
				largest := f.totals(id).Customers[0]
				if !seen[id] && largest.Customer == demand.CustomerHashOf("c0") && largest.Arrived > 0.6*0.23*f.perRouter*float64(c.routers) {
					seen[id], last = true, f.now-begin
				}
			}
		}
		t.Logf("%d routers, %d services: %d know of the surge, the last after %v", c.routers, c.services, len(seen), last)
		assert.Equal(t, len(seen), c.routers)
	}
}

func TestMoreCustomersThanFitAreSummed(t *testing.T) {
	// Guards: with more customers than reports list, the demand of most of them is lost or their
	// number is counted once for each router.
	for _, customers := range []int{24, 300, 2400} {
		f := newFleet(330)
		f.perRouter = 30
		f.customer = func(f *fleet, _ protocol.RouterID) protocol.CustomerID {
			if f.random.IntN(10) == 0 {
				return "large"
			}
			return protocol.CustomerID(fmt.Sprint("c", f.random.IntN(customers)))
		}
		f.run(10 * time.Second)
		for _, id := range []protocol.RouterID{f.order[0], f.relays()[0]} {
			totals := f.totals(id)
			t.Logf("%d customers at %s: %d listed, %d others with %.0f a second, largest %.0f", customers, id,
				len(totals.Customers), totals.RestCustomers, totals.RestArrived, totals.Customers[0].Arrived)
			assert.Equal(t, totals.Customers[0].Customer, demand.CustomerHashOf("large"))
			near(t, totals.Customers[0].Arrived, 990, 0.15, "largest")
			near(t, float64(len(totals.Customers)+totals.RestCustomers), float64(customers+1), 0.5, "customers")
			sum := totals.RestArrived
			for _, c := range totals.Customers {
				sum += c.Arrived
			}
			near(t, sum, demandOf(totals), 0.01, "sum of customers")
			near(t, demandOf(totals), 9900, 0.1, "demand")
		}
	}
}
