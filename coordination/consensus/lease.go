package consensus

import "time"

// pendingRead waits for a quorum to confirm the leader after at.
type pendingRead struct {
	id    uint64
	index uint64
	at    time.Duration
}

// quorumAcked returns the newest time at which a message left this leader
// that a quorum of voters has acknowledged since.
func (c *Core) quorumAcked(now time.Duration) time.Duration {
	configuration, _ := c.log.configuration()
	acked := make([]time.Duration, 0, len(configuration.Voters))
	for _, voter := range configuration.Voters {
		at := now
		if voter != c.settings.Self {
			at = c.ackedBy(voter)
		}
		acked = append(acked, at)
	}
	return nthHighest(acked, configuration.Quorum())
}

// ackedBy returns the newest acknowledged send time of a voter.
func (c *Core) ackedBy(voter Member) time.Duration {
	if p := c.progress[voter]; p != nil {
		return p.acked
	}
	return c.electedAt - c.settings.ElectionTimeout
}

// leaseUntil returns when the lease of this leader ends.
//
// Failure: a leader behind a silent partition, or frozen and woken, answers
// reads or gives orders while its successor already works; callers see a
// change reverted. Each voter that acknowledged a message sent at t helps to
// elect nobody before t plus the election timeout on its clock, and the lease
// is shorter than that by twice the clock drift, so it ends first.
func (c *Core) leaseUntil(now time.Duration) time.Duration {
	return c.quorumAcked(now) + c.settings.leaseLength()
}

// HoldsLease reports whether this member leads, has committed an entry of its
// own term and no other leader can exist at now. A caller that reads state
// under the lease reads first and checks afterwards.
func (c *Core) HoldsLease(now time.Duration) bool {
	return now < c.LeaseUntil(now)
}

// LeaseUntil returns the end of the lease, or a time not after now if this
// member holds none.
func (c *Core) LeaseUntil(now time.Duration) time.Duration {
	if c.role != Leader || c.log.applied < c.ownStart || c.settings.Leaseless {
		return now
	}
	if c.off.serveAfterLeaseEnds {
		return now + c.settings.ElectionTimeout
	}
	return max(now, c.leaseUntil(now))
}

// lostQuorum reports whether the lease ran out, or was not won in time after
// the election.
func (c *Core) lostQuorum(now time.Duration) bool {
	if c.off.serveAfterLeaseEnds {
		return false
	}
	return now >= c.leaseUntil(now) && now >= c.electedAt+c.settings.ElectionTimeout
}

// ReadIndex asks for an index such that a read after applying it sees
// everything committed before this call. The answer comes in Output.Reads
// once a quorum has answered. Error: ErrNotLeader, also while the leader has
// not committed an entry of its own term.
func (c *Core) ReadIndex(now time.Duration, id uint64) error {
	c.now = now
	if c.role != Leader || c.log.commit < c.ownStart {
		return ErrNotLeader{Leader: c.Leader()}
	}
	c.reads = append(c.reads, pendingRead{id: id, index: c.log.commit, at: now})
	for _, p := range c.progress {
		p.due = true
	}
	return nil
}

// confirmReads answers the reads that a quorum has confirmed.
func (c *Core) confirmReads() {
	if len(c.reads) == 0 {
		return
	}
	confirmed := c.quorumAcked(c.now)
	for len(c.reads) > 0 && c.reads[0].at <= confirmed {
		c.out.Reads = append(c.out.Reads, Read{ID: c.reads[0].id, Index: c.reads[0].index})
		c.reads = c.reads[1:]
	}
}

// loseReads fails the reads that wait.
func (c *Core) loseReads() {
	for _, r := range c.reads {
		c.out.Reads = append(c.out.Reads, Read{ID: r.id, Lost: true})
	}
	c.reads = nil
}
