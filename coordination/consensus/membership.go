package consensus

import "time"

// changePending reports whether a new membership change has to wait.
//
// Failure: two changes are in flight, or one starts before the leader has
// committed an entry in its own term. Then two sets of voters without a common
// member can each elect a leader, both leaders commit, and the table splits.
// With one committed change at a time, any two quorums that can decide have a
// member in common.
func (c *Core) changePending() bool {
	_, index := c.log.configuration()
	return index > c.log.commit || c.log.commit < c.termStart
}

// ChangeMembership starts one membership change. The change is complete when
// its entry is committed. Errors: ErrNotLeader, ErrChangePending,
// ErrUnsafeChange.
func (c *Core) ChangeMembership(now time.Duration, change Change) error {
	c.now = now
	if c.role != Leader {
		return ErrNotLeader{Leader: c.Leader()}
	}
	if c.changePending() && !c.unsafe.concurrentChanges {
		return ErrChangePending{}
	}
	configuration, _ := c.log.configuration()
	next, err := configuration.Apply(change)
	if err != nil {
		return err
	}
	if reason := c.unsafeChangeReason(change, next); reason != "" {
		return ErrUnsafeChange{Change: change, Reason: reason}
	}
	c.appendAsLeader(EntryConfiguration, encodeConfiguration(next))
	c.syncProgress()
	c.event(EventConfigurationChanged, change.Member, "%s (%s): now %d voters, %d learners", change.Kind, change.Reason, len(next.Voters), len(next.Learners))
	return nil
}

// unsafeChangeReason returns why a change would leave no working quorum, or "".
// A learner must hold the log before it is promoted; otherwise every commit
// could wait until it has caught up.
func (c *Core) unsafeChangeReason(change Change, next Configuration) string {
	if c.unsafe.concurrentChanges {
		return ""
	}
	if change.Kind == Promote && !c.isCaughtUp(c.progress[change.Member]) {
		return "the learner has not caught up"
	}
	if change.Kind == AddLearner || len(next.Voters) == 0 {
		return ""
	}
	if c.countReadyVoters(next) < next.Quorum() {
		return "too few of the remaining voters reply and hold the log"
	}
	return ""
}

// countReadyVoters counts the voters of a configuration that replied recently
// and hold the log. A reply alone is not enough: a voter that lost power before
// its first sync replies, but it is blank and refuses votes, and its vote may
// be the one that is needed.
func (c *Core) countReadyVoters(configuration Configuration) int {
	count := 0
	for _, voter := range configuration.Voters {
		p := c.progress[voter]
		if voter == c.settings.Self || p != nil && c.isCaughtUp(p) {
			count++
		}
	}
	return count
}

// stepDownIfRemoved ends leadership once the removal of this leader is
// committed.
func (c *Core) stepDownIfRemoved() {
	configuration, index := c.log.configuration()
	if c.role == Leader && index <= c.log.commit && !configuration.IsVoter(c.settings.Self) {
		c.becomeFollower(c.now, c.term, "this voter was removed")
	}
}
