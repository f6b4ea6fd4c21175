package consensus

import "time"

// An epoch is a count of recoveries from a lost quorum; see Recovered.
//
// Failure: an operator recovers the cluster from one survivor because the
// other voters seem lost, and they come back: two leaders serve, and their
// logs mix. It shows as orders that are there on one day and not on the next.
// The guard: members of an older epoch are not heard, and as soon as one hears
// of the newer epoch it gives up leading, voting and acknowledging for good.
// Until it hears of it, the two do run beside each other: that is why the
// operator has to know that the others are gone.

// sameEpoch reports whether a message may be taken. A blank member takes the
// epoch of the first leader it hears.
func (c *Core) sameEpoch(now time.Duration, m Message) bool {
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

// checkSuperseded ends this member's part if the sender knows a newer epoch.
func (c *Core) checkSuperseded(now time.Duration, m Message) {
	if c.log.blank() || c.superseded || m.Epoch <= c.epoch {
		return
	}
	c.becomeFollower(now, c.term, "the cluster was recovered without this member")
	c.superseded = true
	c.event(EventSuperseded, m.From, "the cluster was recovered without this member (epoch %d, own %d); wipe this data folder", m.Epoch, c.epoch)
}

// Recovered returns what a lone survivor has to write to its disk to go on
// without the other voters: a configuration with itself as the only voter, in
// a new term and epoch. False if it holds no log.
func Recovered(self Member, stored Stored) (HardState, Entry, bool) {
	log := newMemoryLog(stored)
	if log.blank() {
		return HardState{}, Entry{}, false
	}
	term := max(stored.HardState.Term, log.lastTerm()) + 1
	state := HardState{Term: term, Vote: self, Epoch: stored.HardState.Epoch + 1}
	alone := encodeConfiguration(Configuration{Voters: []Member{self}})
	return state, Entry{Index: log.last() + 1, Term: term, Kind: EntryConfiguration, Data: alone}, true
}

// NewestConfiguration returns the newest configuration on a disk.
func NewestConfiguration(stored Stored) Configuration {
	log := newMemoryLog(stored)
	configuration, _ := log.configuration()
	return configuration
}
