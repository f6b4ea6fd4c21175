// Package repair decides, without an operator, which membership change the
// leader should make next. It keeps spares (learners that hold the log) ready,
// replaces a voter that stays silent or whose disk is gone, and restores the
// configured number of voters.
//
// The leader calls Policy.Decide at every tick. Each result is one change, and
// the next change follows only when that one is committed:
//
//  1. A router with a disk that asks to join becomes a learner, up to
//     MaxLearners.
//  2. A voter is lost when it has been silent for SilentAfter, or at once when
//     its router has come back with another disk. With Grow, one that the others
//     don't need is lost after SurplusSilentAfter, or when it says that it stops.
//  3. To replace a lost voter, a learner that has caught up is promoted first
//     and the lost voter is removed afterwards, so the number of live voters
//     never decreases. Learners in data centres with the fewest live voters are
//     promoted first.
//  4. A learner that has been silent for RemoveLearnerAfter, or whose router
//     has another disk now, is removed.
//
// The package guards against three failures. A voter is lost for good. A second
// voter is lost right after the repair: it is replaced in the same way, since
// no change leaves fewer live voters than a quorum of the resulting
// configuration needs. A leader receives no replies and would remove all other
// voters: it removes nobody without a live quorum of the resulting
// configuration.
package repair

import (
	"slices"
	"time"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
)

// Settings are the parameters of a Policy. Zero values are replaced by the
// defaults.
type Settings struct {
	// Voters is the number of voters to keep: three or five. With Grow it is
	// the maximum.
	Voters int
	// Grow makes every disk VM that joins a voter, up to Voters. It is for
	// fleets whose VMs do not know how many disk VMs there are.
	Grow bool
	// Losses is how many voters may be lost at the same time. 2*Losses+1 voters
	// tolerate that. With Grow, lost voters are removed while there are more
	// voters than that, and otherwise only from an even number of voters.
	Losses int
	// SilentAfter is how long a voter may be silent before it is replaced.
	SilentAfter time.Duration
	// SurplusSilentAfter is the same, with Grow, while there are more voters than
	// tolerate Losses. The default is SilentAfter. Voters that say that they stop
	// are then lost at once.
	SurplusSilentAfter time.Duration
	// RemoveLearnerAfter is how long a learner may be silent before it is
	// removed.
	RemoveLearnerAfter time.Duration
	// MaxLearners limits the number of learners.
	MaxLearners int
	// DataCentres maps routers to their data centres. A router that is missing
	// here counts as being in a data centre of its own.
	DataCentres map[protocol.RouterID]protocol.DataCentre
}

// Defaults. A VM restarts within seconds, which is no loss. Replacing a voter
// that was only away for half a minute costs nothing but the spare. Two regions
// may be separated for an hour, so a silent spare is kept that long.
const (
	DefaultVoters             = 3
	DefaultSilentAfter        = 30 * time.Second
	DefaultRemoveLearnerAfter = time.Hour
	DefaultMaxLearners        = 4
)

// Policy decides membership changes. It is stateless: all it needs is in the
// status of the leader, so a new leader continues from its own status.
type Policy struct {
	settings Settings
}

// New returns a policy.
func New(settings Settings) Policy {
	if settings.Voters == 0 {
		settings.Voters = DefaultVoters
	}
	if settings.SilentAfter == 0 {
		settings.SilentAfter = DefaultSilentAfter
	}
	if settings.SurplusSilentAfter == 0 {
		settings.SurplusSilentAfter = settings.SilentAfter
	}
	if settings.RemoveLearnerAfter == 0 {
		settings.RemoveLearnerAfter = DefaultRemoveLearnerAfter
	}
	if settings.MaxLearners == 0 {
		settings.MaxLearners = DefaultMaxLearners
	}
	return Policy{settings: settings}
}

// joinRequestTTL is how long a member that asked to join counts as present.
const joinRequestTTL = 5 * time.Second

// Decide returns the next membership change and its reason, given the status of
// the leader. The Kind of the change is zero if there is none, and always on a
// member that does not lead.
func (p Policy) Decide(now time.Duration, s consensus.Status) consensus.Change {
	if s.Role != consensus.Leader || s.ChangePending {
		return consensus.Change{}
	}
	v := p.newView(now, s)
	for _, rule := range []func(view) consensus.Change{p.removeVoter, p.promote, p.removeLearner, p.addLearner} {
		if change := rule(v); change.Kind != 0 {
			return change
		}
	}
	return consensus.Change{}
}

