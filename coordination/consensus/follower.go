package consensus

import "time"

// follow accepts a leader of this or a newer term.
func (c *Core) follow(now time.Duration, m Message) {
	if c.role == Leader && m.Term == c.term {
		panic("consensus: invariant broken: one leader a term: " + m.From.String() + " leads the term of " + c.settings.Self.String())
	}
	if m.Term > c.term || c.role != Follower {
		c.becomeFollower(now, m.Term, "another member leads")
	}
	if c.leader != m.From {
		c.leader = m.From
		c.event(EventFollows, m.From, "it leads the term")
	}
	c.contact = now
	c.resetElection(now)
}

// receiveAppend takes entries or a heartbeat from a leader.
func (c *Core) receiveAppend(now time.Duration, m Message) {
	if m.Term < c.term {
		c.sendAfterSync(Message{Kind: MessageAppendReply, To: m.From, Reject: true, Index: m.Index})
		return
	}
	c.follow(now, m)
	if m.Index < c.log.commit {
		// A late copy: everything committed agrees anyway.
		c.acknowledge(m, c.log.commit)
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		c.refuseAppend(m)
		return
	}
	if replaced := c.log.merge(m.Entries); replaced > 0 {
		c.event(EventEntriesReplaced, m.From, "entries from %d on were never committed", replaced)
	}
	last := m.Index + uint64(len(m.Entries))
	c.log.commit = max(c.log.commit, min(m.Commit, last))
	c.acknowledge(m, last)
}

// acknowledge promises that entries up to index are on disk, so it waits for
// the sync: a leader counts it towards the quorum.
func (c *Core) acknowledge(m Message, index uint64) {
	reply := Message{Kind: MessageAppendReply, To: m.From, Index: index, Sent: m.Sent}
	if c.off.ackUnsynced {
		c.send(reply)
		return
	}
	c.sendAfterSync(reply)
}

// refuseAppend tells the leader where the logs may agree.
func (c *Core) refuseAppend(m Message) {
	hint, term := c.log.agreement(m.Index-min(m.Index, 1), m.LogTerm)
	c.sendAfterSync(Message{
		Kind: MessageAppendReply, To: m.From, Reject: true,
		Index: m.Index, Hint: hint, HintTerm: term, Sent: m.Sent,
	})
}
