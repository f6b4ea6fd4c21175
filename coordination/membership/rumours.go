package membership

import (
	"cmp"
	"math"
	"slices"

	"endiveplank/protocol"
)

// BulkKind and the broadcast kinds above it are shed before all other rumours.
// They are for items that a later one soon replaces, such as load summaries.
// Kinds below it are for items that must arrive, such as quarantine notices.
const BulkKind = 128

// rumourKey identifies the rumours that replace each other.
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

// priority orders rumours, the most useful first: deaths, leaves and
// refutations; then suspicions; then items that must arrive; then new members;
// then bulk items.
func (r rumour) priority() int {
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

// queuedRumour is a rumour with the number of times that it was sent.
type queuedRumour struct {
	rumour
	encoded  []byte
	sent     int
	priority int
	order    uint64
}

// queue holds the rumours to send. When a data centre is lost, or when a
// partition between regions ends, hundreds of rumours come at once. To bound
// memory, and to keep old updates from delaying new ones, each rumour is sent a
// bounded number of times, and a full queue keeps the most useful rumours.
type queue struct {
	limit int
	items []queuedRumour
	next  uint64
	shed  uint64
	// sorted means that items are in the order of compareQueued.
	sorted bool
}

// add queues a rumour and removes the rumour that it replaces.
func (q *queue) add(r rumour) {
	key := r.key()
	q.items = slices.DeleteFunc(q.items, func(old queuedRumour) bool { return old.key() == key })
	q.next++
	q.items = append(q.items, queuedRumour{rumour: r, encoded: appendRumour(nil, r), priority: r.priority(), order: q.next})
	q.sorted = false
	if len(q.items) > q.limit {
		q.sort()
		q.items = q.items[:q.limit]
		q.shed++
	}
}

// compareQueued orders by priority, then the least often sent, then the newest.
func compareQueued(a, b queuedRumour) int {
	if order := cmp.Compare(a.priority, b.priority); order != 0 {
		return order
	}
	if order := cmp.Compare(a.sent, b.sent); order != 0 {
		return order
	}
	return cmp.Compare(b.order, a.order)
}

func (q *queue) sort() {
	if !q.sorted {
		slices.SortFunc(q.items, compareQueued)
		q.sorted = true
	}
}

// take appends the most useful rumours that fit into space bytes and counts them
// as sent. It removes those that were sent often enough.
func (q *queue) take(b []byte, space, transmissions int) []byte {
	if len(q.items) == 0 {
		return b
	}
	q.sort()
	limit := len(b) + space
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
		q.items = slices.DeleteFunc(q.items, func(item queuedRumour) bool { return item.sent >= transmissions })
	}
	return b
}

// transmissions returns the number of times that a member sends a rumour in a
// fleet of the current size. The share of members that a rumour does not reach
// shrinks exponentially with this number. In a fleet of nine, the formula alone
// would miss a member now and then; minTransmissions avoids that.
func (c *Core) transmissions() int {
	return max(minTransmissions, int(math.Ceil(c.config.Transmissions*math.Log2(float64(c.living+1)))))
}

// minTransmissions is the least number of times a rumour is sent.
const minTransmissions = 12
