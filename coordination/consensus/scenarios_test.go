package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// newFormedCluster returns a simulation whose cluster has formed, and its
// leader.
func newFormedCluster(t *testing.T, hosts, voters int) (*simulation, *host) {
	sim := newSimulation(7, hosts, voters)
	sim.run(5 * time.Second)
	leader := sim.leader()
	assert.Assert(t, leader != nil, "no leader")
	t.Cleanup(func() { assert.Equal(t, sim.violation, "") })
	return sim, leader
}

// others returns the initial voters except one host.
func (sim *simulation) others(h *host) []*host {
	var all []*host
	for _, other := range sim.hosts {
		if other != h && h.core.log.configurations[0].configuration.IsVoter(other.self()) {
			all = append(all, other)
		}
	}
	return all
}

// commit proposes n commands at the leader and lets time pass.
func (sim *simulation) commit(t *testing.T, n int) {
	for range n {
		assert.Assert(t, sim.propose(sim.leader()))
	}
	sim.run(time.Second)
}

func TestFormerLeaderBehindASilentPartitionForAnHour(t *testing.T) {
	// Guards against a former leader that commits or serves reads while it is
	// isolated. Its connections show no error, and callers still reach it for
	// an hour. When the partition ends it must join again without a new
	// election.
	sim, former := newFormedCluster(t, 5, 3)
	sim.commit(t, 3)
	sim.isolate(former, true)
	applied := former.machine.applied
	sim.propose(former)
	sim.run(3 * time.Second)
	successor := sim.leader()
	assert.Assert(t, successor != nil && successor != former)
	for range 60 {
		sim.now += time.Minute - 100*time.Millisecond
		sim.run(2 * time.Second)
		assert.Assert(t, !former.core.HoldsLease(sim.clock(former)))
		assert.Assert(t, former.core.role != Leader)
		sim.propose(former)
		assert.ErrorType(t, former.core.ReadIndex(sim.clock(former), 1), ErrNotLeader{})
	}
	assert.Equal(t, former.machine.applied, applied)
	sim.run(5 * time.Second)
	sim.commit(t, 1)
	term, leader := sim.leader().core.term, sim.leader()
	sim.isolate(former, false)
	sim.run(5 * time.Second)
	assert.Equal(t, sim.leader(), leader)
	assert.Equal(t, leader.core.term, term)
	assert.Equal(t, former.machine, leader.machine)
}

func TestWipedFirstVotersFormNoSecondCluster(t *testing.T) {
	// Guards against a second cluster beside the first, which would accept
	// orders and know none of the earlier ones. All initial voters were
	// replaced over the years. They come back with empty disks while the holder
	// of the log is isolated, and must wait for it.
	sim := newSimulation(7, 4, 3)
	holder := sim.hosts[3]
	c := Configuration{Voters: []Member{holder.self()}}
	first := Entry{Index: 1, Term: 5, Kind: EntryConfiguration, Data: encodeConfiguration(c)}
	holder.disk.stored = Stored{HardState: HardState{Term: 5}, Entries: []Entry{first}}
	sim.start(holder)
	sim.isolate(holder, true)
	sim.run(20 * time.Second)
	assert.Equal(t, sim.leader(), holder)
	for _, h := range sim.hosts[:3] {
		assert.Assert(t, h.core.log.blank())
	}
}

func TestFrozenLeaderWakesWithoutLease(t *testing.T) {
	// Guards against a stale read from a frozen leader. Its VM stops for five
	// seconds, and its successor commits a change. A caller whose read waits in
	// the frozen process must not get the old row.
	sim, former := newFormedCluster(t, 3, 3)
	former.frozenUntil = sim.now + 5*time.Second
	sim.run(4 * time.Second)
	successor := sim.leader()
	assert.Assert(t, successor != former)
	sim.commit(t, 1)
	assert.Assert(t, !former.core.HoldsLease(sim.clock(former)))
	sim.run(3 * time.Second)
	assert.Equal(t, former.core.role, Follower)
	assert.Equal(t, former.machine, successor.machine)
}

func TestReadIndexNeedsAQuorumAfterTheCall(t *testing.T) {
	// Guards against a stale read from a leader that has lost its quorum: only
	// acknowledgements of messages sent after the call may confirm a read.
	sim, leader := newFormedCluster(t, 3, 3)
	assert.NilError(t, leader.core.ReadIndex(sim.clock(leader), 1))
	sim.take(leader)
	assert.Equal(t, len(leader.reads), 0)
	sim.run(100 * time.Millisecond)
	assert.DeepEqual(t, leader.reads, []Read{{ID: 1, Index: leader.machine.applied}})
	sim.isolate(leader, true)
	assert.NilError(t, leader.core.ReadIndex(sim.clock(leader), 2))
	sim.run(3 * time.Second)
	assert.DeepEqual(t, leader.reads[1:], []Read{{ID: 2, Lost: true}})
}

