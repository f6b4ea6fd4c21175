package engine

import (
	"time"

	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// Counters are the totals of an engine's work since its start.
type Counters struct {
	Requests        uint64 `json:"requests"`
	Refused         uint64 `json:"refused"`
	Completed       uint64 `json:"completed"`
	Cancelled       uint64 `json:"cancelled"`
	Crashes         uint64 `json:"crashes"`
	PromptTokens    uint64 `json:"prompt_tokens"`
	CachedTokens    uint64 `json:"cached_tokens"`
	GeneratedTokens uint64 `json:"generated_tokens"`
	// PeakOutstanding is the highest value of OutstandingTokens so far.
	PeakOutstanding int `json:"peak_outstanding"`
}

// Load returns the engine's current load.
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
	return c.loadHistory.at(now - time.Duration(c.faults.LoadLagMs)*time.Millisecond)
}

// TakeEvents removes and returns the cache events that are due for publication.
func (c *Core) TakeEvents(now time.Duration) *upstreamapi.CacheBatch {
	age := time.Duration(c.faults.EventDelayMs) * time.Millisecond
	return c.events.take(now, age, c.faults.EventGap, c.rng)
}

// Export returns the cached chain that ends at a prefix, from the start of the
// chat, or nil if the prefix is not cached. The caller accounts for the time of the
// transfer, TransferPerToken for each token.
func (c *Core) Export(hash chat.ChainHash) []CacheEntry {
	return c.cache.chain(hash)
}

// Import adds an exported chain to the cache.
func (c *Core) Import(now time.Duration, entries []CacheEntry) {
	c.now = now
	c.cache.storeEntries(entries)
}

// recordLoad records the current load for LaggedLoad and for PeakOutstanding.
func (c *Core) recordLoad(now time.Duration) {
	load := c.Load()
	c.counters.PeakOutstanding = max(c.counters.PeakOutstanding, load.OutstandingTokens)
	c.loadHistory.record(now, load, time.Duration(c.faults.LoadLagMs)*time.Millisecond)
}

// loadHistory keeps past loads for as long as LaggedLoad needs them.
type loadHistory struct {
	samples []loadSample
}

type loadSample struct {
	at   time.Duration
	load upstreamapi.Load
}

// record adds a sample and removes the samples that no report can use any more:
// all before the last one that is at least as old as the lag.
func (h *loadHistory) record(now time.Duration, load upstreamapi.Load, lag time.Duration) {
	h.samples = append(h.samples, loadSample{at: now, load: load})
	stale := 0
	for stale+1 < len(h.samples) && h.samples[stale+1].at <= now-lag {
		stale++
	}
	h.samples = append(h.samples[:0], h.samples[stale:]...)
}

// at returns the load at a time. Before the first sample it is zero.
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
