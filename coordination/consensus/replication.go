package consensus

import "time"

// tickLeader makes heartbeats due, and steps down when the lease has expired.
func (c *Core) tickLeader(now time.Duration) {
	if c.lostQuorum(now) {
		c.becomeFollower(now, c.term, "no quorum replied within the lease")
		return
	}
	if now < c.heartbeatAt {
		return
	}
	c.heartbeatAt = now + c.settings.Heartbeat
	for _, p := range c.progress {
		p.due = true
	}
}

// replicateAll sends to every other member the entries that it lacks.
func (c *Core) replicateAll() {
	c.syncProgress()
	c.advanceCommitOfSoleVoter()
	configuration, _ := c.log.configuration()
	for _, m := range configuration.Members() {
		if m != c.settings.Self {
			c.replicate(m, c.progress[m])
		}
	}
}

// advanceCommitOfSoleVoter commits what is already on disk when a removal has
// left this member the only voter. No acknowledgement will arrive that could
// trigger the commit.
func (c *Core) advanceCommitOfSoleVoter() {
	if c.isSoleVoter() {
		c.advanceCommit()
	}
}

// replicate sends messages to one member if there is something to send or a
// heartbeat is due.
func (c *Core) replicate(m Member, p *progress) {
	if p.snapshotTransfer == nil && p.next <= c.log.base {
		c.startSnapshotTransfer(m, p)
	}
	if p.snapshotTransfer != nil {
		c.sendChunk(m, p)
		return
	}
	entries := c.sendable(p)
	hasUpdate := len(entries) > 0 || p.sentCommit < c.log.commit
	if !p.due && (p.probing || !hasUpdate) {
		return
	}
	c.sendAppend(m, p, entries)
	for !p.probing {
		entries = c.sendable(p)
		if len(entries) == 0 {
			return
		}
		c.sendAppend(m, p, entries)
	}
}

// sendable returns the entries that may be sent to the member now.
func (c *Core) sendable(p *progress) []Entry {
	if p.inFlightBytes() >= c.settings.MaxInFlightBytes {
		return nil
	}
	return c.log.slice(p.next, c.settings.MaxAppendBytes)
}

// sendAppend sends entries, or a heartbeat without entries. If a message is
// lost, the receiver notices the gap at the next one and rejects it.
func (c *Core) sendAppend(m Member, p *progress, entries []Entry) {
	previous := p.next - 1
	term, _ := c.log.term(previous)
	c.send(Message{
		Kind: MessageAppend, To: m, Index: previous, LogTerm: term,
		Entries: entries, Commit: c.log.commit, Sent: c.now,
	})
	p.due = false
	p.sentCommit = c.log.commit
	if p.probing || len(entries) == 0 {
		return
	}
	p.next += uint64(len(entries))
	size := 0
	for _, e := range entries {
		size += e.size()
	}
	p.inFlight = append(p.inFlight, sentEntries{last: p.next - 1, bytes: size})
}

// receiveReply handles a follower's reply to entries or to a snapshot chunk.
func (c *Core) receiveReply(now time.Duration, m Message) {
	if m.Term > c.term {
		c.becomeFollower(now, m.Term, "a member reported a newer term")
		return
	}
	if c.role != Leader || m.Term < c.term {
		return
	}
	p := c.progress[m.From]
	if p == nil {
		return
	}
	p.lastHeard = now
	p.ackedSendTime = max(p.ackedSendTime, m.Sent)
	if m.Kind == MessageSnapshotReply {
		c.recordChunkReply(p, m)
		return
	}
	if m.Reject {
		c.backOff(p, m)
		return
	}
	c.recordMatch(p, m.Index)
}

// backOff moves next back to the latest entry at which the logs may agree. It
// ignores a rejection of a message that is older than the last success.
func (c *Core) backOff(p *progress, m Message) {
	if m.Index <= p.match {
		return
	}
	index, _ := c.log.latestPossibleMatch(m.Hint, m.HintTerm)
	p.next = max(p.match, min(index, m.Index-1)) + 1
	p.probing = true
	p.due = true
	p.inFlight = nil
	if index <= c.log.base && m.Hint < c.log.base {
		p.next = p.match + 1
	}
}

// recordMatch records that a member has all entries up to index on disk.
func (c *Core) recordMatch(p *progress, index uint64) {
	if p.probing {
		p.probing = false
		p.inFlight = nil
		p.next = max(p.match, index) + 1
	}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.releaseInFlight(p.match)
	if p.snapshotTransfer != nil && p.match >= p.snapshotTransfer.index {
		p.snapshotTransfer = nil
	}
	c.advanceCommit()
}
