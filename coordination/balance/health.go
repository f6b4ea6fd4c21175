package balance

import (
	"math"
	"time"
)

// Result says how a request ended on an upstream.
type Result uint8

const (
	// Served means that the upstream answered as it should, also with an error
	// of the request's own.
	Served Result = iota + 1
	// Failed means a broken, missing or wrong answer.
	Failed
	// Unreachable means that no connection could be made, so that nothing was
	// sent.
	Unreachable
	// Refused means that the upstream said that it didn't run the request.
	Refused
	// Abandoned means that the caller left or the time was up; it tells nothing
	// of the upstream.
	Abandoned
)

// String returns the word used in logs.
func (r Result) String() string {
	return [...]string{"none", "served", "failed", "unreachable", "refused", "abandoned"}[r]
}

const (
	// healthMemory is the time constant with which outcomes are forgotten: an
	// upstream that is well again is trusted after about twice of it.
	healthMemory = 2 * time.Second
	// leastFailures is how many failures, weighed by age, make a judgement: as many
	// in a row are rare where requests fail now and then by themselves.
	leastFailures = 2.5
	// badShare is the share of failures above which an upstream gets no work,
	// though the others have much. It guards what Book.reliable can't, which passes
	// over an upstream only as far as others have room: one of a few busy upstreams
	// fails all at once, seems idle for it, and takes nearly all requests.
	badShare = 0.4
	// unreachableFor is how long an upstream that takes no connection is left
	// alone before one request tries it again. It is doubled up to mostAlone.
	unreachableFor = 400 * time.Millisecond
	mostAlone      = 3 * time.Second
	// refusedFor is how long an upstream that refused is left alone: some
	// requests' time on a plain service.
	refusedFor = 100 * time.Millisecond
)

// health judges one upstream by outcomes of requests.
//
// Load: an upstream that fails some of its requests at once, while its health
// check is good; one that takes no connections for seconds; one that is full.
// Harm prevented: each of its requests costs a caller time or the answer.
type health struct {
	at             time.Duration
	served, failed float64
	// until is when the next request may try an upstream that took no
	// connection or refused.
	until time.Duration
	// alone is how long it is left alone after the next such outcome.
	alone time.Duration
}

// note counts outcomes.
func (h *health) note(now time.Duration, result Result, count uint64) {
	h.decay(now)
	switch result {
	case Served:
		h.served += float64(count)
		if count > 0 {
			h.alone = 0
			h.until = 0
		}
	case Failed:
		h.failed += float64(count)
	case Unreachable:
		h.failed += float64(count)
		h.alone = min(max(2*h.alone, unreachableFor), mostAlone)
		h.until = now + h.alone
	case Refused:
		h.until = max(h.until, now+refusedFor)
	}
}

// decay forgets outcomes with time.
func (h *health) decay(now time.Duration) {
	if now <= h.at {
		return
	}
	keep := math.Exp(-float64(now-h.at) / float64(healthMemory))
	h.served *= keep
	h.failed *= keep
	h.at = now
}

// isBad reports whether an upstream should get no work now.
func (h *health) isBad(now time.Duration) bool {
	return now < h.until || h.failsOften(now)
}

// isAvoided reports whether an upstream gets no work because it fails or takes
// no connections, and not only because it is full for the moment.
func (h *health) isAvoided(now time.Duration) bool {
	return now < h.until && h.alone > 0 || h.failsOften(now)
}

// failsOften judges by the outcomes of late.
func (h *health) failsOften(now time.Duration) bool {
	h.decay(now)
	if h.failed < leastFailures {
		return false
	}
	return h.failed > badShare*(h.failed+h.served)
}