// view is a status sorted for the rules.
type view struct {
	now  time.Duration
	self consensus.Member
	// live are the live voters, with this leader first.
	live     []consensus.Member
	lost     []lostVoter
	learners []consensus.PeerStatus
	// joining are the members that asked to join within joinRequestTTL.
	joining []consensus.Member
	// peers are the voters and then the learners, each in the order in which they
	// became that.
	peers []consensus.PeerStatus
	// silentAfter is how long a voter may be silent. leavingIsLost means that one
	// that says that it stops is lost.
	silentAfter   time.Duration
	leavingIsLost bool
}

// lostVoter is a voter to be replaced.
type lostVoter struct {
	member consensus.Member
	reason string
}

// voters returns the number of voters, live and lost.
func (v view) voters() int {
	return len(v.live) + len(v.lost)
}

// newView sorts a status.
func (p Policy) newView(now time.Duration, s consensus.Status) view {
	v := view{now: now, self: s.Self, live: []consensus.Member{s.Self}, peers: s.Peers, silentAfter: p.settings.SilentAfter}
	for _, found := range s.Discovered {
		if now-found.LastHeard < joinRequestTTL {
			v.joining = append(v.joining, found.Member)
		}
	}
	if p.hasSurplusVoters(s.Peers) {
		v.silentAfter, v.leavingIsLost = p.settings.SurplusSilentAfter, true
	}
	for _, peer := range s.Peers {
		v.classify(peer)
	}
	return v
}

// hasSurplusVoters reports whether, with Grow, there are more voters than tolerate
// the losses, given the leader's peers.
//
// Failure: a VM is gone for good, its successor is the sixth voter, and the loss
// of two more disks leaves three voters of six. A voter beyond the number that
// tolerates the losses is needed by nobody while it is away, and it is admitted
// again as soon as it is back, so it is removed early.
func (p Policy) hasSurplusVoters(peers []consensus.PeerStatus) bool {
	voters := 1
	for _, peer := range peers {
		if peer.Voter {
			voters++
		}
	}
	return p.settings.Grow && voters > VotersToSurvive(p.settings.Losses)
}

// classify adds one peer to the live voters, the lost voters or the learners.
func (v *view) classify(peer consensus.PeerStatus) {
	if !peer.Voter {
		v.learners = append(v.learners, peer)
		return
	}
	reason := ""
	if v.now-peer.LastHeard >= v.silentAfter {
		reason = "no reply for too long"
	}
	if peer.Leaving && v.leavingIsLost {
		reason = "it stops"
	}
	if v.hasOtherDisk(peer.Member) {
		reason = "its router came back with another disk"
	}
	if reason == "" {
		v.live = append(v.live, peer.Member)
		return
	}
	v.lost = append(v.lost, lostVoter{peer.Member, reason})
}

// hasOtherDisk reports whether the router of a member now has another disk: one
// that asks to join, or a later learner or voter that has caught up.
//
// Failure: a VM comes back with an empty disk and is a voter before the disk that
// it lost is removed. If the lost disk then counted as live, it would remain a
// sixth voter until it has been silent for SilentAfter, and the loss of two more
// disks would leave three voters of six.
func (v view) hasOtherDisk(m consensus.Member) bool {
	other := func(seen consensus.Member) bool { return seen.Router == m.Router && seen.Disk != m.Disk }
	own := slices.IndexFunc(v.peers, func(p consensus.PeerStatus) bool { return p.Member == m })
	return slices.ContainsFunc(v.joining, other) ||
		slices.ContainsFunc(v.peers[own+1:], func(later consensus.PeerStatus) bool { return other(later.Member) && later.CaughtUp })
}

// removeVoter removes a lost voter if one may be removed, or a live voter if
// there are more than configured.
func (p Policy) removeVoter(v view) consensus.Change {
	if !p.mayRemoveVoter(v) {
		return consensus.Change{}
	}
	if len(v.lost) > 0 && hasQuorum(len(v.live), v.voters()-1) {
		return consensus.Change{Kind: consensus.Remove, Member: v.lost[0].member, Reason: v.lost[0].reason}
	}
	if len(v.lost) == 0 && v.voters() > p.settings.Voters {
		return consensus.Change{Kind: consensus.Remove, Member: p.surplusVoter(v), Reason: "more voters than configured"}
	}
	return consensus.Change{}
}

