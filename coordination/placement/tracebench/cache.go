package tracebench

import (
	"time"

	"endiveplank/protocol/chat"
)

// promptCache is an engine's cache of prompt prefixes: whole chats and shared
// system prompts, with the least recently used evicted first.
type promptCache struct {
	capacity int
	used     int
	entries  map[chat.ChainHash]*cacheEntry
	// head is the most recently used, tail the least.
	head, tail *cacheEntry
	// evicted is called with the deepest link of an evicted entry.
	evicted func(deepest chat.ChainHash)
}

// cacheEntry is a chat, keyed by its root, or a system prompt, keyed by its
// own hash. deepest is the hash of the longest cached prefix.
type cacheEntry struct {
	key     chat.ChainHash
	deepest chat.ChainHash
	tokens  int
	// turn is the last turn of the chat that recordTurn stored, and usedAt its
	// time. turn is nil for a system prompt.
	turn       *turn
	usedAt     time.Duration
	prev, next *cacheEntry
}

func newPromptCache(capacity int) *promptCache {
	return &promptCache{capacity: capacity, entries: make(map[chat.ChainHash]*cacheEntry)}
}

// saved is the number of prompt tokens that the cache holds.
func (c *promptCache) saved(chain []chat.Link) int {
	prompt := chain[len(chain)-1].Tokens
	if e, ok := c.entries[chain[rootIndex].Hash]; ok {
		return min(e.tokens, prompt)
	}
	if e, ok := c.entries[chain[0].Hash]; ok {
		return min(e.tokens, prompt)
	}
	return 0
}

// use marks a chat's prefix as used, sets its present length, and evicts
// entries while the cache is above its capacity.
func (c *promptCache) use(chain []chat.Link, tokens int) {
	system := chain[0]
	c.touch(system.Hash, system.Hash, system.Tokens)
	c.touch(chain[rootIndex].Hash, chain[len(chain)-1].Hash, tokens)
	for c.used > c.capacity && c.tail != c.head {
		c.evict(c.tail)
	}
}

// touch moves an entry to the front. The tokens of a chat include the system
// prompt, so the model counts those of the system prompt twice.
func (c *promptCache) touch(key, deepest chat.ChainHash, tokens int) {
	e, ok := c.entries[key]
	if !ok {
		e = &cacheEntry{key: key}
		c.entries[key] = e
	} else {
		c.unlink(e)
	}
	// An earlier turn that ends late does not shorten what is cached.
	if tokens >= e.tokens {
		c.used += tokens - e.tokens
		e.tokens = tokens
		e.deepest = deepest
	}
	e.next = c.head
	if c.head != nil {
		c.head.prev = e
	}
	c.head = e
	if c.tail == nil {
		c.tail = e
	}
}

func (c *promptCache) unlink(e *cacheEntry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		c.head = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		c.tail = e.prev
	}
	e.prev, e.next = nil, nil
}

func (c *promptCache) evict(e *cacheEntry) {
	c.unlink(e)
	delete(c.entries, e.key)
	c.used -= e.tokens
	if c.evicted != nil {
		c.evicted(e.deepest)
	}
}
