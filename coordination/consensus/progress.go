package consensus

import (
	"slices"
	"time"
)

// progress is what a leader knows about another member.
type progress struct {
	// match is the last entry known to be on the disk of the member.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// inFlight are the messages with entries that are not yet acknowledged.
	inFlight []sentEntries
	// probing means that one message at a time is sent until the logs are known
	// to agree.
	probing bool
	// due means that a message has to be sent even without new entries, for
	// example a heartbeat.
	due bool
	// sentCommit is the last commit index sent to the member.
	sentCommit uint64
	// ackedSendTime is when the newest message was sent, by the leader's clock,
	// that the member has acknowledged in this term.
	ackedSendTime time.Duration
	// lastHeard is when the member last replied.
	lastHeard time.Duration
	// leavingAt is when the member last said that it stops, if left is set.
	leavingAt time.Duration
	left      bool
	// snapshotTransfer is the snapshot that is being sent, or nil.
	snapshotTransfer *snapshotTransfer
}

// sentEntries is a message with entries that is in flight.
type sentEntries struct {
	last  uint64
	bytes int
}

// inFlightBytes returns the size of the entries in flight.
func (p *progress) inFlightBytes() int {
	sum := 0
	for _, s := range p.inFlight {
		sum += s.bytes
	}
	return sum
}

// releaseInFlight drops the messages that are acknowledged up to index.
func (p *progress) releaseInFlight(index uint64) {
	for len(p.inFlight) > 0 && p.inFlight[0].last <= index {
		p.inFlight = p.inFlight[1:]
	}
}

// caughtUpEntries is how many entries a learner may be behind and still be
// promoted: a few messages' worth, which a follower on a working connection
// receives within a heartbeat interval.
const caughtUpEntries = 256

// syncProgress adds and deletes progress records to match the configuration in
// use.
func (c *Core) syncProgress() {
	configuration, _ := c.log.configuration()
	members := configuration.Members()
	for _, m := range members {
		if m != c.settings.Self && c.progress[m] == nil {
			c.progress[m] = &progress{next: c.log.last() + 1, probing: true, due: true, ackedSendTime: -c.settings.ElectionTimeout, lastHeard: c.now}
		}
	}
	for m := range c.progress {
		if !slices.Contains(members, m) {
			delete(c.progress, m)
		}
	}
}

// isCaughtUp reports whether a member has acknowledged a message that was sent
// within the last election timeout, and holds all but the newest
// caughtUpEntries entries.
func (c *Core) isCaughtUp(p *progress) bool {
	fresh := c.now-p.ackedSendTime < c.settings.ElectionTimeout
	return fresh && p.match > 0 && p.match+caughtUpEntries >= c.log.last()
}

// nthHighest returns the n-th highest value; n starts at 1.
func nthHighest[T uint64 | time.Duration](values []T, n int) T {
	slices.Sort(values)
	return values[len(values)-n]
}

// advanceCommit commits the entries that a quorum of voters has on disk.
//
// Failure: a leader that counts copies of an entry from an older term may
// commit it, and a later leader replaces it, so an order that was confirmed
// vanishes. Therefore only an entry of the leader's own term is committed, and
// with it all entries before it: whoever is elected later must hold it.
func (c *Core) advanceCommit() {
	configuration, _ := c.log.configuration()
	index := nthHighest(c.matchIndexes(configuration), configuration.Quorum())
	term, held := c.log.term(index)
	if index <= c.log.commit || !held {
		return
	}
	if term != c.term && !c.unsafe.commitOlderTerms {
		return
	}
	c.log.commit = index
}

// matchIndexes returns the index of the last entry that each voter has on disk.
// Learners do not count.
func (c *Core) matchIndexes(configuration Configuration) []uint64 {
	counted := configuration.Voters
	if c.unsafe.countLearners {
		counted = configuration.Members()
	}
	matches := make([]uint64, 0, len(counted))
	for _, m := range counted {
		match := c.log.durable
		if c.unsafe.ackUnsynced {
			match = c.log.last()
		}
		if m != c.settings.Self {
			match = c.progress[m].match
		}
		matches = append(matches, match)
	}
	return matches
}
