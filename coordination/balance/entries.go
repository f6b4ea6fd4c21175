package balance

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// rebuildDivisor sets the share of the upstreams, one in rebuildDivisor, from which on
// changed entries cost less if the pools are made anew.
const rebuildDivisor = 16

// SetRoster replaces the list of upstreams. Upstreams that are no longer listed are kept
// until this router's requests to them have ended. SetRoster returns the entries whose
// state, address or incarnation changed, or that have become cold.
func (b *Balancer) SetRoster(entries []roster.Entry) []roster.Entry {
	listed := make(map[protocol.UpstreamID]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	all := slices.Clone(entries)
	for id := range b.upstreams {
		if !listed[id] {
			all = append(all, roster.Entry{ID: id, State: roster.Gone})
		}
	}
	return b.ApplyEntries(all)
}

// ApplyEntries takes over entries that have changed. It returns those whose state, address
// or incarnation changed, or that have become cold. Upstreams that are gone are kept until
// this router's requests to them have ended.
func (b *Balancer) ApplyEntries(entries []roster.Entry) []roster.Entry {
	rebuild := len(entries)*rebuildDivisor > len(b.upstreams)
	var changed []roster.Entry
	for _, e := range entries {
		u, differs := b.applyEntry(e, rebuild)
		if differs {
			changed = append(changed, u.entry)
		}
	}
	if rebuild {
		b.rebuildPools()
	}
	b.applyRestored()
	return changed
}

// applyEntry takes over one entry, and reports whether it differs in what matters to
// requests. If rebuild is set, the caller makes the pools anew.
func (b *Balancer) applyEntry(e roster.Entry, rebuild bool) (u *upstream, differs bool) {
	u = b.upstreams[e.ID]
	if u == nil {
		if e.State == roster.Gone {
			return nil, false
		}
		u = b.addUpstream(e.ID)
	}
	if e.State == roster.Gone {
		// The entry may be all that is left of a removed upstream.
		e = u.entry
		e.State = roster.Gone
	}
	before := u.entry
	if before.StartedAt != e.StartedAt {
		u.health, u.lastServed, u.elsewhereAverage = health{}, 0, movingAverage{}
	}
	if u.pool != nil && !rebuild {
		u.pool.remove(u)
	}
	u.entry = e
	u.pause = b.pauses[incarnation{e.ID, e.StartedAt}]
	switch {
	case e.State == roster.Gone && u.own.InFlight == 0:
		b.removeUpstream(u)
	case !rebuild:
		b.addToPool(u)
	}
	return u, before.State != e.State || before.Address != e.Address || before.StartedAt != e.StartedAt || before.ColdCount != e.ColdCount
}

// addUpstream adds an upstream without an entry.
func (b *Balancer) addUpstream(id protocol.UpstreamID) *upstream {
	short := ShortIDOf(id)
	u := &upstream{key: xxhash.Sum64String(string(id)), own: UpstreamLoad{ID: short}, reported: UpstreamLoad{ID: short}}
	b.upstreams[id] = u
	b.byShortID[short] = u
	for _, remote := range b.routers {
		u.elsewhere += remote.loads[short].InFlight
	}
	return u
}

// removeUpstream removes an upstream, which its pool no longer holds.
func (b *Balancer) removeUpstream(u *upstream) {
	delete(b.upstreams, u.entry.ID)
	if b.byShortID[u.own.ID] == u {
		delete(b.byShortID, u.own.ID)
	}
	delete(b.busy, u)
	delete(b.unreported, u)
	delete(b.suspects, u)
}
