package replica

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
	"endiveplank/state/disk/fakedisk"
)

// voterRouters returns the routers of the voters, as the leader has them.
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
	// Two of five VMs with disks are spares. The leader's VM is lost for good;
	// a spare takes its place. Right after that the next leader is lost too,
	// and the last spare takes its place. No order may be lost on the way, and
	// the three that are left must go on.
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
	// A VM comes back with an empty disk after thousands of changes, without
	// any spare. It must not count as the voter it was. It gets a snapshot as
	// a new member, is promoted, and its old self is removed.
	f := newFleet(t, 3, "r1", "r2", "r3")
	f.every = 50
	for _, id := range f.peers {
		f.start(id, fakedisk.New())
	}
	for range 200 {
		f.add(1)
	}
	old := f.nodes["r2"].replica.Status().Self
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
	// A rack loses power while orders run. Whatever was confirmed must be
	// there when the three come back, whatever each disk had not synced.
	f := newFleet(t, 3, "r1", "r2", "r3")
	f.every = 40
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

func TestPowerIsLostRightAfterAnAcknowledgementWithTwoDisks(t *testing.T) {
	// A change is acknowledged, and at that moment five disk VMs lose power in the
	// middle of whatever they do. Of what their disks had not synced each write
	// and name is kept or lost by itself, and two disks are empty afterwards. What
	// was acknowledged is still there, and so it is the next time.
	f := newFleet(t, 5, "r1", "r2", "r3", "r4", "r5")
	f.every = 15
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
		f.eventually("all five vote again", func() bool { return f.allVote() })
	}
}

// allVote reports whether every running member votes, and nobody else does.
func (f *fleet) allVote() bool {
	for _, n := range f.running() {
		status := n.replica.Status()
		if !status.Configuration.IsVoter(status.Self) || len(status.Configuration.Voters) != len(f.peers) {
			return false
		}
	}
	return true
}
