package reach

import (
	"iter"
	"maps"
	"math/rand/v2"
	"time"

	"endiveplank/internal/timequeue"
	"endiveplank/protocol"
)

const (
	// isolatedAfter is how many different upstreams must be unreachable, with no connection
	// opened and no answer received in between, for the router to be suspected of isolation. Two
	// crash at once now and then. Upstreams that were in doubt already don't count.
	isolatedAfter = 3
	// isolatingSamples is how many upstreams that were drawn from all must then be unreachable too,
	// for the router to count as isolated, unless none was heard of for isolatingSilence.
	isolatingSamples = 12
	isolatingSilence = 300 * time.Millisecond
	// wrongSuspicion is within what time a probe shows that the path works after all.
	wrongSuspicion = 100 * time.Millisecond
	// reachableAfter is how many connections in a row an isolated router must open to count as
	// isolated no longer. A path that comes and goes would otherwise cost requests each time.
	reachableAfter = 3
	// minBackoff is the time from a failed connection attempt to the next probe of the same
	// upstream. It doubles up to maxBackoff.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 2 * time.Second
	// isolatedProbeInterval is how often an isolated router probes other upstreams than those
	// that it has tried, and isolatedProbes how many.
	isolatedProbeInterval = 250 * time.Millisecond
	isolatedProbes        = 2
	// maxProbes is how many probes may be under way, so that thousands of unreachable
	// upstreams cost no more than a few.
	maxProbes = 8
	// probeTTL is how long a probe without an outcome counts as under way.
	probeTTL = 5 * time.Second
)

// unreachable is an upstream to which the last connection attempt failed.
type unreachable struct {
	backoff, retryAt time.Duration
}

// probe is a connection that is being opened to learn whether that is possible.
type probe struct {
	began time.Duration
	// sampled says that its upstream was drawn from all. Others are probed because they failed
	// or others said so.
	sampled bool
}

// Paths keeps which upstreams a router can open connections to. It is not safe for
// concurrent use.
type Paths struct {
	unreachable map[protocol.UpstreamID]*unreachable
	// retries holds when to probe the unreachable ones again.
	retries timequeue.Queue[protocol.UpstreamID]
	// failedInRow holds the upstreams to which connections failed since one was opened or an
	// answer came.
	failedInRow map[protocol.UpstreamID]struct{}
	// samplesFailed counts those of them that were drawn from all, and suspectedAt is when there
	// were enough for the router to be isolated, if suspected.
	samplesFailed int
	suspected     bool
	suspectedAt   time.Duration
	isolated      bool
	// connectedInRow counts the connections of an isolated router that were opened since one failed.
	connectedInRow int
	sampledAt      time.Duration
	// probing holds the probes under way.
	probing map[protocol.UpstreamID]probe
	held    []heldFailure
	found   []foundUpstream
}

// NewPaths returns Paths on which everything is reachable.
func NewPaths() *Paths {
	return &Paths{
		unreachable: map[protocol.UpstreamID]*unreachable{},
		failedInRow: map[protocol.UpstreamID]struct{}{},
		probing:     map[protocol.UpstreamID]probe{},
	}
}

// ConnectFailed records that no connection to an upstream could be opened.
func (p *Paths) ConnectFailed(now time.Duration, id protocol.UpstreamID) {
	ended, wasProbe := p.probing[id]
	delete(p.probing, id)
	u := p.unreachable[id]
	if u == nil {
		u = &unreachable{}
		p.unreachable[id] = u
		p.noteFound(now, id)
	}
	u.backoff = min(max(2*u.backoff, minBackoff), maxBackoff)
	u.retryAt = now + u.backoff
	p.retries.Push(u.retryAt, id)
	p.connectedInRow = 0
	if wasProbe && !ended.sampled {
		// That upstream was in doubt already, which tells nothing of the others.
		return
	}
	p.failedInRow[id] = struct{}{}
	if wasProbe {
		p.samplesFailed++
	}
	p.Tick(now)
}

// Tick decides whether the router is isolated. Upstreams to which requests went may have ended, all
// of them where many that have ended are still listed, so it takes some that were drawn from all, or
// that nothing is heard of any upstream for a while.
func (p *Paths) Tick(now time.Duration) {
	if p.isolated || len(p.failedInRow) < isolatedAfter {
		return
	}
	if !p.suspected {
		p.suspected, p.suspectedAt = true, now
	}
	if p.samplesFailed < isolatingSamples && now-p.suspectedAt < isolatingSilence {
		return
	}
	p.isolated = true
	p.held = nil
	p.found = nil
}

