package balance

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

// recordResult counts a result, for this router's decisions and for its load reports.
func (b *Balancer) recordResult(now time.Duration, u *upstream, result Result) {
	switch result {
	case Served:
		u.own.Served++
		u.lastServed = now
	case Failed:
		u.own.Failed++
	}
	b.unreported[u] = struct{}{}
	b.recordHealth(now, u, result, 1)
}

// recordHealth counts outcomes for outlier detection.
func (b *Balancer) recordHealth(now time.Duration, u *upstream, result Result, count uint64) {
	u.health.record(now, result, count)
	if count > 0 && result != Served && !result.saysNothing() {
		b.suspect(u)
	}
	if count > 0 && result == Served && u.pool != nil && u.pool.allFail {
		u.pool.endCommonFailure(now)
	}
}

// suspect adds an upstream to the suspects.
func (b *Balancer) suspect(u *upstream) {
	if u.suspect {
		return
	}
	u.suspect = true
	b.suspects[u] = struct{}{}
	if u.pool != nil {
		u.pool.suspects++
	}
}

// clearSuspect removes an upstream from the suspects.
func (b *Balancer) clearSuspect(u *upstream) {
	u.suspect = false
	delete(b.suspects, u)
	if u.pool != nil {
		u.pool.suspects--
	}
}

// RecordResult records the result of a request without ending it: Ended records the end,
// as Abandoned if the result was not known then.
func (b *Balancer) RecordResult(now time.Duration, id protocol.UpstreamID, result Result) {
	if u := b.upstreams[id]; u != nil {
		b.recordResult(now, u, result)
	}
}

// Overdue records that the answer to a request is overdue. It counts as a failure even if
// the answer comes in the end.
func (b *Balancer) Overdue(now time.Duration, id protocol.UpstreamID) {
	b.RecordResult(now, id, Failed)
}

// HealthChange says that outlier detection has ejected an upstream, or accepts it again.
type HealthChange struct {
	ID protocol.UpstreamID
	// Ejected says that the upstream gets no requests while others can take them.
	Ejected bool
	// Failed and Served are the outcomes behind the decision, weighted by age.
	Failed, Served float64
	// Backoff is how long no request is sent to it, if no connection could be made.
	Backoff time.Duration
	// ServedAgo is how long ago any router was last known to have had an answer from it, or
	// neverServed. It is short if the upstream fails for this router alone.
	ServedAgo time.Duration
}

// HealthChanges returns the changes since the last call, sorted by ID.
func (b *Balancer) HealthChanges(now time.Duration) []HealthChange {
	var changed []HealthChange
	for u := range b.suspects {
		ejected := u.health.isEjected(now)
		if ejected != u.reportedEjected {
			u.reportedEjected = ejected
			changed = append(changed, HealthChange{
				ID: u.entry.ID, Ejected: ejected, Failed: u.health.failed, Served: u.health.served, Backoff: u.health.backoff,
				ServedAgo: u.servedAgo(now),
			})
		}
		if !ejected && u.health.isClean(now) {
			b.clearSuspect(u)
		}
	}
	slices.SortFunc(changed, func(x, y HealthChange) int { return cmp.Compare(x.ID, y.ID) })
	return changed
}

// neverServed stands for the age of an answer if there was none.
const neverServed = -time.Millisecond

// servedAgo returns how long ago any router was last known to have had an answer from the
// upstream, or neverServed.
func (u *upstream) servedAgo(now time.Duration) time.Duration {
	if u.lastServed == 0 {
		return neverServed
	}
	return now - u.lastServed
}
