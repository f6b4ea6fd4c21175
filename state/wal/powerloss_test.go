package wal

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/consensus"
	"endiveplank/state/disk/fakedisk"
)

var (
	powerLossSteps = flag.Int("wal.steps", 60_000, "number of steps of the power loss test, over all seeds")
	powerLossSeed  = flag.Uint64("wal.seed", 1, "first seed of the power loss test")
)

// stepsPerSeed is the number of steps that each seed runs on one folder.
const stepsPerSeed = 200

// maxCallsPerStep is greater than the number of disk calls that any step makes, so
// that power is cut at each of the calls, and sometimes between two steps.
const maxCallsPerStep = 14

// powerLossRun runs random steps on one log and cuts the power during them.
type powerLossRun struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	disk   *fakedisk.Disk
	log    *Log
	member consensus.Member
	// acknowledged is the state that the log has acknowledged. pending is the state
	// after the step in progress.
	acknowledged, pending consensus.Stored
	term                  uint64
}

func TestPowerLossKeepsOrLosesEachUnsyncedChangeIndependently(t *testing.T) {
	// All VMs lose power while they write. File systems write back in any order:
	// of two writes or two removed names, possibly only the later one reaches the
	// disk. If Open then refuses the folder, that disk is lost. This can happen on
	// several VMs at once, and changes that were acknowledged to an operator would
	// be lost with them.
	for seed := range uint64(*powerLossSteps / stepsPerSeed) {
		newPowerLossRun(t, *powerLossSeed+seed).run()
	}
}

func newPowerLossRun(t *testing.T, seed uint64) *powerLossRun {
	r := &powerLossRun{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), disk: fakedisk.New(), term: 1}
	l, _, err := Open(r.disk, options())
	assert.NilError(t, err)
	r.log, r.member = l, l.Member()
	return r
}

func (r *powerLossRun) run() {
	for step := range stepsPerSeed {
		if r.random.IntN(3) == 0 {
			r.disk.CutPowerAfter(r.random.IntN(maxCallsPerStep))
		}
		err := r.step()
		if err == nil {
			r.acknowledged = r.pending
		}
		if err != nil || r.random.IntN(8) == 0 {
			r.crashAndReopen(step)
		}
	}
}

// step runs a random operation on the log. It returns an error if power was cut
// during it.
func (r *powerLossRun) step() error {
	last := r.acknowledged.Snapshot.Index + uint64(len(r.acknowledged.Entries))
	r.pending = consensus.Stored{HardState: r.acknowledged.HardState, Snapshot: r.acknowledged.Snapshot, Entries: slices.Clone(r.acknowledged.Entries)}
	switch r.random.IntN(8) {
	case 0:
		return r.replaceTail()
	case 1:
		if len(r.acknowledged.Entries) == 0 {
			return nil
		}
		at := r.acknowledged.Entries[r.random.IntN(len(r.acknowledged.Entries))]
		return r.saveSnapshot(consensus.Snapshot{Index: at.Index, Term: at.Term, Data: []byte("own")}, false)
	case 2:
		return r.saveSnapshot(consensus.Snapshot{Index: last + uint64(r.random.IntN(5)) + 1, Term: r.term, Data: []byte("received")}, true)
	default:
		return r.appendEntries(nil, last+1)
	}
}

// replaceTail replaces the last entries by those of a new leader.
func (r *powerLossRun) replaceTail() error {
	r.term++
	from := r.acknowledged.Snapshot.Index + 1 + uint64(r.random.IntN(len(r.acknowledged.Entries)+1))
	r.pending.HardState = consensus.HardState{Term: r.term}
	return r.appendEntries(&r.pending.HardState, from)
}

func (r *powerLossRun) appendEntries(state *consensus.HardState, from uint64) error {
	written := entries(from, from+uint64(r.random.IntN(6)), r.term)
	r.pending.Entries = append(r.pending.Entries[:from-r.acknowledged.Snapshot.Index-1], written...)
	r.log.Append(state, written)
	return r.log.Sync()
}

func (r *powerLossRun) saveSnapshot(s consensus.Snapshot, received bool) error {
	r.pending.Snapshot = s
	if received {
		r.pending.Entries = nil
	} else {
		r.pending.Entries = slices.Clone(r.acknowledged.Entries[s.Index-r.acknowledged.Snapshot.Index:])
	}
	return r.log.SaveSnapshot(s, received)
}

// crashAndReopen cuts the power or kills the process, and opens the folder again.
// Sometimes power is cut once more while the folder is opened.
func (r *powerLossRun) crashAndReopen(step int) {
	for {
		if r.random.IntN(4) == 0 {
			r.disk.Restart()
		} else {
			r.disk.CrashReordered(r.random)
		}
		again := r.random.IntN(3) == 0
		if again {
			r.disk.CutPowerAfter(r.random.IntN(maxCallsPerStep))
		}
		l, stored, err := Open(r.disk, options())
		if again && err != nil && !isCorruption(err) {
			continue
		}
		where := fmt.Sprintf("seed %d, step %d", r.seed, step)
		assert.NilError(r.t, err, where)
		assert.Equal(r.t, l.Member(), r.member, where)
		r.check(stored, where)
		r.log, r.acknowledged = l, stored
		return
	}
}

// isCorruption reports whether err means that the folder was refused as damaged,
// and not that the disk had no power.
func isCorruption(err error) bool {
	_, damaged := err.(CorruptionError)
	return damaged
}

// check compares the state in the folder with the acknowledged state and the
// pending one. The new term may be there without the entries written with it,
// because a full segment is followed by a new one whose first frame holds the
// term.
func (r *powerLossRun) check(stored consensus.Stored, where string) {
	termAlone := r.acknowledged
	termAlone.HardState = r.pending.HardState
	for _, allowed := range []consensus.Stored{r.acknowledged, r.pending, termAlone} {
		if equalStored(stored, allowed) {
			return
		}
	}
	r.t.Fatalf("%s: the folder holds\n%s\nacknowledged state:\n%s\npending state:\n%s", where, summarize(stored), summarize(r.acknowledged), summarize(r.pending))
}

func equalStored(a, b consensus.Stored) bool {
	if a.HardState != b.HardState || a.Snapshot.Index != b.Snapshot.Index || string(a.Snapshot.Data) != string(b.Snapshot.Data) {
		return false
	}
	return slices.EqualFunc(a.Entries, b.Entries, func(x, y consensus.Entry) bool {
		return x.Index == y.Index && x.Term == y.Term && string(x.Data) == string(y.Data)
	})
}

// summarize describes the hard state, the snapshot and the range of entries.
func summarize(s consensus.Stored) string {
	text := fmt.Sprintf("%+v, snapshot %d of term %d, %d entries", s.HardState, s.Snapshot.Index, s.Snapshot.Term, len(s.Entries))
	if len(s.Entries) > 0 {
		last := s.Entries[len(s.Entries)-1]
		text += fmt.Sprintf(" from %d to %d of term %d", s.Entries[0].Index, last.Index, last.Term)
	}
	return text
}
