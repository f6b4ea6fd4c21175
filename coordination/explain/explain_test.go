package explain

import (
	"testing"

	"gotest.tools/v3/assert"
)

// An operator asks why a request was refused. Since then, thousands of ordinary
// requests have filled the ring. The refusal must still be found.
func TestRefusalOutlivesRoutineEvents(t *testing.T) {
	ring := NewRing(4)
	ring.Add(Event{Request: "a", What: "refused"})
	for range 100 {
		ring.Add(Event{Request: "b", What: "placed"})
	}
	assert.Equal(t, len(ring.Find(Query{Request: "a"})), 1)
	assert.Equal(t, len(ring.Find(Query{Request: "b"})), 4)
}

// Events of both buffers match a query. They must come merged in their order, and the
// limit must keep the newest.
func TestFoundEventsAreInOrderAndBounded(t *testing.T) {
	ring := NewRing(8)
	for range 5 {
		ring.Add(Event{What: "placed"})
		ring.Add(Event{What: "spilled"})
	}
	found := ring.Find(Query{Limit: 3})
	assert.Equal(t, len(found), 3)
	assert.Equal(t, found[0].Sequence, uint64(8))
	assert.Equal(t, found[2].Sequence, uint64(10))
}
