package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// This file checks that what a process does at rest and at a change doesn't grow with the
// fleet, or only as the work does. Costs are counted in messages, bytes and allocations.

// fleetSizes are the numbers of routers that costs are compared at.
var fleetSizes = []int{330, 984, 2_000}

// manyRouters returns routers in five data centres.
func manyRouters(n int) []Router {
	var routers []Router
	for i := range n {
		routers = append(routers, Router{
			ID: protocol.RouterID(fmt.Sprintf("10.%d.%d.%d:7400", i%5+1, i/5/200, 10+i/5%200)), DataCentre: protocol.DataCentre(fmt.Sprint("dc", i%5)),
		})
	}
	return routers
}

// followerOf returns a follower that ten disk VMs have sent their lists of processes.
func followerOf(routers []Router) *Follower {
	var vms []protocol.RouterID
	for i := range 10 {
		vms = append(vms, protocol.RouterID(fmt.Sprint("vm", i)))
	}
	f := NewFollower(routers[0].ID, true, vms, roster.New(roster.DefaultSettings()))
	f.SetRelay(NewRelay(routers[0], 1_250_000))
	fleet := packFleet(vms, routers)
	for _, id := range vms {
		f.HandleStatus(time.Second, id, Status{Version: 1, Roster: f.roster.Digest(), Fleet: &fleet})
	}
	return f
}

// Guards against routers that merge and sort the lists of all processes twenty times a
// second although nothing changes.
func TestListOfRoutersCostsNothingAtRest(t *testing.T) {
	for _, n := range fleetSizes {
		f := followerOf(manyRouters(n))
		listed, revision := f.Routers(time.Second)
		assert.Equal(t, len(listed), n)
		at := time.Second
		allocations := testing.AllocsPerRun(100, func() {
			at += time.Millisecond
			again, same := f.Routers(at)
			assert.Assert(t, same == revision && len(again) == n)
		})
		assert.Assert(t, allocations <= 16, "%v allocations with %d routers", allocations, n)
	}
}

// Guards against a list of routers that keeps one whose disk VMs no longer name it, or that
// lacks one which a single disk VM names.
func TestListOfRoutersFollowsTheDiskVMs(t *testing.T) {
	routers := manyRouters(100)
	f := followerOf(routers)
	at := time.Second
	_, before := f.Routers(at)
	fleet := packFleet([]protocol.RouterID{"vm0"}, append(manyRouters(100)[:50:50], Router{ID: "r-new", DataCentre: "dc0"}))
	f.HandleStatus(at, "vm3", Status{Version: 1, Fleet: &fleet})
	at += maxListMergeInterval
	listed, after := f.Routers(at)
	assert.Equal(t, len(listed), 101)
	assert.Assert(t, after != before)
	for range 4 {
		at += time.Second
		f.HandleStatus(at, "vm3", Status{Version: 1})
	}
	listed, _ = f.Routers(at)
	assert.Equal(t, len(listed), 51, "only the list of the live disk VM counts")
}

