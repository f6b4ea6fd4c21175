package consensus

import "time"

// Status is a view of a Core for operators and for package repair.
type Status struct {
	Self   Member
	Role   Role
	Term   uint64
	Leader Member
	// Last is the index of the last entry, Commit the highest index known to be
	// committed, Applied the highest index that Take has returned as committed.
	Last          uint64
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64
	Configuration Configuration
	Epoch         uint64
	// Superseded means that the cluster was recovered without this member and
	// that its data folder has to be wiped.
	Superseded bool
	// Released means that the leader has removed this member since it said that it
	// stops.
	Released bool
	// ChangePending means that a membership change waits for its commit, or
	// that this leader may not start one yet.
	ChangePending bool
	// Peers is set only on a leader: the other members and their progress.
	Peers []PeerStatus
	// Discovered are members outside the configuration that sent a hello or a
	// pre-vote.
	Discovered []DiscoveredMember
	// Heard are all members, of the configuration or not, whose last hello or
	// pre-vote is known: one for each router. Members send these while they have
	// no leader.
	Heard []DiscoveredMember
}

// PeerStatus is a leader's view of another member.
type PeerStatus struct {
	Member Member
	Voter  bool
	// Match is the index of the last entry known to be on the member's disk.
	Match uint64
	// LastHeard is when the member last replied, by the leader's clock.
	LastHeard time.Duration
	// CaughtUp means that the member acknowledged a message that was sent
	// within the last election timeout, and holds all but the newest few
	// entries.
	CaughtUp bool
	// Leaving means that the member said within the last election timeout that
	// it stops.
	Leaving bool
}

// DiscoveredMember is a member that sent a hello or a pre-vote.
type DiscoveredMember struct {
	Member    Member
	LastHeard time.Duration
}

// Status returns the current state of the member.
func (c *Core) Status() Status {
	configuration, _ := c.log.configuration()
	s := Status{
		Self: c.settings.Self, Role: c.role, Term: c.term, Leader: c.leader,
		Last: c.log.last(), Commit: c.log.commit, Applied: c.log.applied,
		SnapshotIndex: c.log.snapshot.Index, Configuration: configuration,
		ChangePending: c.changePending(), Epoch: c.epoch, Superseded: c.superseded, Released: c.released,
	}
	for _, m := range configuration.Members() {
		p := c.progress[m]
		if p == nil {
			continue
		}
		s.Peers = append(s.Peers, PeerStatus{
			Member: m, Voter: configuration.IsVoter(m), Match: p.match,
			LastHeard: p.lastHeard, CaughtUp: c.isCaughtUp(p), Leaving: c.isLeaving(p),
		})
	}
	for _, found := range c.discovered {
		heard := DiscoveredMember{Member: found.member, LastHeard: found.at}
		s.Heard = append(s.Heard, heard)
		if !configuration.Contains(found.member) {
			s.Discovered = append(s.Discovered, heard)
		}
	}
	return s
}
