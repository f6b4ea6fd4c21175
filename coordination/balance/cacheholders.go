package balance

import (
	"slices"
	"time"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

const (
	// holderTTL is how long an engine is assumed to have a prefix cached after it was
	// last sent there. Prefixes that nobody has used for that long are cheap to prefill
	// again.
	holderTTL = 30 * time.Second
	// announceInterval is the age that the other routers' knowledge of a cache holder may
	// reach before a router that uses the holder announces it again.
	announceInterval = 10 * time.Second
	// maxHoldersPerPrefix bounds the engines remembered for one prefix.
	maxHoldersPerPrefix = 4
	// maxPrefixes bounds the prefixes remembered.
	maxPrefixes = 8192
	// maxPrefixesPerMessage bounds the prefixes in one message.
	maxPrefixesPerMessage = 64
)

// CachedPrefix announces that an engine has a prefix of prompts in its cache.
type CachedPrefix struct {
	Prefix uint64  `msgpack:"p"`
	ID     ShortID `msgpack:"i"`
}

// cacheHolder is an engine to which a prompt was sent. It counts while the engine is
// still prefilling the prompt, so that the next request with the same prompt goes there
// too.
type cacheHolder struct {
	id protocol.UpstreamID
	// startedAt identifies the incarnation, and coldCount the times that the engine has
	// become cold in it, as the fields of roster.Entry do. A cold engine has lost its
	// cache.
	startedAt int64
	coldCount uint64
	// usedAt is when a router last sent the prompt there, as far as this router knows.
	usedAt time.Duration
	// announcedAt is when the routers were last informed of it.
	announcedAt time.Duration
	// confirmed says that the engine has begun to answer the prompt, so has prefilled it.
	confirmed bool
}

// cacheHolders remembers which engines have which prefixes cached, from what this router
// and the others have sent.
type cacheHolders struct {
	byPrefix map[uint64][]cacheHolder
	// unannounced are the cached prefixes that are still to be sent to the other routers.
	unannounced []CachedPrefix
}

func newCacheHolders() *cacheHolders {
	return &cacheHolders{byPrefix: map[uint64][]cacheHolder{}}
}

// holdersOf returns the candidates that hold a prefix, the most recently used first.
func (b *Balancer) holdersOf(found *candidates, prefix uint64) []*upstream {
	var holders []*upstream
	for _, k := range b.cacheHolders.byPrefix[prefix] {
		u := b.upstreams[k.id]
		if found.now-k.usedAt > holderTTL || u == nil || u.entry.State != roster.Ready || !k.matches(u) {
			continue
		}
		if u.pool == found.pool && found.has(u) {
			holders = append(holders, u)
		}
	}
	return holders
}

// copySource returns the address of an engine that holds a prefix, which may be draining.
// It returns "" if there is none or if the chosen engine holds the prefix itself.
func (b *Balancer) copySource(now time.Duration, prefix uint64, chosen *upstream) string {
	source := ""
	for _, k := range b.cacheHolders.byPrefix[prefix] {
		u := b.upstreams[k.id]
		if u == nil || !k.matches(u) || now-k.usedAt > holderTTL || u.entry.State == roster.Gone || !k.confirmed {
			continue
		}
		if u == chosen {
			return ""
		}
		if source == "" {
			source = u.entry.Address
		}
	}
	return source
}

// copySourceFor returns the address of the engine from which the chosen one can copy the
// part of a prompt's prefix that it lacks, "" if it lacks nothing or no source is known.
//
// Many engines get prompts that share a prefix. Without copies, each engine would prefill
// the shared prefix again with the first such prompt it gets, after a start, a loss, or a
// change of the roster, though a copy takes a fraction of the time.
func (b *Balancer) copySourceFor(now time.Duration, r Request, chosen *upstream) string {
	if b.isCached(now, r.Prompt, chosen) {
		return ""
	}
	if source := b.copySource(now, r.Prompt, chosen); source != "" {
		return source
	}
	if source := b.erroredSource(r, chosen); source != "" {
		return source
	}
	for _, key := range r.SharedPrefixes {
		if source := b.copySource(now, key, chosen); source != "" {
			return source
		}
	}
	return ""
}

// isCached reports whether an engine holds a prefix, as far as this router knows.
func (b *Balancer) isCached(now time.Duration, prefix uint64, u *upstream) bool {
	return slices.ContainsFunc(b.cacheHolders.byPrefix[prefix], func(k cacheHolder) bool {
		return k.matches(u) && k.confirmed && now-k.usedAt <= holderTTL
	})
}

// matches reports whether the holder is this incarnation of an upstream.
func (k cacheHolder) matches(u *upstream) bool {
	return k.id == u.entry.ID && k.startedAt == u.entry.StartedAt && k.coldCount == u.entry.ColdCount
}

// ConfirmCached records that an engine has begun to answer a prompt, so it holds the
// prompt's prefix and the shorter ones.
//
// Without it, when all engines fail part of their requests for some seconds, an engine
// that failed a request before it prefilled the prompt would be taken for a cache holder
// by all routers. They would go on sending the prompt there, with no source to copy it
// from.
func (b *Balancer) ConfirmCached(now time.Duration, id protocol.UpstreamID, prefix uint64, sharedPrefixes []uint64) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	b.confirm(now, prefix, u)
	b.confirmSharedPrefixes(now, sharedPrefixes, u)
}

