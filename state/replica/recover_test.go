package replica

import (
	"errors"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/state/disk/fakedisk"
)

func TestRecoveryFromALostQuorum(t *testing.T) {
	// Two of three voters are lost for good. The operator recovers from the third
	// one, which keeps its state, and adds VMs with empty disks. Then one of the two
	// lost voters comes back with its old disk: it must not take part again.
	f := newFleet(t, 3, "r1", "r2", "r3")
	disks := map[protocol.RouterID]*fakedisk.Disk{}
	for _, id := range f.peers {
		disks[id] = fakedisk.New()
		f.start(id, disks[id])
	}
	f.add(30)
	f.eventually("all have it", func() bool { return f.vms["r3"].machine.value() == 30 })
	for _, id := range f.peers {
		f.stop(id)
	}
	recovery := RecoveryRequest{Self: "r3", Disk: disks["r3"], Lost: []protocol.RouterID{"r2"}}
	random := rand.New(rand.NewPCG(1, 1))
	_, err := Recover(recovery, random)
	var unconfirmed ErrRecoveryNotConfirmed
	assert.Assert(t, errors.As(err, &unconfirmed))
	recovery.Lost = unconfirmed.Voters
	report, err := Recover(recovery, random)
	assert.NilError(t, err)
	assert.Assert(t, report.LastIndex >= 3 && report.Epoch == 1)
	f.start("r3", disks["r3"])
	f.start("r2", fakedisk.New())
	f.start("r1", disks["r1"])
	assert.Equal(t, f.add(1), uint64(31))
	f.eventually("the empty disk votes", func() bool {
		c := f.vms["r3"].replica.Status().Configuration
		return c.IsVoter(f.vms["r2"].replica.Status().Self)
	})
	former := f.vms["r1"].replica
	f.eventually("the former voter is superseded", func() bool { return former.Status().Superseded })
	assert.Assert(t, !f.vms["r3"].replica.Status().Configuration.IsVoter(former.Status().Self))
	assert.Equal(t, f.vms["r1"].machine.value(), uint64(0))
}

func TestRecoveryOfAnEmptyFolderIsRefused(t *testing.T) {
	_, err := Recover(RecoveryRequest{Self: "r1", Disk: fakedisk.New()}, rand.New(rand.NewPCG(1, 1)))
	assert.ErrorType(t, err, ErrNothingToRecover{})
}
