package membership

import "time"

// maxItems bounds the items recorded. An item is recorded so that this member
// passes it on only once.
const maxItems = 4096

// itemSeen is the newest version of an item that was seen.
type itemSeen struct {
	started uint64
	version uint64
	at      time.Duration
}

// itemStore records which items were seen. version numbers this member's own.
type itemStore struct {
	seen    map[rumourKey]itemSeen
	version uint64
}

// recordIfNewer records an item and reports whether it is new or newer than the
// recorded version.
func (s *itemStore) recordIfNewer(now time.Duration, r rumour) bool {
	key := r.key()
	old, known := s.seen[key]
	started := r.Member.Incarnation.Started
	if known && (started < old.started || (started == old.started && r.Version <= old.version)) {
		return false
	}
	if !known && len(s.seen) >= maxItems {
		return false
	}
	s.seen[key] = itemSeen{started: started, version: r.Version, at: now}
	return true
}

func (s *itemStore) forget(now, after time.Duration) {
	for key, item := range s.seen {
		if now-item.at > after {
			delete(s.seen, key)
		}
	}
}

// Broadcast spreads a small item to all members. An item replaces an earlier
// one of the same kind and key from this member wherever that is still queued.
// Kinds from BulkKind up are the first to be shed. Broadcast returns false for
// a payload larger than MaxItem, which the caller must send by other means.
func (c *Core) Broadcast(kind uint8, key uint64, payload []byte) bool {
	if len(payload) > MaxItem {
		return false
	}
	c.items.version++
	c.rumours.add(rumour{
		Kind: rumourItem, Member: c.self.Member,
		ItemKind: kind, Key: key, Version: c.items.version, Payload: append([]byte(nil), payload...),
	})
	return true
}

func (c *Core) handleItem(now time.Duration, r rumour) {
	if r.Member.ID == c.config.Self || !c.items.recordIfNewer(now, r) {
		return
	}
	c.rumours.add(r)
	c.out.Items = append(c.out.Items, Item{Origin: r.Member.ID, Kind: r.ItemKind, Key: r.Key, Payload: r.Payload})
}