// ForgetUnconfirmed records that an attempt ended. The engine is no longer considered a
// cache holder if neither this attempt nor another one got as far as an answer there.
func (b *Balancer) ForgetUnconfirmed(id protocol.UpstreamID, prefix uint64) {
	list := slices.DeleteFunc(b.cacheHolders.byPrefix[prefix], func(k cacheHolder) bool { return k.id == id && !k.confirmed })
	if len(list) == 0 {
		delete(b.cacheHolders.byPrefix, prefix)
		return
	}
	b.cacheHolders.byPrefix[prefix] = list
}

// confirmSharedPrefixes records the holder of the shorter prefixes of a prompt, unless a
// holder that was used recently is known: one source to copy from is enough, and hundreds
// of prompts a second share the same prefix.
func (b *Balancer) confirmSharedPrefixes(now time.Duration, sharedPrefixes []uint64, u *upstream) {
	for _, key := range sharedPrefixes {
		list := b.cacheHolders.byPrefix[key]
		if len(list) == 0 || now-list[0].usedAt > announceInterval {
			b.confirm(now, key, u)
		}
	}
}

// confirm records that an engine holds a prefix, and queues the announcement to the other
// routers and the disk VMs if it is due.
func (b *Balancer) confirm(now time.Duration, prefix uint64, u *upstream) {
	k := b.cacheHolders.add(now, prefix, u)
	k.confirmed = true
	if k.announcedAt == 0 || now-k.announcedAt > announceInterval {
		k.announcedAt = max(now, 1)
		b.cacheHolders.unannounced = append(b.cacheHolders.unannounced, CachedPrefix{Prefix: prefix, ID: u.own.ID})
		b.addUnrecorded(CachedPrefix{Prefix: prefix, ID: u.own.ID})
	}
}

// applyCached records the cache holders that another router announces.
func (b *Balancer) applyCached(now time.Duration, prefixes []CachedPrefix) {
	for _, k := range prefixes {
		if u := b.byShortID[k.ID]; u != nil {
			b.cacheHolders.addAnnounced(now, k.Prefix, u)
		}
	}
}

// addAnnounced records a cache holder that other routers already know.
func (k *cacheHolders) addAnnounced(now time.Duration, prefix uint64, u *upstream) {
	known := k.add(now, prefix, u)
	known.announcedAt = max(now, 1)
	known.confirmed = true
}

// add puts an engine at the front of a prefix's holders.
func (k *cacheHolders) add(now time.Duration, prefix uint64, u *upstream) *cacheHolder {
	list, known := k.byPrefix[prefix]
	if !known && len(k.byPrefix) >= maxPrefixes {
		k.evict(now)
	}
	next := cacheHolder{id: u.entry.ID, startedAt: u.entry.StartedAt, coldCount: u.entry.ColdCount, usedAt: now}
	at := slices.IndexFunc(list, func(old cacheHolder) bool { return old.matches(u) })
	if at >= 0 {
		next.announcedAt, next.confirmed = list[at].announcedAt, list[at].confirmed
		list = slices.Delete(list, at, at+1)
	}
	list = slices.Insert(list, 0, next)
	list = list[:min(len(list), maxHoldersPerPrefix)]
	k.byPrefix[prefix] = list
	return &list[0]
}

// takeUnannounced removes and returns the next prefixes to send to the other routers, at
// most maxPrefixesPerMessage.
func (k *cacheHolders) takeUnannounced() []CachedPrefix {
	n := min(len(k.unannounced), maxPrefixesPerMessage)
	taken := k.unannounced[:n]
	k.unannounced = slices.Clone(k.unannounced[n:])
	return taken
}

// evict drops the prefixes that have expired, and arbitrary ones if that isn't enough.
func (k *cacheHolders) evict(now time.Duration) {
	for prefix, list := range k.byPrefix {
		if now-list[0].usedAt > holderTTL {
			delete(k.byPrefix, prefix)
		}
	}
	for prefix := range k.byPrefix {
		if len(k.byPrefix) < maxPrefixes {
			return
		}
		delete(k.byPrefix, prefix)
	}
}
