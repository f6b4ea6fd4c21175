package consensus

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/protocol"
)

// Role is what a member does at the moment.
type Role uint8

const (
	// Follower takes entries from a leader, or waits for one.
	Follower Role = iota
	// PreCandidate asks whether it would be elected, without a new term.
	PreCandidate
	// Candidate asks for votes in a new term.
	Candidate
	// Leader takes proposals and replicates them.
	Leader
)

// String returns the role in words.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// rules switches safety rules off, for tests that show each rule needed. All
// are on outside tests.
type rules struct {
	answerVoteUnsynced  bool
	ignoreLogOfVoter    bool
	commitOlderTerms    bool
	ackUnsynced         bool
	countLearners       bool
	ignoreLease         bool
	manyChangesAtOnce   bool
	blankVotes          bool
	serveAfterLeaseEnds bool
	leadAfterHandOver   bool
}

// persistPoint remembers what one output persists.
type persistPoint struct {
	sequence, lastIndex, lastTerm, term uint64
}

// sighting is a member that was heard of outside the configuration.
type sighting struct {
	member Member
	at     time.Duration
	blank  bool
	// knows is the member that the sender had heard of at this router.
	knows Member
}

// Core is one member's consensus state. It is a pure step machine: inputs go
// in by methods that take the monotonic time, and Take returns what follows
// from them. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	off      rules

	now    time.Duration
	role   Role
	term   uint64
	vote   Member
	epoch  uint64
	leader Member
	// superseded says that the cluster was recovered without this member.
	superseded bool
	// handOverUntil is set while this leader looks for a successor.
	handOverUntil time.Duration
	// forced marks a campaign after a hand-over.
	forced bool
	log    memoryLog

	// contact is when a leader was last heard, or when this member started:
	// it may have acknowledged a lease just before it was restarted.
	contact     time.Duration
	electionAt  time.Duration
	heartbeatAt time.Duration
	helloAt     time.Duration
	electedAt   time.Duration
	// ownStart is the index of the entry a leader wrote at its start.
	ownStart uint64
	// uncommitted counts the bytes this leader has taken and not committed.
	uncommitted int
	votes       []Member
	progress    map[Member]*progress
	reads       []pendingRead
	budget      bucket
	incoming    incomingSnapshot

	sightings     []sighting
	clusterExists bool
	// namedLeader is the leader that a hello named, "" if none did.
	namedLeader protocol.RouterID

	savedHardState HardState
	sequence       uint64
	points         []persistPoint
	out            Output
}

// New returns a member that continues from what its disk holds.
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
		contact:        now,
		budget:         newBucket(settings, now),
	}
	c.term = max(c.term, c.log.lastTerm())
	c.resetElection(now)
	if c.wasAlwaysAlone() {
		c.electionAt = now
	}
	if settings.Leaseless {
		c.startLeaseless(now)
	}
	return c
}

// startLeaseless lets a member vote and campaign from its start on. It has
// promised nobody not to. The pre-vote keeps it from disturbing a leader: the
// others refuse while they hear one.
func (c *Core) startLeaseless(now time.Duration) {
	c.contact = now - c.settings.ElectionTimeout
	c.electionAt = now + time.Duration(c.random.Int64N(int64(c.settings.ElectionSpread)))
}

// resetElection draws the next time to campaign. The draw spreads candidates,
// so that they rarely split the votes.
func (c *Core) resetElection(now time.Duration) {
	spread := time.Duration(c.random.Int64N(int64(c.settings.ElectionSpread)))
	c.electionAt = now + c.settings.ElectionTimeout + spread
}

// isSoleVoter reports whether this member alone is the quorum.
func (c *Core) isSoleVoter() bool {
	configuration, _ := c.log.configuration()
	return len(configuration.Voters) == 1 && configuration.IsVoter(c.settings.Self)
}

// wasAlwaysAlone reports whether no configuration in the log has another voter,
// so that nobody else can hold a lease and there is nothing to wait for. The
// newest one alone does not show it: the leader that wrote its own removal may
// still lead.
func (c *Core) wasAlwaysAlone() bool {
	for _, placed := range c.log.configurations {
		if len(placed.configuration.Voters) > 1 {
			return false
		}
	}
	return c.isSoleVoter()
}

// Tick lets time pass. Call it several times in a heartbeat interval.
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

// tickFollower campaigns when no leader was heard for long enough, or tells
// the others of this member if it is no voter.
func (c *Core) tickFollower(now time.Duration) {
	if now < c.electionAt {
		return
	}
	if c.mayCampaign() {
		c.campaign(now)
		return
	}
	c.sendHellos(now)
}

// mayCampaign reports whether this member is a voter, or one whose removal is
// not known to be committed.
//
// Failure: a leader writes its own removal, cannot commit it and steps down.
// The voters that are left lack the entry, so they need its vote, which their
// shorter logs do not get; the cluster stands still for good. The removed one
// campaigns without counting itself, wins, commits its removal and retires.
// After a restart the commit index is unknown, so that every configuration in
// the log may be the one in force.
func (c *Core) mayCampaign() bool {
	if c.superseded {
		return false
	}
	placed := c.log.configurations
	for i, p := range placed {
		superseded := i+1 < len(placed) && placed[i+1].index <= c.log.commit
		if !superseded && p.configuration.IsVoter(c.settings.Self) {
			return true
		}
	}
	return false
}

