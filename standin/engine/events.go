package engine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// maxEventsPerBatch limits the cache events in one announcement, to about 10 kB.
const maxEventsPerBatch = 200

// maxPending limits the events that wait for publication, to about 1 MB. An engine
// whose announcements reach no router drops the older half, and the next batch's
// First shows the gap.
const maxPending = 10_000

// eventLog numbers the changes of the cache from 1 and keeps them until they are
// published.
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

// drop removes the n oldest events.
func (l *eventLog) drop(n int) {
	l.pending = append(l.pending[:0], l.pending[n:]...)
	l.first += uint64(n)
}

// take removes and returns the events that are at least as old as age, at most
// maxEventsPerBatch. With probability gap it loses them and returns nil, and the
// next batch's First shows the gap.
func (l *eventLog) take(now, age time.Duration, gap float64, rng *rand.Rand) *upstreamapi.CacheBatch {
	due := 0
	for due < len(l.pending) && due < maxEventsPerBatch && l.pending[due].at+age <= now {
		due++
	}
	if due == 0 {
		return nil
	}
	batch := &upstreamapi.CacheBatch{First: l.first}
	for _, stamped := range l.pending[:due] {
		batch.Events = append(batch.Events, stamped.event)
	}
	l.drop(due)
	if rng.Float64() < gap {
		return nil
	}
	return batch
}

// FormatHash formats the hash of a prefix as cache events carry it.
func FormatHash(hash chat.ChainHash) string {
	return fmt.Sprintf("%016x", uint64(hash))
}
