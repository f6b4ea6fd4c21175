package demand

import (
	"encoding/binary"
	"math"
	"slices"
)

const (
	// leastRate is the lowest rate that a report can state, in requests a second, and rateStep
	// the factor from one that it can state to the next: a byte holds rates up to 130,000 a
	// second within 3%.
	leastRate = 0.05
	rateStep  = 1.06
	// rateBytes is the size of packed rates: two by rank, timely and late answers.
	rateBytes = 2*Ranks + 2
	// customerBytes is the size of a packed customer: its hash, first attempts, admissions.
	customerBytes = 4 + 2
	// limitsPerSecond are the units of ServiceCounts.Limit in one request a second.
	limitsPerSecond = 10
)

const (
	// maxListed is the number of customers that a report lists of a service.
	maxListed = 8
	// maxRouters is the number of routers that a report may be about.
	maxRouters = 1 << 14
	// maxRouterRate is the highest rate of one router, in requests a second, that is believed:
	// several times what a router can handle.
	maxRouterRate = 20_000
	// maxLimit is the highest rate limit, in requests a second.
	maxLimit = 1_000_000
)

// rates are the rates that a byte can state.
var rates = func() (rates [256]float64) {
	for code := 1; code < len(rates); code++ {
		rates[code] = leastRate * math.Pow(rateStep, float64(code-1))
	}
	return rates
}()

// packRate returns the byte for a rate.
func packRate(rate float64) byte {
	if !(rate >= leastRate/2) {
		return 0
	}
	code := 1 + math.Round(math.Log(rate/leastRate)/math.Log(rateStep))
	return byte(max(1, min(code, math.MaxUint8)))
}

// pack returns a report of a part; list says whether it lists customers.
func pack(service ServiceID, scope Scope, p *part, list bool) ServiceCounts {
	counts := ServiceCounts{Service: service, Scope: scope, Constrained: p.constrained, Routers: p.routers, Limited: p.limits.limited}
	if counts.Limited > 0 {
		counts.Limit = max(1, int(math.Round(min(p.limits.mean(), maxLimit)*limitsPerSecond)))
	}
	counts.Rates = make([]byte, 0, rateBytes)
	for rank := range Ranks {
		counts.Rates = append(counts.Rates, packRate(p.arrived[rank]), packRate(p.admitted[rank]))
	}
	counts.Rates = append(counts.Rates, packRate(p.inTime), packRate(p.late))
	if !list {
		return counts
	}
	counts.Customers = p.sketch.pack()
	for _, customer := range p.customers[:min(maxListed, len(p.customers))] {
		counts.Customers = binary.BigEndian.AppendUint32(counts.Customers, uint32(customer.Customer))
		counts.Customers = append(counts.Customers, packRate(customer.Arrived), packRate(customer.Admitted))
	}
	return counts
}

// unpack returns the part that a report states, without customers if it lists none. False means
// that it is damaged: not all of its numbers are possible.
func unpack(counts ServiceCounts) (*part, bool) {
	limited := counts.Limited >= 0 && counts.Limited <= counts.Routers &&
		counts.Limit >= 0 && counts.Limit <= maxLimit*limitsPerSecond && (counts.Limit > 0) == (counts.Limited > 0)
	routers := counts.Routers > 0 && counts.Routers <= maxRouters && (counts.Scope != ScopeRouter || counts.Routers == 1)
	if !limited || !routers || counts.Scope >= scopes || len(counts.Rates) != rateBytes {
		return nil, false
	}
	p := &part{
		routers: counts.Routers, constrained: counts.Constrained,
		limits: limitsOf(float64(counts.Limit)/limitsPerSecond, counts.Limited),
	}
	for rank := range Ranks {
		p.arrived[rank] = rates[counts.Rates[2*rank]]
		p.admitted[rank] = rates[counts.Rates[2*rank+1]]
	}
	p.inTime, p.late = rates[counts.Rates[2*Ranks]], rates[counts.Rates[2*Ranks+1]]
	highest := max(p.allArrived(), Sum(p.admitted), p.inTime+p.late)
	if highest > maxRouterRate*float64(counts.Routers) {
		return nil, false
	}
	return p, len(counts.Customers) == 0 || p.unpackCustomers(counts.Customers)
}

// unpackCustomers reads the list of customers, and reports whether it is possible.
func (p *part) unpackCustomers(list []byte) bool {
	if len(list) < sketchBytes || (len(list)-sketchBytes)%customerBytes != 0 || len(list) > sketchBytes+maxListed*customerBytes {
		return false
	}
	p.sketch = unpackSketch(list)
	listed := 0.0
	for rest := list[sketchBytes:]; len(rest) > 0; rest = rest[customerBytes:] {
		customer := CustomerRate{Customer: CustomerHash(binary.BigEndian.Uint32(rest)), Arrived: rates[rest[4]], Admitted: rates[rest[5]]}
		listed += customer.Arrived
		p.customers = append(p.customers, customer)
	}
	slices.SortFunc(p.customers, compareCustomers)
	// A byte states a rate within 3%, so customers and ranks differ by up to a step.
	return listed <= p.allArrived()*rateStep*rateStep+leastRate*maxListed
}
