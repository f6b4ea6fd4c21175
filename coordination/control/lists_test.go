package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// Guards against a router that drops upstreams as silent because nothing about them
// changes.
func TestUpstreamsThatNeverChangeStayListed(t *testing.T) {
	w := newWorld(3)
	w.putTable(1)
	r := w.startRouter("r1", "vm1")
	e := roster.Entry{ID: "u1", Service: "chat", Address: "a:1", State: roster.Ready, Sequence: 1}
	w.vms["vm2"].roster.Merge(w.now, e)
	for range 20 {
		e.Sequence++
		for _, v := range w.vms {
			v.roster.Merge(w.now, e)
		}
		w.run(5 * time.Second)
		r.roster.Expire(w.now)
		found, known := r.roster.Entry("u1")
		assert.Assert(t, known && found.State == roster.Ready, "at %s", w.now)
	}

	// Then the upstream dies without announcing it. The disk VMs drop it, and so must
	// routers.
	for range 20 {
		for _, v := range w.vms {
			v.roster.Expire(w.now)
		}
		w.run(5 * time.Second)
		r.roster.Expire(w.now)
	}
	_, known := r.roster.Entry("u1")
	assert.Assert(t, !known)
}

// Guards against a change that only one disk VM received staying unknown because the
// other disk VMs agree with the router.
func TestADifferenceWithOneVMIsResolvedWhileOthersAgree(t *testing.T) {
	w := newWorld(3)
	w.putTable(1)
	r := w.startRouter("r1", "vm1")
	e := roster.Entry{ID: "u1", Service: "chat", Address: "a:1", State: roster.Ready, Sequence: 1}
	for _, v := range w.vms {
		v.roster.Merge(w.now, e)
	}
	w.run(5 * time.Second)
	e.State, e.Sequence = roster.Draining, 2
	w.vms["vm2"].roster.Merge(w.now, e)
	w.run(1800 * time.Millisecond)
	found, _ := r.roster.Entry("u1")
	assert.Equal(t, found.State, roster.Draining)
}

// Guards against a router that drops upstreams of which a restarted disk VM has not
// heard yet, or that misses that one of them leaves.
func TestARestartedVMSendsItsWholeRoster(t *testing.T) {
	w := newWorld(1)
	w.putTable(1)
	r := w.startRouter("r1", "vm1")
	for i := range 5 {
		w.vms["vm1"].roster.Merge(w.now, roster.Entry{ID: protocol.UpstreamID(fmt.Sprint("u", i)), Address: fmt.Sprint("a", i), State: roster.Ready, Sequence: 1})
	}
	w.run(2 * time.Second)
	w.startVM("vm1")
	w.setDiskVMs()
	leaving := roster.Entry{ID: "u1", Address: "a1", State: roster.Draining, Sequence: 9}
	w.vms["vm1"].roster.Merge(w.now, leaving)
	w.run(2 * time.Second)
	found, _ := r.roster.Entry("u1")
	assert.Equal(t, found.State, roster.Draining)
	found, _ = r.roster.Entry("u2")
	assert.Equal(t, found.State, roster.Ready)
}

// Guards against whole lists being sent for a few changes and filling the link.
func TestOnlyDifferingPartsOfAListAreSent(t *testing.T) {
	w := newWorld(1)
	w.putTable(1)
	vm := w.vms["vm1"]
	for i := range 1000 {
		vm.roster.Merge(w.now, roster.Entry{ID: protocol.UpstreamID(fmt.Sprint("u", i)), Service: "chat", Address: fmt.Sprint("10.0.0.", i), State: roster.Ready, Sequence: 1})
	}
	r := w.startRouter("r1", "vm1")
	w.run(3 * time.Second)
	assert.Equal(t, r.roster.Usable(), 1000)

	whole := w.listBytes
	for i := range 3 {
		vm.roster.Merge(w.now, roster.Entry{ID: protocol.UpstreamID(fmt.Sprint("u", i)), Service: "chat", Address: fmt.Sprint("10.0.0.", i), State: roster.Draining, Sequence: 2})
	}
	w.run(3 * time.Second)
	for i := range 3 {
		found, _ := r.roster.Entry(protocol.UpstreamID(fmt.Sprint("u", i)))
		assert.Equal(t, found.State, roster.Draining)
	}
	part := w.listBytes - whole
	assert.Assert(t, part > 0 && part < whole/5, "%d bytes for three changes, %d for all", part, whole)
	assert.Equal(t, r.roster.Usable(), 1000)
	w.run(roster.DefaultSettings().ForgetSilent + 5*time.Second)
	r.roster.Expire(w.now)
	assert.Equal(t, r.roster.Usable(), 1000, "what wasn't sent again is still listed")
}

