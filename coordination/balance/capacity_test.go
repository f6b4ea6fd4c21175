package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

func TestCapacityFollowsEachChangeOfTheRoster(t *testing.T) {
	// Guards: the slots of upstreams that have left or changed stay in the sum, and a rate limit
	// admits more than the upstreams can do.
	b := NewBalancer(Settings{})
	random := rand.New(rand.NewPCG(1, 2))
	entries := map[protocol.UpstreamID]roster.Entry{}
	for range 500 {
		id := protocol.UpstreamID(rune('a' + random.IntN(20)))
		e := roster.Entry{
			ID: id, Service: "s", Slots: 1 + random.IntN(5), State: roster.State(1 + random.IntN(3)),
			DataCentre: protocol.DataCentre(rune('x' + random.IntN(3))),
		}
		if e.State == roster.Gone {
			delete(entries, id)
		} else {
			entries[id] = e
		}
		b.ApplyEntries([]roster.Entry{e})
		if random.IntN(2) == 0 {
			b.Started(id)
		}
		b.SetEvacuated([]protocol.DataCentre{protocol.DataCentre(rune('x' + random.IntN(3)))})
		want, least := Capacity{}, 0
		for id, e := range entries {
			if e.State == roster.Ready && !b.evacuated[e.DataCentre] {
				load, _ := b.Load(id)
				want.Slots += e.Slots
				want.InFlight += load
				if least == 0 || e.Slots < least {
					least = e.Slots
				}
			}
		}
		assert.Equal(t, b.Capacity("s"), want)
		assert.Equal(t, b.LeastSlots("s"), least)
	}
}

func TestUnannouncedSlotsMakeTheCapacityUnknown(t *testing.T) {
	// Guards: a service of which only some upstreams announce slots is limited to those.
	b := NewBalancer(Settings{})
	b.SetRoster([]roster.Entry{
		{ID: "u1", Service: "s", State: roster.Ready, Slots: 6}, {ID: "u2", Service: "s", State: roster.Ready},
	})
	assert.Equal(t, b.Capacity("s").Slots, 0)
	assert.Equal(t, b.LeastSlots("s"), 0)
	b.ApplyLoadReport(time.Second, "r2", LoadReport{Upstreams: []UpstreamLoad{{ID: ShortIDOf("u1"), InFlight: 3}}})
	assert.Equal(t, b.Capacity("s").InFlight, 3)
	b.SetRoster([]roster.Entry{{ID: "u1", Service: "s", State: roster.Ready, Slots: 6}})
	assert.Equal(t, b.Capacity("s"), Capacity{Slots: 6, InFlight: 3})
}
