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
	w.putTable(1)
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

// startOf returns what an upstream announces after a start.
func startOf(i int, startedAt int64) roster.Entry {
	return roster.Entry{ID: protocol.UpstreamID(fmt.Sprint("u", i)), Address: fmt.Sprint("a", i), State: roster.Ready, StartedAt: startedAt, Sequence: 1}
}

// noteChange makes one disk VM receive an upstream's change, and merges it at all
// others.
func (w *world) noteChange(id protocol.RouterID, e roster.Entry) {
	w.vms[id].publisher.NoteChange(e.ID)
	w.mergeAtVMs(e)
}

// countKnowing counts the routers whose roster has exactly this entry.
func (w *world) countKnowing(e roster.Entry) int {
	count := 0
	for _, r := range w.routers {
		if found, _ := r.roster.Entry(e.ID); found == e {
			count++
		}
	}
	return count
}

// Guards against changes of many upstreams filling the disk VMs' links.
func TestChangesOfManyUpstreamsGoFromRouterToRouter(t *testing.T) {
	w := relayWorld(900)
	for i := range 300 {
		w.noteChange(inOrder(w.vms)[i%5], startOf(i, 2))
	}
	fromVMs := 0
	for _, id := range inOrder(w.vms) {
		messages := w.vms[id].publisher.PushChanges(w.now)
		for _, message := range messages {
			fromVMs += message.Body.(Changes).size()
		}
		w.deliver(id, messages)
	}
	for i := range 300 {
		assert.Equal(t, w.countKnowing(startOf(i, 2)), 90, "at once")
	}
	most := 5 * pushShare * 375_000
	assert.Assert(t, float64(fromVMs) <= most, "%d bytes from disk VMs, whose links carry %.0f for them in a second", fromVMs, most)
}

// Guards against a router that sends to a leaving upstream because its relay has lost
// power.
func TestAChangeReachesRoutersWhoseRelayIsGone(t *testing.T) {
	w := relayWorld(10)
	gone := protocol.RouterID("")
	for _, id := range inOrder(w.routers) {
		if len(w.routers[id].relay.receivers) > 0 {
			gone = id
		}
	}
	w.cutOff[gone] = true
	w.vms["vm2"].publisher.pushes.take(w.now, 1<<20) // its link is full
	leaving := startOf(3, 1)
	leaving.State, leaving.Sequence = roster.Draining, 2
	w.noteChange("vm2", leaving)
	w.deliver("vm2", w.vms["vm2"].publisher.PushChanges(w.now))
	assert.Assert(t, w.countKnowing(leaving) < 89)
	w.run(1800 * time.Millisecond)
	assert.Equal(t, w.countKnowing(leaving), 89)
}

// Guards against a change that depends on a relay although the link has capacity for
// everyone.
func TestAFewChangesAreSentToEachRouter(t *testing.T) {
	w := relayWorld(10)
	for _, r := range w.routers {
		r.relay.receivers = nil
	}
	leaving := startOf(3, 1)
	leaving.State, leaving.Sequence = roster.Draining, 2
	w.noteChange("vm2", leaving)
	w.deliver("vm2", w.vms["vm2"].publisher.PushChanges(w.now))
	assert.Equal(t, w.countKnowing(leaving), 90)
}

// Guards against routers that relay changes to other data centres.
func TestChangesStayInTheDataCentre(t *testing.T) {
	w := relayWorld(10)
	for _, id := range inOrder(w.routers) {
		relay := w.routers[id].relay
		for _, receiver := range relay.receivers {
			assert.Equal(t, w.routers[receiver].relay.self.DataCentre, relay.self.DataCentre)
			assert.Assert(t, w.routers[receiver].relay.hasParent)
		}
	}
}

// Guards against restarted routers waiting for the disk VMs' links.
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
		assert.Equal(t, w.countKnowing(startOf(i, 1)), 90)
	}
	assert.Assert(t, w.lists <= 10, "%d lists from disk VMs for 30 routers", w.lists)
}

// Guards against a router whose load no relay aggregates, so that all choices miss its
// load.
func TestAllRoutersAgreeWhichRelayAggregatesTheirLoad(t *testing.T) {
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
		assert.Assert(t, len(n.Members) <= 25, "%s aggregates the load of %d routers", id, len(n.Members))
		assert.Equal(t, len(n.Relays), 29)
		for _, other := range n.Relays {
			assert.Assert(t, slices.Contains(found[other].Relays, id))
		}
	}
	assert.Equal(t, relays, 30)
}

// Guards against full links because each router is sent each upstream that starts.
func TestAFleetThatStartsIsNotFloodedWithItsUpstreams(t *testing.T) {
	w := newWorld(5)
	w.putTable(1)
	for i := range 90 {
		r := Router{ID: protocol.RouterID(fmt.Sprint("r", i)), DataCentre: protocol.DataCentre(fmt.Sprint("dc", i%3))}
		w.startRouter(r.ID, "vm1").SetRelay(NewRelay(r, 1_250_000))
	}
	pushed := 0
	for tick := range 40 {
		for i := tick * 30; i < min(900, (tick+1)*30); i++ {
			w.noteChange(inOrder(w.vms)[i%5], startOf(i, 1))
		}
		for _, id := range inOrder(w.vms) {
			messages := w.vms[id].publisher.PushChanges(w.now)
			for _, message := range messages {
				pushed += message.Body.(Changes).size()
			}
			w.deliver(id, messages)
		}
		w.runRelays(50 * time.Millisecond)
		for _, r := range w.routers {
			r.relay.SetRouters(othersKnownTo(r.Follower, w.now))
		}
	}
	w.runRelays(3 * time.Second)
	for i := range 900 {
		assert.Equal(t, w.countKnowing(startOf(i, 1)), 90)
	}
	most := 5 * pushShare * 375_000 * (w.now.Seconds() + 1)
	assert.Assert(t, float64(pushed) <= most, "%d bytes were pushed, the links have capacity for %.0f", pushed, most)
	whole := len(packList(w.now, w.vms["vm1"].roster, roster.AllBuckets).Packed)
	assert.Assert(t, w.listBytes <= 2*90*whole, "lists of %d bytes from disk VMs, a whole one has %d", w.listBytes, whole)
}
