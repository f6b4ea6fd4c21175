package consensus

import "time"

// follow accepts the sender as the leader of this or a newer term.
func (c *Core) follow(now time.Duration, m Message) {
	if c.role == Leader && m.Term == c.term {
		panic("consensus: invariant broken: a term has one leader: " + m.From.String() + " leads the term of " + c.settings.Self.String())
	}
	if m.Term > c.term || c.role != Follower {
		c.becomeFollower(now, m.Term, "another member leads")
	}
	if c.leader != m.From {
		c.leader = m.From
		c.event(EventFollowsLeader, m.From, "it leads the term")
	}
	c.leaderHeardAt = now
	c.resetElectionTimer(now)
}

// receiveAppend handles entries or a heartbeat from a leader.
func (c *Core) receiveAppend(now time.Duration, m Message) {
	if m.Term < c.term {
		c.sendAfterSync(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: m.Index})
		return
	}
	c.follow(now, m)
	if m.Index < c.log.commit {
		// This is a late message. Committed entries agree with the leader in
		// any case.
		c.acknowledge(m, c.log.commit)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.refuseAppend(m)
		return
	}
	if replaced := c.log.merge(m.Entries); replaced > 0 {
		c.event(EventEntriesReplaced, m.From, "uncommitted entries from %d on are replaced", replaced)
	}
	last := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	c.acknowledge(m, last)
}

// acknowledge promises that entries up to index are on disk. The leader counts
// that towards the quorum, so the reply waits for the sync.
func (c *Core) acknowledge(m Message, index uint64) {
	reply := Message{Kind: MessageAppendReply, To: m.From, Index: index, Sent: m.Sent}
	if c.unsafe.ackUnsynced {
		c.send(reply)
		return
	}
	c.sendAfterSync(reply)
}

// refuseAppend rejects entries and reports the latest entry at which the logs
// may agree.
func (c *Core) refuseAppend(m Message) {
	hint, term := c.log.latestPossibleMatch(m.Index-min(m.Index, 1), m.LogTerm)
	c.sendAfterSync(Message{
		Kind: MessageAppendReply, To: m.From, Reject: true,
		Index: m.Index, Hint: hint, HintTerm: term, Sent: m.Sent,
	})
}
