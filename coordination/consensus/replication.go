package consensus

import "time"

// tickLeader sends heartbeats and gives up leadership with the lease.
func (c *Core) tickLeader(now time.Duration) {
	if c.lostQuorum(now) {
		c.becomeFollower(now, c.term, "no quorum answered within the lease")
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

// replicateAll sends to every other member what it lacks.
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
// left this voter alone; nobody else will answer then.
func (c *Core) advanceCommitOfSoleVoter() {
	if c.isSoleVoter() {
		c.advanceCommit()
	}
}

// replicate sends the next message to one member, if there is a reason.
func (c *Core) replicate(m Member, p *progress) {
	if p.transfer == nil && p.next <= c.log.base {
		c.startTransfer(m, p)
	}
	if p.transfer != nil {
		c.sendChunk(m, p)
		return
	}
	entries := c.sendable(p)
	news := len(entries) > 0 || p.toldCommit < c.log.commit
	if !p.due && (p.probing || !news) {
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

// sendable returns the entries that the member may be sent now.
func (c *Core) sendable(p *progress) []Entry {
	if p.sentBytes() >= c.settings.MaxInFlightBytes {
		return nil
	}
	return c.log.slice(p.next, c.settings.MaxAppendBytes)
}

// sendAppend sends entries, or a heartbeat without any. A lost message shows
// as a gap in the next one, which the receiver refuses.
func (c *Core) sendAppend(m Member, p *progress, entries []Entry) {
	previous := p.next - 1
	term, _ := c.log.term(previous)
	c.send(Message{
		Kind: MessageAppend, To: m, Index: previous, LogTerm: term,
		Entries: entries, Commit: c.log.commit, Sent: c.now,
	})
	p.due = false
	p.toldCommit = c.log.commit
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

// receiveReply takes a follower's answer to entries or to a snapshot chunk.
func (c *Core) receiveReply(now time.Duration, m Message) {
	if m.Term > c.term {
		c.becomeFollower(now, m.Term, "a member knows a newer term")
		return
	}
	if c.role != Leader || m.Term < c.term {
		return
	}
	p := c.progress[m.From]
	if p == nil {
		return
	}
	p.heard = now
	p.acked = max(p.acked, m.Sent)
	if m.Kind == MessageSnapshotReply {
		c.chunkReceived(p, m)
		return
	}
	if m.Reject {
		c.backOff(p, m)
		return
	}
	c.matched(p, m.Index)
}

// backOff moves to the latest entry at which the logs may agree. Refusals of
// messages older than the last success change nothing.
func (c *Core) backOff(p *progress, m Message) {
	if m.Index <= p.match {
		return
	}
	index, _ := c.log.agreement(m.Hint, m.HintTerm)
	p.next = max(p.match, min(index, m.Index-1)) + 1
	p.probing = true
	p.due = true
	p.inFlight = nil
	if index <= c.log.base && m.Hint < c.log.base {
		p.next = p.match + 1
	}
}

// matched counts an acknowledgement.
func (c *Core) matched(p *progress, index uint64) {
	if p.probing {
		p.probing = false
		p.inFlight = nil
		p.next = max(p.match, index) + 1
	}
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.arrived(p.match)
	if p.transfer != nil && p.match >= p.transfer.index {
		p.transfer = nil
	}
	c.advanceCommit()
}
