package placement

import (
	"time"

	"endiveplank/protocol/chat"
)

// EventOp is the kind of a cache event.
type EventOp uint8

// Kinds of an Event: the engine stored or evicted a prefix.
const (
	Stored EventOp = iota + 1
	Evicted
)

// Event is one change of an engine's prefix cache.
type Event struct {
	Op   EventOp
	Hash chat.ChainHash
}

// BatchResult says how a batch of cache events was applied.
type BatchResult uint8

// Results of Index.ApplyEvents.
const (
	// BatchApplied: the batch followed the last one without a gap.
	BatchApplied BatchResult = iota + 1
	// BatchAfterGap: events before the batch were missed, so that all entries
	// that exist now are uncertain.
	BatchAfterGap
	// BatchStale: all events of the batch had been received before.
	BatchStale
)

// Limits of an Index.
const (
	// maxLookups bounds the lookups for one request, from the last link
	// backwards. A returning chat adds two or three messages a turn, so its
	// last cached prefix is among them.
	maxLookups = 16
	// Entries younger than evictionStart, as a multiple of the usual eviction
	// age, are hardly ever evicted. One eviction age later, all but a share of
	// minKept are.
	evictionStart = 0.5
	minKept       = 0.02
	// An answer that reports fewer cached tokens than those of the hit divided
	// by missedDivisor shows that the prefix had been evicted. A smaller
	// shortfall comes from a message that the caller changed or from an answer
	// that was cut off.
	missedDivisor = 2
	// evictionAgeSmoothing is the weight of a new sample in the mean eviction
	// age.
	evictionAgeSmoothing = 1.0 / 64
)

// Hit is the longest prefix of a request that an Index considers cached.
type Hit struct {
	// Tokens is the length of that prefix.
	Tokens int
	// Confidence is the probability, from 0 to 1, that it is still cached.
	Confidence float64
	// Link is the position of its link in the chain, or -1 when no prefix is
	// cached.
	Link int
}

// Expected is the expected number of cached tokens.
func (h Hit) Expected() float64 { return float64(h.Tokens) * h.Confidence }

// Index is an owner's view of which prefixes an engine has in its cache. It
// learns from the owner's own placements, from the engine's numbered cache
// events and from the number of cached tokens that each finished answer
// reports.
//
// Failure guarded against: events arrive late or not at all. A lost "stored"
// event costs nothing, since placements are recorded here first. A lost
// "evicted" event leaves an entry for a prefix that is gone. After a gap in
// the numbers, older entries are uncertain. Their confidence depends on the
// share of events missed and on their age relative to the age at which the
// engine usually evicts. The cached tokens in answers correct entries one by
// one, which resynchronises the index without any control traffic.
type Index struct {
	table table
	// nextEvent is the number of the next expected event, 0 before the first
	// batch.
	nextEvent uint64
	// missed and received count recent events. Both are halved once in an
	// evictionAge.
	missed, received float64
	halvedAt         time.Duration
	// gapAt is when the index last found that events had been missed.
	gapAt time.Duration
	// evictionAge is the usual age at which the engine evicts, 0 while
	// unknown.
	evictionAge time.Duration
}

// NewIndex returns an index for about the given number of chats.
func NewIndex(entries int) *Index {
	return &Index{table: newTable(entries)}
}

// Lookup returns the longest prefix of the chain that is considered cached. A
// prompt that was placed here is cached together with its answer, which is the
// next message of the chain. Links before the root are shared prompts, which
// have no answer of their own.
func (x *Index) Lookup(now time.Duration, chain []chat.Link, root int) Hit {
	hit := x.longestPrefix(now, chain)
	if answer := hit.Link + 1; hit.Link >= root && answer < len(chain) {
		hit.Tokens = chain[answer].Tokens
	}
	return hit
}

// longestPrefix returns the hit for the longest cached prefix. It looks up the last
// links of the chain, from the end backwards, and then the first link.
func (x *Index) longestPrefix(now time.Duration, chain []chat.Link) Hit {
	last := max(0, len(chain)-maxLookups)
	for i := len(chain) - 1; i >= last; i-- {
		if hit, ok := x.lookupLink(now, chain, i); ok {
			return hit
		}
	}
	// Many chats share the first link, so it is worth one more lookup.
	if last > 0 {
		if hit, ok := x.lookupLink(now, chain, 0); ok {
			return hit
		}
	}
	return Hit{Link: -1}
}

