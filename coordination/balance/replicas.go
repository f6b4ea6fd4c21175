package balance

import (
	"slices"
	"time"

	"endiveplank/coordination/roster"
)

// replicaDemandAge is the longest time since its last use for which a prefix is in demand. Copying
// one that isn't used again would cost a transfer and cache for nothing.
const replicaDemandAge = 5 * time.Second

// pickReplica returns an engine that is to become a further holder of a prompt's prefix, nil if
// the prefix needs none. The engine copies the prefix from a holder.
//
// It guards against this failure: an engine crashes, and the long prefixes that it alone had
// cached are prefilled again, each on the engine that gets its next request, while that engine's
// other requests wait. With two holders, one survives, and the next engine copies the prefix from it.
func (b *Balancer) pickReplica(mean float64, found *candidates, holders []*upstream) *upstream {
	r := found.request
	if len(holders) == 0 || len(holders) >= b.settings.PrefixReplicas || len(r.Tried) > 0 {
		return nil
	}
	if r.PrefixTokens < b.settings.ReplicaTokens || !b.inDemand(found.now, r.Prompt) {
		return nil
	}
	// Only engines with at most the mean load become holders: a copy isn't worth a longer queue while
	// another holder exists.
	first, second := firstInOrder(mean, r.Prompt, found)
	for _, u := range []*upstream{first, second} {
		if u != nil && !slices.Contains(holders, u) {
			return u
		}
	}
	return nil
}

// inDemand reports whether a prefix was used lately and all its holders are confirmed, so that a
// further engine can copy it.
func (b *Balancer) inDemand(now time.Duration, prefix uint64) bool {
	list := b.cacheHolders.byPrefix[prefix]
	if len(list) == 0 || now-list[0].usedAt > replicaDemandAge {
		return false
	}
	return !slices.ContainsFunc(list, func(k cacheHolder) bool { return !k.confirmed })
}

// erroredSource returns the address of the last engine that answered an attempt of the request with
// an error, "" if there is none or if prefixes aren't replicated. The engine is alive and may have
// prefilled the prompt; if it hasn't, the chosen engine prefills it as it would without a source.
func (b *Balancer) erroredSource(r Request, chosen *upstream) string {
	if b.settings.PrefixReplicas <= 1 {
		return ""
	}
	for _, id := range slices.Backward(r.Errored) {
		u := b.upstreams[id]
		if u != nil && u != chosen && u.entry.State != roster.Gone {
			return u.entry.Address
		}
	}
	return ""
}