// Receive takes a message. A message for another member, as one meant for a
// wiped disk of this router, is dropped.
func (c *Core) Receive(now time.Duration, m Message) {
	c.now = now
	if m.Kind == MessageHello {
		c.receiveHello(now, m)
		return
	}
	if m.To != c.settings.Self || !wellFormed(m) {
		return
	}
	if !c.sameEpoch(now, m) {
		return
	}
	switch m.Kind {
	case MessageHandOver:
		c.receiveHandOver(now, m)
	case MessageGenesis:
		c.receiveGenesis(now, m)
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

// wellFormed checks what later steps rely on, so that a damaged message is
// dropped and does not break an invariant.
func wellFormed(m Message) bool {
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

// Propose appends a command and returns the place it will have if it is
// committed. Errors: ErrNotLeader, ErrBusy.
func (c *Core) Propose(now time.Duration, command []byte) (index, term uint64, err error) {
	c.now = now
	if c.role != Leader || c.handOverUntil > 0 {
		return 0, 0, ErrNotLeader{Leader: c.Leader()}
	}
	if c.uncommitted >= c.settings.MaxUncommittedBytes {
		return 0, 0, ErrBusy{UncommittedBytes: c.uncommitted}
	}
	return c.appendOwn(EntryCommand, command), c.term, nil
}

// appendOwn adds an entry of the leader's term and returns its index.
func (c *Core) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Index: c.log.last() + 1, Term: c.term, Kind: kind, Data: data}
	c.log.append([]Entry{e})
	c.uncommitted += e.size()
	return e.Index
}

// Persisted tells that everything up to the output of that sequence number is
// synced.
func (c *Core) Persisted(now time.Duration, sequence uint64) {
	c.now = now
	for len(c.points) > 0 && c.points[0].sequence <= sequence {
		point := c.points[0]
		c.points = c.points[1:]
		c.persisted(now, point)
	}
}

// persisted counts what one output made durable. Entries that were replaced
// since then do not count, which their term shows.
func (c *Core) persisted(now time.Duration, point persistPoint) {
	if c.log.matches(point.lastIndex, point.lastTerm) {
		c.log.durable = max(c.log.durable, point.lastIndex)
	}
	if c.role == Candidate && point.term == c.term {
		c.countVote(now, c.settings.Self)
	}
	if c.role == Leader {
		c.advanceCommit()
	}
}

// Take returns what follows from the inputs since the last Take.
func (c *Core) Take() Output {
	if c.role == Leader {
		c.replicateAll()
		c.confirmReads()
		c.tryHandOver()
	}
	out := c.out
	c.out = Output{}
	out.Committed = c.log.unapplied()
	c.countCommitted(out.Committed)
	out.Entries = c.log.unhanded()
	if state := (HardState{Term: c.term, Vote: c.vote, Epoch: c.epoch}); state != c.savedHardState {
		c.savedHardState = state
		out.HardState = &state
	}
	if out.MustSync() {
		c.sequence++
		c.points = append(c.points, persistPoint{c.sequence, c.log.last(), c.log.lastTerm(), c.term})
	}
	out.Sequence = c.sequence
	c.retireIfRemoved()
	return out
}

// countCommitted makes room for new proposals.
func (c *Core) countCommitted(entries []Entry) {
	for _, e := range entries {
		c.uncommitted = max(0, c.uncommitted-e.size())
	}
}

// becomeFollower enters a term without knowing its leader.
func (c *Core) becomeFollower(now time.Duration, term uint64, reason string) {
	if c.role == Leader {
		c.event(EventSteppedDown, Member{}, "%s", reason)
		c.loseReads()
	}
	if c.role != Follower {
		c.resetElection(now)
	}
	if term > c.term {
		c.term = term
		c.vote = Member{}
	}
	c.role = Follower
	c.forced = false
	c.handOverUntil = 0
	c.leader = Member{}
	c.progress = nil
	c.votes = nil
}

// send queues a message that may go at once.
func (c *Core) send(m Message) {
	m.From = c.settings.Self
	m.Term = c.term
	m.Epoch = c.epoch
	c.out.Messages = append(c.out.Messages, m)
}

// sendAfterSync queues a message that promises something on disk.
func (c *Core) sendAfterSync(m Message) {
	m.From = c.settings.Self
	m.Term = c.term
	m.Epoch = c.epoch
	c.out.AfterSync = append(c.out.AfterSync, m)
}

// event records an explained decision.
func (c *Core) event(kind EventKind, member Member, format string, args ...any) {
	c.out.Events = append(c.out.Events, Event{Kind: kind, Term: c.term, Member: member, Reason: fmt.Sprintf(format, args...)})
}

// Role returns what this member does at the moment.
func (c *Core) Role() Role {
	return c.role
}

// Term returns the highest term seen.
func (c *Core) Term() uint64 {
	return c.term
}

// Leader returns the leader's router, or "" if none is known.
func (c *Core) Leader() protocol.RouterID {
	return c.leader.Router
}

// Compact tells that the state machine has written data at index. It returns
// the snapshot to save, and false if index is not newer than the last one or
// not applied.
func (c *Core) Compact(index uint64, data []byte) (Snapshot, bool) {
	term, held := c.log.term(index)
	if !held || index > c.log.applied || index <= c.log.snapshot.Index {
		return Snapshot{}, false
	}
	s := Snapshot{Index: index, Term: term, Configuration: c.log.configurationAt(index), Data: data}
	c.log.compact(s, c.keepFrom(index))
	return s, true
}

// keepFrom returns the last index that may go from memory. Entries behind a
// snapshot under transfer stay, or its receiver would need another one.
func (c *Core) keepFrom(index uint64) uint64 {
	from := index - min(index, c.settings.KeepEntries)
	for _, p := range c.progress {
		if p.transfer != nil {
			from = min(from, p.transfer.index)
		}
	}
	return from
}
