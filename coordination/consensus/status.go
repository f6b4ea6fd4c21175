package consensus

import "time"

// Status is a view of a member for operators and for the repair policy.
type Status struct {
	Self          Member
	Role          Role
	Term          uint64
	Leader        Member
	Last          uint64
	Commit        uint64
	Applied       uint64
	SnapshotIndex uint64
	Configuration Configuration
	Epoch         uint64
	// Superseded says that the cluster was recovered without this member,
	// whose data folder has to be wiped.
	Superseded bool
	// ChangePending says that a membership change waits for its commit, or
	// that this leader may not start one yet.
	ChangePending bool
	// Peers is set on a leader: the other members and how far they are.
	Peers []PeerStatus
	// Sightings are routers heard of that are in no configuration.
	Sightings []Sighting
}

// PeerStatus is a leader's view of another member.
type PeerStatus struct {
	Member Member
	Voter  bool
	Match  uint64
	// Heard is when the member last answered, by the leader's clock.
	Heard time.Duration
	// CaughtUp says that it holds all but the newest few entries.
	CaughtUp bool
}

// Sighting is a member outside the configuration that asked to join.
type Sighting struct {
	Member Member
	Heard  time.Duration
}

// Status returns a view of the member.
func (c *Core) Status() Status {
	configuration, _ := c.log.configuration()
	s := Status{
		Self: c.settings.Self, Role: c.role, Term: c.term, Leader: c.leader,
		Last: c.log.last(), Commit: c.log.commit, Applied: c.log.applied,
		SnapshotIndex: c.log.snapshot.Index, Configuration: configuration,
		ChangePending: c.changePending(), Epoch: c.epoch, Superseded: c.superseded,
	}
	for _, m := range configuration.Members() {
		p := c.progress[m]
		if p == nil {
			continue
		}
		s.Peers = append(s.Peers, PeerStatus{
			Member: m, Voter: configuration.IsVoter(m), Match: p.match,
			Heard: p.heard, CaughtUp: c.isCaughtUp(p),
		})
	}
	for _, seen := range c.sightings {
		if !configuration.Contains(seen.member) {
			s.Sightings = append(s.Sightings, Sighting{Member: seen.member, Heard: seen.at})
		}
	}
	return s
}
