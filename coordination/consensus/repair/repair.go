// Package repair decides, without an operator, which membership change the
// leader should make next: it keeps spares caught up, replaces a voter that
// stays silent or whose disk is gone, and returns to the set number of voters.
//
// The leader asks Decide at every tick. Each answer is one step, and the next
// one follows only when the step is committed:
//
//  1. A router with a disk that asks to join becomes a learner, up to a limit.
//  2. A voter is lost when it has been silent for SilentAfter, or at once when
//     its router has come back with another disk.
//  3. For a lost voter, a caught-up learner is promoted first and the lost
//     voter removed afterwards, so the number of live voters never falls below
//     what it was. Spares in data centres with the fewest live voters go first.
//  4. A learner that is long silent, or whose router has another disk now, is
//     removed.
//
// Failures guarded: a voter lost for good; a second one lost right after the
// repair (it is repaired in the same way, since no step leaves fewer live
// voters than a quorum of the next configuration needs); a leader that hears
// nobody and would remove everybody (it removes nothing without a live quorum
// of the configuration that results).
package repair

import (
	"slices"
	"time"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
)

// Settings of a Policy. Zero values take the defaults.
type Settings struct {
	// Voters is the number of voters to keep: three or five. With Grow it is
	// the most there may be.
	Voters int
	// Grow makes a voter of every disk VM that joins, up to Voters, for fleets
	// that are not told how many there are.
	Grow bool
	// Losses is how many voters may be lost at once; with Grow, lost voters are
	// taken out down to the number that bears so many.
	Losses int
	// SilentAfter is how long a voter may be silent before it is replaced.
	SilentAfter time.Duration
	// ForgetAfter is how long a learner may be silent before it is removed.
	ForgetAfter time.Duration
	// MaxLearners bounds the spares that receive the log.
	MaxLearners int
	// DataCentres tells where routers are; unknown ones count as apart.
	DataCentres map[protocol.RouterID]protocol.DataCentre
}

// Defaults. A restart of a VM takes seconds and is no loss; a loss of half a
// minute costs nothing but the spare. An hour of silence is also what two
// parted regions may last, so a spare is kept that long.
const (
	DefaultVoters      = 3
	DefaultSilentAfter = 30 * time.Second
	DefaultForgetAfter = time.Hour
	DefaultMaxLearners = 4
)

// Policy decides membership changes. It holds no state of its own: all it
// needs is in the status of the leader, which a new leader has as well.
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
	if settings.ForgetAfter == 0 {
		settings.ForgetAfter = DefaultForgetAfter
	}
	if settings.MaxLearners == 0 {
		settings.MaxLearners = DefaultMaxLearners
	}
	return Policy{settings: settings}
}

// sightingLife is how long a member that asked to join counts as present.
const sightingLife = 5 * time.Second

// Decide returns the next membership step and its reason, given the leader's
// status. Kind is zero for none, as always on others than a leader.
func (p Policy) Decide(now time.Duration, s consensus.Status) consensus.Change {
	if s.Role != consensus.Leader || s.ChangePending {
		return consensus.Change{}
	}
	v := p.view(now, s)
	for _, rule := range []func(view) consensus.Change{p.removeVoter, p.promote, p.removeLearner, p.addLearner} {
		if change := rule(v); change.Kind != 0 {
			return change
		}
	}
	return consensus.Change{}
}

// view is the status sorted for the rules.
type view struct {
	now       time.Duration
	self      consensus.Member
	live      []consensus.Member
	lost      []lostVoter
	learners  []consensus.PeerStatus
	sightings []consensus.Member
}

// lostVoter is a voter to be replaced.
type lostVoter struct {
	member consensus.Member
	reason string
}

// voters returns the number of voters, live or lost.
func (v view) voters() int {
	return len(v.live) + len(v.lost)
}

// view sorts a status.
func (p Policy) view(now time.Duration, s consensus.Status) view {
	v := view{now: now, self: s.Self, live: []consensus.Member{s.Self}}
	for _, seen := range s.Discovered {
		if now-seen.LastHeard < sightingLife {
			v.sightings = append(v.sightings, seen.Member)
		}
	}
	for _, peer := range s.Peers {
		p.sort(&v, peer)
	}
	return v
}

