package balance

import (
	"slices"
	"time"

	"endiveplank/coordination/roster"
)

// replicaDemandAge is the age up to which the last use of a prefix counts as demand for it.
const replicaDemandAge = 5 * time.Second

// pickReplica returns an engine that is to become a further holder of a prompt's prefix, nil if
// the prefix needs none. The engine copies the prefix from a holder.
//
// It guards against this failure: an engine crashes, and the long prefixes that it alone had
// cached are prefilled again, each on the engine that gets its next request, while that engine's
// other requests wait. With two holders the next one copies.
func (b *Balancer) pickReplica(mean float64, found *candidates, holders []*upstream) *upstream {
	r := found.request
	if len(holders) == 0 || len(holders) >= b.settings.PrefixReplicas || len(r.Tried) > 0 {
		return nil
	}
	if r.PrefixTokens < b.settings.ReplicaTokens || !b.inDemand(found.now, r.Prompt) {
		return nil
	}
	// The candidates are compared with the mean: an engine that is busy already isn't given
	// requests that have a holder elsewhere.
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

// erroredSource returns the address of an engine that answered an earlier attempt of the request
// with an error, "" if there is none. It is alive and may have prefilled the prompt before it
// failed; if it hasn't, the chosen engine prefills the prompt as it would without a source.
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
