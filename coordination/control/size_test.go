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
