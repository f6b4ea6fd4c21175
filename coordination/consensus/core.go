package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/protocol"
)

// Role is the part that a member plays in its term.
type Role uint8

const (
	// Follower appends entries from a leader, or waits for a leader.
	Follower Role = iota
	// PreCandidate asks whether it would be elected, without starting a new
	// term.
	PreCandidate
	// Candidate asks for votes in a new term.
	Candidate
	// Leader accepts proposals and replicates them.
	Leader
)

// String returns the name of the role.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Each field of unsafeOptions switches off one safety rule, for tests which
// show that the rule is needed. All fields are false outside tests.
type unsafeOptions struct {
	replyVoteUnsynced   bool
	ignoreCandidateLog  bool
	commitOlderTerms    bool
	ackUnsynced         bool
	countLearners       bool
	ignoreLease         bool
	concurrentChanges   bool
	blankMayVote        bool
	serveAfterLeaseEnds bool
	leadAfterTransfer   bool
}

// unpersistedOutput is an output whose sync has not completed: the end of the
// log and the term at that time.
type unpersistedOutput struct {
	sequence, lastIndex, lastTerm, term uint64
}

// discoveredMember is a member from which this one received a hello or a
// pre-vote.
type discoveredMember struct {
	member Member
	at     time.Duration
	blank  bool
	// knownAs is the member that the sender knows at this router.
	knownAs Member
}

// Core is the consensus state of one member. It is a pure step machine: its
// methods take inputs and the monotonic time, and Take returns the resulting
// work. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	unsafe   unsafeOptions

	now    time.Duration
	role   Role
	term   uint64
	vote   Member
	epoch  uint64
	leader Member
	// superseded means that the cluster was recovered without this member.
	superseded bool
	// transferUntil is when a running leadership transfer is given up; zero
	// means that none runs.
	transferUntil time.Duration
	// leaving means that this member is about to stop, released that the leader
	// has removed it since.
	leaving, released bool
	// forced marks a campaign that the former leader asked for.
	forced bool
	log    memoryLog

	// leaderHeardAt is when the last message from a leader arrived, or when
	// this member started: it may have acknowledged a lease just before it
	// restarted.
	leaderHeardAt time.Duration
	// electionAt, heartbeatAt and helloAt are when the next campaign, the next
	// heartbeats and the next hellos are due.
	electionAt  time.Duration
	heartbeatAt time.Duration
	helloAt     time.Duration
	// electedAt is when this member last became leader.
	electedAt time.Duration
	// termStart is the index of the no-op that a leader appends when it is
	// elected.
	termStart uint64
	// uncommittedBytes is the size of the entries that this leader has appended
	// and that are not yet committed.
	uncommittedBytes int
	votes            []Member
	progress         map[Member]*progress
	reads            []pendingRead
	snapshotBudget   tokenBucket
	incoming         incomingSnapshot

	discovered []discoveredMember
	// clusterExists means that a member with a log has sent a hello. This
	// member then forms no cluster.
	clusterExists bool
	// leaderHint is the leader that the last hello named, or "".
	leaderHint protocol.RouterID

	savedHardState HardState
	sequence       uint64
	unpersisted    []unpersistedOutput
	out            Output
}

// New returns a member that continues from the content of its disk.
func New(settings Settings, stored Stored, now time.Duration, random *rand.Rand) *Core {
	settings = settings.withDefaults()
	c := &Core{
		settings:       settings,
		random:         random,
		now:            now,
		term:           stored.HardState.Term,
		vote:           stored.HardState.Vote,
		epoch:          stored.HardState.Epoch,
		savedHardState: stored.HardState,
		log:            newMemoryLog(stored),
		leaderHeardAt:  now,
		snapshotBudget: newTokenBucket(settings, now),
	}
	c.term = max(c.term, c.log.lastTerm())
	c.resetElectionTimer(now)
	if c.neverHadOtherVoters() {
		c.electionAt = now
	}
	if settings.Leaseless {
		c.startLeaseless(now)
	}
	return c
}

// startLeaseless lets a member vote and campaign as soon as it starts. Without
// leases it has made no promise to a leader. It disturbs no leader, because the
// others refuse its pre-vote while they receive messages from one.
func (c *Core) startLeaseless(now time.Duration) {
	c.leaderHeardAt = now - c.settings.ElectionTimeout
	c.electionAt = now + time.Duration(c.random.Int64N(int64(c.settings.ElectionSpread)))
}

// resetElectionTimer draws the next time to campaign. The random part separates
// the candidates, so that they rarely split the votes.
func (c *Core) resetElectionTimer(now time.Duration) {
	spread := time.Duration(c.random.Int64N(int64(c.settings.ElectionSpread)))
	c.electionAt = now + c.settings.ElectionTimeout + spread
}

