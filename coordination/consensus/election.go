package consensus

import (
	"slices"
	"time"
)

// campaign starts a pre-vote. A member that was cut off asks here first and
// gets no, so it never raises the term of a cluster that has a leader.
func (c *Core) campaign(now time.Duration) {
	c.role = PreCandidate
	c.forced = false
	c.leader = Member{}
	c.votes = nil
	c.resetElection(now)
	c.event(EventBecameCandidate, Member{}, "no leader heard for %s", now-c.contact)
	c.askVotes(MessagePreVote, c.term+1)
	c.countVote(now, c.settings.Self)
}

// askVotes sends a vote request for a term to the other voters.
func (c *Core) askVotes(kind MessageKind, term uint64) {
	configuration, _ := c.log.configuration()
	targets := configuration.Voters
	if c.off.countLearners {
		targets = configuration.Members()
	}
	for _, voter := range targets {
		if voter == c.settings.Self {
			continue
		}
		// The term asked for travels in Hint: in a pre-vote it is not yet
		// the sender's own.
		m := Message{Kind: kind, To: voter, Index: c.log.last(), LogTerm: c.log.lastTerm(), Hint: term, Forced: c.forced}
		c.sendAfterSync(m)
	}
}

// runForLeader starts a real election after a won pre-vote. The own vote
// counts only when it is on disk; see persisted.
func (c *Core) runForLeader(now time.Duration) {
	c.role = Candidate
	c.term++
	c.vote = c.settings.Self
	c.votes = nil
	c.resetElection(now)
	c.askVotes(MessageVote, c.term)
}

// countVote adds a vote and moves on when a quorum is reached.
func (c *Core) countVote(now time.Duration, from Member) {
	configuration, _ := c.log.configuration()
	if !configuration.IsVoter(from) && !c.off.countLearners {
		return
	}
	c.votes = addVote(c.votes, from)
	if len(c.votes) < configuration.Quorum() {
		return
	}
	if c.role == PreCandidate {
		c.runForLeader(now)
		return
	}
	c.becomeLeader(now)
}

// becomeLeader starts a leader's term with an entry of its own.
func (c *Core) becomeLeader(now time.Duration) {
	c.role = Leader
	c.leader = c.settings.Self
	c.electedAt = now
	c.heartbeatAt = now
	c.progress = map[Member]*progress{}
	c.uncommitted = 0
	c.ownStart = c.appendOwn(EntryNoop, nil)
	c.syncProgress()
	c.event(EventBecameLeader, Member{}, "elected by %d voters", len(c.votes))
	c.votes = nil
}

// heardLeaderLately reports whether a leader may still hold a lease that this
// member's answer supports.
func (c *Core) heardLeaderLately(now time.Duration) bool {
	if c.off.ignoreLease {
		return false
	}
	if c.role == Leader {
		return now < c.leaseUntil(now)
	}
	return now-c.contact < c.settings.ElectionTimeout
}

// Reasons to refuse a vote.
const (
	refusedBlank  = "this disk is blank and never votes"
	refusedOld    = "the term asked for is old"
	refusedLease  = "a leader was heard within the election timeout"
	refusedBehind = "its log is behind"
	refusedVoted  = "voted for another candidate in this term"
)

// refusal says why a candidate gets no vote, or "".
//
// Failure: a voter elects a second leader while the first one still serves
// reads; a wiped voter helps to elect a leader that lacks committed entries;
// a candidate without committed entries wins. Each shows as a lost or stale
// answer long after. The three checks hold because a quorum contains a voter
// that has the committed entry and refuses, and whose promise to the former
// leader has run out.
func (c *Core) refusal(now time.Duration, m Message) string {
	switch {
	case c.log.blank() && !c.off.blankVotes:
		return refusedBlank
	case m.Hint < c.term:
		return refusedOld
	case c.heardLeaderLately(now) && !m.Forced:
		return refusedLease
	case !c.log.isUpToDate(m.Index, m.LogTerm) && !c.off.ignoreLogOfVoter:
		return refusedBehind
	}
	return ""
}

// receivePreVote answers whether a vote would be granted. It changes nothing.
func (c *Core) receivePreVote(now time.Duration, m Message) {
	c.sight(now, m)
	reason := c.refusal(now, m)
	if reason != "" {
		c.event(EventVoteRefused, m.From, "%s", reason)
	}
	c.send(Message{Kind: MessagePreVoteReply, To: m.From, Hint: m.Hint, Reject: reason != ""})
}

// receiveVote grants at most one vote a term. The vote is on disk before the
// answer leaves: a restarted voter would else vote twice in one term.
func (c *Core) receiveVote(now time.Duration, m Message) {
	reason := c.refusal(now, m)
	mayRaise := reason == "" || reason == refusedBehind
	if mayRaise && m.Hint > c.term {
		c.becomeFollower(now, m.Hint, "a candidate asked for a vote in a newer term")
	}
	if reason == "" && !c.vote.IsZero() && c.vote != m.From {
		reason = refusedVoted
	}
	reply := Message{Kind: MessageVoteReply, To: m.From, Hint: m.Hint, Reject: reason != ""}
	if reason != "" {
		c.event(EventVoteRefused, m.From, "%s", reason)
		c.sendAfterSync(reply)
		return
	}
	c.vote = m.From
	c.resetElection(now)
	c.event(EventVoteGranted, m.From, "its log is complete and no leader was heard")
	if c.off.answerVoteUnsynced {
		c.send(reply)
		return
	}
	c.sendAfterSync(reply)
}

// receiveVoteReply counts an answer to the election that is running.
func (c *Core) receiveVoteReply(now time.Duration, m Message) {
	if m.Term > c.term && m.Reject {
		c.becomeFollower(now, m.Term, "a voter knows a newer term")
		return
	}
	if m.Reject {
		return
	}
	if m.Kind == MessagePreVoteReply && c.role == PreCandidate && m.Hint == c.term+1 {
		c.countVote(now, m.From)
	}
	if m.Kind == MessageVoteReply && c.role == Candidate && m.Hint == c.term {
		c.countVote(now, m.From)
	}
}

// addVote adds a member to a set of votes.
func addVote(votes []Member, m Member) []Member {
	if slices.Contains(votes, m) {
		return votes
	}
	return append(votes, m)
}
