// Package answertime learns how long upstreams take to begin an answer, and derives the
// timeout after which an attempt is overdue. Times holds the latest answers of each Kind
// of request.
//
// Engines answer most prompts within some tens of milliseconds, some within half a second
// as they have to prefill the prompt first, and plain services within a few milliseconds.
// Now and then an upstream hangs or silently loses part of its answers. With one timeout
// for all of them, long enough for the slowest, callers would wait thirty times as long
// as usual before a request that may be retried is sent elsewhere, and until then no
// router would detect an upstream that loses answers.
//
// The timeout is a multiple of the median of the latest answers of the same kind. It
// stays the same if a third of them are lost. If all are slow, because of overload or a
// cold start, it grows with them after about a dozen answers, so that slowness by itself
// doesn't cause retries.
package answertime

import (
	"slices"
	"time"
)

const (
	// maxSamples is how many of the latest answers of a kind count: those of some seconds
	// on a router with few requests of that kind.
	maxSamples = 32
	// minSamples is how many answers it takes to derive a timeout.
	minSamples = 8
	// medianMultiple is the timeout as a multiple of the median. Nearly all answers of a
	// kind begin within half of that.
	medianMultiple = 6
	// minTimeout allows for the delay that a busy VM, or one that waits for its share of
	// a processor, adds on the router's or the upstream's side.
	minTimeout = 100 * time.Millisecond
)

// Kind is a kind of request whose answers take about the same time.
type Kind struct {
	// Route names the route.
	Route string
	// Cold says that the upstream has to prefill the whole prompt.
	Cold bool
}

// Times holds the latest answers of each kind. It is not safe for concurrent use.
type Times struct {
	kinds map[Kind]*samples
}

// samples are the latest answers of a kind.
type samples struct {
	durations [maxSamples]time.Duration
	// count is the number of answers so far; the next one is stored at count modulo
	// maxSamples.
	count int
}

// New returns empty Times.
func New() *Times { return &Times{kinds: map[Kind]*samples{}} }

// Record adds the time that an answer took to begin, or the time for which it hadn't
// begun when the attempt was abandoned.
func (t *Times) Record(kind Kind, took time.Duration) {
	s := t.kinds[kind]
	if s == nil {
		s = &samples{}
		t.kinds[kind] = s
	}
	s.durations[s.count%maxSamples] = took
	s.count++
}

// Timeout returns after how much silence an attempt is overdue, at most maxTimeout, which
// also applies while there are too few samples.
func (t *Times) Timeout(kind Kind, maxTimeout time.Duration) time.Duration {
	s := t.kinds[kind]
	if s == nil || s.count < minSamples {
		return maxTimeout
	}
	sorted := slices.Clone(s.durations[:min(s.count, maxSamples)])
	slices.Sort(sorted)
	median := sorted[len(sorted)/2]
	return min(max(medianMultiple*median, minTimeout), maxTimeout)
}

// Retain drops the routes for which named returns false.
func (t *Times) Retain(named func(route string) bool) {
	for kind := range t.kinds {
		if !named(kind.Route) {
			delete(t.kinds, kind)
		}
	}
}
