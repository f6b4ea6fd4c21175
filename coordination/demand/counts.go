package demand

import (
	"maps"
	"math"
	"time"
)

const (
	// TimeConstant is the time constant with which counts decay, and so that of the rates in Totals.
	TimeConstant = time.Second
	// minCountingTime is the least time that rates are computed for. Within less, a single
	// request would count as many a second.
	minCountingTime = TimeConstant / 4
	// rebaseInterval is how long weights may grow before they are scaled down.
	rebaseInterval = 10 * TimeConstant
	// leastWeight is the weight, in requests, below which a customer is removed, and
	// presentWeight that from which it counts as one of the customers.
	leastWeight   = 0.01
	presentWeight = 0.05
	// maxCustomers bounds the customers of a service. Those beyond count in the rest.
	maxCustomers = 4096
	// idleTime is how long the counts of a service that isn't used are kept.
	idleTime = time.Minute
)

// customerCount is one customer's first attempts and admissions.
type customerCount struct{ arrived, admitted float64 }

// counts are a router's own counts of a service. An event counts by the exponential of its time
// since base, so that no count has to be changed for the others to decay.
type counts struct {
	base, usedAt      time.Duration
	arrived, admitted [Ranks]float64
	inTime, late      float64
	customers         map[CustomerHash]*customerCount
	// constrainedAt is when the router last saw the service short of capacity, noted whether
	// it ever did.
	constrainedAt time.Duration
	noted         bool
	// limit is the router's rate limit in requests a second over the fleet, 0 for none.
	limit float64
}

func newCounts(now time.Duration) *counts {
	return &counts{base: now, usedAt: now, customers: map[CustomerHash]*customerCount{}}
}

// weight returns what an event counts now.
func (c *counts) weight(now time.Duration) float64 {
	c.usedAt = now
	if now-c.base > rebaseInterval {
		c.rebase(now)
	}
	return math.Exp(float64(now-c.base) / float64(TimeConstant))
}

// rebase scales all counts so that an event counts one now, and removes idle customers.
func (c *counts) rebase(now time.Duration) {
	scale := math.Exp(-float64(now-c.base) / float64(TimeConstant))
	c.base = now
	for rank := range Ranks {
		c.arrived[rank] *= scale
		c.admitted[rank] *= scale
	}
	c.inTime *= scale
	c.late *= scale
	for _, customer := range c.customers {
		customer.arrived *= scale
		customer.admitted *= scale
	}
	maps.DeleteFunc(c.customers, func(_ CustomerHash, customer *customerCount) bool { return customer.arrived < leastWeight })
}

// customer returns a customer's count, nil if there is no room for it.
func (c *counts) customer(hash CustomerHash) *customerCount {
	known := c.customers[hash]
	if known == nil && len(c.customers) < maxCustomers {
		known = &customerCount{}
		c.customers[hash] = known
	}
	return known
}

// part returns the counts as rates, with a number of customers; counting is the time since the
// router began to count.
func (c *counts) part(now, counting time.Duration, customers int) *part {
	perSecond := rateOf(now-c.base, counting)
	p := &part{
		routers: 1, inTime: c.inTime * perSecond, late: c.late * perSecond,
		limits: limitsOf(c.limit, 1),
	}
	for rank := range Ranks {
		p.arrived[rank] = c.arrived[rank] * perSecond
		p.admitted[rank] = c.admitted[rank] * perSecond
	}
	decay := math.Exp(-float64(now-c.base) / float64(TimeConstant))
	present := func(yield func(CustomerRate) bool) {
		for hash, customer := range c.customers {
			if customer.arrived*decay < presentWeight {
				continue
			}
			p.sketch.add(hash)
			p.present++
			if !yield(CustomerRate{Customer: hash, Arrived: customer.arrived * perSecond, Admitted: customer.admitted * perSecond}) {
				return
			}
		}
	}
	p.customers = largest(present, customers)
	return p
}

// rateOf returns the rate for a weight of one, for weights since a time, in requests a second:
// events older than counting are missing in the sum, and their part is made up for.
func rateOf(since, counting time.Duration) float64 {
	decay := math.Exp(-float64(since) / float64(TimeConstant))
	counted := 1 - math.Exp(-float64(max(counting, minCountingTime))/float64(TimeConstant))
	return decay / counted / TimeConstant.Seconds()
}
