package membership

import (
	"cmp"
	"math"
	"slices"

	"endiveplank/protocol"
)

// BulkKind and the broadcast kinds above it are shed before all other rumours:
// items that a later one replaces soon, such as load summaries. Kinds below it
// must arrive, such as quarantine notices.
const BulkKind = 128

// rumourKey says which rumours replace each other.
type rumourKey struct {
	member protocol.RouterID
	item   bool
	kind   uint8
	key    uint64
}

func (r rumour) key() rumourKey {
	if r.Kind != rumourItem {
		return rumourKey{member: r.Member.ID}
	}
	return rumourKey{member: r.Member.ID, item: true, kind: r.ItemKind, key: r.Key}
}

// usefulness orders rumours: who is dead and who is not after all; then who is
// doubted; then items that must arrive; then who is new; then bulk items.
func (r rumour) usefulness() int {
	switch {
	case r.Kind == rumourDead || r.Kind == rumourLeft:
		return 0
	case r.Kind == rumourAlive && r.Member.Incarnation.Refuted > 0:
		return 0
	case r.Kind == rumourSuspect:
		return 1
	case r.Kind == rumourItem && r.ItemKind < BulkKind:
		return 2
	case r.Kind == rumourAlive:
		return 3
	}
	return 4
}

// queued is a rumour with how often it was sent.
type queued struct {
	rumour
	encoded []byte
	sent    int
	rank    int
	order   uint64
}

// queue holds the rumours to pass on. Load: a data centre lost or regions
// joined again, when hundreds of rumours come at once. Harm prevented: memory
// without bound, and old news that crowds out new. Each rumour is sent a
// bounded number of times, and the queue keeps the most useful.
type queue struct {
	limit int
	items []queued
	next  uint64
	shed  uint64
	// sorted says that items are in the order of before.
	sorted bool
}

// add puts a rumour in and takes out what it replaces.
func (q *queue) add(r rumour) {
	key := r.key()
	q.items = slices.DeleteFunc(q.items, func(old queued) bool { return old.key() == key })
	q.next++
	q.items = append(q.items, queued{rumour: r, encoded: appendRumour(nil, r), rank: r.usefulness(), order: q.next})
	q.sorted = false
	if len(q.items) > q.limit {
		q.sort()
		q.items = q.items[:q.limit]
		q.shed++
	}
}

// before orders by usefulness, then by how seldom it was sent, then newest.
func before(a, b queued) int {
	if order := cmp.Compare(a.rank, b.rank); order != 0 {
		return order
	}
	if order := cmp.Compare(a.sent, b.sent); order != 0 {
		return order
	}
	return cmp.Compare(b.order, a.order)
}

func (q *queue) sort() {
	if !q.sorted {
		slices.SortFunc(q.items, before)
		q.sorted = true
	}
}

// take appends the most useful rumours that fit within room bytes and counts
// them as sent; those sent often enough leave.
func (q *queue) take(b []byte, room, transmissions int) []byte {
	if len(q.items) == 0 {
		return b
	}
	q.sort()
	limit := len(b) + room
	done := false
	for i := range q.items {
		item := &q.items[i]
		if len(b)+len(item.encoded) > limit {
			continue
		}
		b = append(b, item.encoded...)
		item.sent++
		q.sorted = false
		done = done || item.sent >= transmissions
	}
	if done {
		q.items = slices.DeleteFunc(q.items, func(item queued) bool { return item.sent >= transmissions })
	}
	return b
}

// transmissions is how often a member of a fleet of that size sends a rumour.
// A rumour that each knower sends to random partners reaches all but a share
// that shrinks exponentially with this number. In a fleet of nine, the formula
// alone would leave one out now and then.
func (c *Core) transmissions() int {
	return max(minTransmissions, int(math.Ceil(c.config.Transmissions*math.Log2(float64(c.living+1)))))
}

// minTransmissions is the least number of times a rumour is sent.
const minTransmissions = 12
