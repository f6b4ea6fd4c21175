package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/document"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
)

// restoreTable makes a disk VM offer the table that it had in force before its restart.
func (w *world) restoreTable(id protocol.RouterID, version uint64) {
	w.vms[id].publisher.Restore(document.New(version, []byte(fmt.Sprint("table ", version))))
}

// Guards against refusing callers for lack of a table until a leader is elected.
func TestRoutersUseARestoredTableUntilThereIsALeader(t *testing.T) {
	w := newWorld(5)
	w.restoreTable("vm1", 6)
	w.restoreTable("vm2", 8)
	w.restoreTable("vm3", 8)
	var routers []*testRouter
	for i := range 9 {
		routers = append(routers, w.startRouter(protocol.RouterID(fmt.Sprint("r", i)), "vm1", "vm4"))
	}
	w.run(300 * time.Millisecond)
	for _, r := range routers {
		assert.Equal(t, r.version(), uint64(8), "the newest of the restored ones")
	}
	w.putTable(9)
	w.run(300 * time.Millisecond)
	for _, r := range routers {
		assert.Equal(t, r.version(), uint64(9), "the one in force")
		assert.Assert(t, !r.restored)
	}
}

// Guards against routers going back to the earlier tables that a disk VM replays from
// its log after a restart.
func TestARestoredTableIsNotReplacedByAnOlderOne(t *testing.T) {
	w := newWorld(3)
	for _, id := range inOrder(w.vms) {
		w.restoreTable(id, 8)
	}
	r := w.startRouter("r1", "vm1")
	w.run(300 * time.Millisecond)
	assert.Equal(t, r.version(), uint64(8))
	assert.Assert(t, r.restored)
	w.putTable(7)
	assert.Equal(t, w.vms["vm1"].publisher.version(), uint64(8))
	w.putTable(8)
	assert.Assert(t, !r.restored)
	w.putTable(9)
	w.run(300 * time.Millisecond)
	assert.Equal(t, r.version(), uint64(9))
}

// Guards against a router that starts using the old table of a disk VM that was cut off.
func TestARouterThatStartsInARunningFleetTakesNoRestoredTable(t *testing.T) {
	w := newWorld(3)
	w.cutOff["vm1"] = true
	w.putTable(9)
	w.cutOff["vm1"] = false
	w.restoreTable("vm1", 4)
	r := w.startRouter("r1", "vm1")
	for range 5 {
		w.run(100 * time.Millisecond)
		assert.Assert(t, r.version() == 0 || r.version() == 9, "version %d", r.version())
	}
	assert.Equal(t, r.version(), uint64(9))
}

// Guards against an old table that a router got from a disk VM that had been cut off,
// and sends to a router that knows which table is in force, or could within a moment.
func TestARestoredTableFromARouterIsTakenAsOneFromADiskVM(t *testing.T) {
	old := document.New(4, []byte("keys that were taken away since"))
	passed := Document{Change: document.MakeChange(nil, old), Restored: true}
	accept := func(*document.Document) error { return nil }
	for name, test := range map[string]struct {
		status []Status
		after  time.Duration
		taken  bool
	}{
		"one VM knows the newest":       {[]Status{{Version: 4, Restored: true}, {Version: 9}}, restoredTableDelay, false},
		"others could say in a moment":  {[]Status{{Version: 4, Restored: true}}, restoredTableDelay - time.Millisecond, false},
		"another one restored a newer":  {[]Status{{Version: 4, Restored: true}, {Version: 5, Restored: true}}, restoredTableDelay, false},
		"nobody knows of a newer table": {[]Status{{Version: 4, Restored: true}, {Version: 3, Restored: true}}, restoredTableDelay, true},
	} {
		f := NewFollower("r1", true, nil, roster.New(roster.DefaultSettings()))
		for i, status := range test.status {
			f.HandleStatus(0, protocol.RouterID(fmt.Sprint("vm", i)), status)
		}
		_, taken := f.HandleDocument(test.after, "r2", passed, accept)
		assert.Equal(t, taken, test.taken, name)
		assert.Equal(t, f.restored, test.taken, name)
	}
}

