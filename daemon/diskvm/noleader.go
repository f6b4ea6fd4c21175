package diskvm

import (
	"time"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
)

const (
	// noLeaderDelay is how long a VM knows of no leader before it says so: longer than an
	// election usually takes.
	noLeaderDelay = 2 * time.Second
	// noLeaderInterval is how often it says so while that lasts.
	noLeaderInterval = 5 * time.Second
	// heardRecently is how long a member counts as heard after its last hello or
	// pre-vote. Members without a leader send one at least every 1.2 s.
	heardRecently = 3 * time.Second
)

// noLeaderWatch says when a VM has to log that it knows of no leader. The zero value is a
// watch that has begun at time 0.
type noLeaderWatch struct {
	// since is when a leader was last known, loggedAt when the last line was due.
	since, loggedAt time.Duration
}

// due reports whether a line is due, given whether a leader is known.
func (w *noLeaderWatch) due(now time.Duration, known bool) bool {
	if known {
		w.since = now
		return false
	}
	if now-w.since < noLeaderDelay || w.loggedAt > w.since && now-w.loggedAt < noLeaderInterval {
		return false
	}
	w.loggedAt = now
	return true
}

// missingVoters says why there is no leader: which voters were heard, from which ones
// nothing came, and which have another disk now.
type missingVoters struct {
	voters, quorum, heard int
	silent, otherDisk     []protocol.RouterID
}

// findMissingVoters sorts the voters of a status by what was heard of them.
func findMissingVoters(now time.Duration, s consensus.Status) missingVoters {
	found := missingVoters{voters: len(s.Configuration.Voters), quorum: s.Configuration.Quorum()}
	for _, voter := range s.Configuration.Voters {
		switch seen := lastHeard(now, s, voter.Router); {
		case voter == s.Self || seen == voter:
			found.heard++
		case seen.IsZero() && voter.Router != s.Self.Router:
			found.silent = append(found.silent, voter.Router)
		default:
			found.otherDisk = append(found.otherDisk, voter.Router)
		}
	}
	return found
}

// lastHeard returns the member that was recently heard from a router, zero for none.
func lastHeard(now time.Duration, s consensus.Status, router protocol.RouterID) consensus.Member {
	for _, heard := range s.Heard {
		if heard.Member.Router == router && now-heard.LastHeard < heardRecently {
			return heard.Member
		}
	}
	return consensus.Member{}
}

// logNoLeader writes a line if no leader has been known for a while.
func (vm *VM) logNoLeader(memberNow time.Duration, s consensus.Status) {
	if !vm.noLeader.due(vm.now(), !s.Leader.IsZero()) {
		return
	}
	missing := findMissingVoters(memberNow, s)
	vm.log.Warn().Str("event", "no-leader").Uint64("term", s.Term).Uint64("last", s.Last).
		Int("voters", missing.voters).Int("quorum", missing.quorum).Int("heard", missing.heard).
		Strs("silent", routerStrings(missing.silent)).Strs("other_disk", routerStrings(missing.otherDisk)).
		Dur("age_ms", vm.now()-vm.noLeader.since).Send()
}

// routerStrings converts router IDs for a line.
func routerStrings(ids []protocol.RouterID) []string {
	converted := make([]string, 0, len(ids))
	for _, id := range ids {
		converted = append(converted, string(id))
	}
	return converted
}
