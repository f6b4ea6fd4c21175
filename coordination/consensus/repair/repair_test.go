package repair

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
)

const now = time.Hour

func member(router protocol.RouterID, disk consensus.DiskID) consensus.Member {
	return consensus.Member{Router: router, Disk: disk}
}

func peer(router protocol.RouterID, voter bool, silent time.Duration) consensus.PeerStatus {
	return consensus.PeerStatus{Member: member(router, 1), Voter: voter, LastHeard: now - silent, CaughtUp: silent < time.Second}
}

func TestDecide(t *testing.T) {
	// Guards against a membership change that leaves no live quorum, and
	// against a lost voter or a spare that waits for an operator.
	const gone = time.Minute
	live, lost := func(r protocol.RouterID) consensus.PeerStatus { return peer(r, true, 0) }, func(r protocol.RouterID) consensus.PeerStatus { return peer(r, true, gone) }
	spare := func(r protocol.RouterID) consensus.PeerStatus { return peer(r, false, 0) }
	type peers = []consensus.PeerStatus
	tests := map[string]struct {
		peers   peers
		joining []consensus.Member
		pending bool
		want    consensus.Change
	}{
		"no change is needed":                          {peers: peers{live("r2"), live("r3"), spare("r4")}},
		"a blank router asks to join":                  {peers: peers{live("r2"), live("r3")}, joining: []consensus.Member{member("r4", 1)}, want: consensus.Change{Kind: consensus.AddLearner, Member: member("r4", 1)}},
		"a short silence is no loss":                   {peers: peers{live("r2"), peer("r3", true, 10*time.Second), spare("r4")}},
		"a lost voter: the spare comes first":          {peers: peers{live("r2"), lost("r3"), spare("r4")}, want: consensus.Change{Kind: consensus.Promote, Member: member("r4", 1)}},
		"one step at a time":                           {peers: peers{live("r2"), lost("r3"), spare("r4")}, pending: true},
		"then the lost one is removed":                 {peers: peers{live("r2"), lost("r3"), live("r4")}, want: consensus.Change{Kind: consensus.Remove, Member: member("r3", 1)}},
		"a spare that lags is not promoted":            {peers: peers{live("r2"), lost("r3"), peer("r4", false, 5*time.Second)}},
		"without a live quorum nothing is done":        {peers: peers{lost("r2"), lost("r3"), spare("r4")}},
		"four voters, two lost: three have a quorum":   {peers: peers{lost("r2"), lost("r3"), live("r4")}, want: consensus.Change{Kind: consensus.Remove, Member: member("r2", 1)}},
		"five voters, three lost: no voter is removed": {peers: peers{lost("r2"), lost("r3"), lost("r5"), live("r4")}},
		"a voter's router has another disk": {
			peers: peers{live("r2"), live("r3")}, joining: []consensus.Member{member("r3", 2)},
			want: consensus.Change{Kind: consensus.AddLearner, Member: member("r3", 2)},
		},
		"with that disk and a spare, the spare is promoted": {
			peers: peers{live("r2"), live("r3"), spare("r4")}, joining: []consensus.Member{member("r3", 2)},
			want: consensus.Change{Kind: consensus.Promote, Member: member("r4", 1)},
		},
		"the spare in another data centre is promoted": {
			peers: peers{live("r2"), lost("r3"), spare("r4"), spare("r5")},
			want:  consensus.Change{Kind: consensus.Promote, Member: member("r5", 1)},
		},
		"one live voter too many":      {peers: peers{live("r2"), live("r3"), live("r5")}, want: consensus.Change{Kind: consensus.Remove, Member: member("r2", 1)}},
		"a spare silent for two hours": {peers: peers{live("r2"), live("r3"), peer("r4", false, 2*time.Hour)}, want: consensus.Change{Kind: consensus.Remove, Member: member("r4", 1)}},
	}
	p := New(Settings{DataCentres: map[protocol.RouterID]protocol.DataCentre{"r1": "a", "r2": "a", "r4": "a", "r3": "b", "r5": "c"}})
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status := consensus.Status{Self: member("r1", 1), Role: consensus.Leader, ChangePending: test.pending, Peers: test.peers}
			for _, m := range test.joining {
				status.Discovered = append(status.Discovered, consensus.DiscoveredMember{Member: m, LastHeard: now})
			}
			got := p.Decide(now, status)
			assert.Equal(t, got.Kind != 0, got.Reason != "")
			got.Reason = ""
			assert.Equal(t, got, test.want)
			status.Role = consensus.Follower
			assert.Equal(t, p.Decide(now, status), consensus.Change{})
		})
	}
}
