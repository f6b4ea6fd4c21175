package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// relayWorld is a fleet of 90 routers in three data centres that know each other and
// list some upstreams.
func relayWorld(upstreams int) *world {
	w := newWorld(5)
	w.put(1)
	for i := range upstreams {
		for _, v := range w.vms {
			v.roster.Merge(w.now, startOf(i, 1))
		}
	}
	var routers []Router
	for i := range 90 {
		routers = append(routers, Router{ID: protocol.RouterID(fmt.Sprint("r", i)), DataCentre: protocol.DataCentre(fmt.Sprint("dc", i%3))})
	}
	for at, r := range routers {
		relay := NewRelay(r, 1_250_000)
		relay.SetRouters(append(append([]Router{}, routers[:at]...), routers[at+1:]...))
		w.startRouter(r.ID, "vm1").SetRelay(relay)
	}
	w.run(4 * time.Second)
	return w
}

// startOf returns what an upstream says after a start.
func startOf(i int, born int64) roster.Entry {
	return roster.Entry{ID: protocol.UpstreamID(fmt.Sprint("u", i)), Address: fmt.Sprint("a", i), State: roster.Ready, StartedAt: born, Sequence: 1}
}

// tell makes one disk VM hear an upstream, and all others be told.
func (w *world) tell(id protocol.RouterID, e roster.Entry) {
	w.vms[id].publisher.Heard(e.ID)
	w.tellOtherVMs(e)
}

// knowing counts the routers that list an upstream as it is.
func (w *world) knowing(e roster.Entry) int {
	count := 0
	for _, r := range w.routers {
		if found, _ := r.roster.Entry(e.ID); found == e {
			count++
		}
	}
	return count
}

// Guards: changes of many upstreams fill the disk VMs' links.
func TestChangesOfManyUpstreamsGoFromRouterToRouter(t *testing.T) {
	w := relayWorld(900)
	for i := range 300 {
		w.tell(inOrder(w.vms)[i%5], startOf(i, 2))
	}
	fromVMs := 0
	for _, id := range inOrder(w.vms) {
		sends := w.vms[id].publisher.PushHeard(w.now)
		for _, send := range sends {
			fromVMs += send.Body.(Changes).size()
		}
		w.carry(id, sends)
	}
	for i := range 300 {
		assert.Equal(t, w.knowing(startOf(i, 2)), 90, "at once")
	}
	most := 5 * pushShare * 375_000
	assert.Assert(t, float64(fromVMs) <= most, "%d bytes from disk VMs, whose links carry %.0f for them in a second", fromVMs, most)
}

// Guards: a router sends to an upstream that leaves because its relay has lost power.
func TestAChangeReachesRoutersWhoseRelayIsGone(t *testing.T) {
	w := relayWorld(10)
	gone := protocol.RouterID("")
	for _, id := range inOrder(w.routers) {
		if len(w.routers[id].relay.receivers) > 0 {
			gone = id
		}
	}
	w.deaf[gone] = true
	w.vms["vm2"].publisher.pushes.take(w.now, 1<<20) // its link is full
	leaving := startOf(3, 1)
	leaving.State, leaving.Sequence = roster.Draining, 2
	w.tell("vm2", leaving)
	w.carry("vm2", w.vms["vm2"].publisher.PushHeard(w.now))
	assert.Assert(t, w.knowing(leaving) < 89)
	w.run(1800 * time.Millisecond)
	assert.Equal(t, w.knowing(leaving), 89)
}

// Guards: a change depends on a relay though the link has room.
func TestAFewChangesAreToldToEachRouter(t *testing.T) {
	w := relayWorld(10)
	for _, r := range w.routers {
		r.relay.receivers = nil
	}
	leaving := startOf(3, 1)
	leaving.State, leaving.Sequence = roster.Draining, 2
	w.tell("vm2", leaving)
	w.carry("vm2", w.vms["vm2"].publisher.PushHeard(w.now))
	assert.Equal(t, w.knowing(leaving), 90)
}

