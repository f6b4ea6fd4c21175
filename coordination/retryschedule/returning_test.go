package retryschedule

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// Guards: callers who can only be answered late take the capacity that new requests need to be
// answered in time, and both are late.
func TestLateRetriesGetOnlyWhatNewRequestsLeave(t *testing.T) {
	full := alone(200)
	full.Spare = 0
	for name, test := range map[string]struct {
		objective time.Duration
		capacity  Capacity
		reserved  bool
	}{
		"late, no spare capacity": {objective: meshInterval, capacity: full},
		"late, spare capacity":    {objective: meshInterval, capacity: alone(200), reserved: true},
		"in time":                 {objective: 2 * time.Second, capacity: full, reserved: true},
	} {
		t.Run(name, func(t *testing.T) {
			refused := order(1)
			refused.Objective = test.objective
			offer := NewSchedule(Settings{}).Offer(at, 0, refused, test.capacity)
			assert.Equal(t, offer.Reserved, test.reserved)
			assert.Equal(t, offer.Reservation.Unreserved, !test.reserved)
		})
	}
}

// Guards: a refused caller comes back at another router and is taken for a new one, so that it gains a
// second chance over callers that come for the first time.
func TestAllRoutersKnowWhoWasRefused(t *testing.T) {
	a, b := NewReservations(), NewReservations()
	a.SetNeighbours(Neighbours{Mesh: []protocol.RouterID{"b"}})
	b.SetNeighbours(Neighbours{Mesh: []protocol.RouterID{"a"}})
	refused := Reservation{Digest: 7, Due: at + time.Second, Unreserved: true}
	assert.Assert(t, a.Add(at, refused))
	for _, out := range a.Reports(at) {
		b.Apply(at, "a", out.Reported)
	}
	match, left := b.Match(at, 7)
	assert.Equal(t, match, Returning)
	assert.Equal(t, left, time.Duration(0))

	b.Consume(at, 7)
	match, _ = b.Match(at, 7)
	assert.Equal(t, match, None)
	for _, out := range b.Reports(at) {
		a.Apply(at, "b", out.Reported)
	}
	match, _ = a.Match(at, 7)
	assert.Equal(t, match, None)
}
