package consensus

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/protocol"
)

// formed returns a world whose cluster works, and its leader.
func formed(t *testing.T, hosts, voters int) (*world, *host) {
	w := newWorld(7, hosts, voters)
	w.run(5 * time.Second)
	leader := w.leader()
	assert.Assert(t, leader != nil, "no leader")
	t.Cleanup(func() { assert.Equal(t, w.violation, "") })
	return w, leader
}

// others returns the voters besides one host.
func (w *world) others(h *host) []*host {
	var all []*host
	for _, other := range w.hosts {
		if other != h && h.core.log.configurations[0].configuration.IsVoter(other.self()) {
			all = append(all, other)
		}
	}
	return all
}

// commit proposes at the leader and lets time pass.
func (w *world) commit(t *testing.T, n int) {
	for range n {
		assert.Assert(t, w.propose(w.leader()))
	}
	w.run(time.Second)
}

func TestFormerLeaderBehindASilentPartitionForAnHour(t *testing.T) {
	// A leader is cut off without an error on any connection, while callers
	// still reach it. For an hour it must commit nothing and serve no read;
	// when the partition ends it must join without a new election.
	w, former := formed(t, 5, 3)
	w.commit(t, 3)
	w.isolate(former, true)
	applied := former.machine.applied
	w.propose(former)
	w.run(3 * time.Second)
	successor := w.leader()
	assert.Assert(t, successor != nil && successor != former)
	for range 60 {
		w.now += time.Minute - 100*time.Millisecond
		w.run(2 * time.Second)
		assert.Assert(t, !former.core.HoldsLease(w.clock(former)))
		assert.Assert(t, former.core.role != Leader)
		w.propose(former)
		assert.ErrorType(t, former.core.ReadIndex(w.clock(former), 1), ErrNotLeader{})
	}
	assert.Equal(t, former.machine.applied, applied)
	w.run(5 * time.Second)
	w.commit(t, 1)
	term, leader := w.leader().core.term, w.leader()
	w.isolate(former, false)
	w.run(5 * time.Second)
	assert.Equal(t, w.leader(), leader)
	assert.Equal(t, leader.core.term, term)
	assert.Equal(t, former.machine, leader.machine)
}

func TestWipedFirstVotersFormNoSecondCluster(t *testing.T) {
	// All first voters have been replaced over the years. The one that holds
	// the log is cut off for a while, and the first ones come back with empty
	// disks. They must wait for it: a second cluster would take orders beside
	// the first and know none of the old ones.
	w := newWorld(7, 4, 3)
	holder := w.hosts[3]
	c := Configuration{Voters: []Member{holder.self()}}
	first := Entry{Index: 1, Term: 5, Kind: EntryConfiguration, Data: encodeConfiguration(c)}
	holder.disk.stored = Stored{HardState: HardState{Term: 5}, Entries: []Entry{first}}
	w.start(holder)
	w.isolate(holder, true)
	w.run(20 * time.Second)
	assert.Equal(t, w.leader(), holder)
	for _, h := range w.hosts[:3] {
		assert.Assert(t, h.core.log.blank())
	}
}

func TestFrozenLeaderWakesWithoutLease(t *testing.T) {
	// A leader's VM stops for five seconds. Its successor commits a change. A
	// caller whose read waits in the frozen process must not get the old row.
	w, former := formed(t, 3, 3)
	former.frozenUntil = w.now + 5*time.Second
	w.run(4 * time.Second)
	successor := w.leader()
	assert.Assert(t, successor != former)
	w.commit(t, 1)
	assert.Assert(t, !former.core.HoldsLease(w.clock(former)))
	w.run(3 * time.Second)
	assert.Equal(t, former.core.role, Follower)
	assert.Equal(t, former.machine, successor.machine)
}

func TestReadIndexNeedsAQuorumAfterTheCall(t *testing.T) {
	w, leader := formed(t, 3, 3)
	assert.NilError(t, leader.core.ReadIndex(w.clock(leader), 1))
	w.take(leader)
	assert.Equal(t, len(leader.reads), 0)
	w.run(100 * time.Millisecond)
	assert.DeepEqual(t, leader.reads, []Read{{ID: 1, Index: leader.machine.applied}})
	w.isolate(leader, true)
	assert.NilError(t, leader.core.ReadIndex(w.clock(leader), 2))
	w.run(3 * time.Second)
	assert.DeepEqual(t, leader.reads[1:], []Read{{ID: 2, Lost: true}})
}

