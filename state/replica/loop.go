package replica

import (
	"time"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
)

// run is the loop that owns the member's state.
func (r *Replica) run() {
	defer r.close()
	ticks := r.config.Ticks
	if ticks == nil {
		ticker := time.NewTicker(TickInterval)
		defer ticker.Stop()
		ticks = ticker.C
	}
	for r.failure == nil {
		select {
		case <-r.stop:
			return
		case <-ticks:
			r.drain()
			r.core.Tick(r.config.Now())
			r.repair()
		case input := <-r.inputs:
			input()
			r.drain()
		}
		r.settle()
	}
}

// repair makes the membership step that the policy asks for. The core refuses
// one that would endanger the quorum; the policy asks again at a later tick.
func (r *Replica) repair() {
	now := r.config.Now()
	if change := r.policy.Decide(now, r.core.Status()); change.Kind != 0 {
		_ = r.core.ChangeMembership(now, change)
	}
}

// drain takes the inputs that wait, up to the batch limit. A tick drains them
// first: after a long sync or a freeze the answers that prove a quorum alive
// are in the queue.
func (r *Replica) drain() {
	for range batchLimit {
		select {
		case input := <-r.inputs:
			input()
		default:
			return
		}
	}
}

// close ends all waiting calls.
func (r *Replica) close() {
	r.leaseUntil.Store(0)
	_ = r.log.Close()
	close(r.done)
	if r.failure != nil && r.config.OnFailed != nil {
		r.config.OnFailed(r.failure)
	}
}

// settle carries out what follows from the inputs until nothing is left.
func (r *Replica) settle() {
	for r.failure == nil {
		out := r.core.Take()
		r.carryOut(out)
		if !out.MustSync() && len(out.Committed) == 0 {
			break
		}
	}
	r.publish()
}

// carryOut does the work of one output in the order that safety asks for:
// persist and sync, then promise, then apply.
func (r *Replica) carryOut(out consensus.Output) {
	r.report(out.Events)
	r.withdrawLease()
	r.sendAll(out.Messages)
	if out.MustSync() {
		if err := r.persist(out); err != nil {
			r.failure = ErrDiskFailed{Cause: err}
			return
		}
		r.core.Persisted(r.config.Now(), out.Sequence)
	}
	r.sendAll(out.AfterSync)
	r.noteLeadership()
	r.apply(out)
	r.answerReads(out.Reads)
	r.compact()
}

// persist writes what must not be forgotten.
func (r *Replica) persist(out consensus.Output) error {
	if out.Snapshot != nil {
		if err := r.log.SaveSnapshot(*out.Snapshot, true); err != nil {
			return err
		}
	}
	r.log.Append(out.HardState, out.Entries)
	return r.log.Sync()
}

// sendAll hands messages to the transport.
func (r *Replica) sendAll(messages []consensus.Message) {
	for _, m := range messages {
		r.config.Transport.Send(m.To.Router, m)
	}
}

// report passes on explained decisions.
func (r *Replica) report(events []consensus.Event) {
	if r.config.OnEvent == nil {
		return
	}
	for _, e := range events {
		r.config.OnEvent(e)
	}
}

// noteLeadership fails the waiting proposals when leadership ends, and tells
// of a change of leader.
func (r *Replica) noteLeadership() {
	leader := r.core.Leader()
	leads := r.core.Role() == consensus.Leader
	if r.wasLeader && !leads {
		r.loseProposals(leader)
	}
	r.wasLeader = leads
	if leader != r.leader {
		r.leader = leader
		r.tellLeader(leader, r.core.Term())
	}
}

// tellLeader calls OnLeaderChange.
func (r *Replica) tellLeader(leader protocol.RouterID, term uint64) {
	if r.config.OnLeaderChange != nil {
		r.config.OnLeaderChange(leader, term)
	}
}

// loseProposals answers all waiting proposals with an unknown outcome.
func (r *Replica) loseProposals(leader protocol.RouterID) {
	for index, w := range r.waiting {
		w.reply <- answer{err: ErrLostLeadership{Leader: leader}}
		delete(r.waiting, index)
	}
}

