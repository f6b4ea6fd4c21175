package replica

import (
	"time"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
)

// run is the loop that owns the member's state.
func (r *Replica) run() {
	defer r.shutDown()
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
			r.drainInputs()
			r.core.Tick(r.config.Now())
			r.repairMembership()
		case input := <-r.inputs:
			input()
			r.drainInputs()
		}
		r.processOutputs()
	}
}

// repairMembership starts the membership change that the policy asks for, if any.
// The core refuses a change that would endanger the quorum. The policy then asks
// for it again at a later tick.
func (r *Replica) repairMembership() {
	now := r.config.Now()
	if change := r.policy.Decide(now, r.core.Status()); change.Kind != 0 {
		_ = r.core.ChangeMembership(now, change)
	}
}

// drainInputs handles the waiting inputs, up to batchLimit. It also runs before
// each tick: after a long sync or a pause of the process, the replies that show
// that a quorum is alive are still in the queue.
func (r *Replica) drainInputs() {
	for range batchLimit {
		select {
		case input := <-r.inputs:
			input()
		default:
			return
		}
	}
}

// shutDown ends the lease, closes the log, ends all waiting calls and reports a
// failure to OnFailed.
func (r *Replica) shutDown() {
	r.leaseUntil.Store(0)
	_ = r.log.Close()
	close(r.done)
	if r.failure != nil && r.config.OnFailed != nil {
		r.config.OnFailed(r.failure)
	}
}

// processOutputs processes the core's outputs until there are no more.
func (r *Replica) processOutputs() {
	for r.failure == nil {
		out := r.core.Take()
		r.processOutput(out)
		if !out.MustSync() && len(out.Committed) == 0 {
			break
		}
	}
	r.publishStatus()
}

// processOutput processes one output in the order that safety requires: it
// persists and syncs first, then sends votes and acknowledgements, then applies
// committed entries.
func (r *Replica) processOutput(out consensus.Output) {
	r.reportEvents(out.Events)
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
	r.updateLeader()
	r.apply(out)
	r.completeReads(out.Reads)
	r.compactIfDue()
}

// persist writes the output's snapshot, hard state and entries to the log and
// syncs them.
func (r *Replica) persist(out consensus.Output) error {
	if out.Snapshot != nil {
		if err := r.log.SaveSnapshot(*out.Snapshot, true); err != nil {
			return err
		}
	}
	r.log.Append(out.HardState, out.Entries)
	return r.log.Sync()
}

// sendAll sends messages through the transport.
func (r *Replica) sendAll(messages []consensus.Message) {
	for _, m := range messages {
		r.config.Transport.Send(m.To.Router, m)
	}
}

// reportEvents calls OnEvent for each event.
func (r *Replica) reportEvents(events []consensus.Event) {
	if r.config.OnEvent == nil {
		return
	}
	for _, e := range events {
		r.config.OnEvent(e)
	}
}

// updateLeader fails all pending proposals if this member lost leadership, and
// reports a change of the known leader.
func (r *Replica) updateLeader() {
	leader := r.core.Leader()
	leads := r.core.Role() == consensus.Leader
	if r.wasLeader && !leads {
		r.failPendingProposals(leader)
	}
	r.wasLeader = leads
	if leader != r.leader {
		r.leader = leader
		r.notifyLeaderChange(leader, r.core.Term())
	}
}

// notifyLeaderChange calls OnLeaderChange, if it is set.
func (r *Replica) notifyLeaderChange(leader protocol.RouterID, term uint64) {
	if r.config.OnLeaderChange != nil {
		r.config.OnLeaderChange(leader, term)
	}
}

// failPendingProposals fails all pending proposals with ErrLostLeadership: their
// outcome is unknown.
func (r *Replica) failPendingProposals(leader protocol.RouterID) {
	for index, p := range r.pendingProposals {
		p.reply <- proposalResult{err: ErrLostLeadership{Leader: leader}}
		delete(r.pendingProposals, index)
	}
}

// propose appends a command to the log. applyEntry replies when it is applied.
func (r *Replica) propose(command []byte, reply chan proposalResult) {
	index, term, err := r.core.Propose(r.config.Now(), command)
	if err != nil {
		reply <- proposalResult{err: err}
		return
	}
	r.pendingProposals[index] = pendingProposal{term: term, reply: reply}
}

