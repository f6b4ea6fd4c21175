package demand

import (
	"time"

	"endiveplank/protocol"
)

// Ranks is the number of ranks that are counted separately, 0 the most urgent. Less urgent
// requests count as the last one.
const Ranks = 4

const (
	// reportTTL is how long a router's report is used. A router reports at least once a second
	// (maxInterval), so one lost report does no harm.
	reportTTL = 2500 * time.Millisecond
	// constrainedTTL is how long a service counts as short of capacity after a router has seen
	// or reported it.
	constrainedTTL = 2 * time.Second
	// learningTime is how long a router counts before it reports what it has counted.
	learningTime = time.Second
	// maxFleetCustomers is the number of customers that Totals lists.
	maxFleetCustomers = 64
)

// CustomerRate is one customer's part of a service's demand, in requests a second.
type CustomerRate struct {
	Customer          CustomerHash
	Arrived, Admitted float64
}

// Totals are the counts of one service as rates, in requests or answers a second.
type Totals struct {
	// Routers is the number of routers in the sums, this one included.
	Routers int
	// Arrived are first attempts, and Admitted those that were admitted, by rank.
	Arrived  [Ranks]float64
	Admitted [Ranks]float64
	// InTime and Late are answers.
	InTime, Late float64
	// Customers are the largest customers, the largest first. RestCustomers is an estimate of
	// how many others there are, and RestArrived is the sum of their first attempts.
	Customers     []CustomerRate
	RestCustomers int
	RestArrived   float64
}

// Counter counts the demand for each service at this router, and adds what the other routers
// report. It is not safe for concurrent use.
type Counter struct {
	self protocol.RouterID
	own  map[ServiceID]*counts
	// startedAt is when the first request arrived, if started.
	startedAt time.Duration
	started   bool
	roles     roles
	// remote is what the other routers have reported, and gone are the routers whose
	// connections have ended.
	remote map[protocol.RouterID]remote
	gone   map[protocol.RouterID]bool
	sent   sent
}

// NewCounter returns a Counter of a router that has counted nothing yet.
func NewCounter(self protocol.RouterID) *Counter {
	return &Counter{
		self: self, own: map[ServiceID]*counts{}, remote: map[protocol.RouterID]remote{}, gone: map[protocol.RouterID]bool{},
		sent: sent{services: map[ServiceID]bool{}},
	}
}

// Arrived counts the first attempt of a request.
func (c *Counter) Arrived(now time.Duration, service protocol.Service, rank int, customer protocol.CustomerID) {
	if !c.started {
		c.started, c.startedAt = true, now
	}
	own := c.counts(now, ServiceIDOf(service))
	weight := own.weight(now)
	own.arrived[RankOf(rank)] += weight
	if known := own.customer(CustomerHashOf(customer)); known != nil {
		known.arrived += weight
	}
}

// Admitted counts a first attempt that was admitted.
func (c *Counter) Admitted(now time.Duration, service protocol.Service, rank int, customer protocol.CustomerID) {
	own := c.counts(now, ServiceIDOf(service))
	weight := own.weight(now)
	own.admitted[RankOf(rank)] += weight
	if known := own.customer(CustomerHashOf(customer)); known != nil {
		known.admitted += weight
	}
}

// Answered counts an answer.
func (c *Counter) Answered(now time.Duration, service protocol.Service, inTime bool) {
	own := c.counts(now, ServiceIDOf(service))
	if inTime {
		own.inTime += own.weight(now)
	} else {
		own.late += own.weight(now)
	}
}

// Rejected takes back an admission: an upstream has rejected the request for lack of capacity, and
// hasn't run it.
func (c *Counter) Rejected(now time.Duration, service protocol.Service, rank int, customer protocol.CustomerID) {
	own := c.counts(now, ServiceIDOf(service))
	weight := own.weight(now)
	admitted := &own.admitted[RankOf(rank)]
	*admitted = max(*admitted-weight, 0)
	if known := own.customer(CustomerHashOf(customer)); known != nil {
		known.admitted = max(known.admitted-weight, 0)
	}
}

// counts returns the router's own counts of a service.
func (c *Counter) counts(now time.Duration, service ServiceID) *counts {
	own := c.own[service]
	if own == nil {
		own = newCounts(now)
		c.own[service] = own
	}
	return own
}

// RankOf returns the rank that a request of a priority counts as.
func RankOf(priority int) int { return max(0, min(priority, Ranks-1)) }

// NoteConstrained records that this router sees a service short of capacity: a late answer, a
// refusal for lack of capacity, or a rate limit in force, which is to be noted again for as long
// as it is.
func (c *Counter) NoteConstrained(now time.Duration, service protocol.Service) {
	own := c.counts(now, ServiceIDOf(service))
	own.usedAt, own.constrainedAt, own.noted = now, now, true
}

// IsConstrained reports whether this router sees a service short of capacity, or another one
// that sees it has lately reported so.
func (c *Counter) IsConstrained(now time.Duration, service protocol.Service) bool {
	return c.isConstrained(now, ServiceIDOf(service))
}

func (c *Counter) isConstrained(now time.Duration, service ServiceID) bool {
	if own := c.own[service]; own != nil && own.isConstrained(now) {
		return true
	}
	for from := range c.remote {
		if source := c.source(now, from, service); source != nil && source.isConstrained(now) {
			return true
		}
	}
	return false
}

// SetLimit sets this router's own rate limit of a service, in requests a second over the fleet,
// 0 for none.
func (c *Counter) SetLimit(service protocol.Service, limit float64) {
	if limit > 0 || c.own[ServiceIDOf(service)] != nil {
		c.counts(0, ServiceIDOf(service)).limit = limit
	}
}

// ReportedLimit returns the fleet's rate limit of a service in requests a second: the geometric
// mean over all routers that have one, with this one's own. It is 0 if no other router reports one,
// or if fewer than half of those that report have one, which is so once they lift it.
func (c *Counter) ReportedLimit(now time.Duration, service protocol.Service) float64 {
	id := ServiceIDOf(service)
	var all limits
	routers := 0
	for _, p := range c.parts(now, id, everyone) {
		all.add(p.limits)
		routers += p.routers
	}
	reported := all.limited > 0
	if own := c.own[id]; own != nil && (own.limit > 0 || c.canReport(now)) {
		all.add(limitsOf(own.limit, 1))
		routers++
	}
	if !reported || 2*all.limited < routers {
		return 0
	}
	return all.mean()
}

// Fleet returns the sums over this router and those whose reports are in use.
func (c *Counter) Fleet(now time.Duration, service protocol.Service) Totals {
	id := ServiceIDOf(service)
	others := c.parts(now, id, everyone)
	if len(others) == 0 {
		return c.Own(now, service)
	}
	return sumOf(append(others, c.ownPart(now, id, maxListed))).totals(maxFleetCustomers)
}

// Own returns this router's own counts.
func (c *Counter) Own(now time.Duration, service protocol.Service) Totals {
	return c.ownPart(now, ServiceIDOf(service), maxFleetCustomers).totals(maxFleetCustomers)
}

// ownPart returns this router's own counts with a number of customers.
func (c *Counter) ownPart(now time.Duration, service ServiceID, customers int) *part {
	if own := c.own[service]; own != nil {
		return own.part(now, now-c.startedAt, customers)
	}
	return &part{routers: 1}
}

// canReport reports whether this router has counted long enough to report it.
func (c *Counter) canReport(now time.Duration) bool {
	return c.started && now-c.startedAt >= learningTime
}
