package node

import (
	"time"

	"endiveplank/protocol"
)

// Totals is what an owner tells the other routers about the upstreams it
// owns.
type Totals struct {
	// Outstanding is the work under way, in tokens.
	Outstanding float64 `msgpack:"o"`
	// Capacity is the sum of the upstreams' capacities.
	Capacity float64 `msgpack:"c"`
	// Sequence grows with each message of one router.
	Sequence uint64 `msgpack:"s"`
}

// totalsBook keeps the newest totals of each router.
type totalsBook struct {
	sequence uint64
	sent     time.Duration
	others   map[protocol.RouterID]knownTotals
}

type knownTotals struct {
	totals Totals
	at     time.Duration
}

func newTotalsBook() *totalsBook {
	return &totalsBook{others: map[protocol.RouterID]knownTotals{}}
}

func (b *totalsBook) learn(now time.Duration, from protocol.RouterID, totals Totals) {
	if known, ok := b.others[from]; ok && known.totals.Sequence >= totals.Sequence {
		return
	}
	b.others[from] = knownTotals{totals, now}
}