// releasePushes plays a release of upstreams at one disk VM that routers follow, and returns
// the messages that it and the busiest relay send in a second, and how late the last router
// learns of an upstream that leaves.
func releasePushes(t *testing.T, routers []Router, leavingPerSecond int) (fromVM, fromRelay int, latest time.Duration) {
	t.Helper()
	const played = 4 * time.Second
	list := roster.New(roster.DefaultSettings())
	p := NewPublisher(list, 300e6/8)
	followers := map[protocol.RouterID]*Follower{}
	for i, self := range routers {
		relay := NewRelay(self, 1_250_000)
		relay.SetRouters(append(append([]Router{}, routers[:i]...), routers[i+1:]...))
		f := NewFollower(self.ID, true, []protocol.RouterID{"vm"}, roster.New(roster.DefaultSettings()))
		f.SetRelay(relay)
		followers[self.ID] = f
	}
	leftAt := map[protocol.UpstreamID]time.Duration{}
	known := map[protocol.UpstreamID]int{}
	relayed := map[protocol.RouterID]int{}
	note := func(now time.Duration, entries []roster.Entry) {
		for _, e := range entries {
			if known[e.ID]++; known[e.ID] == len(routers) {
				latest = max(latest, now-leftAt[e.ID])
			}
		}
	}
	left := 0
	for now := time.Second; now < time.Second+played+time.Second; now += tick {
		for _, self := range routers {
			if (now-time.Second)%WatchInterval == 0 {
				relay := followers[self.ID].relay
				p.HandleWatch(now, self.ID, Watch{Router: true, DataCentre: self.DataCentre, Relays: len(relay.receivers) > 0})
			}
		}
		for ; now < time.Second+played && left < int(float64(leavingPerSecond)*(now-time.Second).Seconds()); left++ {
			e := startOf(left, 1)
			e.State = roster.Draining
			leftAt[e.ID] = now
			list.RecordAnnouncement(now, e)
			p.NoteChange(e.ID)
		}
		for _, message := range p.PushChanges(now) {
			fromVM++
			note(now, entriesOf(message))
			for _, answer := range followers[message.To].HandleChanges(now, "vm", message.Body.(Changes)) {
				if ack, is := answer.Body.(ChangesAck); is {
					p.HandleChangesAck(message.To, ack)
				} else {
					relayed[message.To]++
					note(now, entriesOf(answer))
				}
			}
		}
		for _, self := range routers {
			for _, message := range followers[self.ID].relay.Due(now) {
				relayed[self.ID]++
				note(now, entriesOf(message))
			}
		}
	}
	for _, sent := range relayed {
		fromRelay = max(fromRelay, sent)
	}
	assert.Assert(t, left >= 3*leavingPerSecond)
	for id, count := range known {
		assert.Assert(t, count >= len(routers), "%s is known to %d of %d routers", id, count, len(routers))
	}
	assert.Equal(t, len(known), left)
	seconds := int(played/time.Second) + 1
	return fromVM / seconds, fromRelay / seconds, latest
}

// Guards against a release of a service that keeps disk VMs busy with a message for each
// upstream and router. Pattern: of the 89 upstreams a second that leave, ten disk VMs
// receive nine each.
func TestAReleaseCostsNoMoreMessagesInALargeFleet(t *testing.T) {
	for _, n := range fleetSizes {
		fromVM, fromRelay, latest := releasePushes(t, manyRouters(n), 9)
		t.Logf("%d routers: %d messages a second from a disk VM, %d from a relay, known after %s", n, fromVM, fromRelay, latest)
		assert.Assert(t, fromVM <= 2*maxPushMessages, "a disk VM sends %d messages a second to %d routers", fromVM, n)
		// A relay sends to each receiver at most once in passOnInterval.
		assert.Assert(t, fromRelay <= 30*int(time.Second/passOnInterval), "a relay sends %d messages a second in a fleet of %d", fromRelay, n)
		assert.Assert(t, latest <= time.Second, "known after %s in a fleet of %d", latest, n)
	}
}

// Guards against a disk VM that packs its list of ten thousand upstreams for each request
// while they start, and does nothing else.
func TestAListThatChangesAllTheTimeIsPackedNowAndThen(t *testing.T) {
	for _, upstreams := range []int{1_000, 10_000, 20_000} {
		list := roster.New(roster.DefaultSettings())
		for i := range upstreams {
			list.RecordAnnouncement(0, startOf(i, 1))
		}
		lists := packedLists{}
		packed := map[uint64]bool{}
		const played = 10 * time.Second
		for i := range int(played / (10 * time.Millisecond)) {
			now := time.Duration(i) * 10 * time.Millisecond
			list.RecordAnnouncement(now, startOf(i, 2))
			packed[lists.packed(now, list, roster.AllBuckets).Digest] = true
		}
		most := int(played/(time.Duration(upstreams)*packCost)) + 1
		assert.Assert(t, len(packed) <= most, "packed %d times with %d upstreams", len(packed), upstreams)
	}
}