func TestPlannedStopOfALeaderLeavesNoGap(t *testing.T) {
	// A leader's VM is restarted for an update. Callers must not wait for an
	// election timeout, and nothing proposed before may be lost.
	w, leader := formed(t, 3, 3)
	w.propose(leader)
	assert.NilError(t, leader.core.HandOver(w.clock(leader)))
	w.run(50 * time.Millisecond)
	successor := w.leader()
	assert.Assert(t, successor != leader && successor.core.HoldsLease(w.clock(successor)))
	assert.Equal(t, successor.machine.applied, uint64(len(w.decided)-1))
	assert.Assert(t, !leader.core.HoldsLease(w.clock(leader)))
}

func TestVoterThatRestartsDoesNotVoteTwice(t *testing.T) {
	// Two candidates run in the same term. A voter grants one its vote, loses
	// power before its disk has it, and is asked by the other one. If the
	// answer had left before the sync, both would lead in one term.
	for _, unsynced := range []bool{false, true} {
		w, _ := formed(t, 3, 3)
		voter := w.hosts[2]
		voter.core.off.answerVoteUnsynced = unsynced
		w.now += 3 * time.Second
		ask := func(from *host) bool {
			term := w.hosts[0].core.term + 1
			voter.core.Receive(w.clock(voter), Message{
				Kind: MessageVote, From: from.self(), To: voter.self(), Term: term, Hint: term, Index: 1000, LogTerm: 1000,
			})
			w.network = nil
			w.take(voter)
			return len(w.network) > 0 && !w.network[0].Reject
		}
		answered := ask(w.hosts[0])
		assert.Equal(t, answered, unsynced)
		voter.unsynced = nil // nothing reached the disk
		w.crash(voter)
		w.start(voter)
		w.now += 3 * time.Second
		voter.core.off.answerVoteUnsynced = unsynced
		again := ask(w.hosts[1])
		assert.Equal(t, answered && again, unsynced, "two votes in one term")
		w.leaders = map[uint64]Member{}
	}
}

func TestLeaderOfALaterTermDoesNotCommitByCounting(t *testing.T) {
	// S1 writes an entry on its own disk only and is cut off; S2 leads and
	// writes another in its place, alone too. S1 leads again and copies its
	// old entry to S3: now two of three have it. Counting alone would commit
	// it and answer the caller; then S2 wins with the later term and replaces
	// it.
	for _, counting := range []bool{false, true} {
		w := newWorld(7, 3, 3)
		s1, s2, s3 := w.hosts[0], w.hosts[1], w.hosts[2]
		c := Configuration{Voters: []Member{s1.self(), s2.self(), s3.self()}}
		first := Entry{Index: 1, Term: 1, Kind: EntryConfiguration, Data: encodeConfiguration(c)}
		s1.disk.stored = Stored{HardState: HardState{Term: 4, Vote: s1.self()}, Entries: []Entry{first, {Index: 2, Term: 2, Kind: EntryCommand}}}
		s2.disk.stored = Stored{HardState: HardState{Term: 3, Vote: s2.self()}, Entries: []Entry{first, {Index: 2, Term: 3, Kind: EntryCommand}}}
		s3.disk.stored = Stored{HardState: HardState{Term: 4, Vote: s1.self()}, Entries: []Entry{first}}
		w.off.commitOlderTerms = counting
		for _, h := range w.hosts {
			w.start(h)
		}
		s1.core.role, s1.core.votes = Candidate, []Member{s3.self()}
		s1.core.countVote(w.clock(s1), s1.self())
		s1.core.Receive(w.clock(s1), Message{Kind: MessageAppendReply, From: s3.self(), To: s1.self(), Term: 4, Index: 2})
		w.take(s1)
		assert.Equal(t, s1.machine.applied == 2, counting)
		w.crash(s1)
		w.network = nil
		w.run(5 * time.Second)
		assert.Equal(t, w.leader(), s2)
		assert.Equal(t, w.violation != "", counting, w.violation)
	}
}

