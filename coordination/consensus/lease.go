package consensus

import "time"

// pendingRead waits until a quorum acknowledges a message that the leader sent
// at or after at.
type pendingRead struct {
	id    uint64
	index uint64
	at    time.Duration
}

// quorumAckTime returns the latest time such that a quorum of voters has
// acknowledged messages sent then or later.
func (c *Core) quorumAckTime(now time.Duration) time.Duration {
	configuration, _ := c.log.configuration()
	acked := make([]time.Duration, 0, len(configuration.Voters))
	for _, voter := range configuration.Voters {
		at := now
		if voter != c.settings.Self {
			at = c.ackTime(voter)
		}
		acked = append(acked, at)
	}
	return nthHighest(acked, configuration.Quorum())
}

// ackTime returns when the newest message that a voter acknowledged was sent.
func (c *Core) ackTime(voter Member) time.Duration {
	if p := c.progress[voter]; p != nil {
		return p.ackedSendTime
	}
	return c.electedAt - c.settings.ElectionTimeout
}

// quorumLeaseEnd returns when the lease that the acknowledgements grant to this
// leader ends.
//
// Failure: a leader behind a silent partition, or frozen and resumed, answers
// reads or hands out orders while its successor already works; callers see a
// change reverted. Each voter that acknowledged a message sent at time t votes
// for nobody until t plus the election timeout on its own clock. The lease is
// shorter than the election timeout by twice the clock drift, so it ends first.
func (c *Core) quorumLeaseEnd(now time.Duration) time.Duration {
	return c.quorumAckTime(now) + c.settings.leaseLength()
}

// HoldsLease reports whether this member leads, has applied an entry of its own
// term, and no other leader can exist at now. A caller that reads state under
// the lease reads first and checks afterwards.
func (c *Core) HoldsLease(now time.Duration) bool {
	return now < c.LeaseUntil(now)
}

// LeaseUntil returns the end of the lease, or a time not after now if this
// member holds none.
func (c *Core) LeaseUntil(now time.Duration) time.Duration {
	if c.role != Leader || c.log.applied < c.termStart || c.settings.Leaseless {
		return now
	}
	if c.unsafe.serveAfterLeaseEnds {
		return now + c.settings.ElectionTimeout
	}
	return max(now, c.quorumLeaseEnd(now))
}

// lostQuorum reports whether the lease has expired, or was not obtained within
// an election timeout after the election.
func (c *Core) lostQuorum(now time.Duration) bool {
	if c.unsafe.serveAfterLeaseEnds {
		return false
	}
	return now >= c.quorumLeaseEnd(now) && now >= c.electedAt+c.settings.ElectionTimeout
}

// ReadIndex asks for an index such that a read after applying it sees
// everything committed before this call. The result comes in Output.Reads once
// a quorum has acknowledged this leader. It returns ErrNotLeader also while the
// leader has not committed an entry of its own term.
func (c *Core) ReadIndex(now time.Duration, id uint64) error {
	c.now = now
	if c.role != Leader || c.log.commit < c.termStart {
		return ErrNotLeader{Leader: c.Leader()}
	}
	c.reads = append(c.reads, pendingRead{id: id, index: c.log.commit, at: now})
	for _, p := range c.progress {
		p.due = true
	}
	return nil
}

// confirmReads returns the reads that a quorum has confirmed.
func (c *Core) confirmReads() {
	if len(c.reads) == 0 {
		return
	}
	confirmed := c.quorumAckTime(c.now)
	for len(c.reads) > 0 && c.reads[0].at <= confirmed {
		c.out.Reads = append(c.out.Reads, Read{ID: c.reads[0].id, Index: c.reads[0].index})
		c.reads = c.reads[1:]
	}
}

// failReads reports all pending reads as lost.
func (c *Core) failReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, Read{ID: r.id, Lost: true})
	}
	c.reads = nil
}
