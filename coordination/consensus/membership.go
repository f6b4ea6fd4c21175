package consensus

import "time"

// changePending reports whether a membership change must wait.
//
// Failure: with two changes in flight, or one started before the leader
// committed in its own term, two sets of voters without a common member can
// each elect a leader; both commit and the table splits. One committed step
// at a time keeps a member common to any two quorums that can decide.
func (c *Core) changePending() bool {
	_, index := c.log.configuration()
	return index > c.log.commit || c.log.commit < c.ownStart
}

// ChangeMembership starts one membership step. It is done when an entry with
// it is committed. Errors: ErrNotLeader, ErrChangePending, ErrUnsafeChange.
func (c *Core) ChangeMembership(now time.Duration, change Change) error {
	c.now = now
	if c.role != Leader {
		return ErrNotLeader{Leader: c.Leader()}
	}
	if c.changePending() && !c.off.manyChangesAtOnce {
		return ErrChangePending{}
	}
	configuration, _ := c.log.configuration()
	next, err := configuration.Apply(change)
	if err != nil {
		return err
	}
	if reason := c.endangers(change, next); reason != "" {
		return ErrUnsafeChange{Change: change, Reason: reason}
	}
	c.appendOwn(EntryConfiguration, encodeConfiguration(next))
	c.syncProgress()
	c.event(EventConfiguration, change.Member, "%s, as %s: %d voters, %d learners", change.Kind, change.Reason, len(next.Voters), len(next.Learners))
	return nil
}

// endangers says why a change would leave no working quorum, or "". A promoted
// learner must hold the log: else every commit would wait for its catch-up.
func (c *Core) endangers(change Change, next Configuration) string {
	if c.off.manyChangesAtOnce {
		return ""
	}
	if change.Kind == Promote && !c.isCaughtUp(c.progress[change.Member]) {
		return "the learner has not caught up"
	}
	if change.Kind == AddLearner || len(next.Voters) == 0 {
		return ""
	}
	if c.ready(next) < next.Quorum() {
		return "too few of the voters left answer and hold the log"
	}
	return ""
}

// ready counts the voters of a configuration that answered lately and hold
// the log. Answering alone is not enough: a voter that lost power before its
// first sync is blank, refuses votes, and may be the one that is needed.
func (c *Core) ready(configuration Configuration) int {
	count := 0
	for _, voter := range configuration.Voters {
		p := c.progress[voter]
		if voter == c.settings.Self || p != nil && c.isCaughtUp(p) {
			count++
		}
	}
	return count
}

// retireIfRemoved ends leadership once the removal of this leader is
// committed.
func (c *Core) retireIfRemoved() {
	configuration, index := c.log.configuration()
	if c.role == Leader && index <= c.log.commit && !configuration.IsVoter(c.settings.Self) {
		c.becomeFollower(c.now, c.term, "this voter was removed")
	}
}