// sort puts one peer where it belongs.
func (p Policy) sort(v *view, peer consensus.PeerStatus) {
	if !peer.Voter {
		v.learners = append(v.learners, peer)
		return
	}
	reason := ""
	if v.now-peer.LastHeard >= p.settings.SilentAfter {
		reason = "silent for too long"
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

// hasOtherDisk reports whether a member's router was seen with another disk,
// as a learner or asking to join.
func (v view) hasOtherDisk(m consensus.Member) bool {
	other := func(seen consensus.Member) bool { return seen.Router == m.Router && seen.Disk != m.Disk }
	return slices.ContainsFunc(v.sightings, other) ||
		slices.ContainsFunc(v.learners, func(l consensus.PeerStatus) bool { return other(l.Member) && l.CaughtUp })
}

// removeVoter takes out a lost voter once there are more than the set number,
// or a live one too many.
func (p Policy) removeVoter(v view) consensus.Change {
	if !p.tooMany(v) {
		return consensus.Change{}
	}
	if len(v.lost) > 0 && hasQuorum(len(v.live), v.voters()-1) {
		return consensus.Change{Kind: consensus.Remove, Member: v.lost[0].member, Reason: v.lost[0].reason}
	}
	if len(v.lost) == 0 && v.voters() > p.settings.Voters {
		return consensus.Change{Kind: consensus.Remove, Member: p.spareVoter(v), Reason: "more voters than set"}
	}
	return consensus.Change{}
}

// tooMany reports whether a voter may go.
//
// In a growing fleet a lost voter goes from any number above that which bears
// the losses that were set, and below it only from an even number. From an even
// number the quorum becomes smaller by one and the number of losses that can be
// borne no smaller. From a small odd number it would lower what is borne: of
// five voters with two lost disks, three would be left, and a change on two
// disks would count as safe. A newcomer in the place of a lost voter is promoted
// first and so makes the number even. From a large odd number it has to go:
// seven voters, two of which were replaced and never return, bear one loss, and
// the five that are left bear two.
func (p Policy) tooMany(v view) bool {
	if p.settings.Grow && (v.voters()%2 == 0 || v.voters() > votersFor(p.settings.Losses)) {
		return true
	}
	return v.voters() > p.settings.Voters
}

// votersFor returns how many voters bear a number of losses at once.
func votersFor(losses int) int { return 2*losses + 1 }

// hasQuorum reports whether live voters are a majority of all.
func hasQuorum(live, all int) bool {
	return live >= all/2+1
}

// spareVoter returns the live voter, other than the leader, in the data centre
// with the most of them.
func (p Policy) spareVoter(v view) consensus.Member {
	others := slices.Clone(v.live[1:])
	slices.SortStableFunc(others, func(a, b consensus.Member) int {
		return p.neighbours(v, b) - p.neighbours(v, a)
	})
	return others[0]
}

// neighbours counts the live voters in a member's data centre.
func (p Policy) neighbours(v view, m consensus.Member) int {
	place, known := p.settings.DataCentres[m.Router]
	count := 0
	for _, voter := range v.live {
		if known && p.settings.DataCentres[voter.Router] == place {
			count++
		}
	}
	return count
}

// promote makes a caught-up learner a voter when one is lost or missing.
func (p Policy) promote(v view) consensus.Change {
	wanted := len(v.live) < p.settings.Voters && v.voters() <= p.settings.Voters
	if !wanted || !hasQuorum(len(v.live)+1, v.voters()+1) {
		return consensus.Change{}
	}
	candidates := slices.DeleteFunc(slices.Clone(v.learners), func(l consensus.PeerStatus) bool {
		return !l.CaughtUp || v.hasOtherDisk(l.Member)
	})
	if len(candidates) == 0 {
		return consensus.Change{}
	}
	slices.SortStableFunc(candidates, func(a, b consensus.PeerStatus) int {
		return p.neighbours(v, a.Member) - p.neighbours(v, b.Member)
	})
	reason := "fewer voters than set"
	if len(v.lost) > 0 {
		reason = "in place of " + v.lost[0].member.String() + ": " + v.lost[0].reason
	}
	return consensus.Change{Kind: consensus.Promote, Member: candidates[0].Member, Reason: reason}
}

// removeLearner takes out a learner that will not return under its name.
func (p Policy) removeLearner(v view) consensus.Change {
	for _, l := range v.learners {
		if v.now-l.LastHeard >= p.settings.ForgetAfter || v.hasOtherDisk(l.Member) {
			return consensus.Change{Kind: consensus.Remove, Member: l.Member, Reason: "the spare is gone"}
		}
	}
	return consensus.Change{}
}

// addLearner takes in a member that asked to join.
func (p Policy) addLearner(v view) consensus.Change {
	if len(v.learners) >= p.settings.MaxLearners || len(v.sightings) == 0 {
		return consensus.Change{}
	}
	return consensus.Change{Kind: consensus.AddLearner, Member: v.sightings[0], Reason: "it asked to join"}
}
