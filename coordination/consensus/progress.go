package consensus

import (
	"slices"
	"time"
)

// progress is a leader's knowledge of one other member.
type progress struct {
	// match is the last entry known to be on the member's disk.
	match uint64
	// next is the first entry to send.
	next uint64
	// inFlight are the messages with entries that are not acknowledged.
	inFlight []sentEntries
	// probing sends one message at a time until the logs are known to agree.
	probing bool
	// due asks for a message even if there is nothing new: a heartbeat.
	due bool
	// toldCommit is the last commit index sent.
	toldCommit uint64
	// acked is the newest send time, by the leader's clock, that the member
	// has acknowledged in this term.
	acked time.Duration
	// heard is when the member last answered.
	heard time.Duration
	// transfer is the snapshot under way, or nil.
	transfer *transfer
}

// sentEntries is one message with entries on its way.
type sentEntries struct {
	last  uint64
	bytes int
}

// sentBytes returns the bytes on their way.
func (p *progress) sentBytes() int {
	sum := 0
	for _, s := range p.inFlight {
		sum += s.bytes
	}
	return sum
}

// arrived drops the messages that are acknowledged up to an index.
func (p *progress) arrived(index uint64) {
	for len(p.inFlight) > 0 && p.inFlight[0].last <= index {
		p.inFlight = p.inFlight[1:]
	}
}

// caughtUpEntries is how far behind a learner may be and still be promoted: a
// few messages' worth, which a follower on a live connection makes up within
// a heartbeat.
const caughtUpEntries = 256

// syncProgress makes the progress records follow the configuration in use.
func (c *Core) syncProgress() {
	configuration, _ := c.log.configuration()
	members := configuration.Members()
	for _, m := range members {
		if m != c.settings.Self && c.progress[m] == nil {
			c.progress[m] = &progress{next: c.log.last() + 1, probing: true, due: true, acked: -c.settings.ElectionTimeout, heard: c.now}
		}
	}
	for m := range c.progress {
		if !slices.Contains(members, m) {
			delete(c.progress, m)
		}
	}
}

// isCaughtUp reports whether a member holds nearly everything and answers.
func (c *Core) isCaughtUp(p *progress) bool {
	fresh := c.now-p.acked < c.settings.ElectionTimeout
	return fresh && p.match > 0 && p.match+caughtUpEntries >= c.log.last()
}

// nthHighest returns the n-th highest value, n from 1.
func nthHighest[T uint64 | time.Duration](values []T, n int) T {
	slices.Sort(values)
	return values[len(values)-n]
}

// advanceCommit commits what a quorum of voters has on disk.
//
// Failure: a leader that counts copies of an older term's entry may commit
// it and see it replaced by a later leader, so an answered order vanishes.
// Only an entry of the own term commits, and with it all before it: whoever
// wins later must hold it.
func (c *Core) advanceCommit() {
	configuration, _ := c.log.configuration()
	index := nthHighest(c.matches(configuration), configuration.Quorum())
	term, held := c.log.term(index)
	if index <= c.log.commit || !held {
		return
	}
	if term != c.term && !c.off.commitOlderTerms {
		return
	}
	c.log.commit = index
}

// matches returns what each voter has on disk. Learners do not count.
func (c *Core) matches(configuration Configuration) []uint64 {
	counted := configuration.Voters
	if c.off.countLearners {
		counted = configuration.Members()
	}
	matches := make([]uint64, 0, len(counted))
	for _, m := range counted {
		match := c.log.durable
		if c.off.ackUnsynced {
			match = c.log.last()
		}
		if m != c.settings.Self {
			match = c.progress[m].match
		}
		matches = append(matches, match)
	}
	return matches
}
