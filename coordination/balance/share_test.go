package balance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// sharesOf returns how many requests each router may have on each upstream that isn't evacuated,
// if all routers together may have limit on each.
func sharesOf(b *Balancer, routers, limit int) map[protocol.UpstreamID][]int {
	shares := map[protocol.UpstreamID][]int{}
	p := b.poolOf("s")
	for router := range routers {
		b.SetPosition(Position{Index: router, Routers: routers})
		b.setPlaces(p)
		for _, u := range p.ready {
			if b.evacuated[u.entry.DataCentre] {
				continue
			}
			u.own.InFlight = 0
			for b.hasShareLeft(u, limit) {
				u.own.InFlight++
			}
			shares[u.entry.ID] = append(shares[u.entry.ID], u.own.InFlight)
			u.own.InFlight = 0
		}
	}
	return shares
}

func TestSharesOfAllRoutersAddUpToTheLimit(t *testing.T) {
	// Guards: the routers' shares of an upstream are more or fewer than it may have, or some
	// routers have hardly any share.
	for _, fleet := range []struct{ routers, upstreams, limit int }{{9, 12, 7}, {62, 60, 7}, {67, 90, 6}, {300, 1000, 5}, {5, 9, 12}} {
		t.Run(fmt.Sprint(fleet), func(t *testing.T) {
			b := NewBalancer(Settings{Multiple: 2, Slack: 3})
			b.SetRoster(entries(fleet.upstreams))
			b.SetEvacuated([]protocol.DataCentre{"dc0", "dc2"})
			shares := sharesOf(b, fleet.routers, fleet.limit)
			assert.Equal(t, len(shares), fleet.upstreams/3)
			byRouter := make([]int, fleet.routers)
			for id, list := range shares {
				sum := 0
				for router, share := range list {
					sum += share
					byRouter[router] += share
				}
				assert.Equal(t, sum, fleet.limit, "%s", id)
			}
			even := fleet.limit * len(shares) / fleet.routers
			for router, sum := range byRouter {
				assert.Assert(t, sum >= even-2 && sum <= even+2, "router %d has %d, an even share is %d", router, sum, even)
			}
		})
	}
}

func TestShareIsCountedAnewWhenUpstreamsChange(t *testing.T) {
	// Guards: an evacuation or a changed list leaves old places, and two routers count different
	// shares of the same upstream.
	b, other := newBalancer(12), NewBalancer(Settings{Multiple: 2, Slack: 3})
	b.SetEvacuated([]protocol.DataCentre{"dc0"})
	sharesOf(b, 9, 5)
	b.SetEvacuated([]protocol.DataCentre{"dc0", "dc2"})
	sharesOf(b, 9, 5)
	b.ApplyEntries(entries(15)[12:])
	other.SetRoster(entries(15))
	other.SetEvacuated([]protocol.DataCentre{"dc0", "dc2"})
	assert.DeepEqual(t, sharesOf(b, 9, 5), sharesOf(other, 9, 5))
}

func TestOrdinaryEvacuationSharesNothing(t *testing.T) {
	// Guards: with most upstreams in use, or with hardly any load, prompts are kept from the
	// engines that have them cached.
	b := newBalancer(12)
	b.SetPosition(Position{Index: 1, Routers: 3})
	b.SetEvacuated([]protocol.DataCentre{"dc0"})
	for _, e := range entries(12) {
		for range 9 {
			b.Started(e.ID)
		}
	}
	found := b.usable(now, prompt(7))
	assert.Equal(t, b.sharedLimit(&found), 0, "two of three data centres are left")
	b.SetEvacuated([]protocol.DataCentre{"dc0", "dc1"})
	found = b.usable(now, prompt(7))
	assert.Equal(t, b.sharedLimit(&found), 9, "twice 36 of 12 engines and three")
	found = b.usable(now, plain())
	assert.Equal(t, b.sharedLimit(&found), 0, "plain requests")
	idle := newBalancer(12)
	idle.SetPosition(Position{Index: 1, Routers: 3})
	idle.SetEvacuated([]protocol.DataCentre{"dc0", "dc1"})
	found = idle.usable(now, prompt(7))
	assert.Equal(t, idle.sharedLimit(&found), 0, "no load")
}