func TestPlannedStopOfALeaderLeavesNoGap(t *testing.T) {
	// Guards against a gap at a planned restart of the leader. Callers must not
	// wait for an election timeout, and nothing that was proposed before may be
	// lost.
	sim, leader := newFormedCluster(t, 3, 3)
	sim.propose(leader)
	assert.NilError(t, leader.core.TransferLeadership(sim.clock(leader)))
	sim.run(50 * time.Millisecond)
	successor := sim.leader()
	assert.Assert(t, successor != leader && successor.core.HoldsLease(sim.clock(successor)))
	assert.Equal(t, successor.machine.applied, uint64(len(sim.decided)-1))
	assert.Assert(t, !leader.core.HoldsLease(sim.clock(leader)))
}

func TestVoterThatRestartsDoesNotVoteTwice(t *testing.T) {
	// Guards against two leaders in one term. Two candidates run in the same
	// term. A voter grants its vote to one, loses power before the vote is on
	// disk, and is asked by the other. If the first reply had left before the
	// sync, both candidates would lead.
	for _, unsynced := range []bool{false, true} {
		sim, _ := newFormedCluster(t, 3, 3)
		voter := sim.hosts[2]
		voter.core.unsafe.replyVoteUnsynced = unsynced
		sim.now += 3 * time.Second
		ask := func(from *host) bool {
			term := sim.hosts[0].core.term + 1
			voter.core.Receive(sim.clock(voter), Message{
				Kind: MessageVote, From: from.self(), To: voter.self(), Term: term, Hint: term, Index: 1000, LogTerm: 1000,
			})
			sim.network = nil
			sim.take(voter)
			return len(sim.network) > 0 && !sim.network[0].Reject
		}
		granted := ask(sim.hosts[0])
		assert.Equal(t, granted, unsynced)
		voter.unsynced = nil // nothing reached the disk
		sim.crash(voter)
		sim.start(voter)
		sim.now += 3 * time.Second
		voter.core.unsafe.replyVoteUnsynced = unsynced
		grantedAgain := ask(sim.hosts[1])
		assert.Equal(t, granted && grantedAgain, unsynced, "two votes in one term")
		sim.leaders = map[uint64]Member{}
	}
}

func TestLeaderOfALaterTermDoesNotCommitByCounting(t *testing.T) {
	// Guards against a committed entry that is replaced. S1 appends an entry on
	// its own disk only and is isolated; S2 becomes leader and appends another
	// entry at the same index, also on its own disk only. S1 leads again and
	// copies its old entry to S3, so two of three disks hold it. If the leader
	// only counted copies, it would commit the entry and answer the caller;
	// then S2 would win with the later term and replace it.
	for _, counting := range []bool{false, true} {
		sim := newSimulation(7, 3, 3)
		s1, s2, s3 := sim.hosts[0], sim.hosts[1], sim.hosts[2]
		c := Configuration{Voters: []Member{s1.self(), s2.self(), s3.self()}}
		first := Entry{Index: 1, Term: 1, Kind: EntryConfiguration, Data: encodeConfiguration(c)}
		s1.disk.stored = Stored{HardState: HardState{Term: 4, Vote: s1.self()}, Entries: []Entry{first, {Index: 2, Term: 2, Kind: EntryCommand}}}
		s2.disk.stored = Stored{HardState: HardState{Term: 3, Vote: s2.self()}, Entries: []Entry{first, {Index: 2, Term: 3, Kind: EntryCommand}}}
		s3.disk.stored = Stored{HardState: HardState{Term: 4, Vote: s1.self()}, Entries: []Entry{first}}
		sim.unsafe.commitOlderTerms = counting
		for _, h := range sim.hosts {
			sim.start(h)
		}
		s1.core.role, s1.core.votes = Candidate, []Member{s3.self()}
		s1.core.countVote(sim.clock(s1), s1.self())
		s1.core.Receive(sim.clock(s1), Message{Kind: MessageAppendReply, From: s3.self(), To: s1.self(), Term: 4, Index: 2})
		sim.take(s1)
		assert.Equal(t, s1.machine.applied == 2, counting)
		sim.crash(s1)
		sim.network = nil
		sim.run(5 * time.Second)
		assert.Equal(t, sim.leader(), s2)
		assert.Equal(t, sim.violation != "", counting, sim.violation)
	}
}

