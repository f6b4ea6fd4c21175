package replica

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/state/disk/fakedisk"
)

// voterRouters returns the sorted routers of the voters in the leader's
// configuration. It returns nil if there is no leader or a membership change is
// pending.
func (f *fleet) voterRouters() []protocol.RouterID {
	for _, n := range f.running() {
		status := n.replica.Status()
		if n.replica.IsLeaderWithLease(n.replica.Now()) && !status.ChangePending {
			var routers []protocol.RouterID
			for _, voter := range status.Configuration.Voters {
				routers = append(routers, voter.Router)
			}
			slices.Sort(routers)
			return routers
		}
	}
	return nil
}

// leader waits for a leader with a lease and returns it.
func (f *fleet) leader() protocol.RouterID {
	for {
		for _, n := range f.running() {
			if n.replica.IsLeaderWithLease(n.replica.Now()) {
				return n.replica.Leader()
			}
		}
	}
}

func TestLostVotersAreReplacedWithoutAnOperator(t *testing.T) {
	// Two of five VMs with disks are spares. The leader's VM is lost for good, and
	// a spare must replace it. Right after that the next leader is lost too, and
	// the last spare must replace it. No order may be lost, and the remaining three
	// voters must still accept orders after one more is lost.
	f := newFleet(t, 3, "r1", "r2", "r3", "r4", "r5")
	for _, id := range f.peers {
		f.start(id, fakedisk.New())
	}
	sum := f.add(1)
	alive := slices.Clone(f.peers)
	for range 2 {
		lost := f.leader()
		f.stop(lost)
		alive = slices.DeleteFunc(alive, func(id protocol.RouterID) bool { return id == lost })
		sum++
		assert.Equal(t, f.add(1), sum)
		f.eventually("a spare has replaced "+string(lost), func() bool {
			voters := f.voterRouters()
			return len(voters) == 3 && !slices.Contains(voters, lost)
		})
	}
	assert.DeepEqual(t, f.voterRouters(), alive)
	f.stop(f.leader())
	sum++
	assert.Equal(t, f.add(1), sum)
}

func TestWipedDiskReturnsAsLearnerAndIsPromoted(t *testing.T) {
	// A VM comes back with an empty disk after thousands of changes, and there is
	// no spare. It must not count as the voter that it was before, because it has
	// forgotten its vote and its entries. It must join as a new member, receive a
	// snapshot and be promoted, and its former membership must be removed.
	f := newFleet(t, 3, "r1", "r2", "r3")
	f.snapshotEvery = 50
	for _, id := range f.peers {
		f.start(id, fakedisk.New())
	}
	for range 200 {
		f.add(1)
	}
	old := f.vms["r2"].replica.Status().Self
	f.stop("r2")
	back := f.start("r2", fakedisk.New())
	self := back.replica.Status().Self
	assert.Assert(t, self != old)
	f.eventually("the new disk votes and the old one is gone", func() bool {
		c := back.replica.Status().Configuration
		return c.IsVoter(self) && !c.Contains(old) && len(c.Voters) == 3
	})
	assert.Equal(t, f.add(1), uint64(201))
	f.eventually("it has the whole state", func() bool { return back.machine.value() == 201 })
	assert.Assert(t, back.replica.Status().SnapshotIndex >= 50)
}

func TestAllVotersLosePowerTogether(t *testing.T) {
	// A rack loses power while orders run. All confirmed orders must be there when
	// the three voters come back, no matter what each disk had not synced.
	f := newFleet(t, 3, "r1", "r2", "r3")
	f.snapshotEvery = 40
	disks := map[protocol.RouterID]*fakedisk.Disk{}
	random := rand.New(rand.NewPCG(5, 5))
	for _, id := range f.peers {
		disks[id] = fakedisk.New()
		f.start(id, disks[id])
	}
	sum := uint64(0)
	for range 3 {
		for range 60 {
			sum++
			assert.Equal(t, f.add(1), sum)
		}
		for _, id := range f.peers {
			f.stop(id)
			disks[id].Crash(random)
		}
		for _, id := range f.peers {
			f.start(id, disks[id])
		}
	}
	assert.Equal(t, f.add(1), sum+1)
}

func TestPowerLossAfterAcknowledgementAndLossOfTwoDisks(t *testing.T) {
	// Right after a change is acknowledged, five disk VMs lose power. Each unsynced
	// write and name on their disks is kept or lost independently, and two disks
	// are empty afterwards. All acknowledged changes must still be there, and again
	// after each further power loss.
	f := newFleet(t, 5, "r1", "r2", "r3", "r4", "r5")
	f.snapshotEvery = 15
	random := rand.New(rand.NewPCG(11, 5))
	disks := map[protocol.RouterID]*fakedisk.Disk{}
	for _, id := range f.peers {
		disks[id] = fakedisk.New()
		f.start(id, disks[id])
	}
	sum := uint64(0)
	for range 12 {
		for range 1 + random.IntN(40) {
			sum++
			assert.Equal(t, f.add(1), sum)
		}
		for _, id := range f.peers {
			disks[id].CutPowerAfter(random.IntN(3))
		}
		for _, id := range f.peers {
			f.stop(id)
			disks[id].CrashReordered(random)
		}
		for _, at := range random.Perm(len(f.peers))[:2] {
			disks[f.peers[at]] = fakedisk.New()
		}
		for _, id := range f.peers {
			f.start(id, disks[id])
		}
		sum++
		assert.Equal(t, f.add(1), sum)
		f.eventually("all five vote again", func() bool { return f.onlyMembersVote() })
	}
}

// onlyMembersVote reports whether every running member is a voter, and nobody else
// is.
func (f *fleet) onlyMembersVote() bool {
	for _, n := range f.running() {
		status := n.replica.Status()
		if !status.Configuration.IsVoter(status.Self) || len(status.Configuration.Voters) != len(f.peers) {
			return false
		}
	}
	return true
}
