package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/document"
	"endiveplank/protocol"
)

// Guards against every disk VM sending every router the whole of a new table.
func TestAChangedTableIsPulledFromOneDiskVM(t *testing.T) {
	w := newWorld(5)
	w.putTable(1)
	r := w.startRouter("r1", "vm1")
	w.run(3 * time.Second)
	before := w.documents
	w.putTable(2)
	assert.Equal(t, r.version(), uint64(2), "pulled at once, without waiting for the next tick")
	w.run(3 * time.Second)
	assert.Equal(t, w.documents-before, 1)
}

// Guards against a router that waits for a disk VM that lost power after it was asked
// for a table.
func TestAnotherVMIsAskedWhenOneDoesNotSend(t *testing.T) {
	w := newWorld(3)
	w.putTable(1)
	r := w.startRouter("r1", "vm1")
	w.run(3 * time.Second)
	next := document.New(2, []byte("table 2"))
	for _, id := range []protocol.RouterID{"vm1", "vm2", "vm3"} {
		messages := w.vms[id].publisher.SetDocument(w.now, next, document.Change{})
		asked := r.HandleStatus(w.now, id, messages[0].Body.(Status))
		if len(asked) > 0 {
			w.cutOff[asked[0].To] = true
		}
	}
	assert.Equal(t, len(w.cutOff), 1)
	assert.Equal(t, r.version(), uint64(1))
	w.run(2 * documentTimeout)
	assert.Equal(t, r.version(), uint64(2))
}

// Guards against all routers asking the leader for a new table, so that the other voters
// miss its heartbeats.
func TestRoutersSpreadOverTheVMsForTheirTables(t *testing.T) {
	w := newWorld(5)
	w.putTable(1)
	var routers []*testRouter
	for i := range 87 {
		routers = append(routers, w.startRouter(protocol.RouterID(fmt.Sprint("r", i)), "vm1"))
	}
	w.run(3 * time.Second)
	asked := map[protocol.RouterID]int{}
	next := document.New(2, []byte("table 2"))
	for _, id := range []protocol.RouterID{"vm1", "vm2", "vm3", "vm4", "vm5"} {
		for _, message := range w.vms[id].publisher.SetDocument(w.now, next, document.Change{}) {
			for _, ask := range w.routers[message.To].HandleStatus(w.now, id, message.Body.(Status)) {
				asked[ask.To]++
			}
		}
	}
	for id, n := range asked {
		assert.Assert(t, n <= 87/2, "%s is asked by %d of 87", id, n)
	}
	w.run(2 * time.Second)
	for _, r := range routers {
		assert.Equal(t, r.version(), uint64(2))
	}
}

// Guards against a large table that takes the disk VMs seconds to send to all routers.
func TestALargeTableGoesFromRouterToRouter(t *testing.T) {
	w := newWorld(5)
	w.putTable(1)
	var routers []*testRouter
	var names []protocol.RouterID
	for i := range 87 {
		names = append(names, protocol.RouterID(fmt.Sprint("r", i)))
	}
	for _, name := range names {
		r := w.startRouter(name, "vm1")
		relay := NewRelay(Router{ID: name}, 1_250_000)
		relay.SetRouters(othersOf(name, names))
		r.SetRelay(relay)
		routers = append(routers, r)
	}
	w.run(3 * time.Second)
	body := make([]byte, 45_000)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	before := w.routers["r0"].InForce()
	next := document.New(2, body)
	change := document.MakeChange(before, next)
	w.documents = 0
	for _, id := range inOrder(w.vms) {
		v := w.vms[id]
		w.deliver(id, v.publisher.SetDocument(w.now, next, change))
	}
	w.runRelays(relayTimeout - 200*time.Millisecond)
	fromVMs := w.documents
	assert.Assert(t, fromVMs < 87/4, "%d tables from disk VMs", fromVMs)
	for _, r := range routers {
		assert.Equal(t, r.version(), uint64(2))
	}
}

// othersOf returns all routers but one.
func othersOf(name protocol.RouterID, names []protocol.RouterID) []Router {
	var others []Router
	for _, id := range names {
		if id != name {
			others = append(others, Router{ID: id})
		}
	}
	return others
}

