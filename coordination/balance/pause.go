package balance

import (
	"time"

	"endiveplank/protocol"
)

// incarnation is one start of an upstream.
type incarnation struct {
	id        protocol.UpstreamID
	startedAt int64
}

// pause says that an upstream wants no requests from this router. It isn't one of the
// outcomes that make up its health: no answer to another request ends it, and no lack of
// other upstreams.
type pause struct {
	until time.Duration
	// leaving means that the upstream is about to stop, so the pause has no end. listedAt is
	// when the upstream was last known to be listed.
	leaving  bool
	listedAt time.Duration
}

// isOver reports whether the upstream takes requests again.
func (p *pause) isOver(now time.Duration) bool { return !p.leaving && now >= p.until }

// leavingTTL is how long an upstream that leaves is remembered after it is no longer listed:
// longer than announcements of it, or lists of routers that were apart, can be late.
const leavingTTL = 10 * time.Minute

// isForgotten reports whether nothing has to be remembered of an upstream.
func (p *pause) isForgotten(now time.Duration) bool {
	return p.isOver(now) || p.leaving && now-p.listedAt > leavingTTL
}

// isPaused reports whether the upstream wants no requests now.
func (u *upstream) isPaused(now time.Duration) bool { return u.pause != nil && !u.pause.isOver(now) }

// PauseUpstream records that an upstream wants no requests from this router for some time.
// startedAt is the incarnation that said so, as in the Choice. A shorter time doesn't shorten
// the pause.
//
// Pauses are kept apart from the list of upstreams: one that isn't listed for a moment is
// still paused when it is listed again.
func (b *Balancer) PauseUpstream(now time.Duration, id protocol.UpstreamID, startedAt int64, length time.Duration) {
	p := b.pauseOf(incarnation{id, startedAt})
	p.until = max(p.until, now+length)
}

// MarkLeaving records that an upstream is about to stop and wants no requests any more. Only
// a new incarnation of it gets requests again.
//
// The upstream announces that it leaves too, but to one process, and routers that are cut off
// from the disk VMs don't learn of it.
func (b *Balancer) MarkLeaving(now time.Duration, id protocol.UpstreamID, startedAt int64) {
	p := b.pauseOf(incarnation{id, startedAt})
	p.leaving = true
	p.listedAt = now
}

// pauseOf returns the pause of an incarnation, a new one if there is none.
func (b *Balancer) pauseOf(key incarnation) *pause {
	p := b.pauses[key]
	if p != nil {
		return p
	}
	p = &pause{}
	b.pauses[key] = p
	if u := b.upstreams[key.id]; u != nil && u.entry.StartedAt == key.startedAt {
		u.setPause(p)
	}
	return p
}

// IsPaused reports whether an upstream wants no requests from this router now. Requests that
// were already chosen for it must not be sent either.
func (b *Balancer) IsPaused(now time.Duration, id protocol.UpstreamID, startedAt int64) bool {
	p := b.pauses[incarnation{id, startedAt}]
	return p != nil && !p.isOver(now)
}

// setPause sets an upstream's pause, nil for none.
func (u *upstream) setPause(p *pause) {
	if u.pool != nil {
		u.pool.countPaused(u, -1)
	}
	u.pause = p
	if u.pool != nil {
		u.pool.countPaused(u, 1)
	}
}

// endPauses forgets the pauses that are over.
func (b *Balancer) endPauses(now time.Duration) {
	for key, p := range b.pauses {
		u := b.upstreams[key.id]
		listed := u != nil && u.pause == p
		if listed {
			p.listedAt = now
		}
		if !p.isForgotten(now) {
			continue
		}
		delete(b.pauses, key)
		if listed {
			u.setPause(nil)
		}
	}
}

// nextPauseEnd returns how long it takes until the first paused upstream of a pool takes
// requests again, 0 if none is paused but those that leave.
func (b *Balancer) nextPauseEnd(now time.Duration, p *pool) time.Duration {
	next := time.Duration(0)
	for key, paused := range b.pauses {
		u := b.upstreams[key.id]
		if u == nil || u.pause != paused || u.pool != p || b.evacuated[u.entry.DataCentre] {
			continue
		}
		if paused.leaving || paused.isOver(now) {
			continue
		}
		if left := paused.until - now; next == 0 || left < next {
			next = left
		}
	}
	return next
}