// Guards against packing a separate list for each router that lacks other parts.
func TestRoutersThatLackMuchShareOnePackedList(t *testing.T) {
	v := roster.New(roster.DefaultSettings())
	for i := range 1000 {
		v.Merge(0, roster.Entry{ID: protocol.UpstreamID(fmt.Sprint("u", i)), Address: fmt.Sprint("a", i), State: roster.Ready, Sequence: 1})
	}
	p := NewPublisher(v, 2<<30)
	lists := 0
	packed := map[*byte]bool{}
	for n := range 100 {
		has := roster.New(roster.DefaultSettings())
		for i, e := range v.Entries() {
			if i < 5*n || i >= 5*n+30 {
				has.Merge(0, e)
			}
		}
		id := protocol.RouterID(fmt.Sprint("r", n))
		for _, message := range p.HandleWatch(time.Duration(n)*time.Millisecond, id, Watch{Router: true, WantList: true, Have: has.Summary()}) {
			if list, is := message.Body.(List); is {
				lists++
				packed[&list.Packed[0]] = true
			}
		}
	}
	assert.Assert(t, lists > 50, "%d", lists)
	assert.Equal(t, len(packed), 1)
}

// Guards against every router asking every disk VM for its list when the fleet starts.
func TestAFleetThatStartsAsksForFewLists(t *testing.T) {
	w := newWorld(5)
	for n, v := range []protocol.RouterID{"vm1", "vm2", "vm3", "vm4", "vm5"} {
		for i := range 90 + n {
			w.vms[v].roster.Merge(w.now, roster.Entry{ID: protocol.UpstreamID(fmt.Sprint("u", i)), Address: fmt.Sprint("a", i), State: roster.Ready, Sequence: 1})
		}
	}
	for i := range 87 {
		w.startRouter(protocol.RouterID(fmt.Sprint("r", i)), "vm1", "vm2", "vm3")
	}
	w.run(1 * time.Second)
	for _, v := range w.vms {
		for _, e := range w.vms["vm5"].roster.Entries() {
			v.roster.Merge(w.now, e)
		}
	}
	w.run(4 * time.Second)
	assert.Assert(t, w.lists < 3*87, "%d lists for 87 routers", w.lists)
	for _, r := range w.routers {
		assert.Equal(t, len(r.roster.Entries()), 94)
	}
}

// Guards against packing a growing list again for each router that asks.
func TestAWholeListIsPackedSeldomWhileItGrows(t *testing.T) {
	r := roster.New(roster.DefaultSettings())
	lists := &packedLists{minLifetime: minWholeListLifetime}
	packed := map[uint64]bool{}
	for i := range 200 {
		at := time.Duration(i) * 10 * time.Millisecond
		r.Merge(at, startOf(i, 1))
		packed[lists.packed(at, r, roster.AllBuckets).Digest] = true
	}
	assert.Assert(t, len(packed) <= 5, "packed %d times in two seconds", len(packed))
	last := lists.packed(10*time.Second, r, roster.AllBuckets)
	assert.Equal(t, last.Digest, r.Digest())
	part := lists.packed(10*time.Second, r, 1)
	r.Merge(10*time.Second, startOf(999, 1))
	assert.Assert(t, lists.packed(10*time.Second, r, 1).Digest != part.Digest, "parts are never outdated")
}
