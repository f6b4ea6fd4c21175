package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/rotisserie/eris"

	"endiveplank/coordination/consensus"
	"endiveplank/protocol"
	"endiveplank/state/disk"
	"endiveplank/state/wal"
)

// Recovery is a request to go on from one data folder after the quorum is
// lost for good.
type Recovery struct {
	Self protocol.RouterID
	Disk disk.Disk
	// Lost names all other voters, as the operator has found them gone for
	// good. Recover refuses any other list.
	Lost []protocol.RouterID
	// DryRun checks and reports, and writes nothing to the log.
	DryRun bool
}

// RecoveryReport says from where the state goes on. What the lost voters had
// confirmed after LastIndex is lost; what is on this disk is kept, confirmed
// or not.
type RecoveryReport struct {
	Member    consensus.Member
	LastIndex uint64
	LastTerm  uint64
	Epoch     uint64
}

// ErrRecoveryNotConfirmed means that Lost does not name exactly the other
// voters.
type ErrRecoveryNotConfirmed struct {
	Voters []protocol.RouterID
}

// Error implements error.
func (e ErrRecoveryNotConfirmed) Error() string {
	return fmt.Sprintf("replica: to recover, name all other voters as lost for good: %v", e.Voters)
}

// ErrNothingToRecover means that the data folder holds no log.
type ErrNothingToRecover struct{}

// Error implements error.
func (ErrNothingToRecover) Error() string {
	return "replica: the data folder holds no state to go on from"
}

// Recover rewrites a stopped member's data folder so that it goes on as the
// only voter, in a new epoch. Spares then join and become voters as ever. Run
// it on the survivor with the highest term and, among equals, the highest last
// index. Errors: ErrRecoveryNotConfirmed, ErrNothingToRecover, those of
// wal.Open.
func Recover(request Recovery, random *rand.Rand) (RecoveryReport, error) {
	log, stored, err := wal.Open(request.Disk, wal.Options{Router: request.Self, Random: random})
	if err != nil {
		return RecoveryReport{}, err
	}
	defer func() { _ = log.Close() }()
	state, entry, ok := consensus.RecoverAsSoleVoter(log.Member(), stored)
	if !ok {
		return RecoveryReport{}, ErrNothingToRecover{}
	}
	if others := otherVoters(log.Member(), stored); !sameRouters(others, request.Lost) {
		return RecoveryReport{}, ErrRecoveryNotConfirmed{Voters: others}
	}
	if !request.DryRun {
		log.Append(&state, []consensus.Entry{entry})
		if err := log.Sync(); err != nil {
			return RecoveryReport{}, eris.Wrap(err, "replica: write the recovery")
		}
	}
	report := RecoveryReport{Member: log.Member(), LastIndex: entry.Index - 1, LastTerm: stored.Snapshot.Term, Epoch: state.Epoch}
	if n := len(stored.Entries); n > 0 {
		report.LastTerm = stored.Entries[n-1].Term
	}
	return report, nil
}

// otherVoters returns the routers of all voters but one, sorted.
func otherVoters(self consensus.Member, stored consensus.Stored) []protocol.RouterID {
	var others []protocol.RouterID
	for _, voter := range consensus.NewestConfiguration(stored).Voters {
		if voter != self {
			others = append(others, voter.Router)
		}
	}
	slices.Sort(others)
	return others
}

// sameRouters compares a sorted list with one in any order.
func sameRouters(sorted, other []protocol.RouterID) bool {
	return slices.Equal(sorted, slices.Sorted(slices.Values(other)))
}
