package consensus

import (
	"testing"

	"gotest.tools/v3/assert"
)

// mutation switches one safety rule off. The seed is the first that breaks an
// invariant without the rule, found with -schedule.search.
type mutation struct {
	name     string
	off      rules
	sameDisk bool
	// storm runs three voters with ever new elections and nothing else.
	storm bool
	// leaseless runs an open cluster without leases.
	leaseless bool
	seed      uint64
}

var mutations = []mutation{
	{name: "vote is persisted before the answer", off: rules{answerVoteUnsynced: true}, storm: true, seed: 64},
	{name: "only entries of the own term commit", off: rules{commitOlderTerms: true}, storm: true, seed: 3855},
	{name: "voter checks that the candidate's log is up to date", off: rules{ignoreLogOfVoter: true}, seed: 1},
	{name: "entries are synced before they are acknowledged", off: rules{ackUnsynced: true}, seed: 11},
	{name: "learner neither votes nor counts", off: rules{countLearners: true}, seed: 17},
	{name: "lease is waited out before a vote", off: rules{ignoreLease: true}, seed: 24},
	{name: "one membership change at a time", off: rules{manyChangesAtOnce: true}, seed: 80},
	{name: "blank disk never votes and is a new member", off: rules{blankVotes: true}, sameDisk: true, seed: 6},
	{name: "leader steps down before it hands over", off: rules{leadAfterHandOver: true}, seed: 18},
	{name: "leader without a lease serves no read and steps down", off: rules{serveAfterLeaseEnds: true}, seed: 6},
}

func TestEachSafetyRuleIsNeeded(t *testing.T) {
	// Switching one rule off must make a stated history break an invariant,
	// or the schedule would prove nothing about the rule.
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			if *searchSeeds > 0 {
				m.seed = search(t, m)
			}
			_, violation := runSeed(m.seed, stepsPerSeed, m)
			assert.Assert(t, violation != "", "seed %d holds without the rule", m.seed)
			t.Logf("seed %d: %s", m.seed, violation)
			_, violation = runSeed(m.seed, stepsPerSeed, mutation{storm: m.storm})
			assert.Equal(t, violation, "", "seed %d with the rule", m.seed)
		})
	}
}

// search returns the first seed that breaks an invariant.
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
