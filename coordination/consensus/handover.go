package consensus

import "time"

// HandOver makes a leader look for a successor before a planned stop, for one
// election timeout at most. It takes no more proposals meanwhile. Error:
// ErrNotLeader.
//
// Load: some 120 restarts a day at the size we plan for. Harm prevented: each
// restart of a leader would cost the fleet one to three seconds without one.
func (c *Core) HandOver(now time.Duration) error {
	c.now = now
	if c.role != Leader {
		return ErrNotLeader{Leader: c.Leader()}
	}
	c.handOverUntil = now + c.settings.ElectionTimeout
	for _, p := range c.progress {
		p.due = true
	}
	return nil
}

// tryHandOver gives leadership to a voter that holds everything.
//
// The successor is elected within the election timeouts of the others, which
// promised this leader not to vote. That breaks no lease: this member stops
// being the leader, and with it serving reads, before the message leaves, and
// the votes asked for are of the next term only. If another leader has that
// term, a quorum has voted in it already.
func (c *Core) tryHandOver() {
	if c.handOverUntil == 0 {
		return
	}
	if c.now >= c.handOverUntil {
		c.handOverUntil = 0
		return
	}
	configuration, _ := c.log.configuration()
	for _, voter := range configuration.Voters {
		p := c.progress[voter]
		if p != nil && c.isCaughtUp(p) && p.match == c.log.last() {
			c.handOverTo(voter)
			return
		}
	}
}

// handOverTo steps down and tells the successor.
func (c *Core) handOverTo(voter Member) {
	c.event(EventHandOver, voter, "this leader stops as planned")
	if !c.off.leadAfterHandOver {
		c.becomeFollower(c.now, c.term, "handed over to "+voter.String())
	}
	c.send(Message{Kind: MessageHandOver, To: voter})
}

// receiveHandOver campaigns at once, without a pre-vote: the leader itself
// asks for it.
func (c *Core) receiveHandOver(now time.Duration, m Message) {
	if m.Term != c.term || c.leader != m.From || c.role != Follower || !c.mayCampaign() {
		return
	}
	c.forced = true
	c.runForLeader(now)
}