// barrier asks the core for a read index. completeReads replies when the core has
// confirmed it.
func (r *Replica) barrier(reply chan error) {
	r.nextBarrier++
	if err := r.core.ReadIndex(r.config.Now(), r.nextBarrier); err != nil {
		reply <- err
		return
	}
	r.pendingBarriers[r.nextBarrier] = reply
}

// completeReads replies to the barriers that the core has confirmed or that were
// lost with leadership. The entries that a confirmed barrier waits for were
// committed in this output or an earlier one, so they are already applied.
func (r *Replica) completeReads(reads []consensus.Read) {
	for _, read := range reads {
		reply := r.pendingBarriers[read.ID]
		delete(r.pendingBarriers, read.ID)
		if read.Lost {
			reply <- ErrLostLeadership{Leader: r.leader}
			continue
		}
		reply <- nil
	}
}

// apply restores a received snapshot and applies committed entries.
func (r *Replica) apply(out consensus.Output) {
	if out.Snapshot != nil {
		if err := r.config.Machine.Restore(out.Snapshot.Data); err != nil {
			r.failure = err
			return
		}
		r.applied = out.Snapshot.Index
		r.snapshotIndex = out.Snapshot.Index
		r.snapshotBytes = len(out.Snapshot.Data)
		r.bytesSinceSnapshot = 0
	}
	for _, e := range out.Committed {
		r.applyEntry(e)
	}
}

// applyEntry applies one entry and replies to its proposal, if this member made
// it.
func (r *Replica) applyEntry(e consensus.Entry) {
	var result []byte
	if e.Kind == consensus.EntryCommand {
		result = r.config.Machine.Apply(e.Index, e.Data)
	}
	r.applied = e.Index
	r.bytesSinceSnapshot += entryOverhead + len(e.Data)
	if p, ok := r.pendingProposals[e.Index]; ok {
		delete(r.pendingProposals, e.Index)
		p.reply <- resultFor(p, e, result, r.leader)
	}
	if e.Kind == consensus.EntryCommand && r.config.OnApplied != nil {
		r.config.OnApplied(e.Index)
	}
}

// resultFor returns the result of a proposal whose index is e.Index. If the entry
// has another term, another leader's entry replaced the proposal.
func resultFor(p pendingProposal, e consensus.Entry, result []byte, leader protocol.RouterID) proposalResult {
	if p.term != e.Term {
		return proposalResult{err: ErrLostLeadership{Leader: leader}}
	}
	return proposalResult{result: result}
}

// compactIfDue writes a snapshot if snapshotDue says so.
func (r *Replica) compactIfDue() {
	if r.failure != nil || !snapshotDue(r.applied-r.snapshotIndex, r.config.SnapshotEvery, r.bytesSinceSnapshot, r.snapshotBytes) {
		return
	}
	data := r.config.Machine.Snapshot()
	s, ok := r.core.Compact(r.applied, data)
	r.snapshotIndex = r.applied
	r.snapshotBytes = len(data)
	r.bytesSinceSnapshot = 0
	if !ok {
		return
	}
	if err := r.log.SaveSnapshot(s, false); err != nil {
		r.failure = ErrDiskFailed{Cause: err}
	}
}

// snapshotDue reports whether a new snapshot should be written, given the number
// and size of the entries since the last one and the size of the last one.
//
// Load: a journal of tens of megabytes receives a thousand commands per second.
// With a limit on the number of entries alone, the whole state would be written
// every few seconds, and nothing commits while it is written. The log must
// therefore first grow to the size of the last snapshot, so that snapshots at most
// double the amount of data written.
func snapshotDue(entries, minEntries uint64, loggedBytes, snapshotBytes int) bool {
	return entries >= minEntries && loggedBytes >= snapshotBytes
}

// publishStatus makes the status and the lease visible to other goroutines.
func (r *Replica) publishStatus() {
	status := r.core.Status()
	r.status.Store(&status)
	r.publishLease()
}

// withdrawLease ends the published lease if the core no longer holds one. It must
// run before messages are sent: nobody may read under the lease once the successor
// has received the leadership transfer.
func (r *Replica) withdrawLease() {
	if !r.core.HoldsLease(r.config.Now()) {
		r.leaseUntil.Store(0)
	}
}

// publishLease makes the end of the lease visible to other goroutines. It must run
// after the state machine has applied everything committed so far.
func (r *Replica) publishLease() {
	now := r.config.Now()
	until := r.core.LeaseUntil(now)
	if until <= now {
		until = 0
	}
	r.leaseUntil.Store(int64(until))
}
