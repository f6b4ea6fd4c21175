package ratelimit

import (
	"cmp"
	"slices"

	"endiveplank/coordination/demand"
)

// outlierFactor is the least ratio of the largest customer's demand to the second largest's at which
// the largest may be an outlier.
const outlierFactor = 2

// outlierOthers is the highest demand of the other customers, as a multiple of the limit, at which the
// largest customer is still held to be the cause of the shortage. It is above 1 because the limit
// varies and refused callers retry.
const outlierOthers = 1.5

// outlierMargin is the part of the limit that an outlier and the others together get: with all of it,
// any rise of the others' demand would be refused.
const outlierMargin = 0.9

// shares divides a limit among ranks and customers. All rates are in requests a second.
type shares struct {
	// rank and demand are the share and the demand of each rank. The demand is without what an
	// outlier asks for beyond its share.
	rank, demand [demand.Ranks]float64
	// level is the highest share of a customer in each rank beyond its floor.
	level [demand.Ranks]float64
	// floor is the part of its demand that every customer gets in any case.
	floor float64
	// customers holds the demand of the largest customers; rest is the mean demand of the others.
	customers map[demand.CustomerHash]float64
	rest      float64
	sum       float64
	// mean is limit / demand, at most 1: the mean probability of admission.
	mean float64
	// arrivedPart is the part of each rank in the demand.
	arrivedPart [demand.Ranks]float64
	outlier     outlier
}

// outlier is a customer without which the service wouldn't be short.
type outlier struct {
	found    bool
	customer demand.CustomerHash
	// kept is the part of its demand in each rank that is within its share.
	kept [demand.Ranks]float64
}

// newShares divides a limit.
func newShares(settings Settings, limit float64, totals demand.Totals) shares {
	s := shares{customers: map[demand.CustomerHash]float64{}, sum: demand.Sum(totals.Arrived)}
	for _, c := range totals.Customers {
		s.customers[c.Customer] += c.Arrived
	}
	if totals.RestCustomers > 0 {
		s.rest = totals.RestArrived / float64(totals.RestCustomers)
	}
	alike := 1.0
	if s.sum > 0 {
		alike = min(limit/s.sum, 1)
		for rank, arrived := range totals.Arrived {
			s.arrivedPart[rank] = arrived / s.sum
		}
	}
	s.mean = alike
	s.floor = settings.Floor * alike
	s.outlier = s.findOutlier(limit, totals)
	s.divideAmongRanks(settings, limit, totals)
	s.divideAmongCustomers(totals)
	return s
}

// findOutlier returns the customer that asks for a multiple of what the others do, if they would fit
// into the limit without it. Its share is what they leave, but at least as much as the second
// largest has and its floor, and its most urgent requests get it first.
func (s *shares) findOutlier(limit float64, totals demand.Totals) outlier {
	if len(totals.Customers) < 2 || s.sum <= limit {
		return outlier{}
	}
	list := slices.Clone(totals.Customers)
	slices.SortFunc(list, func(a, b demand.CustomerRate) int { return cmp.Compare(b.Arrived, a.Arrived) })
	largest, second := list[0], list[1].Arrived
	others := max(s.sum-largest.Arrived, 0)
	if others > outlierOthers*limit || largest.Arrived < outlierFactor*second {
		return outlier{}
	}
	found := outlier{found: true, customer: largest.Customer}
	left := max(outlierMargin*limit-others, second, s.floor*largest.Arrived)
	for rank, arrived := range totals.Arrived {
		demand := arrived * largest.Arrived / s.sum
		kept := min(demand, left)
		left -= kept
		if demand > 0 {
			found.kept[rank] = kept / demand
		}
	}
	return found
}

// divideAmongRanks gives each rank its floor, and the rest in the order of urgency.
func (s *shares) divideAmongRanks(settings Settings, limit float64, totals demand.Totals) {
	left := limit
	for rank, arrived := range totals.Arrived {
		s.demand[rank] = arrived
		if s.outlier.found {
			s.demand[rank] -= s.customers[s.outlier.customer] * s.arrivedPart[rank] * (1 - s.outlier.kept[rank])
		}
		s.rank[rank] = s.floor * s.demand[rank]
		left -= s.rank[rank]
	}
	reserve := settings.Reserve * limit
	for rank := range demand.Ranks {
		more := min(s.demand[rank]-s.rank[rank], max(left, 0))
		s.rank[rank] += more
		left -= more
		if rank == 0 {
			left -= max(reserve-more, 0)
		}
	}
}

// divideAmongCustomers sets the level up to which each customer's requests of a rank get more than
// their floor. The ranks of single customers aren't known; they are taken to be those of all.
func (s *shares) divideAmongCustomers(totals demand.Totals) {
	for rank, part := range s.arrivedPart {
		if part == 0 {
			continue
		}
		part *= 1 - s.floor
		var claims []claim
		for customer, rate := range s.customers {
			claims = append(claims, claim{rate * part * s.keptOf(customer, rank), 1})
		}
		if totals.RestCustomers > 0 {
			claims = append(claims, claim{s.rest * part, float64(totals.RestCustomers)})
		}
		s.level[rank] = levelFor(claims, s.rank[rank]-s.floor*s.demand[rank])
	}
}

// claim is what each of a number of customers asks for.
type claim struct{ rate, customers float64 }

// levelFor returns the max-min fair level: claims cut to it add up to the capacity. If all claims
// fit, it is the largest claim.
func levelFor(claims []claim, capacity float64) float64 {
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.rate, b.rate) })
	customers := 0.0
	for _, c := range claims {
		customers += c.customers
	}
	for _, c := range claims {
		if level := capacity / customers; level < c.rate {
			return level
		}
		capacity -= c.rate * c.customers
		customers -= c.customers
	}
	if len(claims) == 0 {
		return 0
	}
	return claims[len(claims)-1].rate
}

// isOutlier reports whether a customer's demand is the cause of the shortage.
func (s *shares) isOutlier(customer demand.CustomerHash) bool {
	return s.outlier.found && customer == s.outlier.customer
}

// keptOf returns the part of a customer's demand in a rank that counts as demand.
func (s *shares) keptOf(customer demand.CustomerHash, rank int) float64 {
	if s.isOutlier(customer) {
		return s.outlier.kept[rank]
	}
	return 1
}

// of returns the share and the demand of a customer's requests of a rank. If the sums have no demand
// of it, these are the rank's.
func (s *shares) of(rank int, customer demand.CustomerHash) (share, asked float64) {
	rate, large := s.customers[customer]
	if !large {
		rate = s.rest
	}
	asked = rate * s.arrivedPart[rank]
	if asked == 0 {
		return s.rank[rank], s.demand[rank]
	}
	kept := asked * s.keptOf(customer, rank)
	return kept*s.floor + min(kept*(1-s.floor), s.level[rank]), asked
}
