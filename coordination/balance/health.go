package balance

import (
	"math"
	"time"
)

// Result says how a request ended on an upstream.
type Result uint8

const (
	// Served means that the upstream answered correctly, which includes an error that the
	// request itself caused.
	Served Result = iota + 1
	// Failed means a broken, missing or wrong answer.
	Failed
	// Unreachable means that neither this router nor another one could open a connection, so
	// nothing was sent.
	Unreachable
	// Refused means that the upstream said that it didn't run the request.
	Refused
	// Abandoned means that the caller left or the deadline passed; it says nothing about
	// the upstream.
	Abandoned
	// Broken means that the connection broke before the answer was complete, because of the
	// upstream or of the path to it. It says nothing until it is known which.
	Broken
	// NoPath means that this router could open no connection, so nothing was sent.
	NoPath
)

// saysNothing reports whether a result says nothing about the upstream.
func (r Result) saysNothing() bool { return r == Abandoned || r == Broken || r == NoPath }

// String returns the word used in logs and metrics. What the router saw has the same word there,
// whatever the cause is found to be later.
func (r Result) String() string {
	return [...]string{"none", "served", "failed", "unreachable", "refused", "abandoned", "failed", "unreachable"}[r]
}

const (
	// healthTimeConstant is the time constant with which outcomes decay: an upstream that
	// has recovered is used again after about twice as long.
	healthTimeConstant = 2 * time.Second
	// minFailures is how many failures, weighted by age, it takes to eject an upstream.
	// Where requests fail occasionally by themselves, so many in a row are rare.
	minFailures = 2.5
	// maxFailureRate is the failure rate above which an upstream gets no requests,
	// however loaded the others are. Balancer.reliable isn't enough, as it excludes an
	// upstream only while the others have spare capacity: if one of a few busy upstreams
	// starts to fail requests as soon as they arrive, it has few in flight, looks idle,
	// and would attract nearly all requests.
	maxFailureRate = 0.4
	// forgivenFailures is the most that is left of an upstream's failures after all of its service
	// failed. Two more within a second eject it. Requests that may be sent once avoid it until it has
	// served some, or for two seconds.
	forgivenFailures = 1.0
	// minBackoff is how long an upstream to which no router's connection could be made gets no
	// request, until one request tries it again. It doubles up to maxBackoff.
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3 * time.Second
	// refusedBackoff is how long an upstream that refused a request gets no other: the
	// duration of a few requests of a plain service.
	refusedBackoff = 100 * time.Millisecond
)

// health is the outlier detection of one upstream, by the outcomes of requests.
//
// It detects an upstream that starts to fail some of its requests while its health check
// passes, one to which no connection can be made for seconds, and one that is full. Each
// request sent to such an upstream costs a caller time or the answer.
type health struct {
	updatedAt      time.Duration
	served, failed float64
	// backoffUntil is when the next request may try an upstream that was unreachable or
	// refused.
	backoffUntil time.Duration
	// backoff is the length of the last backoff of an unreachable upstream.
	backoff time.Duration
}

// record counts outcomes.
func (h *health) record(now time.Duration, result Result, count uint64) {
	h.decay(now)
	switch result {
	case Served:
		h.served += float64(count)
		if count > 0 {
			h.backoff = 0
			h.backoffUntil = 0
		}
	case Failed:
		h.failed += float64(count)
	case Unreachable:
		h.failed += float64(count)
		h.backoff = min(max(2*h.backoff, minBackoff), maxBackoff)
		h.backoffUntil = now + h.backoff
	case Refused:
		h.backoffUntil = max(h.backoffUntil, now+refusedBackoff)
	}
}

// decay reduces the weight of outcomes by their age.
func (h *health) decay(now time.Duration) {
	if now <= h.updatedAt {
		return
	}
	keep := math.Exp(-float64(now-h.updatedAt) / float64(healthTimeConstant))
	h.served *= keep
	h.failed *= keep
	h.updatedAt = now
}

// isUnavailable reports whether an upstream should get no requests now.
func (h *health) isUnavailable(now time.Duration) bool {
	return now < h.backoffUntil || h.failsOften(now)
}

// isEjected reports whether an upstream gets no requests because it fails or can't be
// reached, and not only because it is full at the moment.
func (h *health) isEjected(now time.Duration) bool {
	return now < h.backoffUntil && h.backoff > 0 || h.failsOften(now)
}

// failsOften evaluates the recent outcomes.
func (h *health) failsOften(now time.Duration) bool {
	h.decay(now)
	if h.failed < minFailures {
		return false
	}
	return h.failed > maxFailureRate*(h.failed+h.served)
}

// forgive reduces the failures to what doesn't eject the upstream. A backoff goes on.
func (h *health) forgive(now time.Duration) {
	h.decay(now)
	h.failed = min(h.failed, forgivenFailures)
}

// negligibleFailures is the weighted number of failures below which an upstream counts as
// one that hasn't failed.
const negligibleFailures = 0.001

// isClean reports whether an upstream has no failure that still counts, and no backoff. It
// then forgets the rest.
func (h *health) isClean(now time.Duration) bool {
	h.decay(now)
	if h.failed >= negligibleFailures || now < h.backoffUntil {
		return false
	}
	h.failed = 0
	return true
}
