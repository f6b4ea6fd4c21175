package control

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards: two of the three addresses of the settings are gone, and a router finds
// nothing.
func TestARouterLearnsAllFromOneAddress(t *testing.T) {
	w := newWorld(5)
	w.put(4)
	r := w.startRouter("r1", "gone1", "gone2", "vm3")
	w.run(time.Second)
	assert.Equal(t, r.version(), uint64(4))
	for id := range w.vms {
		assert.Assert(t, slices.Contains(r.DiskVMs(), id))
	}
}

func TestLostAndRegainedVMsAreToldOnce(t *testing.T) {
	w := newWorld(1)
	w.put(1)
	r := w.startRouter("r1", "vm1")
	w.run(2 * time.Second)
	r.Beliefs()
	w.deaf["vm1"] = true
	w.run(10 * time.Second)
	w.deaf["vm1"] = false
	w.run(2 * time.Second)
	var told []string
	for _, b := range r.Beliefs() {
		told = append(told, b.What)
	}
	assert.DeepEqual(t, told, []string{BeliefLost, BeliefRegained})
	assert.Equal(t, r.version(), uint64(1))
}
