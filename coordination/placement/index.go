package placement

import (
	"time"

	"endiveplank/protocol/chat"
)

// EventOp says what a cache event reports.
type EventOp uint8

// Operations of an Event.
const (
	Stored EventOp = iota + 1
	Evicted
)

// Event is one change of an engine's prompt cache.
type Event struct {
	Op   EventOp
	Hash chat.ChainHash
}

// BatchResult says what became of a batch of cache events.
type BatchResult uint8

// Results of Index.Apply.
const (
	// BatchApplied: the batch followed the last one without a gap.
	BatchApplied BatchResult = iota + 1
	// BatchAfterGap: events before it were missed; entries older than now
	// are uncertain.
	BatchAfterGap
	// BatchStale: all of its events had been seen.
	BatchStale
)

// Limits of an Index.
const (
	// maxProbes bounds the lookups of one request: the deepest links. A
	// returning chat adds two or three messages a turn, so its last cached
	// prefix is among them.
	maxProbes = 16
	// Entries younger than evictsFrom, in usual ages of eviction, are hardly
	// ever evicted; one age later all but leastKept of them are.
	evictsFrom = 0.5
	leastKept  = 0.02
	// missedShare is the divisor of a hit under which an answer's cached
	// tokens mean an eviction; a smaller shortfall is a message that the
	// caller changed or an answer cut off.
	missedShare = 2
	// horizonSmoothing is the weight of a newly seen eviction age.
	horizonSmoothing = 1.0 / 64
)

// Hit is what an Index knows of a request's prefix.
type Hit struct {
	// Tokens is the length of the longest prefix believed cached.
	Tokens int
	// Confidence is the chance that it still is, 0 to 1.
	Confidence float64
	// Link is its position in the chain, -1 for none.
	Link int
}

// Expected is the number of tokens that are saved in the mean.
func (h Hit) Expected() float64 { return float64(h.Tokens) * h.Confidence }

// Index is an owner's belief of which prefixes an engine's cache holds. It
// is fed by own placements, by the engine's numbered events and by the cached
// tokens that each finished answer reports.
//
// Failure guarded: events come late or not at all. A lost "stored" costs
// nothing, since placements are known here first. A lost "evicted" leaves an
// entry that promises a prefix that is gone. A gap in the numbers makes older
// entries uncertain by the share of events missed and by their age against
// that at which the engine usually evicts. Answers set
// entries right one by one, which resynchronises the index without any
// control traffic.
type Index struct {
	table table
	// next is the number of the next event, 0 before the first batch.
	next uint64
	// lost and seen count events of late; both are halved once a horizon.
	lost, seen float64
	halvedAt   time.Duration
	// gapAt is when events were last known to be missed.
	gapAt time.Duration
	// horizon is the usual age at which the engine evicts, 0 when unknown.
	horizon time.Duration
}

// NewIndex returns an index for about the given number of chats.
func NewIndex(entries int) *Index {
	return &Index{table: newTable(entries)}
}

// Lookup returns the longest prefix of the chain believed cached. A prompt
// that was placed here is cached together with its answer, which is the next
// message of the chain; links before the root are shared prompts and have no
// answer of their own.
func (x *Index) Lookup(now time.Duration, chain []chat.Link, root int) Hit {
	hit := x.longest(now, chain)
	if answer := hit.Link + 1; hit.Link >= root && answer < len(chain) {
		hit.Tokens = chain[answer].Tokens
	}
	return hit
}

// longest looks up the links from the deepest on.
func (x *Index) longest(now time.Duration, chain []chat.Link) Hit {
	last := max(0, len(chain)-maxProbes)
	for i := len(chain) - 1; i >= last; i-- {
		if hit, ok := x.probe(now, chain, i); ok {
			return hit
		}
	}
	// The first links are shared by many chats and worth one more look.
	if last > 0 {
		if hit, ok := x.probe(now, chain, 0); ok {
			return hit
		}
	}
	return Hit{Link: -1}
}