func (x *Index) lookupLink(now time.Duration, chain []chat.Link, i int) (Hit, bool) {
	_, stamp, ok := x.table.get(uint64(chain[i].Hash))
	if !ok {
		return Hit{}, false
	}
	return Hit{Tokens: chain[i].Tokens, Confidence: x.confidence(now, stamp), Link: i}, true
}

// confidence is the probability that an entry is still cached although no
// event has reported its eviction: the probability that the engine keeps an
// entry of this age, relative to the probability that it evicted the entry and
// the event was missed.
func (x *Index) confidence(now time.Duration, stamp uint64) float64 {
	age := ageOf(now, stamp)
	if x.missed == 0 || x.evictionAge == 0 || age <= now-x.gapAt {
		return 1
	}
	evicted := float64(age)/float64(x.evictionAge) - evictionStart
	kept := min(1, max(minKept, 1-evicted))
	missed := (1 - kept) * x.missed / (x.missed + x.received)
	return kept / (kept + missed)
}

// RecordPlaced stores that a request was sent to the engine, which caches its
// whole prompt. It removes the entry of the chat's earlier turn, so that a
// chat takes one entry however long it grows. Links before the root are shared
// with other chats and stay.
func (x *Index) RecordPlaced(now time.Duration, chain []chat.Link, root int, hit Hit) {
	if len(chain) == 0 {
		return
	}
	deepest := len(chain) - 1
	if hit.Link >= root && hit.Link < deepest {
		x.table.remove(uint64(chain[hit.Link].Hash))
	}
	if root > 0 {
		x.put(now, chain[root-1])
	}
	x.put(now, chain[deepest])
}

// put sets the entry of one link.
func (x *Index) put(now time.Duration, link chat.Link) {
	x.table.put(now, uint64(link.Hash), uint64(link.Tokens))
}

// RecordCachedTokens takes the number of prompt tokens that an answer reported
// as served from cache. When it is far below that of the hit, the prefix had
// been evicted and the event was missed.
func (x *Index) RecordCachedTokens(now time.Duration, hit Hit, cached int) {
	if hit.Link < 0 || cached >= hit.Tokens/missedDivisor {
		return
	}
	// The request itself has put its prompt back into the cache, so the entry
	// is right again. Only the missed eviction has to be counted.
	x.recordMissed(now, 1)
}

// ApplyEvents applies a batch of events that are numbered from first.
func (x *Index) ApplyEvents(now time.Duration, first uint64, events []Event) BatchResult {
	end := first + uint64(len(events))
	result := BatchApplied
	switch {
	case end < first || (x.nextEvent > 0 && end <= x.nextEvent):
		return BatchStale
	case x.nextEvent > 0 && first < x.nextEvent:
		events = events[x.nextEvent-first:]
	case x.nextEvent > 0 && first > x.nextEvent:
		x.recordMissed(now, first-x.nextEvent)
		result = BatchAfterGap
	}
	x.nextEvent = end
	x.received += float64(len(events))
	x.decayCounts(now)
	for _, event := range events {
		x.applyEvent(now, event)
	}
	return result
}

// recordMissed counts missed events.
func (x *Index) recordMissed(now time.Duration, count uint64) {
	x.missed = min(x.missed+float64(count), float64(max(1, x.table.used)))
	x.gapAt = now
	x.decayCounts(now)
}

// decayCounts halves the counts once in an evictionAge: by then most entries
// that could be wrong because of earlier missed events have been replaced.
func (x *Index) decayCounts(now time.Duration) {
	if x.evictionAge == 0 || now-x.halvedAt < x.evictionAge {
		return
	}
	x.missed /= 2
	x.received /= 2
	x.halvedAt = now
}

// applyEvent applies one event. It ignores "stored" events: those of links
// that were not placed here are the shorter prefixes of entries that the index
// has.
func (x *Index) applyEvent(now time.Duration, event Event) {
	if event.Op != Evicted {
		return
	}
	stamp, ok := x.table.remove(uint64(event.Hash))
	if !ok {
		return
	}
	age := ageOf(now, stamp)
	if x.evictionAge == 0 {
		x.evictionAge = age
	}
	x.evictionAge += time.Duration(evictionAgeSmoothing * float64(age-x.evictionAge))
}

// Reset empties the index. It is used when the engine restarted with an empty
// cache.
func (x *Index) Reset() {
	x.table.clear()
	x.nextEvent = 0
	x.missed = 0
	x.received = 0
	x.evictionAge = 0
}

// Len is the number of entries.
func (x *Index) Len() int { return x.table.used }

// Bytes is the memory that the index takes.
func (x *Index) Bytes() int { return x.table.bytes() }
