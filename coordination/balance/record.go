package balance

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"endiveplank/protocol"
)

// CacheHolderList says which engines have which prefixes cached. Routers send new ones to
// a disk VM, and a disk VM sends what it knows to a router that has just started.
type CacheHolderList struct {
	// Packed holds the keys of the prefixes and the ShortIDs of the engines, entryBytes
	// each: smaller than a list of structs, as a disk VM sends it to all routers at once.
	Packed []byte `msgpack:"k"`
}

// entryBytes is the size of one prefix in a CacheHolderList.
const entryBytes = 8 + 4

// NewCacheHolderList packs a list.
func NewCacheHolderList(prefixes []CachedPrefix) CacheHolderList {
	packed := make([]byte, 0, len(prefixes)*entryBytes)
	for _, k := range prefixes {
		packed = binary.BigEndian.AppendUint64(packed, k.Prefix)
		packed = binary.BigEndian.AppendUint32(packed, uint32(k.ID))
	}
	return CacheHolderList{Packed: packed}
}

// Unpack returns the list, without an incomplete entry at its end.
func (k CacheHolderList) Unpack() []CachedPrefix {
	prefixes := make([]CachedPrefix, 0, len(k.Packed)/entryBytes)
	for rest := k.Packed; len(rest) >= entryBytes; rest = rest[entryBytes:] {
		prefixes = append(prefixes, CachedPrefix{Prefix: binary.BigEndian.Uint64(rest), ID: ShortID(binary.BigEndian.Uint32(rest[8:]))})
	}
	return prefixes
}

const (
	// maxRestored bounds the prefixes that a disk VM sends to a router at its start.
	maxRestored = 2048
	// maxRestoredAge is the age up to which a disk VM sends a prefix to a router that
	// starts. Routers announce the prefixes in use every announceInterval.
	maxRestoredAge = announceInterval + announceInterval/2
	// restoredTTL is how long a router keeps restored cache holders whose upstreams
	// aren't in its roster yet.
	restoredTTL = 5 * time.Second
)

// CacheHolderRecord is a disk VM's record of the engines that have prompts' prefixes
// cached, the last one announced for each prefix. It is not safe for concurrent use.
//
// All VMs may lose power while the engines run on, or routers are restarted one after the
// other. Without the record, a router that starts would know no cache holder and would
// send each prompt to its first engine by rendezvous hashing, which would have to prefill
// what another engine still has cached, just when all callers come back: half of the
// prompts of the first two seconds took ten times as long as usual.
type CacheHolderRecord struct {
	prefixes map[uint64]recordedHolder
	// restarted holds when engines lost their caches.
	restarted map[ShortID]time.Duration
}

type recordedHolder struct {
	id ShortID
	at time.Duration
}

// AgedPrefix is an entry of a CacheHolderRecord as it is stored, with its age.
type AgedPrefix struct {
	CachedPrefix
	Age time.Duration `msgpack:"a"`
}

// NewCacheHolderRecord returns an empty record.
func NewCacheHolderRecord() *CacheHolderRecord {
	return &CacheHolderRecord{prefixes: map[uint64]recordedHolder{}, restarted: map[ShortID]time.Duration{}}
}

// NoteRestart records that an engine has lost its cache: it has restarted or become cold.
//
// An engine that restarts under its ID holds nothing of before. A router that started a
// moment later would be told that it does, and send it prompts to process anew that other
// engines have cached.
func (r *CacheHolderRecord) NoteRestart(now time.Duration, id protocol.UpstreamID) {
	maps.DeleteFunc(r.restarted, func(_ ShortID, at time.Duration) bool { return now-at > holderTTL })
	r.restarted[ShortIDOf(id)] = now
}

// holds reports whether a holder still counts.
func (r *CacheHolderRecord) holds(now time.Duration, holder recordedHolder) bool {
	restartedAt, restarted := r.restarted[holder.id]
	return now-holder.at <= holderTTL && (!restarted || holder.at > restartedAt)
}