func TestLeaderThatCannotCommitItsOwnRemoval(t *testing.T) {
	// Guards against a cluster that never has a leader again. A leader appends
	// its own removal from two voters and restarts before anybody else has the
	// entry. The remaining voter needs its vote but does not get it, because
	// its own log is shorter.
	sim, leader := newFormedCluster(t, 3, 2)
	other := sim.others(leader)[0]
	sim.isolate(leader, true)
	assert.NilError(t, leader.core.ChangeMembership(sim.clock(leader), Change{Kind: Remove, Member: leader.self()}))
	sim.take(leader)
	sim.sync(leader)
	sim.crash(leader)
	sim.start(leader)
	sim.network = nil
	sim.isolate(leader, false)
	sim.run(20 * time.Second)
	assert.Equal(t, sim.leader(), other)
	assert.Assert(t, sim.propose(other))
}

func TestVoterLeftAloneWaitsForTheLease(t *testing.T) {
	// Guards against a stale read after the removal of a leader. The leader
	// appends its own removal. The remaining voter has the entry, restarts, and
	// is the only voter in its newest configuration. If it led at once, the old
	// leader could still serve reads under its lease, from before the change.
	sim, leader := newFormedCluster(t, 2, 2)
	other := sim.others(leader)[0]
	assert.NilError(t, leader.core.ChangeMembership(sim.clock(leader), Change{Kind: Remove, Member: leader.self()}))
	sim.take(leader)
	sim.cutLinks[[2]protocol.RouterID{other.router, leader.router}] = true
	sim.drain()
	sim.drain()
	sim.isolate(leader, true)
	sim.crash(other)
	sim.start(other)
	assert.Assert(t, other.core.isSoleVoter() && leader.core.HoldsLease(sim.clock(leader)))
	sim.run(3 * time.Second)
	assert.Equal(t, sim.leader(), other)
}

func TestRemovalThatLeavesABlankVoterIsRefused(t *testing.T) {
	// Guards against a configuration that can never elect a leader. One of
	// three voters lost power before its first sync: it replies, but it is
	// blank and may not vote. The removal of another voter must be refused.
	sim, leader := newFormedCluster(t, 3, 3)
	voters := sim.others(leader)
	voters[1].disk.stored = Stored{}
	sim.start(voters[1])
	sim.cutLinks[[2]protocol.RouterID{leader.router, voters[1].router}] = false
	leader.core.progress[voters[1].self()].match = 0
	err := leader.core.ChangeMembership(sim.clock(leader), Change{Kind: Remove, Member: voters[0].self()})
	assert.ErrorType(t, err, ErrUnsafeChange{})
}

func TestSnapshotTransferKeepsToItsBudget(t *testing.T) {
	// Guards against a snapshot that floods the network. A blank spare joins
	// while the state is large. The transfer must stay within the byte budget,
	// and the snapshot must arrive complete.
	sim, leader := newFormedCluster(t, 3, 2)
	sim.commit(t, 20)
	sim.compact(leader)
	spare := sim.hosts[2]
	leader.core.log.snapshot.Data = append(leader.machine.encode(), make([]byte, 9000)...)
	leader.core.snapshotBudget.tokens = 0
	start := sim.now
	assert.NilError(t, leader.core.ChangeMembership(sim.clock(leader), Change{Kind: AddLearner, Member: spare.self()}))
	sim.take(leader)
	for spare.machine.applied == 0 && sim.now < start+time.Minute {
		sim.run(10 * time.Millisecond)
	}
	assert.Equal(t, spare.machine.sum, leader.machine.sum)
	least := time.Duration(9000/sim.settings.SnapshotBytesPerSecond) * time.Second
	assert.Assert(t, sim.now-start >= least, "took %s, the budget asks for %s", sim.now-start, least)
}

func TestSnapshotOfKnownEntriesDropsNothing(t *testing.T) {
	// Guards against a follower that drops entries which it has acknowledged
	// and which may be committed. A late snapshot of an earlier state arrives.
	sim, leader := newFormedCluster(t, 3, 3)
	sim.commit(t, 10)
	follower := sim.others(leader)[0]
	sim.crash(follower)
	sim.start(follower)
	last := follower.core.log.last()
	term, _ := follower.core.log.term(5)
	follower.core.Receive(sim.clock(follower), Message{
		Kind: MessageSnapshot, From: leader.self(), To: follower.self(), Term: leader.core.term,
		Index: 5, LogTerm: term, Chunk: &Chunk{Total: 100},
	})
	sim.take(follower)
	assert.Equal(t, follower.core.log.last(), last)
	assert.Equal(t, follower.machine.applied, uint64(5))
}
