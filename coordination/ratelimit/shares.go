package ratelimit

// shares divides a limit among ranks and customers.
type shares struct {
	// admitted is the part of each rank's demand that is within its share.
	limit    float64
	settings Settings
	totals   Totals
}

// of returns the share and the demand of a rank's requests of a customer, in requests a second.
func (s *shares) of(rank int, customer CustomerHash) (share, demand float64) {
	sum := 0.0
	for _, arrived := range s.totals.Arrived {
		sum += arrived
	}
	if sum == 0 {
		return s.limit, 0
	}
	return s.totals.Arrived[rank] * min(s.limit/sum, 1), s.totals.Arrived[rank]
}
