package diskvm

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/control"
	"endiveplank/coordination/roster"
	"endiveplank/protocol"
	"endiveplank/protocol/codec"
)

// listsAsLeaving reports whether a VM knows that an upstream leaves.
func (f *fleet) listsAsLeaving(i int, id protocol.UpstreamID) bool {
	f.vms[i].mu.Lock()
	defer f.vms[i].mu.Unlock()
	return f.vms[i].roster.IsLeaving(id)
}

// knowsReady reports whether a VM lists an upstream as ready.
func (f *fleet) knowsReady(i int, id protocol.UpstreamID) bool {
	f.vms[i].mu.Lock()
	defer f.vms[i].mu.Unlock()
	e, known := f.vms[i].roster.Entry(id)
	return known && e.State == roster.Ready
}

// followed reports whether all other VMs follow each VM.
func (f *fleet) followed() bool {
	for i, vm := range f.vms {
		vm.mu.Lock()
		alive := vm.follower.AliveDiskVMs(vm.now())
		vm.mu.Unlock()
		if alive != len(f.vms)-1 || f.voters(i) != len(f.vms) {
			return false
		}
	}
	return true
}

// newFleetWithUpstream starts n VMs that all list an upstream as ready.
func newFleetWithUpstream(t *testing.T, n int) *fleet {
	f := newFleet(t, n)
	f.eventually("all VMs follow each other", f.followed)
	_, confirmed := f.vms[1].Announce(context.Background(), roster.Entry{ID: "u1", Service: "s", Address: "10.0.0.1:80", State: roster.Ready, Sequence: 1})
	assert.Assert(t, confirmed)
	for i := range f.vms {
		f.eventually("all know the upstream", func() bool { return f.knowsReady(i, "u1") })
	}
	return f
}

// leaves sends a VM the notice that the upstream has left until it is confirmed.
func (f *fleet) leaves(i int) {
	f.t.Helper()
	f.eventually("the notice is confirmed", func() bool { return f.vms[i].Leave(context.Background(), "u1", 0, 0) })
}

// copyFolders copies the data folders as they are.
func (f *fleet) copyFolders() map[int]string {
	copied := map[int]string{}
	for i, folder := range f.folders {
		copied[i] = f.t.TempDir()
		assert.NilError(f.t, os.CopyFS(copied[i], os.DirFS(folder)))
	}
	return copied
}

// Guards: an upstream's notice that it leaves is confirmed, all disk VMs lose power at that moment
// and as many disks are lost as are borne, and the upstream gets requests until it ends.
func TestConfirmedDepartureOutlivesLostPowerAndDisks(t *testing.T) {
	for _, lost := range [][]int{{1, 2}, {4, 5}, {1, 5}} {
		f := newFleetWithUpstream(t, 5)
		time.Sleep(saveInterval + minWriteInterval)
		f.leaves(1)
		folders := f.copyFolders()
		for i := 1; i <= 5; i++ {
			f.stop(i)
		}
		f.folders = folders
		for _, i := range lost {
			f.folders[i] = t.TempDir()
		}
		for i := 1; i <= 5; i++ {
			f.start(i)
		}
		for i := range f.vms {
			f.eventually("nobody lists the upstream", func() bool { return !f.knowsReady(i, "u1") })
		}
		for i := 1; i <= 5; i++ {
			f.stop(i)
		}
	}
}

// Guards: a disk VM confirms to an upstream that it leaves while too few others can know of it.
func TestDepartureIsNotConfirmedByAMinority(t *testing.T) {
	f := newFleetWithUpstream(t, 3)
	f.stop(2)
	f.stop(3)
	assert.Assert(t, !f.vms[1].Leave(context.Background(), "u1", 0, 0))
	assert.Assert(t, f.listsAsLeaving(1, "u1"), "the notice is taken all the same")
	f.eventually("the others are known to be lost", func() bool {
		began := time.Now()
		return !f.vms[1].Leave(context.Background(), "u1", 0, 0) && time.Since(began) < departureTimeout/4
	})
	f.start(2)
	f.leaves(1)
	assert.Assert(t, f.listsAsLeaving(2, "u1"))
}

// Guards: a disk VM whose disk takes no writes counts as one that has the notice on disk.
func TestDiskVMAcknowledgesADepartureOnceItIsOnDisk(t *testing.T) {
	f := newFleetWithUpstream(t, 3)
	for _, i := range []int{2, 3} {
		assert.NilError(t, os.RemoveAll(f.folders[i]+"/"+departuresFolder))
		assert.NilError(t, os.RemoveAll(f.folders[i]+"/"+rosterFolder))
	}
	assert.Assert(t, !f.vms[1].Leave(context.Background(), "u1", 0, 0))
	assert.Assert(t, f.listsAsLeaving(2, "u1") && f.listsAsLeaving(3, "u1"))
	assert.NilError(t, os.Mkdir(f.folders[2]+"/"+departuresFolder, 0o700))
	f.leaves(1)
}

// Guards: a router is told that the disk VMs know that an upstream leaves as soon as one of them does.
func TestForwardedDepartureIsAcknowledgedOnceItIsConfirmed(t *testing.T) {
	f := newFleetWithUpstream(t, 3)
	e := roster.Entry{ID: "u1", Service: "s", Address: "10.0.0.1:80", State: roster.Draining, Sequence: 2}
	f.vms[1].Receive("r1", control.Announcements{Number: 7, Entries: []roster.Entry{e}})
	f.vms[1].mu.Lock()
	waiting := len(f.vms[1].departures.waiting)
	f.vms[1].mu.Unlock()
	assert.Equal(t, waiting, 1)
	f.eventually("it is confirmed", func() bool {
		f.vms[1].mu.Lock()
		defer f.vms[1].mu.Unlock()
		return len(f.vms[1].departures.waiting) == 0 && f.vms[1].roster.IsDepartureConfirmed("u1")
	})
}

// Guards: a notice for an upstream that the VM doesn't list is dropped from what is saved apart from
// the roster, although the roster's file doesn't have it.
func TestDepartureOfAnUnknownUpstreamStaysOnDisk(t *testing.T) {
	f := newFleetWithUpstream(t, 3)
	time.Sleep(saveInterval + minWriteInterval)
	assert.Assert(t, f.vms[1].Leave(context.Background(), "u2", 0, 0))
	time.Sleep(saveInterval + minWriteInterval)
	folders := f.copyFolders()
	for i := 1; i <= 3; i++ {
		f.stop(i)
	}
	f.folders = folders
	f.start(1)
	assert.Assert(t, f.listsAsLeaving(1, "u2"))
}

// Guards: a damaged file of notices ends the process at each start.
func TestNoticesThatCannotBeReadAreLeftOut(t *testing.T) {
	f := newFleetWithUpstream(t, 3)
	f.vms[1].restoreDepartures(codec.Marshal("no list"))
	assert.Assert(t, f.knowsReady(1, "u1"))
}
