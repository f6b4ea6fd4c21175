package demand

import (
	"cmp"
	"iter"
	"math"
	"slices"
)

// limits are the rate limits of some routers. Their mean is the geometric one: a single limit that
// is off by a large factor changes it little, and the mean of groups' means is that of all routers.
type limits struct {
	// limited is how many of the routers have a limit, and logs the sum of their logarithms.
	limited int
	logs    float64
}

// limitsOf returns the limits of a number of routers with the same one, 0 for none.
func limitsOf(limit float64, routers int) limits {
	if !(limit > 0) {
		return limits{}
	}
	return limits{limited: routers, logs: float64(routers) * math.Log(limit)}
}

// add adds other routers' limits.
func (l *limits) add(other limits) {
	l.limited += other.limited
	l.logs += other.logs
}

// mean returns the mean in requests a second, 0 if there is no limit.
func (l *limits) mean() float64 {
	if l.limited == 0 {
		return 0
	}
	return math.Exp(l.logs / float64(l.limited))
}

// part is the demand for one service at a router, or the sum of several routers', in requests or
// answers a second.
type part struct {
	routers           int
	arrived, admitted [Ranks]float64
	inTime, late      float64
	// customers are the largest customers, the largest first.
	customers []CustomerRate
	// sketch has all customers, also those that aren't in customers.
	sketch sketch
	// present is the number of customers where it is known exactly, else 0.
	present int
	limits  limits
	// constrained says that a router sees the service short of capacity itself.
	constrained bool
}

// sumOf returns the sum of parts.
func sumOf(parts []*part) *part {
	total := &part{}
	var customers customerSums
	for _, p := range parts {
		total.add(p)
		customers.add(p.customers)
	}
	known := max(len(customers.sums), int(math.Round(total.sketch.estimate())))
	customers.spread(parts, known)
	slices.SortFunc(customers.sums, compareCustomers)
	total.customers = customers.sums
	return total
}

// add adds another part without its customers.
func (p *part) add(other *part) {
	p.routers += other.routers
	for rank := range Ranks {
		p.arrived[rank] += other.arrived[rank]
		p.admitted[rank] += other.admitted[rank]
	}
	p.inTime += other.inTime
	p.late += other.late
	p.sketch.merge(other.sketch)
	p.limits.add(other.limits)
	p.constrained = p.constrained || other.constrained
}

// customerSums adds up the customers of parts.
type customerSums struct {
	sums []CustomerRate
	// at is where a customer is in sums, and order where those that were added are.
	at    map[CustomerHash]int
	order []int
}

// add adds a part's customers.
func (s *customerSums) add(customers []CustomerRate) {
	if s.at == nil {
		s.at = map[CustomerHash]int{}
	}
	for _, customer := range customers {
		at, known := s.at[customer.Customer]
		if !known {
			at = len(s.sums)
			s.at[customer.Customer] = at
			s.sums = append(s.sums, CustomerRate{Customer: customer.Customer})
		}
		s.sums[at].Arrived += customer.Arrived
		s.sums[at].Admitted += customer.Admitted
		s.order = append(s.order, at)
	}
}

// spread adds to each customer what it has at routers that don't list it, as far as it is known:
// the mean of all that such a router doesn't list. Otherwise a customer that only some routers list
// would seem to ask for less than it does. The parts are those added; known is the number of
// customers altogether.
func (s *customerSums) spread(parts []*part, known int) {
	var all CustomerRate
	listed := make([]CustomerRate, len(s.sums))
	next := 0
	for _, p := range parts {
		mean := p.unlistedMean(known)
		all.Arrived += mean.Arrived
		all.Admitted += mean.Admitted
		for _, at := range s.order[next : next+len(p.customers)] {
			listed[at].Arrived += mean.Arrived
			listed[at].Admitted += mean.Admitted
		}
		next += len(p.customers)
	}
	for at := range s.sums {
		s.sums[at].Arrived += max(0, all.Arrived-listed[at].Arrived)
		s.sums[at].Admitted += max(0, all.Admitted-listed[at].Admitted)
	}
}

// unlistedMean returns the mean rates of the customers that the part doesn't list, of a number of
// customers altogether: none if it lists all that it has.
func (p *part) unlistedMean(known int) CustomerRate {
	unlisted := float64(known - len(p.customers))
	if len(p.customers) < maxListed || unlisted <= 0 {
		return CustomerRate{}
	}
	mean := CustomerRate{Arrived: p.allArrived(), Admitted: Sum(p.admitted)}
	for _, customer := range p.customers {
		mean.Arrived -= customer.Arrived
		mean.Admitted -= customer.Admitted
	}
	least := p.customers[len(p.customers)-1].Arrived
	mean.Arrived = max(0, min(mean.Arrived/unlisted, least))
	mean.Admitted = max(0, min(mean.Admitted/unlisted, mean.Arrived))
	return mean
}

// allArrived returns the first attempts of all ranks.
func (p *part) allArrived() float64 { return Sum(p.arrived) }

// Sum returns the sum of the ranks' rates.
func Sum(rates [Ranks]float64) float64 {
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	return sum
}

// compareCustomers orders customers by their first attempts, the most first.
func compareCustomers(x, y CustomerRate) int {
	return cmp.Or(cmp.Compare(y.Arrived, x.Arrived), cmp.Compare(x.Customer, y.Customer))
}

// largest returns the customers with the most first attempts, the largest first. It keeps a short
// sorted list in place of sorting thousands of customers several times a second.
func largest(customers iter.Seq[CustomerRate], count int) []CustomerRate {
	var list []CustomerRate
	for customer := range customers {
		if len(list) == count && (count == 0 || compareCustomers(customer, list[count-1]) > 0) {
			continue
		}
		at, _ := slices.BinarySearchFunc(list, customer, compareCustomers)
		list = slices.Insert(list, at, customer)
		list = list[:min(count, len(list))]
	}
	return list
}

// totals returns the part with a number of customers, and the sum of the rest.
func (p *part) totals(customers int) Totals {
	t := Totals{
		Routers: p.routers, Arrived: p.arrived, Admitted: p.admitted, InTime: p.inTime, Late: p.late,
		Customers: p.customers[:min(customers, len(p.customers))], RestArrived: p.allArrived(),
	}
	for _, customer := range t.Customers {
		t.RestArrived -= customer.Arrived
	}
	if t.RestArrived < leastRate {
		t.RestArrived = 0
		return t
	}
	known := p.present
	if known == 0 {
		known = max(len(p.customers), int(math.Round(p.sketch.estimate())))
	}
	t.RestCustomers = max(1, known-len(t.Customers))
	return t
}
