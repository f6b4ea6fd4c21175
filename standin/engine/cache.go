package engine

import (
	"container/list"

	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// CacheEntry is one message's worth of cached prefix.
type CacheEntry struct {
	Hash chat.ChainHash `json:"hash"`
	// Tokens is the length of the message alone, without what precedes it.
	Tokens int `json:"tokens"`
	// Parent is the prefix before the message; zero at the start of a chat.
	Parent chat.ChainHash `json:"parent"`
}

// prefixCache holds prompt prefixes up to a number of tokens. An entry is
// useful only while its parents are present. Both store and lookup touch a
// chain from its end to its start, so a parent is always more recent than its
// children and eviction from the old end never orphans an entry.
type prefixCache struct {
	capacity int
	used     int
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

// lookup returns the tokens of the longest cached prefix of a chat and marks
// it as used.
func (c *prefixCache) lookup(links []chat.Link) int {
	held := 0
	for held < len(links) && c.entries[links[held].Hash] != nil {
		held++
	}
	if held == 0 {
		return 0
	}
	c.touch(links[:held])
	return links[held-1].Tokens
}

// store adds the whole chain of a chat and evicts what no longer fits.
func (c *prefixCache) store(links []chat.Link) {
	c.storeEntries(entriesOf(links))
}

// storeEntries adds a chain given as entries, start of the chat first.
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

// chain returns the entries from the start of the chat to hash, or nil when
// the prefix is not cached.
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

// entriesOf turns the running totals of a chain into single messages.
func entriesOf(links []chat.Link) []CacheEntry {
	entries := make([]CacheEntry, len(links))
	before := chat.Link{}
	for i, link := range links {
		entries[i] = CacheEntry{Hash: link.Hash, Tokens: link.Tokens - before.Tokens, Parent: before.Hash}
		before = link
	}
	return entries
}