func TestLeaderThatCannotCommitItsOwnRemoval(t *testing.T) {
	// A leader writes its own removal from two voters and restarts before
	// anybody has it. The one voter left needs its vote and does not get it,
	// since its log is shorter: callers would find no leader ever again.
	w, leader := formed(t, 3, 2)
	other := w.others(leader)[0]
	w.isolate(leader, true)
	assert.NilError(t, leader.core.ChangeMembership(w.clock(leader), Change{Kind: Remove, Member: leader.self()}))
	w.take(leader)
	w.sync(leader)
	w.crash(leader)
	w.start(leader)
	w.network = nil
	w.isolate(leader, false)
	w.run(20 * time.Second)
	assert.Equal(t, w.leader(), other)
	assert.Assert(t, w.propose(other))
}

func TestVoterLeftAloneWaitsForTheLease(t *testing.T) {
	// A leader writes its own removal; the voter left has it, restarts, and is
	// the only voter of its newest configuration. If it led at once, the old
	// leader would still serve reads under its lease, from before the change.
	w, leader := formed(t, 2, 2)
	other := w.others(leader)[0]
	assert.NilError(t, leader.core.ChangeMembership(w.clock(leader), Change{Kind: Remove, Member: leader.self()}))
	w.take(leader)
	w.cut[[2]protocol.RouterID{other.router, leader.router}] = true
	w.drain()
	w.drain()
	w.isolate(leader, true)
	w.crash(other)
	w.start(other)
	assert.Assert(t, other.core.isSoleVoter() && leader.core.HoldsLease(w.clock(leader)))
	w.run(3 * time.Second)
	assert.Equal(t, w.leader(), other)
}

func TestRemovalThatLeavesABlankVoterIsRefused(t *testing.T) {
	// One of three voters lost power before its first sync: it answers, but
	// is blank and may not vote. Removing another voter would leave a
	// configuration that can never elect anybody.
	w, leader := formed(t, 3, 3)
	voters := w.others(leader)
	voters[1].disk.stored = Stored{}
	w.start(voters[1])
	w.cut[[2]protocol.RouterID{leader.router, voters[1].router}] = false
	leader.core.progress[voters[1].self()].match = 0
	err := leader.core.ChangeMembership(w.clock(leader), Change{Kind: Remove, Member: voters[0].self()})
	assert.ErrorType(t, err, ErrUnsafeChange{})
}

func TestSnapshotTransferKeepsToItsBudget(t *testing.T) {
	// A blank spare joins while the state is large. Its snapshot must trickle
	// within the byte budget and still arrive whole.
	w, leader := formed(t, 3, 2)
	w.commit(t, 20)
	w.compact(leader)
	spare := w.hosts[2]
	leader.core.log.snapshot.Data = append(leader.machine.encode(), make([]byte, 9000)...)
	leader.core.budget.tokens = 0
	start := w.now
	assert.NilError(t, leader.core.ChangeMembership(w.clock(leader), Change{Kind: AddLearner, Member: spare.self()}))
	w.take(leader)
	for spare.machine.applied == 0 && w.now < start+time.Minute {
		w.run(10 * time.Millisecond)
	}
	assert.Equal(t, spare.machine.sum, leader.machine.sum)
	least := time.Duration(9000/w.settings.SnapshotBytesPerSecond) * time.Second
	assert.Assert(t, w.now-start >= least, "took %s, the budget asks for %s", w.now-start, least)
}

func TestSnapshotOfKnownEntriesTakesNothingBack(t *testing.T) {
	// A follower has acknowledged entries that count as committed. A late
	// snapshot of an earlier state must not make it drop them.
	w, leader := formed(t, 3, 3)
	w.commit(t, 10)
	follower := w.others(leader)[0]
	w.crash(follower)
	w.start(follower)
	last := follower.core.log.last()
	term, _ := follower.core.log.term(5)
	follower.core.Receive(w.clock(follower), Message{
		Kind: MessageSnapshot, From: leader.self(), To: follower.self(), Term: leader.core.term,
		Index: 5, LogTerm: term, Chunk: &Chunk{Total: 100},
	})
	w.take(follower)
	assert.Equal(t, follower.core.log.last(), last)
	assert.Equal(t, follower.machine.applied, uint64(5))
}
