package fleetstate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/fleetstate"
	"endiveplank/coordination/registry"
)

// Guards against a snapshot without the upstreams' descriptors. A voter
// restarts from a snapshot, and routers that are new to the fleet catch up
// from it. Without the descriptors they would see a fleet without engines
// until each engine announced a change.
func TestSnapshotKeepsUpstreamDescriptors(t *testing.T) {
	machine := fleetstate.New(fleetstate.DefaultSettings())
	known := registry.Descriptor{ID: "e1", Incarnation: 1, Kind: "engine", Address: "127.0.0.1:1", Capacity: 10, MaxConcurrent: 4}
	machine.Apply(1, fleetstate.Command{Register: &registry.Register{Descriptor: known}}.Encode())
	restored := fleetstate.New(fleetstate.DefaultSettings())
	assert.NilError(t, restored.Restore(machine.Snapshot()))
	assert.DeepEqual(t, restored.Registry().All(), machine.Registry().All())
	view := fleetstate.NewView()
	for more := true; more; {
		delta := restored.DeltaSince(view.Position(), 1<<20)
		assert.Assert(t, view.ApplyDelta(delta))
		more = delta.More
	}
	found := 0
	view.Descriptors(func(registry.Descriptor) { found++ })
	assert.Equal(t, found, 1)
}
