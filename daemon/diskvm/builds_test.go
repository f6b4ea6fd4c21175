package diskvm

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/builds"
	"endiveplank/coordination/roster"
)

// tellsOf returns what a disk VM answers to a router that asks for builds.
func (vm *VM) tellsOf() builds.Reply {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.builds.set.Reply(vm.now(), builds.Read{})
}

func TestDiskVMStillTellsOfABuildAfterItsRestart(t *testing.T) {
	// Guards: a disk VM tells a router of a build, restarts, and tells another one that there is
	// no such build.
	f := newFleet(t, 1)
	for n, version := range []string{"v1", "v2"} {
		f.vms[1].Announce(context.Background(), roster.Entry{
			ID: "u", Service: "s", Address: fmt.Sprint("10.0.0.1:", n+1), Build: version, State: roster.Ready, Sequence: uint64(n + 1),
		})
		f.eventually("the build is on disk", func() bool { return len(f.vms[1].tellsOf().Pairs) == n+1 })
	}
	f.stop(1)
	told := f.start(1).tellsOf()
	assert.Assert(t, told.Settled)
	assert.DeepEqual(t, told.Pairs, []builds.Pair{{Service: "s", Build: "v1"}, {Service: "s", Build: "v2"}})
}

func TestDiskVMWithoutItsDiskIsNotSettled(t *testing.T) {
	// Guards: a disk VM has told of a build, loses its disk, and counts at once for a majority that
	// tells of another build alone.
	f := newFleet(t, 1)
	f.vms[1].Announce(context.Background(), roster.Entry{ID: "u", Service: "s", Address: "10.0.0.1:1", Build: "v1", State: roster.Ready, Sequence: 1})
	f.eventually("the build is on disk", func() bool { return len(f.vms[1].tellsOf().Pairs) == 1 })
	f.wipe(1)
	told := f.vms[1].tellsOf()
	assert.Assert(t, !told.Settled)
	assert.Equal(t, len(told.Pairs), 0)
}
