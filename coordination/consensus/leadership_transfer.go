package consensus

import "time"

// TransferLeadership makes a leader look for a successor before a planned stop,
// for at most one election timeout. Meanwhile it accepts no proposals. Error:
// ErrNotLeader.
//
// At the planned size there are about 120 restarts a day. Without the transfer,
// each restart of a leader would leave the fleet without one for one to three
// seconds.
func (c *Core) TransferLeadership(now time.Duration) error {
	c.now = now
	if c.role != Leader {
		return ErrNotLeader{Leader: c.Leader()}
	}
	c.transferUntil = now + c.settings.ElectionTimeout
	for _, p := range c.progress {
		p.due = true
	}
	return nil
}

// tryTransferLeadership transfers leadership to a voter that holds the whole
// log.
//
// The other voters elect the successor within the election timeout in which
// they promised this leader not to vote. That breaks no lease: this member
// stops leading, and so stops serving reads, before the message is sent. The
// votes are for the next term only. If another member already leads that term,
// a quorum has voted in it and the successor cannot win.
func (c *Core) tryTransferLeadership() {
	if c.transferUntil == 0 {
		return
	}
	if c.now >= c.transferUntil {
		c.transferUntil = 0
		return
	}
	configuration, _ := c.log.configuration()
	for _, voter := range configuration.Voters {
		p := c.progress[voter]
		if p != nil && c.isCaughtUp(p) && !c.isLeaving(p) && p.match == c.log.last() {
			c.transferLeadershipTo(voter)
			return
		}
	}
}

// transferLeadershipTo steps down and asks the successor to campaign.
func (c *Core) transferLeadershipTo(voter Member) {
	c.event(EventTransfersLeadership, voter, "planned stop of this leader")
	if !c.unsafe.leadAfterTransfer {
		c.becomeFollower(c.now, c.term, "transferred leadership to "+voter.String())
	}
	c.send(Message{Kind: MessageTimeoutNow, To: voter})
}

// receiveTimeoutNow starts an election at once, without a pre-vote, because the
// leader itself asks for it.
func (c *Core) receiveTimeoutNow(now time.Duration, m Message) {
	if m.Term != c.term || c.leader != m.From || c.role != Follower || c.leaving || !c.mayCampaign() {
		return
	}
	c.forced = true
	c.startElection(now)
}
