package consensus

import (
	"testing"

	"gotest.tools/v3/assert"
)

// mutation switches one safety rule off. Its seed is the first one, found with
// -schedule.search, that breaks an invariant without the rule.
type mutation struct {
	name     string
	unsafe   unsafeOptions
	sameDisk bool
	// electionStorm runs three voters with continual elections, without
	// membership changes, snapshots and wiped disks.
	electionStorm bool
	// leaseless runs an open cluster without leases.
	leaseless bool
	seed      uint64
}

var mutations = []mutation{
	{name: "vote is persisted before the reply", unsafe: unsafeOptions{replyVoteUnsynced: true}, electionStorm: true, seed: 64},
	{name: "only entries of the leader's own term commit", unsafe: unsafeOptions{commitOlderTerms: true}, electionStorm: true, seed: 3855},
	{name: "voter checks that the candidate's log is up to date", unsafe: unsafeOptions{ignoreCandidateLog: true}, seed: 1},
	{name: "entries are synced before they are acknowledged", unsafe: unsafeOptions{ackUnsynced: true}, seed: 11},
	{name: "learner neither votes nor counts for commits", unsafe: unsafeOptions{countLearners: true}, seed: 17},
	{name: "voter waits until the lease has ended", unsafe: unsafeOptions{ignoreLease: true}, seed: 24},
	{name: "one membership change at a time", unsafe: unsafeOptions{concurrentChanges: true}, seed: 80},
	{name: "blank disk never votes and is a new member", unsafe: unsafeOptions{blankMayVote: true}, sameDisk: true, seed: 6},
	{name: "leader steps down before it transfers leadership", unsafe: unsafeOptions{leadAfterTransfer: true}, seed: 18},
	{name: "leader without a lease serves no read and steps down", unsafe: unsafeOptions{serveAfterLeaseEnds: true}, seed: 6},
}

func TestEachSafetyRuleIsNeeded(t *testing.T) {
	// For each safety rule, a schedule with a given seed breaks an invariant
	// when the rule is off, and keeps all invariants when it is on. Otherwise
	// the random schedule would not show that the rule works.
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			if *searchSeeds > 0 {
				m.seed = search(t, m)
			}
			_, violation := runSeed(m.seed, stepsPerSeed, m)
			assert.Assert(t, violation != "", "seed %d holds without the rule", m.seed)
			t.Logf("seed %d: %s", m.seed, violation)
			_, violation = runSeed(m.seed, stepsPerSeed, mutation{electionStorm: m.electionStorm})
			assert.Equal(t, violation, "", "seed %d with the rule", m.seed)
		})
	}
}

// search returns the first seed that breaks an invariant, and logs how many do.
func search(t *testing.T, m mutation) uint64 {
	failing, first := 0, uint64(0)
	for seed := uint64(1); seed <= uint64(*searchSeeds); seed++ {
		if _, violation := runSeed(seed, stepsPerSeed, m); violation != "" {
			failing++
			if first == 0 {
				first = seed
			}
		}
	}
	t.Logf("%d of %d seeds fail, first %d", failing, *searchSeeds, first)
	return first
}
