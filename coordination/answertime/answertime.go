// Package answertime learns how long upstreams take to begin an answer, and says
// after how much silence an attempt is overdue.
//
// Load: engines that answer most prompts within some tens of milliseconds, some
// within half a second as they have to read the prompt first, and plain services
// of a few milliseconds; now and then an upstream that hangs, or loses a part of
// its answers without a word. Harm prevented: with one limit for all of them, long
// enough for the slowest, callers wait thirty times as long as usual before a
// request that may be repeated is sent elsewhere, and nobody learns of an upstream
// that loses answers until then.
//
// The limit is a multiple of the median of the latest answers of the same kind. A
// third of them may be lost, and it stays; when all are slow, by too much work or by
// a cold start, it grows with them after a dozen or so, so that slowness by itself
// isn't answered by repeats.
package answertime

import (
	"slices"
	"time"
)

const (
	// remembered is how many of the latest answers of a kind count: some seconds' on
	// a router with few requests of it.
	remembered = 32
	// leastKnown is how many are needed for a limit.
	leastKnown = 8
	// multiple is by how much a silence exceeds the median. Nearly all answers of a kind
	// begin within half of that.
	multiple = 6
	// leastSilence is what a busy VM, or one that waits for its share of a processor,
	// adds on either side.
	leastSilence = 100 * time.Millisecond
)

// Kind is a kind of request whose answers take about the same time.
type Kind struct {
	// Route names the route.
	Route string
	// Cold says that the upstream has to read the prompt from its beginning.
	Cold bool
}

// Times holds what was learned. It is not safe for concurrent use.
type Times struct {
	kinds map[Kind]*latest
}

// latest are the latest answers of a kind.
type latest struct {
	took [remembered]time.Duration
	// count is how many there were; the next one goes to count modulo remembered.
	count int
}

// New returns Times that know nothing.
func New() *Times { return &Times{kinds: map[Kind]*latest{}} }

// Note takes how long an answer took to begin, or for how long it had not begun when
// it was given up.
func (t *Times) Note(kind Kind, took time.Duration) {
	l := t.kinds[kind]
	if l == nil {
		l = &latest{}
		t.kinds[kind] = l
	}
	l.took[l.count%remembered] = took
	l.count++
}

// Overdue returns after how much silence an attempt is overdue, no more than most,
// which also holds while little is known.
func (t *Times) Overdue(kind Kind, most time.Duration) time.Duration {
	l := t.kinds[kind]
	if l == nil || l.count < leastKnown {
		return most
	}
	sorted := slices.Clone(l.took[:min(l.count, remembered)])
	slices.Sort(sorted)
	median := sorted[len(sorted)/2]
	return min(max(multiple*median, leastSilence), most)
}

// Keep forgets the routes that a table doesn't name.
func (t *Times) Keep(named func(route string) bool) {
	for kind := range t.kinds {
		if !named(kind.Route) {
			delete(t.kinds, kind)
		}
	}
}
