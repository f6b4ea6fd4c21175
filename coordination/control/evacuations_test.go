package control

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/document"
	"endiveplank/coordination/evacuation"
	"endiveplank/protocol"
)

// orderAt returns the records after an order with a revision.
func orderAt(revision uint64, evacuate bool) []evacuation.Record {
	return []evacuation.Record{{DataCentre: "a", Evacuated: evacuate, Revision: revision, Since: revision, OrderID: revision}}
}

// evacuate announces an order at all disk VMs that aren't cut off.
func (w *world) evacuate(revision uint64, evacuate bool) {
	for _, id := range inOrder(w.vms) {
		if !w.cutOff[id] {
			w.deliver(id, w.vms[id].publisher.MergeEvacuations(w.now, orderAt(revision, evacuate)))
		}
	}
}

func (f *testRouter) evacuated() bool { return f.Follower.evacuations.Evacuated("a") }

func TestOrdersReachRoutersAtOnceAndNeverGoBack(t *testing.T) {
	// Guards: a disk VM that was cut off returns with an older order, and routers send
	// requests to an evacuated data centre again.
	w := newWorld(3)
	r := w.startRouter("r1", "vm1", "vm2", "vm3")
	w.run(3 * time.Second)
	w.evacuate(5, false)
	w.cutOff["vm3"] = true
	w.evacuate(6, true)
	assert.Assert(t, r.evacuated())
	inForce, all := w.vms["vm1"].publisher.RoutersInForce(w.now)
	assert.Equal(t, inForce, 0)
	assert.Equal(t, all, 1)
	w.run(3 * time.Second)
	inForce, all = w.vms["vm1"].publisher.RoutersInForce(w.now)
	assert.Equal(t, inForce, 1)
	assert.Equal(t, all, 1)
	w.cutOff["vm3"] = false
	w.cutOff["vm1"], w.cutOff["vm2"] = true, true
	w.run(10 * time.Second)
	assert.Assert(t, r.evacuated())
}

func TestEvacuationReachesThreeHundredRoutersInTime(t *testing.T) {
	// Guards: an order is acknowledged, and some of hundreds of routers go on sending
	// requests to the data centre for longer than operators were promised. Pattern: a
	// third of all messages is lost, and two of five disk VMs are cut off.
	const promised = 5 * time.Second
	for name, cutOff := range map[string][]protocol.RouterID{"connected": nil, "two disk VMs cut off": {"vm1", "vm2"}} {
		w := newWorld(5)
		random := rand.New(rand.NewPCG(1, 2))
		w.putTable(1)
		for i := range 300 {
			w.startRouter(protocol.RouterID(fmt.Sprint("r", i)), "vm1", "vm2", "vm3")
		}
		w.run(3 * time.Second)
		for _, id := range cutOff {
			w.cutOff[id] = true
		}
		w.loses = func() bool { return random.IntN(3) == 0 }
		w.evacuate(6, true)
		w.run(promised - time.Second)
		for id, r := range w.routers {
			assert.Assert(t, r.evacuated(), "%s, %s", id, name)
		}
	}
}

func TestRouterWhoseTableComesFromARouterKnowsTheEvacuations(t *testing.T) {
	// Guards: a router that starts gets its table from another router, before any disk VM
	// answers, and serves an evacuated data centre by it.
	w := newWorld(1)
	old := w.startRouter("r1", "vm1")
	w.putTable(7)
	w.evacuate(5, true)
	w.run(3 * time.Second)
	fresh := w.startRouter("r2", "vm1")
	change := document.MakeChange(nil, old.InForce())
	fresh.HandleDocument(w.now, "r1", Document{Change: change, Evacuations: old.Evacuations()}, func(*document.Document) error {
		return nil
	})
	assert.Equal(t, fresh.version(), uint64(7))
	assert.Assert(t, fresh.evacuated())
}

func TestTableFromADiskVMCarriesTheEvacuations(t *testing.T) {
	w := newWorld(1)
	w.putTable(7)
	w.evacuate(5, true)
	p := w.vms["vm1"].publisher
	p.HandleWatch(w.now, "r1", Watch{Router: true})
	for _, m := range p.HandleWatch(w.now, "r1", Watch{Router: true, WantDocument: true}) {
		switch body := m.Body.(type) {
		case Status:
			assert.DeepEqual(t, body.Evacuations, orderAt(5, true))
		case Document:
			assert.DeepEqual(t, body.Evacuations, orderAt(5, true))
		}
	}
}

func TestRestoredEvacuationsGoToRoutersWithTheRestoredTable(t *testing.T) {
	// Guards: all VMs lose power while a data centre is evacuated, and until a leader is
	// elected routers serve it by the restored table.
	w := newWorld(1)
	p := w.vms["vm1"].publisher
	p.Restore(document.New(7, []byte("table 7")))
	p.RestoreEvacuations(orderAt(5, true))
	r := w.startRouter("r1", "vm1")
	w.run(2 * time.Second)
	assert.Equal(t, r.version(), uint64(7))
	assert.Assert(t, r.evacuated())
}

func TestUnchangedOrdersAreNotAnnounced(t *testing.T) {
	w := newWorld(1)
	w.startRouter("r1", "vm1")
	w.run(2 * time.Second)
	p := w.vms["vm1"].publisher
	assert.Equal(t, len(p.MergeEvacuations(w.now, orderAt(5, true))), 1)
	assert.Equal(t, len(p.MergeEvacuations(w.now, orderAt(5, true))), 0)
	assert.Equal(t, p.EvacuationRevision(protocol.DataCentre("a")), uint64(5))
}

func TestOrdersAreSentToRoutersThatLackThem(t *testing.T) {
	// Guards: each router gets the orders of all data centres from every disk VM with each
	// answer, which at eight data centres is most of what it may spend on control.
	w := newWorld(1)
	w.evacuate(5, true)
	p := w.vms["vm1"].publisher
	statusFor := func(watch Watch) Status {
		return p.HandleWatch(w.now, "r1", watch)[0].Body.(Status)
	}
	assert.DeepEqual(t, statusFor(Watch{Router: true}).Evacuations, orderAt(5, true))
	known := Watch{Router: true, Evacuations: p.evacuations.Digest()}
	assert.Equal(t, len(statusFor(known).Evacuations), 0)
	inForce, all := p.RoutersInForce(w.now)
	assert.Equal(t, inForce, all)
	p.MergeEvacuations(w.now, orderAt(6, false))
	assert.DeepEqual(t, statusFor(known).Evacuations, orderAt(6, false))
}

func TestChangeOfAColdUpstreamSaysHowLongItStaysCold(t *testing.T) {
	// Guards: a router that learns of a cold upstream late counts its whole cold time
	// from then, or none of it.
	w := newWorld(1)
	r := w.startRouter("r1", "vm1")
	w.run(2 * time.Second)
	e := startOf(1, 1)
	e.ColdFor = 3 * time.Second
	v := w.vms["vm1"]
	v.roster.RecordAnnouncement(w.now, e)
	v.publisher.NoteChange(e.ID)
	w.now += time.Second
	w.deliver("vm1", v.publisher.PushChanges(w.now))
	assert.Equal(t, r.roster.ColdUntil(e.ID), w.now+2*time.Second)
}