// Guards against routers that restart together and wait until a few disk VMs have sent
// each of them a table.
func TestRoutersThatStartTogetherGetTheTableFromEachOther(t *testing.T) {
	w := newWorld(3)
	body := make([]byte, 10_000)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	for _, id := range inOrder(w.vms) {
		v := w.vms[id]
		w.deliver(id, v.publisher.SetDocument(w.now, document.New(1, body), document.Change{}))
	}
	for i := range 87 {
		name := protocol.RouterID(fmt.Sprint("r", i))
		r := w.startRouter(name, "vm1")
		r.SetRelay(NewRelay(Router{ID: name}, 1_250_000))
	}
	for range 10 {
		w.runRelays(100 * time.Millisecond)
		for _, r := range w.routers {
			r.relay.SetRouters(othersKnownTo(r.Follower, w.now))
		}
	}
	late := 0
	for _, r := range w.routers {
		if r.version() != 1 {
			late++
		}
	}
	assert.Equal(t, late, 0)
}

// Guards against a router that waits forever for a large table because its relay is gone.
func TestARouterWhoseRelayIsGoneAsksADiskVM(t *testing.T) {
	w := newWorld(3)
	w.putTable(1)
	r := w.startRouter("r", "vm1")
	relay := NewRelay(Router{ID: "r"}, 500_000)
	relay.hasParent = true
	r.SetRelay(relay)
	w.run(3 * time.Second)
	next := document.New(2, []byte("table 2"))
	for _, id := range inOrder(w.vms) {
		v := w.vms[id]
		w.deliver(id, v.publisher.SetDocument(w.now, next, document.Change{Delta: make([]byte, largeChangeBytes)}))
	}
	w.run(relayTimeout / 2)
	assert.Equal(t, r.version(), uint64(1))
	w.run(relayTimeout)
	assert.Equal(t, r.version(), uint64(2))
}

// runRelays lets time pass while routers relay to each other.
func (w *world) runRelays(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now + d; w.now < end; w.now += step {
		for _, id := range inOrder(w.routers) {
			w.deliver(id, w.routers[id].Tick(w.now))
		}
		for _, id := range inOrder(w.routers) {
			for _, message := range w.routers[id].relay.Due(w.now) {
				w.passOn(id, message)
			}
		}
		for _, id := range inOrder(w.vms) {
			w.deliver(id, w.vms[id].publisher.SendWaiting(w.now))
		}
	}
}

// passOn delivers a message between routers. It isn't counted as one from a disk VM.
func (w *world) passOn(from protocol.RouterID, message Message) {
	documents, lists, listBytes := w.documents, w.lists, w.listBytes
	w.deliver(from, []Message{message})
	w.documents, w.lists, w.listBytes = documents, lists, listBytes
}

// Guards against tables using more than their share of a disk VM's link.
func TestTablesLeaveCapacityOnTheLink(t *testing.T) {
	v := newWorld(1).vms["vm1"]
	body := make([]byte, 60_000)
	for i := range body {
		body[i] = byte(i * i >> 5)
	}
	v.publisher.SetDocument(0, document.New(1, body), document.Change{})
	sent, now := 0, time.Duration(0)
	count := func(messages []Message) {
		for _, message := range messages {
			if d, is := message.Body.(Document); is {
				sent += len(d.Change.Delta)
			}
		}
	}
	for i := range 87 {
		count(v.publisher.HandleWatch(now, protocol.RouterID(fmt.Sprint("v", i)), Watch{WantDocument: true}))
	}
	for ; now < time.Second; now += 50 * time.Millisecond {
		count(v.publisher.SendWaiting(now))
	}
	assert.Assert(t, sent > 150_000 && sent < 250_000, "%d bytes", sent)
}

// Guards against a router going back to an older table when it reaches a disk VM that
// was cut off.
func TestARouterNeverGoesBackToAnOlderTable(t *testing.T) {
	w := newWorld(2)
	w.putTable(1)
	r := w.startRouter("r1", "vm1", "vm2")
	w.run(2 * time.Second)
	w.cutOff["vm2"] = true
	w.putTable(2)
	w.run(time.Second)
	assert.Equal(t, r.version(), uint64(2))
	w.cutOff["vm2"], w.cutOff["vm1"] = false, true
	w.run(10 * time.Second)
	assert.Equal(t, r.version(), uint64(2))
}
