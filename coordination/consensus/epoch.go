package consensus

import "time"

// The epoch counts recoveries from a lost quorum; see RecoverAsSoleVoter.
//
// Failure: an operator recovers the cluster from one survivor because the other
// voters seem lost, and then they come back. Two leaders serve and their logs
// mix, so an order that exists on one day is missing on the next. The guard: a
// member rejects messages from an older epoch. A member that receives a message
// from a newer epoch stops leading, voting and acknowledging until its data
// folder is wiped. Until such a message arrives the two clusters do run side by
// side, which is why the operator must make sure that the other voters are
// gone.

// acceptEpoch reports whether the epoch of a message allows handling it. A
// blank member adopts a newer epoch.
func (c *Core) acceptEpoch(now time.Duration, m Message) bool {
	if c.superseded {
		return false
	}
	if c.log.blank() && m.Epoch > c.epoch {
		c.epoch = m.Epoch
	}
	if m.Epoch < c.epoch {
		c.sendHello(m.From)
		return false
	}
	c.checkSuperseded(now, m)
	return !c.superseded
}

// checkSuperseded marks this member as superseded if the sender has a newer
// epoch.
func (c *Core) checkSuperseded(now time.Duration, m Message) {
	if c.log.blank() || c.superseded || m.Epoch <= c.epoch {
		return
	}
	c.becomeFollower(now, c.term, "the cluster was recovered without this member")
	c.superseded = true
	c.event(EventSuperseded, m.From, "the cluster was recovered without this member (epoch %d, own %d); wipe this data folder", m.Epoch, c.epoch)
}

// RecoverAsSoleVoter returns what a lone survivor has to write to its disk to
// continue without the other voters: a configuration with itself as the only
// voter, in a new term and epoch. It returns false if the disk holds no log.
func RecoverAsSoleVoter(self Member, stored Stored) (HardState, Entry, bool) {
	log := newMemoryLog(stored)
	if log.blank() {
		return HardState{}, Entry{}, false
	}
	term := max(stored.HardState.Term, log.lastTerm()) + 1
	state := HardState{Term: term, Vote: self, Epoch: stored.HardState.Epoch + 1}
	onlySelf := encodeConfiguration(Configuration{Voters: []Member{self}})
	return state, Entry{Index: log.last() + 1, Term: term, Kind: EntryConfiguration, Data: onlySelf}, true
}

// NewestConfiguration returns the newest configuration on a disk.
func NewestConfiguration(stored Stored) Configuration {
	log := newMemoryLog(stored)
	configuration, _ := log.configuration()
	return configuration
}
