package ratelimit

import (
	"math"
	"time"

	"endiveplank/coordination/demand"
)

const (
	// paceDepth is the credit, in requests, at which the correction of the probabilities is largest.
	paceDepth = 2.0
)

// pace evens out what a router admits, so that bursts don't fill the upstreams' queues: it lowers
// the probabilities after the router has admitted more than its part of the limit, and raises them
// after it has admitted less.
type pace struct {
	at time.Duration
	// arrived, probability and mean are decaying sums over this router's requests: of 1, of the
	// request's probability of admission, and of the mean probability over all routers' requests.
	arrived, probability, mean float64
	// credit is by how many requests the router is behind its part.
	credit float64
}

// adjust counts a request and returns its probability of admission, corrected by the credit. mean is
// the mean probability over all routers' requests.
func (p *pace) adjust(now time.Duration, probability, mean float64) float64 {
	p.advance(now, mean)
	p.arrived++
	p.probability += probability
	p.mean += mean
	change := min(max(p.credit/paceDepth, -1), 1)
	return probability + change*min(probability, 1-probability)
}

// advance adds the credit of the time that has passed.
func (p *pace) advance(now time.Duration, mean float64) {
	passed := now - p.at
	p.at = now
	if passed <= 0 {
		return
	}
	keep := math.Exp(-float64(passed) / float64(demand.TimeConstant))
	if p.mean > 0 {
		part := p.probability / p.mean * mean
		p.credit = min(p.credit+p.arrived*part*(1-keep)*demand.TimeConstant.Seconds(), paceDepth)
	}
	p.arrived, p.probability, p.mean = p.arrived*keep, p.probability*keep, p.mean*keep
}

// admitted counts an admitted request.
func (p *pace) admitted() { p.credit = max(p.credit-1, -paceDepth) }
