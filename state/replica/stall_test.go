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

// answeredWithin is how long an operator's change may take while a disk stalls.
const answeredWithin = 4 * time.Second

// five starts five voters that have agreed on something.
func five(t *testing.T) *fleet {
	f := newFleet(t, 5, "r1", "r2", "r3", "r4", "r5")
	for _, id := range f.peers {
		f.start(id, fakedisk.New())
	}
	f.add(1)
	return f
}

// leading returns the member that leads, nil if none does.
func (f *fleet) leading() *node {
	for _, n := range f.running() {
		if n.replica.Status().Role == consensus.Leader && !n.disk.Stalled() {
			return n
		}
	}
	return nil
}

// addElsewhere proposes a number on members whose disks answer, and returns how long
// it took until it was committed.
func (f *fleet) addElsewhere(number uint64) time.Duration {
	began := f.clock.Load()
	f.eventually("the change is committed", func() bool {
		n := f.leading()
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

// agree waits until all members have the sum that the leader has, and returns it.
func (f *fleet) agree() uint64 {
	sum := f.add(0)
	for _, n := range f.running() {
		f.eventually("all have the same sum", func() bool { return n.machine.value() == sum })
	}
	return sum
}

// Guards: the leader's disk answers nothing, its proof of life goes on, and no change
// is accepted until the disk is back.
func TestAStalledDiskOfTheLeaderMovesLeadership(t *testing.T) {
	f := five(t)
	stalled := f.leading()
	assert.Assert(t, stalled != nil)
	stalled.disk.Stall()
	defer stalled.disk.Resume()
	lost := make(chan error, 1)
	go func() {
		_, err := stalled.replica.Propose(context.Background(), binary.LittleEndian.AppendUint64(nil, 100))
		lost <- err
	}()
	f.eventually("the leader waits for its disk", func() bool { return stalled.replica.Status().Role == consensus.Leader && f.leading() != stalled })
	took := f.addElsewhere(10)
	assert.Assert(t, took <= answeredWithin, "accepted after %s", took)

	stalled.disk.Resume()
	err := <-lost
	sum := f.agree()
	assert.Assert(t, sum == 111 || err != nil && sum == 11, "%d, and the caller was told %v", sum, err)
}

// Guards: a change waits for the one follower whose disk answers nothing, or that one
// unseats the leader when its disk is back.
func TestStalledDisksOfFollowersHoldNothingUp(t *testing.T) {
	f := five(t)
	leader := f.leading()
	assert.Assert(t, leader != nil)
	term := leader.replica.Status().Term
	var stalled []*node
	for _, id := range []protocol.RouterID{"r1", "r2", "r3", "r4", "r5"} {
		if n := f.nodes[id]; n != leader && len(stalled) < 2 {
			n.disk.Stall()
			defer n.disk.Resume()
			stalled = append(stalled, n)
		}
	}
	for i := range uint64(3) {
		took := f.addElsewhere(10 * (i + 1))
		assert.Assert(t, took <= answeredWithin, "accepted after %s", took)
	}
	for _, n := range stalled {
		n.disk.Resume()
	}
	assert.Equal(t, f.agree(), uint64(61))
	assert.Equal(t, leader.replica.Status().Term, term, "the leader stays")
}
