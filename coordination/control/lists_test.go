package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// Guards: a router takes upstreams of which it is told nothing new for silent.
func TestUpstreamsThatNeverChangeStayListed(t *testing.T) {
	w := newWorld(3)
	w.put(1)
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

	// Then it dies without a word. The disk VMs forget it, and so must routers.
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

// Guards: a change that one disk VM alone was told stays unknown because the others
// agree with the router.
func TestADifferenceWithOneVMIsEndedWhileOthersAgree(t *testing.T) {
	w := newWorld(3)
	w.put(1)
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

// Guards: a router drops upstreams that a restarted disk VM has not heard of yet, or
// misses that one leaves.
func TestARestartedVMSendsItsWholeRoster(t *testing.T) {
	w := newWorld(1)
	w.put(1)
	r := w.startRouter("r1", "vm1")
	for i := range 5 {
		w.vms["vm1"].roster.Merge(w.now, roster.Entry{ID: protocol.UpstreamID(fmt.Sprint("u", i)), Address: fmt.Sprint("a", i), State: roster.Ready, Sequence: 1})
	}
	w.run(2 * time.Second)
	w.startVM("vm1")
	w.tellVMs()
	leaving := roster.Entry{ID: "u1", Address: "a1", State: roster.Draining, Sequence: 9}
	w.vms["vm1"].roster.Merge(w.now, leaving)
	w.run(2 * time.Second)
	found, _ := r.roster.Entry("u1")
	assert.Equal(t, found.State, roster.Draining)
	found, _ = r.roster.Entry("u2")
	assert.Equal(t, found.State, roster.Ready)
}

// Guards: whole lists are sent for a few changes and fill the link.
func TestADifferenceCostsWhatDiffers(t *testing.T) {
	w := newWorld(1)
	w.put(1)
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

// Guards: a list of its own is packed for each router that lacks another part.
func TestRoutersThatLackMuchAreSentOneList(t *testing.T) {
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
		for _, send := range p.Watched(time.Duration(n)*time.Millisecond, id, Watch{Router: true, WantList: true, Have: has.Summary()}) {
			if list, is := send.Body.(List); is {
				lists++
				packed[&list.Packed[0]] = true
			}
		}
	}
	assert.Assert(t, lists > 50, "%d", lists)
	assert.Equal(t, len(packed), 1)
}

// Guards: every router asks every disk VM for its list at a start.
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

// Guards: a list that grows is packed anew for each router that asks.
func TestAWholeListIsPackedSeldomWhileItGrows(t *testing.T) {
	r := roster.New(roster.DefaultSettings())
	lists := &packedLists{wholeLife: wholeListLife}
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
	assert.Assert(t, lists.packed(10*time.Second, r, 1).Digest != part.Digest, "parts are always of now")
}
