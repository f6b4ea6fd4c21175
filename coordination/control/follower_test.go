package control

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a router that finds nothing when two of the three addresses in its
// settings are gone.
func TestARouterLearnsAllFromOneAddress(t *testing.T) {
	w := newWorld(5)
	w.putTable(4)
	r := w.startRouter("r1", "gone1", "gone2", "vm3")
	w.run(time.Second)
	assert.Equal(t, r.version(), uint64(4))
	for id := range w.vms {
		assert.Assert(t, slices.Contains(r.DiskVMs(), id))
	}
}

// Guards against an event for each tick on which a disk VM is silent, and against giving up
// the table because of that.
func TestLostAndRegainedVMsAreReportedOnce(t *testing.T) {
	w := newWorld(1)
	w.putTable(1)
	r := w.startRouter("r1", "vm1")
	w.run(2 * time.Second)
	r.Events()
	w.cutOff["vm1"] = true
	w.run(10 * time.Second)
	w.cutOff["vm1"] = false
	w.run(2 * time.Second)
	var kinds []string
	for _, event := range r.Events() {
		kinds = append(kinds, event.Kind)
	}
	assert.DeepEqual(t, kinds, []string{EventDiskVMLost, EventDiskVMRegained})
	assert.Equal(t, r.version(), uint64(1))
}