// Guards against a router that starts getting only a part of the cache holders, or none
// because the disk VM that it asks is lost or has no entries.
func TestARouterThatStartsGetsTheCacheHoldersOnce(t *testing.T) {
	w := newWorld(4)
	w.putTable(1)
	for i, id := range inOrder(w.vms)[:3] {
		list := balance.NewCacheHolderList([]balance.CachedPrefix{{Prefix: uint64(i), ID: 7}})
		w.vms[id].publisher.HandleCacheHolders(w.now, "r0", list)
	}
	w.run(2 * time.Second)
	for _, id := range inOrder(w.vms) {
		w.deliver(id, w.vms[id].publisher.ShareCacheHolders(w.now, id))
		assert.Assert(t, len(w.vms[id].publisher.ShareCacheHolders(w.now+time.Hour, id)) == 0, "entries are shared only once")
	}
	for _, id := range inOrder(w.vms) {
		assert.Equal(t, len(w.vms[id].publisher.CacheHolders().Newest(w.now)), 3, "%s", id)
	}
	w.startVM("vm0")
	w.setDiskVMs()
	w.cutOff["vm3"] = true
	r := w.startRouter("r1", "vm0", "vm1", "vm3")
	w.run(5 * time.Second)
	assert.Equal(t, len(w.cacheHolders["r1"]), 3)
	assert.Equal(t, r.version(), uint64(1))
}

// Guards against cache holders being sent before lists, so that routers have no upstream
// for seconds.
func TestCacheHoldersWaitForTablesAndLists(t *testing.T) {
	w := newWorld(5)
	for at, id := range inOrder(w.vms) {
		w.restoreTable(id, 8)
		for i := range 600 {
			for _, v := range w.vms {
				v.publisher.CacheHolders().Add(w.now, []balance.CachedPrefix{{Prefix: uint64(600*at + i), ID: 7}})
			}
		}
		for i := range 100 {
			w.vms[id].roster.Merge(w.now, roster.Entry{
				ID: protocol.UpstreamID(fmt.Sprint("u", i)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), State: roster.Ready, Sequence: 1,
			})
		}
	}
	for i := range 83 {
		r := Router{ID: protocol.RouterID(fmt.Sprint("r", i))}
		w.startRouter(r.ID, "vm1", "vm2", "vm3").SetRelay(NewRelay(r, 1_250_000))
	}
	w.runRelays(1200 * time.Millisecond)
	for _, id := range inOrder(w.routers) {
		assert.Equal(t, w.routers[id].version(), uint64(8), "%s", id)
		assert.Equal(t, w.routers[id].roster.Usable(), 100, "%s", id)
	}
	w.runRelays(2 * time.Second)
	received := 0
	for _, id := range inOrder(w.routers) {
		received += len(w.cacheHolders[id])
	}
	assert.Assert(t, received > 83*600, "%d", received)
}

// Guards against a router that starts and is told that an engine which has restarted under
// its ID still holds what it held before.
func TestAnEngineThatRestartsUnderItsIDHoldsNothingOfBefore(t *testing.T) {
	list := roster.New(roster.DefaultSettings())
	p := NewPublisher(list, 375_000)
	announce := func(now time.Duration, startedAt int64, sequence uint64) {
		list.Merge(now, roster.Entry{ID: "u1", Service: "chat", Address: "a:1", State: roster.Ready, StartedAt: startedAt, Sequence: sequence})
		p.PushChanges(now)
	}
	held := func(now time.Duration) int { return len(p.CacheHolders().Newest(now)) }
	id := balance.ShortID(xxhash.Sum64String("u1"))
	announce(0, 100, 7)
	p.CacheHolders().Add(time.Second, []balance.CachedPrefix{{Prefix: 1, ID: id}, {Prefix: 2, ID: id}})
	announce(2*time.Second, 100, 8)
	assert.Equal(t, held(2*time.Second), 2)
	announce(3*time.Second, 200, 1)
	assert.Equal(t, held(3*time.Second), 0)
	p.CacheHolders().Add(4*time.Second, []balance.CachedPrefix{{Prefix: 1, ID: id}})
	assert.Equal(t, held(4*time.Second), 1)
	announce(5*time.Second, 100, 9)
	assert.Equal(t, held(5*time.Second), 1, "a late announcement of the old incarnation")
}

// Guards against routers that restart and refuse their callers, because all disk VMs have
// lost the table that the other routers still serve by.
func TestARouterGetsATableThatOnlyRoutersHave(t *testing.T) {
	w := newWorld(1)
	routers := manyRouters(relayMinRouters)
	old := w.startRouter(routers[0].ID, "vm1")
	old.SetRelay(NewRelay(routers[0], 1_250_000))
	w.putTable(7)
	w.run(3 * time.Second)
	assert.Equal(t, old.version(), uint64(7))
	w.startVM("vm1")
	fresh := w.startRouter(routers[1].ID, "vm1")
	fresh.SetRelay(NewRelay(routers[1], 1_250_000))
	w.run(300 * time.Millisecond)
	fresh.relay.SetRouters([]Router{routers[0]})
	for range 20 {
		w.run(100 * time.Millisecond)
		w.deliver(old.self, old.relay.Due(w.now))
	}
	assert.Equal(t, fresh.version(), uint64(7))
}