// Guards: routers are passed changes from other data centres.
func TestChangesStayInTheDataCentre(t *testing.T) {
	w := relayWorld(10)
	for _, id := range inOrder(w.routers) {
		relay := w.routers[id].relay
		for _, receiver := range relay.receivers {
			assert.Equal(t, w.routers[receiver].relay.self.DataCentre, relay.self.DataCentre)
			assert.Assert(t, w.routers[receiver].relay.waits)
		}
	}
}

// Guards: routers that restart wait for the disk VMs' links.
func TestRoutersThatStartGetTheUpstreamsFromEachOther(t *testing.T) {
	w := relayWorld(900)
	w.lists = 0
	for _, id := range inOrder(w.routers)[:30] {
		before := w.routers[id].relay
		again := NewRelay(before.self, 1_250_000)
		again.SetRouters(before.others)
		w.startRouter(id, "vm1").SetRelay(again)
	}
	w.runRelays(700 * time.Millisecond)
	for i := range 900 {
		assert.Equal(t, w.knowing(startOf(i, 1)), 90)
	}
	assert.Assert(t, w.lists <= 10, "%d lists from disk VMs for 30 routers", w.lists)
}

// Guards: a router that no relay adds up for is missing in all choices.
func TestAllRoutersAgreeWhoAddsUpForWhom(t *testing.T) {
	var routers []Router
	for i := range 300 {
		routers = append(routers, Router{ID: protocol.RouterID(fmt.Sprint("r", i)), DataCentre: protocol.DataCentre(fmt.Sprint("dc", i%3))})
	}
	found := map[protocol.RouterID]balance.Neighbours{}
	for at, r := range routers {
		relay := NewRelay(r, 1_250_000)
		relay.SetRouters(append(append([]Router{}, routers[:at]...), routers[at+1:]...))
		found[r.ID] = relay.Neighbours()
	}
	relays := 0
	for id, n := range found {
		if n.Relay != "" {
			assert.Assert(t, slices.Contains(found[n.Relay].Members, id))
			continue
		}
		relays++
		assert.Assert(t, len(n.Members) <= 25, "%s adds up for %d", id, len(n.Members))
		assert.Equal(t, len(n.Relays), 29)
		for _, other := range n.Relays {
			assert.Assert(t, slices.Contains(found[other].Relays, id))
		}
	}
	assert.Equal(t, relays, 30)
}

// Guards: each router is told of each upstream that starts, and the links are full.
func TestAFleetThatStartsIsNotFloodedWithItsUpstreams(t *testing.T) {
	w := newWorld(5)
	w.put(1)
	for i := range 90 {
		r := Router{ID: protocol.RouterID(fmt.Sprint("r", i)), DataCentre: protocol.DataCentre(fmt.Sprint("dc", i%3))}
		w.startRouter(r.ID, "vm1").SetRelay(NewRelay(r, 1_250_000))
	}
	pushed := 0
	for tick := range 40 {
		for i := tick * 30; i < min(900, (tick+1)*30); i++ {
			w.tell(inOrder(w.vms)[i%5], startOf(i, 1))
		}
		for _, id := range inOrder(w.vms) {
			sends := w.vms[id].publisher.PushHeard(w.now)
			for _, send := range sends {
				pushed += send.Body.(Changes).size()
			}
			w.carry(id, sends)
		}
		w.runRelays(50 * time.Millisecond)
		for _, r := range w.routers {
			r.relay.SetRouters(slices.DeleteFunc(r.Routers(w.now), func(other Router) bool { return other.ID == r.self }))
		}
	}
	w.runRelays(3 * time.Second)
	for i := range 900 {
		assert.Equal(t, w.knowing(startOf(i, 1)), 90)
	}
	most := 5 * pushShare * 375_000 * (w.now.Seconds() + 1)
	assert.Assert(t, float64(pushed) <= most, "%d bytes were pushed, %.0f have room", pushed, most)
	whole := len(packList(w.vms["vm1"].roster, roster.AllBuckets).Packed)
	assert.Assert(t, w.listBytes <= 2*90*whole, "lists of %d bytes from disk VMs, a whole one has %d", w.listBytes, whole)
}
