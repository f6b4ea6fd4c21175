package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// maxExcessFailures is how far an upstream's failure rate may exceed that of the best
	// ones before a request goes elsewhere. Elsewhere a prompt is copied or prefilled
	// again, which takes a tenth of its time; one request in twenty lost outweighs that.
	maxExcessFailures = 0.05
	// retryCost is the cost of a failure for a request that may be retried, in lost
	// requests: its answer comes late, or uses up one of its retries.
	retryCost = 0.25
	// priorOutcomes is how many outcomes with the baseline failure rate are added to an
	// upstream's own: one failure of the first two says little, two of four say more.
	priorOutcomes = 8
	// bestDivisor sets the share of a service's upstreams, one in bestDivisor, whose
	// failure rate is the baseline of the service. Failures that most upstreams have
	// alike are no upstream's fault; with a third, two of three upstreams may still have
	// faults of their own.
	bestDivisor = 3
	// baselineTTL is how long a computed baseline is used: the duration of a few
	// requests.
	baselineTTL = 50 * time.Millisecond
)

// baseline is the failure rate of a service's best upstreams.
type baseline struct {
	at          time.Duration
	failureRate float64
}

// excludeUnreliable leaves out the candidates that are much likelier to lose a request
// than the best upstreams of the service, unless none of the others is within the load
// bound. Differences that may be random don't count. It returns how many it left out.
//
// It guards against engines, one or most of them, that lose a third or a tenth of their
// answers for some seconds while their health checks pass. Requests that can't be retried
// would be lost there although others would answer them; such requests were most of those
// that were never answered. Requests that may be retried are sent elsewhere only at four
// times that failure rate, and so keep measuring the upstream.
func (b *Balancer) excludeUnreliable(found *candidates, bound float64) int {
	if found.pool.suspects == 0 {
		return 0
	}
	found.bestRate = b.baselineOf(found.now, found.request.Service)
	found.maxExcess = maxExcessFailures
	if !found.request.NoRetry {
		found.maxExcess /= retryCost
	}
	excluded := 0
	for u := range b.suspects {
		if u.pool == found.pool && u.entry.State == roster.Ready && found.has(u) && u.excessFailureRate(found.now, found.bestRate) > found.maxExcess {
			excluded++
		}
	}
	found.reliableOnly = true
	if found.anyWithin(bound) {
		return excluded
	}
	found.reliableOnly = false
	return 0
}

// IsOutlier reports whether an upstream is likelier to lose a request than the best ones
// of its service.
func (b *Balancer) IsOutlier(now time.Duration, id protocol.UpstreamID) bool {
	u := b.upstreams[id]
	return u != nil && u.excessFailureRate(now, b.baselineOf(now, u.entry.Service)) > maxExcessFailures
}

// excessFailureRate returns by how much an upstream's failure rate exceeds that of the
// best ones plus one standard deviation.
func (u *upstream) excessFailureRate(now time.Duration, bestRate float64) float64 {
	return u.health.failureRate(now, bestRate) - bestRate - u.health.standardDeviation(bestRate)
}

// baselineOf returns the failure rate of a service's best upstreams.
func (b *Balancer) baselineOf(now time.Duration, service protocol.Service) float64 {
	cached, found := b.baselines[service]
	if found && now-cached.at < baselineTTL {
		return cached.failureRate
	}
	rate := bestFailureRate(now, b.poolOf(service))
	b.baselines[service] = baseline{at: now, failureRate: rate}
	return rate
}

// bestFailureRate returns the failure rate of the best upstreams together. Upstreams that
// aren't suspects haven't failed lately.
func bestFailureRate(now time.Duration, p *pool) float64 {
	best := (len(p.all) + bestDivisor - 1) / bestDivisor
	if len(p.all)-p.suspects >= best {
		return 0
	}
	ordered := slices.Clone(p.all)
	slices.SortStableFunc(ordered, func(x, y *upstream) int {
		return cmp.Compare(x.health.failureRate(now, 0), y.health.failureRate(now, 0))
	})
	failed, all := 0.0, 0.0
	for _, u := range ordered[:best] {
		failed += u.health.failed
		all += u.health.failed + u.health.served
	}
	if all == 0 {
		return 0
	}
	return failed / all
}

// failureRate estimates the share of requests that fail, from recent outcomes and a prior
// failure rate.
func (h *health) failureRate(now time.Duration, prior float64) float64 {
	h.decay(now)
	return (h.failed + priorOutcomes*prior) / (h.failed + h.served + priorOutcomes)
}

// standardDeviation is how far a failure rate differs from the prior one by chance, for
// the number of outcomes that it is estimated from.
func (h *health) standardDeviation(prior float64) float64 {
	return math.Sqrt(prior * (1 - prior) / (h.failed + h.served + priorOutcomes))
}