// mayRemoveVoter reports whether the number of voters allows the removal of
// one.
//
// With Grow, a lost voter is removed at any number of voters above the number
// that tolerates the configured losses, and otherwise only from an even number.
// Removal from an even number lowers the quorum by one and does not lower the
// number of losses that the cluster tolerates. Removal from a small odd number
// would lower it: of five voters with two lost disks, three would be left, and
// a change on two disks would count as safe. A member that replaces a lost
// voter is promoted first and so makes the number even. From a large odd number
// the lost voter has to be removed: seven voters, of which two were replaced
// and never return, tolerate one more loss, while the remaining five tolerate
// two.
func (p Policy) mayRemoveVoter(v view) bool {
	if p.settings.Grow && (v.voters()%2 == 0 || v.voters() > VotersToSurvive(p.settings.Losses)) {
		return true
	}
	return v.voters() > p.settings.Voters
}

// VotersToSurvive returns how many voters tolerate a number of losses at the
// same time.
func VotersToSurvive(losses int) int { return 2*losses + 1 }

// hasQuorum reports whether the live voters are a majority of all voters.
func hasQuorum(live, all int) bool {
	return live >= all/2+1
}

// surplusVoter returns the live voter to remove: one in the data centre with
// the most live voters, but not the leader.
func (p Policy) surplusVoter(v view) consensus.Member {
	others := slices.Clone(v.live[1:])
	slices.SortStableFunc(others, func(a, b consensus.Member) int {
		return p.liveVotersInDataCentre(v, b) - p.liveVotersInDataCentre(v, a)
	})
	return others[0]
}

// liveVotersInDataCentre counts the live voters in a member's data centre.
func (p Policy) liveVotersInDataCentre(v view, m consensus.Member) int {
	dataCentre, known := p.settings.DataCentres[m.Router]
	count := 0
	for _, voter := range v.live {
		if known && p.settings.DataCentres[voter.Router] == dataCentre {
			count++
		}
	}
	return count
}

// promote makes a learner that has caught up a voter when a voter is lost or
// missing.
func (p Policy) promote(v view) consensus.Change {
	wanted := len(v.live) < p.settings.Voters && v.voters() <= p.settings.Voters
	if !wanted || !hasQuorum(len(v.live)+1, v.voters()+1) {
		return consensus.Change{}
	}
	candidates := slices.DeleteFunc(slices.Clone(v.learners), func(l consensus.PeerStatus) bool {
		return !l.CaughtUp || l.Leaving || v.hasOtherDisk(l.Member)
	})
	if len(candidates) == 0 {
		return consensus.Change{}
	}
	slices.SortStableFunc(candidates, func(a, b consensus.PeerStatus) int {
		return p.liveVotersInDataCentre(v, a.Member) - p.liveVotersInDataCentre(v, b.Member)
	})
	reason := "fewer voters than configured"
	if len(v.lost) > 0 {
		reason = "replaces " + v.lost[0].member.String() + ": " + v.lost[0].reason
	}
	return consensus.Change{Kind: consensus.Promote, Member: candidates[0].Member, Reason: reason}
}

// removeLearner removes a learner that is silent for too long or whose router
// has another disk.
func (p Policy) removeLearner(v view) consensus.Change {
	for _, l := range v.learners {
		if v.now-l.LastHeard >= p.settings.RemoveLearnerAfter || v.hasOtherDisk(l.Member) {
			return consensus.Change{Kind: consensus.Remove, Member: l.Member, Reason: "the learner is silent for too long or its router has another disk"}
		}
	}
	return consensus.Change{}
}

// addLearner adds a member that asked to join.
func (p Policy) addLearner(v view) consensus.Change {
	if len(v.learners) >= p.settings.MaxLearners || len(v.joining) == 0 {
		return consensus.Change{}
	}
	return consensus.Change{Kind: consensus.AddLearner, Member: v.joining[0], Reason: "it asked to join"}
}