// probe looks one link up.
func (x *Index) probe(now time.Duration, chain []chat.Link, i int) (Hit, bool) {
	_, stamp, ok := x.table.get(uint64(chain[i].Hash))
	if !ok {
		return Hit{}, false
	}
	return Hit{Tokens: chain[i].Tokens, Confidence: x.confidence(now, stamp), Link: i}, true
}

// confidence is the chance that an entry is still cached, given that no
// event has said it is not: the chance that an entry of its age is kept,
// against that of being evicted with the event missed.
func (x *Index) confidence(now time.Duration, stamp uint64) float64 {
	age := ageOf(now, stamp)
	if x.lost == 0 || x.horizon == 0 || age <= now-x.gapAt {
		return 1
	}
	evicted := float64(age)/float64(x.horizon) - evictsFrom
	kept := min(1, max(leastKept, 1-evicted))
	missed := (1 - kept) * x.lost / (x.lost + x.seen)
	return kept / (kept + missed)
}

// Placed notes that a request was sent to the engine, which caches its whole
// prompt. The entry of its earlier turn is dropped, so that a chat takes one
// entry however long it grows; links before the root are shared and stay.
func (x *Index) Placed(now time.Duration, chain []chat.Link, root int, hit Hit) {
	if len(chain) == 0 {
		return
	}
	deepest := len(chain) - 1
	if hit.Link >= root && hit.Link < deepest {
		x.table.remove(uint64(chain[hit.Link].Hash))
	}
	if root > 0 {
		x.store(now, chain[root-1])
	}
	x.store(now, chain[deepest])
}

// store sets the entry of one link.
func (x *Index) store(now time.Duration, link chat.Link) {
	x.table.put(now, uint64(link.Hash), uint64(link.Tokens))
}

// Observed takes what an answer reported as served from cache. When that is
// less than the hit, the prefix had been evicted unseen.
func (x *Index) Observed(now time.Duration, hit Hit, cached int) {
	if hit.Link < 0 || cached >= hit.Tokens/missedShare {
		return
	}
	// The request itself has put its prompt back, so the entry is right
	// again; what is learnt is that an eviction went unseen.
	x.miss(now, 1)
}

// Apply takes a run of events numbered from first.
func (x *Index) Apply(now time.Duration, first uint64, events []Event) BatchResult {
	end := first + uint64(len(events))
	result := BatchApplied
	switch {
	case end < first || (x.next > 0 && end <= x.next):
		return BatchStale
	case x.next > 0 && first < x.next:
		events = events[x.next-first:]
	case x.next > 0 && first > x.next:
		x.miss(now, first-x.next)
		result = BatchAfterGap
	}
	x.next = end
	x.seen += float64(len(events))
	x.fade(now)
	for _, event := range events {
		x.event(now, event)
	}
	return result
}

// miss notes missed events.
func (x *Index) miss(now time.Duration, count uint64) {
	x.lost = min(x.lost+float64(count), float64(max(1, x.table.live)))
	x.gapAt = now
	x.fade(now)
}

// fade halves the counts once a horizon: by then most entries that older
// misses concerned have been replaced.
func (x *Index) fade(now time.Duration) {
	if x.horizon == 0 || now-x.halvedAt < x.horizon {
		return
	}
	x.lost /= 2
	x.seen /= 2
	x.halvedAt = now
}

// event applies one event. Stored events of links that no placement put here
// are not kept: they are the shorter prefixes of entries held.
func (x *Index) event(now time.Duration, event Event) {
	if event.Op != Evicted {
		return
	}
	stamp, ok := x.table.remove(uint64(event.Hash))
	if !ok {
		return
	}
	age := ageOf(now, stamp)
	if x.horizon == 0 {
		x.horizon = age
	}
	x.horizon += time.Duration(horizonSmoothing * float64(age-x.horizon))
}

// Reset empties the index: the engine restarted with an empty cache.
func (x *Index) Reset() {
	x.table.clear()
	x.next = 0
	x.lost = 0
	x.seen = 0
	x.horizon = 0
}

// Len is the number of entries held.
func (x *Index) Len() int { return x.table.live }

// Bytes is the memory that the index holds.
func (x *Index) Bytes() int { return x.table.bytes() }