// Add records the cache holders that a router announces.
func (r *CacheHolderRecord) Add(now time.Duration, prefixes []CachedPrefix) {
	for _, cached := range prefixes {
		if _, known := r.prefixes[cached.Prefix]; !known && len(r.prefixes) >= maxPrefixes {
			r.evict(now)
		}
		r.prefixes[cached.Prefix] = recordedHolder{id: cached.ID, at: now}
	}
}

// Restore adds the entries that were stored before a restart.
func (r *CacheHolderRecord) Restore(now time.Duration, all []AgedPrefix) {
	for _, m := range all {
		r.prefixes[m.Prefix] = recordedHolder{id: m.ID, at: now - m.Age}
	}
}

// Entries returns the entries that haven't expired, the newest first.
func (r *CacheHolderRecord) Entries(now time.Duration) []AgedPrefix {
	var all []AgedPrefix
	for prefix, holder := range r.prefixes {
		if r.holds(now, holder) {
			all = append(all, AgedPrefix{CachedPrefix: CachedPrefix{Prefix: prefix, ID: holder.id}, Age: now - holder.at})
		}
	}
	slices.SortFunc(all, func(x, y AgedPrefix) int {
		return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Prefix, y.Prefix))
	})
	return all
}

// Newest returns the entries for a router that has just started.
func (r *CacheHolderRecord) Newest(now time.Duration) []CachedPrefix {
	var prefixes []CachedPrefix
	for _, m := range r.Entries(now) {
		if m.Age > maxRestoredAge || len(prefixes) == maxRestored {
			break
		}
		prefixes = append(prefixes, m.CachedPrefix)
	}
	return prefixes
}

// evict drops the prefixes that have expired, and arbitrary ones if that isn't enough.
func (r *CacheHolderRecord) evict(now time.Duration) {
	for prefix, holder := range r.prefixes {
		if !r.holds(now, holder) {
			delete(r.prefixes, prefix)
		}
	}
	for prefix := range r.prefixes {
		if len(r.prefixes) < maxPrefixes {
			return
		}
		delete(r.prefixes, prefix)
	}
}

// TakeUnrecorded removes and returns the next cache holders to send to a disk VM, at most
// maxPrefixesPerMessage.
func (b *Balancer) TakeUnrecorded() []CachedPrefix {
	n := min(len(b.unrecorded), maxPrefixesPerMessage)
	taken := b.unrecorded[:n]
	b.unrecorded = slices.Clone(b.unrecorded[n:])
	return taken
}

// addUnrecorded queues a cache holder for a disk VM; if the queue is full, it drops the
// oldest.
func (b *Balancer) addUnrecorded(prefix CachedPrefix) {
	b.unrecorded = append(b.unrecorded, prefix)
	b.unrecorded = b.unrecorded[max(0, len(b.unrecorded)-maxQueuedPrefixes):]
}

// RestoreCacheHolders adds the cache holders that a disk VM recorded. They don't replace
// what this router knows itself or from other routers, which is newer. Those whose
// upstreams aren't in the roster yet wait for it.
func (b *Balancer) RestoreCacheHolders(now time.Duration, prefixes []CachedPrefix) {
	b.restored = append(b.restored, prefixes...)
	b.restoredAt = max(now, 1)
	b.applyRestored()
}

// applyRestored adds the restored cache holders whose upstreams are in the roster by now.
func (b *Balancer) applyRestored() {
	b.restored = slices.DeleteFunc(b.restored, func(k CachedPrefix) bool {
		u := b.byShortID[k.ID]
		if _, known := b.cacheHolders.byPrefix[k.Prefix]; u != nil && !known {
			b.cacheHolders.addAnnounced(b.restoredAt, k.Prefix, u)
		}
		return u != nil
	})
}

// expireRestored drops restored cache holders whose upstreams never appeared in the
// roster.
func (b *Balancer) expireRestored(now time.Duration) {
	if now-b.restoredAt > restoredTTL {
		b.restored = nil
	}
}