// Suspects reports whether the router may be isolated, so that it should probe at once.
func (p *Paths) Suspects() bool { return !p.isolated && len(p.failedInRow) >= isolatedAfter-1 }

// dropHeld drops the failures that are held if the path is back after it was lost for a moment. If
// the suspicion was wrong, a probe shows that sooner.
func (p *Paths) dropHeld(now time.Duration) {
	if p.suspected && now-p.suspectedAt >= wrongSuspicion {
		p.held = nil
	}
}

// forgetFailures records that there is a path.
func (p *Paths) forgetFailures() {
	clear(p.failedInRow)
	p.samplesFailed, p.suspected = 0, false
}

// Connected records that a connection to an upstream was opened.
func (p *Paths) Connected(now time.Duration, id protocol.UpstreamID) {
	delete(p.probing, id)
	delete(p.unreachable, id)
	p.dropHeld(now)
	p.noteContact(now, id)
	if p.isolated {
		p.connectedInRow++
		p.sampledAt = now - isolatedProbeInterval
		if p.connectedInRow < reachableAfter {
			return
		}
	}
	p.forgetFailures()
	p.isolated = false
}

// IsReachable reports whether the last connection attempt to an upstream succeeded, or none
// was made.
func (p *Paths) IsReachable(id protocol.UpstreamID) bool { return p.unreachable[id] == nil }

// IsIsolated reports whether the router has no path to any upstream.
func (p *Paths) IsIsolated() bool { return p.isolated }

// Unreachable returns the number of unreachable upstreams.
func (p *Paths) Unreachable() int { return len(p.unreachable) }

// Forget drops what is known of an upstream, as it has another address, or has left.
func (p *Paths) Forget(id protocol.UpstreamID) {
	delete(p.unreachable, id)
	delete(p.failedInRow, id)
}

// Probes returns the upstreams to which a connection should be opened now, to learn whether
// that is possible. Its outcome must be recorded. sample returns a random upstream, "" if there
// is none.
func (p *Paths) Probes(now time.Duration, random *rand.Rand, sample func(*rand.Rand) protocol.UpstreamID) []protocol.UpstreamID {
	maps.DeleteFunc(p.probing, func(_ protocol.UpstreamID, known probe) bool { return now-known.began > probeTTL })
	var due []protocol.UpstreamID
	add := func(id protocol.UpstreamID, sampled bool) {
		_, underWay := p.probing[id]
		if id == "" || underWay || len(p.probing) >= maxProbes {
			return
		}
		p.probing[id] = probe{began: now, sampled: sampled}
		due = append(due, id)
	}
	held, unknown := p.heldWithoutContact(now)
	for range p.dueSamples(now, unknown) {
		add(sample(random), true)
	}
	for _, id := range held {
		add(id, false)
	}
	for id := range p.dueRetries(now) {
		add(id, false)
	}
	return due
}

// dueSamples returns how many upstreams are to be drawn from all and probed: a few while the
// router is isolated, and as many as show that it is while failures are held. Samples that are
// under way count.
func (p *Paths) dueSamples(now time.Duration, held int) int {
	if p.isolated {
		if now-p.sampledAt < isolatedProbeInterval {
			return 0
		}
		p.sampledAt = now
		return isolatedProbes
	}
	due := min(held, isolatedAfter)
	if p.Suspects() {
		due = isolatedAfter
	}
	for _, known := range p.probing {
		if known.sampled {
			due--
		}
	}
	return max(due, 0)
}

// dueRetries removes and returns the unreachable upstreams whose backoff has passed, as far as
// more probes may be under way.
func (p *Paths) dueRetries(now time.Duration) iter.Seq[protocol.UpstreamID] {
	return func(yield func(protocol.UpstreamID) bool) {
		for len(p.probing) < maxProbes {
			next, any := p.retries.Next()
			if !any || next > now {
				return
			}
			at, id := p.retries.Pop()
			// A later failure has put off the retry, or the upstream is reachable again.
			if u := p.unreachable[id]; u != nil && u.retryAt == at && !yield(id) {
				return
			}
		}
	}
}