// isSoleVoter reports whether this member is the only voter.
func (c *Core) isSoleVoter() bool {
	configuration, _ := c.log.configuration()
	return len(configuration.Voters) == 1 && configuration.IsVoter(c.settings.Self)
}

// neverHadOtherVoters reports whether this member is the only voter in every
// configuration of the log. Then nobody else can hold a lease, and there is
// nothing to wait for. The newest configuration alone does not show it: a
// leader that appended its own removal may still lead.
func (c *Core) neverHadOtherVoters() bool {
	for _, indexed := range c.log.configurations {
		if len(indexed.configuration.Voters) > 1 {
			return false
		}
	}
	return c.isSoleVoter()
}

// Tick passes the current time. Call it several times per heartbeat interval.
func (c *Core) Tick(now time.Duration) {
	c.now = now
	switch {
	case c.role == Leader:
		c.tickLeader(now)
	case c.log.blank():
		c.tickBlank(now)
	default:
		c.tickFollower(now)
	}
}

// tickFollower campaigns when the election timer has expired. A member that may
// not campaign sends hellos instead, and one that is about to stop does neither.
func (c *Core) tickFollower(now time.Duration) {
	if c.leaving {
		c.sendLeaving()
		return
	}
	if now < c.electionAt {
		return
	}
	if c.mayCampaign() {
		c.campaign(now)
		return
	}
	c.sendHellos(now)
}

// mayCampaign reports whether this member is a voter, or was one and its
// removal is not known to be committed.
//
// Failure: a leader appends its own removal, cannot commit it and steps down.
// The remaining voters lack the entry. They need the vote of this member, but
// it refuses because their logs are shorter, so the cluster never has a leader
// again. To prevent that, the removed member campaigns without counting its own
// vote, wins, commits its removal and steps down. After a restart the commit
// index is unknown, so any configuration in the log may be the newest committed
// one.
func (c *Core) mayCampaign() bool {
	if c.superseded {
		return false
	}
	configurations := c.log.configurations
	for i, indexed := range configurations {
		replaced := i+1 < len(configurations) && configurations[i+1].index <= c.log.commit
		if !replaced && indexed.configuration.IsVoter(c.settings.Self) {
			return true
		}
	}
	return false
}

// Receive handles a message. It drops a message for another member, such as one
// meant for a former disk of this router.
func (c *Core) Receive(now time.Duration, m Message) {
	c.now = now
	if m.Kind == MessageHello {
		c.receiveHello(now, m)
		return
	}
	if m.To != c.settings.Self || !isWellFormed(m) {
		return
	}
	if !c.acceptEpoch(now, m) {
		return
	}
	switch m.Kind {
	case MessageTimeoutNow:
		c.receiveTimeoutNow(now, m)
	case MessageLeaving:
		c.receiveLeaving(now, m)
	case MessageBootstrap:
		c.receiveBootstrap(now, m)
	case MessagePreVote:
		c.receivePreVote(now, m)
	case MessageVote:
		c.receiveVote(now, m)
	case MessagePreVoteReply, MessageVoteReply:
		c.receiveVoteReply(now, m)
	case MessageAppend:
		c.receiveAppend(now, m)
	case MessageSnapshot:
		c.receiveSnapshot(now, m)
	case MessageAppendReply, MessageSnapshotReply:
		c.receiveReply(now, m)
	}
}

// isWellFormed checks what later steps rely on, so that a damaged message is
// dropped instead of breaking an invariant.
func isWellFormed(m Message) bool {
	if m.Kind == MessageSnapshot && m.Chunk == nil {
		return false
	}
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 {
			return false
		}
		if e.Kind != EntryConfiguration {
			continue
		}
		if _, err := decodeConfiguration(e.Data); err != nil {
			return false
		}
	}
	return true
}

// Propose appends a command and returns the index and term that it has if it is
// committed. Errors: ErrNotLeader, ErrBusy.
func (c *Core) Propose(now time.Duration, command []byte) (index, term uint64, err error) {
	c.now = now
	if c.role != Leader || c.transferUntil > 0 {
		return 0, 0, ErrNotLeader{Leader: c.Leader()}
	}
	if c.uncommittedBytes >= c.settings.MaxUncommittedBytes {
		return 0, 0, ErrBusy{UncommittedBytes: c.uncommittedBytes}
	}
	return c.appendAsLeader(EntryCommand, command), c.term, nil
}

