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

// RecoveryRequest asks Recover to continue from one data folder after the quorum
// is lost for good.
type RecoveryRequest struct {
	// Self and Disk are the surviving router and its data folder.
	Self protocol.RouterID
	Disk disk.Disk
	// Lost must name all other voters. With it the operator confirms that they are
	// lost for good. Recover refuses any other list.
	Lost []protocol.RouterID
	// DryRun makes Recover check and report without writing to the log.
	DryRun bool
}

// RecoveryReport describes the state from which the member continues. Commands
// that the lost voters had confirmed after LastIndex are lost. Commands on this
// disk are kept, whether or not they were confirmed.
type RecoveryReport struct {
	Member    consensus.Member
	LastIndex uint64
	LastTerm  uint64
	Epoch     uint64
}

// ErrRecoveryNotConfirmed means that RecoveryRequest.Lost does not name exactly
// the other voters.
type ErrRecoveryNotConfirmed struct {
	// Voters are all other voters.
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

// Recover rewrites the data folder of a stopped member so that the member
// continues as the only voter, in a new epoch. Spares then join and become voters
// as usual. Run Recover on the survivor with the highest term and, if several have
// it, on the one among them with the highest last index. Errors:
// ErrRecoveryNotConfirmed, ErrNothingToRecover, and those of wal.Open.
func Recover(request RecoveryRequest, random *rand.Rand) (RecoveryReport, error) {
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

// otherVoters returns the sorted routers of all voters except self.
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

// sameRouters reports whether a sorted list holds the same routers as a list in
// any order.
func sameRouters(sorted, other []protocol.RouterID) bool {
	return slices.Equal(sorted, slices.Sorted(slices.Values(other)))
}
