package engine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// maxEventsPerBatch bounds the cache events of one announcement to some 10 kB.
const maxEventsPerBatch = 200

// maxPending bounds the events that wait for publication, some 1 MB. An engine
// whose announcements reach nobody drops the older half, and the next batch's
// First shows the gap.
const maxPending = 10_000

// eventLog numbers the changes of the cache from 1 and publishes them late.
type eventLog struct {
	first   uint64 // number of pending[0]
	pending []stampedEvent
}

type stampedEvent struct {
	at    time.Duration
	event upstreamapi.CacheEvent
}

func (l *eventLog) add(now time.Duration, op upstreamapi.CacheOp, hash chat.ChainHash) {
	event := upstreamapi.CacheEvent{Op: op, Hash: FormatHash(hash)}
	l.pending = append(l.pending, stampedEvent{at: now, event: event})
	if len(l.pending) > maxPending {
		l.drop(maxPending / 2)
	}
}

// drop forgets the oldest events.
func (l *eventLog) drop(n int) {
	l.pending = append(l.pending[:0], l.pending[n:]...)
	l.first += uint64(n)
}

// take removes and returns the events of at least the given age. With
// probability gap they are lost instead, and the next batch's First shows it.
func (l *eventLog) take(now, age time.Duration, gap float64, rng *rand.Rand) *upstreamapi.CacheBatch {
	ripe := 0
	for ripe < len(l.pending) && ripe < maxEventsPerBatch && l.pending[ripe].at+age <= now {
		ripe++
	}
	if ripe == 0 {
		return nil
	}
	batch := &upstreamapi.CacheBatch{First: l.first}
	for _, stamped := range l.pending[:ripe] {
		batch.Events = append(batch.Events, stamped.event)
	}
	l.drop(ripe)
	if rng.Float64() < gap {
		return nil
	}
	return batch
}

// FormatHash writes a prefix hash as cache events carry it.
func FormatHash(hash chat.ChainHash) string {
	return fmt.Sprintf("%016x", uint64(hash))
}
