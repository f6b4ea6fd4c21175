package consensus

import "time"

// A member that is about to stop tells the leader, again at each tick until it
// stops. Package repair then removes it at once if the other voters don't need it.
//
// Failure: a VM's successor has joined, and the VM is stopped for good. As long as
// the leader only finds it silent, it remains one of six voters, and the loss of
// two disks in that time leaves three, of which four are needed.

// Leave makes this member tell the leader that it stops. From now on it neither
// campaigns nor asks to be admitted. A leader also transfers leadership.
func (c *Core) Leave(now time.Duration) {
	c.now = now
	c.leaving = true
	if c.role == Leader {
		_ = c.TransferLeadership(now)
		return
	}
	c.sendLeaving()
}

// sendLeaving tells the leader, if one is known, that this member stops.
func (c *Core) sendLeaving() {
	if !c.leader.IsZero() {
		c.send(Message{Kind: MessageLeaving, To: c.leader})
	}
}

// receiveLeaving notes that a member stops, or that the leader has removed this one.
func (c *Core) receiveLeaving(now time.Duration, m Message) {
	if m.Reply {
		c.released = c.leaving
		return
	}
	if c.role != Leader {
		return
	}
	if p := c.progress[m.From]; p != nil {
		p.leavingAt = now
		p.left = true
		return
	}
	if !c.changePending() {
		c.send(Message{Kind: MessageLeaving, To: m.From, Reply: true})
	}
}

// isLeaving reports whether a member said within the last election timeout that it
// stops. After that time either its silence shows it, or it has started again.
func (c *Core) isLeaving(p *progress) bool {
	return p.left && c.now-p.leavingAt < c.settings.ElectionTimeout
}
