package replica

import (
	"context"
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
	"endiveplank/state/disk/fakedisk"
)

// maxCommitDelay is the longest time that an operator's change may take while a
// disk is stalled.
const maxCommitDelay = 4 * time.Second

// newFleetOfFive starts five voters and waits until they have committed a command.
func newFleetOfFive(t *testing.T) *fleet {
	f := newFleet(t, 5, "r1", "r2", "r3", "r4", "r5")
	for _, id := range f.peers {
		f.start(id, fakedisk.New())
	}
	f.add(1)
	return f
}

// workingLeader returns a leader whose disk isn't stalled, or nil if there is none.
func (f *fleet) workingLeader() *vm {
	for _, n := range f.running() {
		if n.replica.Status().Role == consensus.Leader && !n.disk.Stalled() {
			return n
		}
	}
	return nil
}

// addWithWorkingDisks proposes a number on a leader whose disk isn't stalled, and
// returns how long it took until it was committed.
func (f *fleet) addWithWorkingDisks(number uint64) time.Duration {
	began := f.clock.Load()
	f.eventually("the change is committed", func() bool {
		n := f.workingLeader()
		if n == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := n.replica.Propose(ctx, binary.LittleEndian.AppendUint64(nil, number))
		return err == nil
	})
	return time.Duration(f.clock.Load() - began)
}

// awaitSameSum waits until all members have the leader's sum, and returns it.
func (f *fleet) awaitSameSum() uint64 {
	sum := f.add(0)
	for _, n := range f.running() {
		f.eventually("all have the same sum", func() bool { return n.machine.value() == sum })
	}
	return sum
}

// Guards against a leader whose disk is stalled but which keeps sending
// heartbeats: no change would be accepted until the disk works again.
func TestAStalledDiskOfTheLeaderMovesLeadership(t *testing.T) {
	f := newFleetOfFive(t)
	stalled := f.workingLeader()
	assert.Assert(t, stalled != nil)
	stalled.disk.Stall()
	defer stalled.disk.Resume()
	lost := make(chan error, 1)
	go func() {
		_, err := stalled.replica.Propose(context.Background(), binary.LittleEndian.AppendUint64(nil, 100))
		lost <- err
	}()
	f.eventually("the leader waits for its disk", func() bool { return stalled.replica.Status().Role == consensus.Leader && f.workingLeader() != stalled })
	took := f.addWithWorkingDisks(10)
	assert.Assert(t, took <= maxCommitDelay, "accepted after %s", took)

	stalled.disk.Resume()
	err := <-lost
	sum := f.awaitSameSum()
	assert.Assert(t, sum == 111 || err != nil && sum == 11, "%d, and the caller was told %v", sum, err)
}

// Guards against changes that wait for a follower whose disk is stalled, and
// against such a follower replacing the leader when its disk works again.
func TestStalledDisksOfFollowersHoldNothingUp(t *testing.T) {
	f := newFleetOfFive(t)
	leader := f.workingLeader()
	assert.Assert(t, leader != nil)
	term := leader.replica.Status().Term
	var stalled []*vm
	for _, id := range []protocol.RouterID{"r1", "r2", "r3", "r4", "r5"} {
		if n := f.vms[id]; n != leader && len(stalled) < 2 {
			n.disk.Stall()
			defer n.disk.Resume()
			stalled = append(stalled, n)
		}
	}
	for i := range uint64(3) {
		took := f.addWithWorkingDisks(10 * (i + 1))
		assert.Assert(t, took <= maxCommitDelay, "accepted after %s", took)
	}
	for _, n := range stalled {
		n.disk.Resume()
	}
	assert.Equal(t, f.awaitSameSum(), uint64(61))
	assert.Equal(t, leader.replica.Status().Term, term, "the leader stays")
}