// appendAsLeader appends an entry in the leader's term and returns its index.
func (c *Core) appendAsLeader(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append([]Entry{e})
	c.uncommittedBytes += e.size()
	return e.Index
}

// Persisted reports that all outputs up to a sequence number are synced.
func (c *Core) Persisted(now time.Duration, sequence uint64) {
	c.now = now
	for len(c.unpersisted) > 0 && c.unpersisted[0].sequence <= sequence {
		output := c.unpersisted[0]
		c.unpersisted = c.unpersisted[1:]
		c.persisted(now, output)
	}
}

// persisted records what one output made durable. The entries count only if the
// log still holds the last of them in the same term; otherwise they were
// replaced meanwhile.
func (c *Core) persisted(now time.Duration, output unpersistedOutput) {
	if c.log.matches(output.lastIndex, output.lastTerm) {
		c.log.durable = max(c.log.durable, output.lastIndex)
	}
	if c.role == Candidate && output.term == c.term {
		c.countVote(now, c.settings.Self)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Take returns the work that results from the inputs since the last Take.
func (c *Core) Take() Output {
	if c.role == Leader {
		c.replicateAll()
		c.confirmReads()
		c.tryTransferLeadership()
	}
	out := c.out
	c.out = Output{}
	out.Committed = c.log.takeCommitted()
	c.releaseCommitted(out.Committed)
	out.Entries = c.log.takeUnpersisted()
	if state := (HardState{Term: c.term, Vote: c.vote, Epoch: c.epoch}); state != c.savedHardState {
		c.savedHardState = state
		out.HardState = &state
	}
	if out.MustSync() {
		c.sequence++
		c.unpersisted = append(c.unpersisted, unpersistedOutput{c.sequence, c.log.last(), c.log.lastTerm(), c.term})
	}
	out.Sequence = c.sequence
	c.stepDownIfRemoved()
	return out
}

// releaseCommitted subtracts committed entries from uncommittedBytes, so that
// Propose accepts more.
func (c *Core) releaseCommitted(entries []Entry) {
	for _, e := range entries {
		c.uncommittedBytes = max(0, c.uncommittedBytes-e.size())
	}
}

// becomeFollower makes this member a follower in a term whose leader it does
// not know.
func (c *Core) becomeFollower(now time.Duration, term uint64, reason string) {
	if c.role == Leader {
		c.event(EventSteppedDown, Member{}, "%s", reason)
		c.failReads()
	}
	if c.role != Follower {
		c.resetElectionTimer(now)
	}
	if term > c.term {
		c.term = term
		c.vote = Member{}
	}
	c.role = Follower
	c.forced = false
	c.transferUntil = 0
	c.leader = Member{}
	c.progress = nil
	c.votes = nil
}

// send queues a message that may be sent before the sync.
func (c *Core) send(m Message) {
	m.From = c.settings.Self
	m.Term = c.term
	m.Epoch = c.epoch
	c.out.Messages = append(c.out.Messages, m)
}

// sendAfterSync queues a message that may be sent only after the sync, because
// it promises something that must be on disk.
func (c *Core) sendAfterSync(m Message) {
	m.From = c.settings.Self
	m.Term = c.term
	m.Epoch = c.epoch
	c.out.AfterSync = append(c.out.AfterSync, m)
}

// event records a decision and its reason.
func (c *Core) event(kind EventKind, member Member, format string, args ...any) {
	c.out.Events = append(c.out.Events, Event{Kind: kind, Term: c.term, Member: member, Reason: fmt.Sprintf(format, args...)})
}

// Role returns the current role.
func (c *Core) Role() Role {
	return c.role
}

// Term returns the highest term that this member knows.
func (c *Core) Term() uint64 {
	return c.term
}

// Leader returns the leader's router, or "" if none is known.
func (c *Core) Leader() protocol.RouterID {
	return c.leader.Router
}

// Compact reports that the state machine has encoded its state at index as
// data. It returns the snapshot to save, and false if index is not newer than
// the last snapshot or not applied.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, held := c.log.term(index)
	if !held || index > c.log.applied || index <= c.log.snapshot.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: term, Configuration: c.log.configurationAt(index), Data: data}
	c.log.compact(s, c.keepFrom(index))
	return s, true
}

// keepFrom returns the last index that may be dropped from memory. Entries
// after a snapshot that is being sent stay, or its receiver would need another
// snapshot.
func (c *Core) keepFrom(index uint64) uint64 {
	from := index - min(index, c.settings.KeepEntries)
	for _, p := range c.progress {
		if p.snapshotTransfer != nil {
			from = min(from, p.snapshotTransfer.index)
		}
	}
	return from
}
