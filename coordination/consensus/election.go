package consensus

import (
	"slices"
	"time"
)

// campaign starts a pre-vote. The voters refuse it while they receive messages
// from a leader, so a member that was partitioned away never raises the term of
// a cluster that has one.
func (c *Core) campaign(now time.Duration) {
	c.role = PreCandidate
	c.forced = false
	c.leader = Member{}
	c.votes = nil
	c.resetElectionTimer(now)
	c.event(EventBecameCandidate, Member{}, "no message from a leader for %s", now-c.leaderHeardAt)
	c.requestVotes(MessagePreVote, c.term+1)
	c.countVote(now, c.settings.Self)
}

// requestVotes sends a vote request for a term to the other voters.
func (c *Core) requestVotes(kind MessageKind, term uint64) {
	configuration, _ := c.log.configuration()
	targets := configuration.Voters
	if c.unsafe.countLearners {
		targets = configuration.Members()
	}
	for _, voter := range targets {
		if voter == c.settings.Self {
			continue
		}
		// Hint carries the term of the election: in a pre-vote the sender has
		// not entered that term yet.
		m := Message{Kind: kind, To: voter, Index: c.log.last(), LogTerm: c.log.lastTerm(), Hint: term, Forced: c.forced}
		c.sendAfterSync(m)
	}
}

// startElection asks for votes after a won pre-vote or a leadership transfer.
// The member's own vote counts only once it is on disk; see persisted.
func (c *Core) startElection(now time.Duration) {
	c.role = Candidate
	c.term++
	c.vote = c.settings.Self
	c.votes = nil
	c.resetElectionTimer(now)
	c.requestVotes(MessageVote, c.term)
}

// countVote adds a vote. With a quorum, a pre-candidate starts the election and
// a candidate becomes the leader.
func (c *Core) countVote(now time.Duration, from Member) {
	configuration, _ := c.log.configuration()
	if !configuration.IsVoter(from) && !c.unsafe.countLearners {
		return
	}
	c.votes = addVote(c.votes, from)
	if len(c.votes) < configuration.Quorum() {
		return
	}
	if c.role == PreCandidate {
		c.startElection(now)
		return
	}
	c.becomeLeader(now)
}

// becomeLeader makes this member the leader and appends a no-op in its term.
func (c *Core) becomeLeader(now time.Duration) {
	c.role = Leader
	c.leader = c.settings.Self
	c.electedAt = now
	c.heartbeatAt = now
	c.progress = map[Member]*progress{}
	c.uncommittedBytes = 0
	c.termStart = c.appendAsLeader(EntryNoop, nil)
	c.syncProgress()
	c.event(EventBecameLeader, Member{}, "elected by %d voters", len(c.votes))
	c.votes = nil
}

// inLease reports whether a leader may still hold a lease that rests on an
// acknowledgement of this member.
func (c *Core) inLease(now time.Duration) bool {
	if c.unsafe.ignoreLease {
		return false
	}
	if c.role == Leader {
		return now < c.quorumLeaseEnd(now)
	}
	return now-c.leaderHeardAt < c.settings.ElectionTimeout
}

// Reasons to refuse a vote.
const (
	refusedBlank        = "the disk of this voter is blank"
	refusedOldTerm      = "the term of the candidate is old"
	refusedLease        = "a leader sent a message within the election timeout"
	refusedLogBehind    = "the log of the candidate is behind"
	refusedAlreadyVoted = "already voted for another candidate in this term"
)

// voteRefusalReason returns why a candidate gets no vote, or "".
//
// It guards against three failures: a voter elects a second leader while the
// first one still serves reads; a voter with a wiped disk helps to elect a
// leader that lacks committed entries; and a candidate without committed
// entries wins. Each shows as a lost or stale answer long after. The checks
// suffice because every quorum contains a voter that holds the committed entry
// and refuses such a candidate, and whose promise to the former leader must
// have expired before it votes.
func (c *Core) voteRefusalReason(now time.Duration, m Message) string {
	switch {
	case c.log.blank() && !c.unsafe.blankMayVote:
		return refusedBlank
	case m.Hint < c.term:
		return refusedOldTerm
	case c.inLease(now) && !m.Forced:
		return refusedLease
	case !c.log.isUpToDate(m.Index, m.LogTerm) && !c.unsafe.ignoreCandidateLog:
		return refusedLogBehind
	}
	return ""
}

// receivePreVote replies whether this member would grant a vote. It changes
// neither term nor vote.
func (c *Core) receivePreVote(now time.Duration, m Message) {
	c.recordDiscovered(now, m)
	reason := c.voteRefusalReason(now, m)
	if reason != "" {
		c.event(EventVoteRefused, m.From, "%s", reason)
	}
	c.send(Message{Kind: MessagePreVoteReply, To: m.From, Hint: m.Hint, Reject: reason != ""})
}

// receiveVote grants at most one vote per term. The vote is on disk before the
// reply is sent; otherwise a voter could restart and vote twice in one term.
func (c *Core) receiveVote(now time.Duration, m Message) {
	reason := c.voteRefusalReason(now, m)
	mayAdoptTerm := reason == "" || reason == refusedLogBehind
	if mayAdoptTerm && m.Hint > c.term {
		c.becomeFollower(now, m.Hint, "a candidate asked for a vote in a newer term")
	}
	if reason == "" && !c.vote.IsZero() && c.vote != m.From {
		reason = refusedAlreadyVoted
	}
	reply := Message{Kind: MessageVoteReply, To: m.From, Hint: m.Hint, Reject: reason != ""}
	if reason != "" {
		c.event(EventVoteRefused, m.From, "%s", reason)
		c.sendAfterSync(reply)
		return
	}
	c.vote = m.From
	c.resetElectionTimer(now)
	c.event(EventVoteGranted, m.From, "its log is up to date and no lease forbids the vote")
	if c.unsafe.replyVoteUnsynced {
		c.send(reply)
		return
	}
	c.sendAfterSync(reply)
}

// receiveVoteReply counts a granted vote or pre-vote of the current election.
func (c *Core) receiveVoteReply(now time.Duration, m Message) {
	if m.Term > c.term && m.Reject {
		c.becomeFollower(now, m.Term, "a voter reported a newer term")
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