// propose appends a command; its answer comes from apply.
func (r *Replica) propose(command []byte, reply chan answer) {
	index, term, err := r.core.Propose(r.config.Now(), command)
	if err != nil {
		reply <- answer{err: err}
		return
	}
	r.waiting[index] = waiter{term: term, reply: reply}
}

// barrier asks the core for a read index; its answer comes from answerReads.
func (r *Replica) barrier(reply chan error) {
	r.nextBarrier++
	if err := r.core.ReadIndex(r.config.Now(), r.nextBarrier); err != nil {
		reply <- err
		return
	}
	r.barriers[r.nextBarrier] = reply
}

// answerReads answers confirmed barriers. What they cover is committed in this
// output or an earlier one, so it is applied by now.
func (r *Replica) answerReads(reads []consensus.Read) {
	for _, read := range reads {
		reply := r.barriers[read.ID]
		delete(r.barriers, read.ID)
		if read.Lost {
			reply <- ErrLostLeadership{Leader: r.leader}
			continue
		}
		reply <- nil
	}
}

// apply runs committed commands through the state machine.
func (r *Replica) apply(out consensus.Output) {
	if out.Snapshot != nil {
		if err := r.config.Machine.Restore(out.Snapshot.Data); err != nil {
			r.failure = err
			return
		}
		r.applied = out.Snapshot.Index
		r.snapshotAt = out.Snapshot.Index
		r.snapshotBytes = len(out.Snapshot.Data)
		r.loggedBytes = 0
	}
	for _, e := range out.Committed {
		r.applyEntry(e)
	}
}

// applyEntry applies one entry and answers its proposal, if it waits here.
func (r *Replica) applyEntry(e consensus.Entry) {
	var result []byte
	if e.Kind == consensus.EntryCommand {
		result = r.config.Machine.Apply(e.Index, e.Data)
	}
	r.applied = e.Index
	r.loggedBytes += entryOverhead + len(e.Data)
	if w, ok := r.waiting[e.Index]; ok {
		delete(r.waiting, e.Index)
		w.reply <- outcome(w, e, result, r.leader)
	}
	if e.Kind == consensus.EntryCommand && r.config.OnApplied != nil {
		r.config.OnApplied(e.Index)
	}
}

// outcome answers a proposal: another term at its index means that another
// leader's entry took its place.
func outcome(w waiter, e consensus.Entry, result []byte, leader protocol.RouterID) answer {
	if w.term != e.Term {
		return answer{err: ErrLostLeadership{Leader: leader}}
	}
	return answer{result: result}
}

// compact writes a snapshot when enough entries have gathered.
func (r *Replica) compact() {
	if r.failure != nil || !snapshotDue(r.applied-r.snapshotAt, r.config.SnapshotEvery, r.loggedBytes, r.snapshotBytes) {
		return
	}
	data := r.config.Machine.Snapshot()
	s, ok := r.core.Compact(r.applied, data)
	r.snapshotAt = r.applied
	r.snapshotBytes = len(data)
	r.loggedBytes = 0
	if !ok {
		return
	}
	if err := r.log.SaveSnapshot(s, false); err != nil {
		r.failure = ErrDiskFailed{Cause: err}
	}
}

// snapshotDue says whether a snapshot is worth its writing.
//
// Load: a journal of tens of megabytes that takes a thousand commands a
// second. Harm prevented: with a bound on entries alone, the whole state would
// be written every few seconds, and nothing commits meanwhile. The log grows to
// the size of the state first, so snapshots at most double what is written.
func snapshotDue(entries, every uint64, logged, snapshot int) bool {
	return entries >= every && logged >= snapshot
}

// publish makes status and lease visible to other goroutines.
func (r *Replica) publish() {
	status := r.core.Status()
	r.status.Store(&status)
	r.publishLease()
}

// withdrawLease ends a lease that was given up, before messages leave: nobody
// may read under it once a successor has been told.
func (r *Replica) withdrawLease() {
	if !r.core.HoldsLease(r.config.Now()) {
		r.leaseUntil.Store(0)
	}
}

// publishLease makes the end of the lease visible, after the state machine has
// applied what the lease covers.
func (r *Replica) publishLease() {
	now := r.config.Now()
	until := r.core.LeaseUntil(now)
	if until <= now {
		until = 0
	}
	r.leaseUntil.Store(int64(until))
}
