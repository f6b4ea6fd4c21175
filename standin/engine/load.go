package engine

import (
	"time"

	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// Counters count an engine's work since its start.
type Counters struct {
	Requests        uint64 `json:"requests"`
	Refused         uint64 `json:"refused"`
	Completed       uint64 `json:"completed"`
	Cancelled       uint64 `json:"cancelled"`
	Crashes         uint64 `json:"crashes"`
	PromptTokens    uint64 `json:"prompt_tokens"`
	CachedTokens    uint64 `json:"cached_tokens"`
	GeneratedTokens uint64 `json:"generated_tokens"`
	// PeakOutstanding is the highest OutstandingTokens so far.
	PeakOutstanding int `json:"peak_outstanding"`
}

// Load returns the engine's work at this moment.
func (c *Core) Load() upstreamapi.Load {
	load := upstreamapi.Load{Running: len(c.running), Waiting: len(c.waiting)}
	for _, j := range c.running {
		load.OutstandingTokens += j.prefill + max(j.Tokens-j.next, 0)
	}
	for _, j := range c.waiting {
		load.OutstandingTokens += tokensOf(j.Prompt) + j.Tokens
	}
	return load
}

// Counters returns the totals since the start.
func (c *Core) Counters() Counters { return c.counters }

// LaggedLoad returns the load as it was LoadLagMs ago.
func (c *Core) LaggedLoad(now time.Duration) upstreamapi.Load {
	return c.lagged.at(now - time.Duration(c.faults.LoadLagMs)*time.Millisecond)
}

// TakeEvents returns the cache events that are due for publication.
func (c *Core) TakeEvents(now time.Duration) *upstreamapi.CacheBatch {
	age := time.Duration(c.faults.EventDelayMs) * time.Millisecond
	return c.events.take(now, age, c.faults.EventGap, c.rng)
}

// Export returns the cached chain that ends at a prefix, start of the chat
// first, or nil when it is not cached. The transfer costs TransferPerToken.
func (c *Core) Export(hash chat.ChainHash) []CacheEntry {
	return c.cache.chain(hash)
}

// Import puts an exported chain into the cache.
func (c *Core) Import(now time.Duration, entries []CacheEntry) {
	c.now = now
	c.cache.storeEntries(entries)
}

// noteLoad records the load for later reports.
func (c *Core) noteLoad(now time.Duration) {
	load := c.Load()
	c.counters.PeakOutstanding = max(c.counters.PeakOutstanding, load.OutstandingTokens)
	c.lagged.note(now, load, time.Duration(c.faults.LoadLagMs)*time.Millisecond)
}

// loadHistory remembers the load for as long as the lag needs it.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at   time.Duration
	load upstreamapi.Load
}

// note adds a sample and forgets those that no report can use any more: all
// before the last one that is older than the lag.
func (h *loadHistory) note(now time.Duration, load upstreamapi.Load, lag time.Duration) {
	h.samples = append(h.samples, loadSample{at: now, load: load})
	stale := 0
	for stale+1 < len(h.samples) && h.samples[stale+1].at <= now-lag {
		stale++
	}
	h.samples = append(h.samples[:0], h.samples[stale:]...)
}

// at returns the load at a time, zero before the first sample.
func (h *loadHistory) at(when time.Duration) upstreamapi.Load {
	load := upstreamapi.Load{}
	for _, sample := range h.samples {
		if sample.at > when {
			break
		}
		load = sample.load
	}
	return load
}
