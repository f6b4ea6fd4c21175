package engine

import (
	"container/list"

	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// CacheEntry is one message of a cached prefix.
type CacheEntry struct {
	Hash chat.ChainHash `json:"hash"`
	// Tokens is the length of the message, without the messages before it.
	Tokens int `json:"tokens"`
	// Parent is the hash of the prefix before the message, or zero for the first
	// message of a chat.
	Parent chat.ChainHash `json:"parent"`
}

// prefixCache holds prompt prefixes up to a total number of tokens. It evicts the
// least recently used entry first. An entry is usable only while its parents are
// present. Both store and lookup therefore mark a chain as used from its end to its
// start: a parent is always more recently used than its children, and eviction
// never removes a parent before them.
type prefixCache struct {
	capacity int
	used     int // tokens in the cache
	entries  map[chat.ChainHash]*list.Element
	recent   *list.List // of CacheEntry, most recent first
	changed  func(op upstreamapi.CacheOp, hash chat.ChainHash)
}

func newPrefixCache(capacity int, changed func(upstreamapi.CacheOp, chat.ChainHash)) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		entries:  make(map[chat.ChainHash]*list.Element),
		recent:   list.New(),
		changed:  changed,
	}
}

// lookup returns the number of tokens in the longest cached prefix of a chat and
// marks the prefix as used.
func (c *prefixCache) lookup(links []chat.Link) int {
	cached := 0
	for cached < len(links) && c.entries[links[cached].Hash] != nil {
		cached++
	}
	if cached == 0 {
		return 0
	}
	c.touch(links[:cached])
	return links[cached-1].Tokens
}

// store adds all messages of a chat and evicts entries until the cache is within
// its capacity.
func (c *prefixCache) store(links []chat.Link) {
	c.storeEntries(entriesOf(links))
}

// storeEntries adds a chain of entries, which begins at the start of the chat.
func (c *prefixCache) storeEntries(entries []CacheEntry) {
	for _, entry := range entries {
		if c.entries[entry.Hash] != nil {
			continue
		}
		c.entries[entry.Hash] = c.recent.PushFront(entry)
		c.used += entry.Tokens
		c.changed(upstreamapi.CacheStored, entry.Hash)
	}
	for i := len(entries) - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.entries[entries[i].Hash])
	}
	for c.used > c.capacity {
		c.evictOldest()
	}
}

// chain returns the entries from the start of the chat to hash, or nil if that
// prefix is not cached.
func (c *prefixCache) chain(hash chat.ChainHash) []CacheEntry {
	var reversed []CacheEntry
	for hash != 0 {
		element := c.entries[hash]
		if element == nil {
			return nil
		}
		entry := element.Value.(CacheEntry)
		reversed = append(reversed, entry)
		hash = entry.Parent
	}
	for i, j := 0, len(reversed)-1; i < j; i, j = i+1, j-1 {
		reversed[i], reversed[j] = reversed[j], reversed[i]
	}
	return reversed
}

func (c *prefixCache) touch(links []chat.Link) {
	for i := len(links) - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.entries[links[i].Hash])
	}
}

func (c *prefixCache) evictOldest() {
	oldest := c.recent.Back()
	entry := oldest.Value.(CacheEntry)
	c.recent.Remove(oldest)
	delete(c.entries, entry.Hash)
	c.used -= entry.Tokens
	c.changed(upstreamapi.CacheEvicted, entry.Hash)
}

// entriesOf converts a chain, whose links count tokens from the start of the chat,
// to entries, which count the tokens of one message.
func entriesOf(links []chat.Link) []CacheEntry {
	entries := make([]CacheEntry, len(links))
	before := chat.Link{}
	for i, link := range links {
		entries[i] = CacheEntry{Hash: link.Hash, Tokens: link.Tokens - before.Tokens, Parent: before.Hash}
		before = link
	}
	return entries
}
