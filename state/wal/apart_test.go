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
	apartSteps = flag.Int("wal.steps", 60_000, "steps on the disk that keeps or loses each write by itself, over all its seeds")
	apartSeed  = flag.Uint64("wal.seed", 1, "first seed of those steps")
)

// stepsPerSeed is how many steps one folder lives through.
const stepsPerSeed = 200

// mostCalls is more calls of the disk than any step makes, so that power is cut
// at each of them, and sometimes between two steps.
const mostCalls = 14

// history is a folder and what its last step was to change.
type history struct {
	t      *testing.T
	seed   uint64
	random *rand.Rand
	disk   *fakedisk.Disk
	log    *Log
	member consensus.Member
	// held is what was acknowledged, next what the step under way makes of it.
	held, next consensus.Stored
	term       uint64
}

func TestEachUnsyncedWriteAndNameIsKeptOrLostByItself(t *testing.T) {
	// All VMs lose power, each in the middle of something. File systems write
	// back in any order: of two writes or two removed names the later one alone
	// may last. A folder that is then refused is a disk lost, on several VMs at
	// once, and with them what an operator was told is in force.
	for seed := range uint64(*apartSteps / stepsPerSeed) {
		newHistory(t, *apartSeed+seed).run()
	}
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 3)), disk: fakedisk.New(), term: 1}
	l, _, err := Open(h.disk, options())
	assert.NilError(t, err)
	h.log, h.member = l, l.Member()
	return h
}

func (h *history) run() {
	for step := range stepsPerSeed {
		if h.random.IntN(3) == 0 {
			h.disk.CutPowerAfter(h.random.IntN(mostCalls))
		}
		err := h.step()
		if err == nil {
			h.held = h.next
		}
		if err != nil || h.random.IntN(8) == 0 {
			h.lose(step)
		}
	}
}

// step does something with the log. Its error is that of lost power.
func (h *history) step() error {
	last := h.held.Snapshot.Index + uint64(len(h.held.Entries))
	h.next = consensus.Stored{HardState: h.held.HardState, Snapshot: h.held.Snapshot, Entries: slices.Clone(h.held.Entries)}
	switch h.random.IntN(8) {
	case 0:
		return h.replace()
	case 1:
		if len(h.held.Entries) == 0 {
			return nil
		}
		at := h.held.Entries[h.random.IntN(len(h.held.Entries))]
		return h.snapshot(consensus.Snapshot{Index: at.Index, Term: at.Term, Data: []byte("own")}, false)
	case 2:
		return h.snapshot(consensus.Snapshot{Index: last + uint64(h.random.IntN(5)) + 1, Term: h.term, Data: []byte("received")}, true)
	default:
		return h.write(nil, last+1)
	}
}

// replace writes entries of a new leader over the last ones.
func (h *history) replace() error {
	h.term++
	from := h.held.Snapshot.Index + 1 + uint64(h.random.IntN(len(h.held.Entries)+1))
	h.next.HardState = consensus.HardState{Term: h.term}
	return h.write(&h.next.HardState, from)
}

func (h *history) write(state *consensus.HardState, from uint64) error {
	written := entries(from, from+uint64(h.random.IntN(6)), h.term)
	h.next.Entries = append(h.next.Entries[:from-h.held.Snapshot.Index-1], written...)
	h.log.Append(state, written)
	return h.log.Sync()
}

func (h *history) snapshot(s consensus.Snapshot, received bool) error {
	h.next.Snapshot = s
	if received {
		h.next.Entries = nil
	} else {
		h.next.Entries = slices.Clone(h.held.Entries[s.Index-h.held.Snapshot.Index:])
	}
	return h.log.SaveSnapshot(s, received)
}

// lose cuts the power, or kills the process, and opens the folder again, at times
// more than once.
func (h *history) lose(step int) {
	for {
		if h.random.IntN(4) == 0 {
			h.disk.Restart()
		} else {
			h.disk.CrashReordered(h.random)
		}
		again := h.random.IntN(3) == 0
		if again {
			h.disk.CutPowerAfter(h.random.IntN(mostCalls))
		}
		l, stored, err := Open(h.disk, options())
		if again && err != nil && !isDamage(err) {
			continue
		}
		where := fmt.Sprintf("seed %d, step %d", h.seed, step)
		assert.NilError(h.t, err, where)
		assert.Equal(h.t, l.Member(), h.member, where)
		h.check(stored, where)
		h.log, h.held = l, stored
		return
	}
}

// isDamage reports whether a folder was refused, and not the disk gone.
func isDamage(err error) bool {
	_, damaged := err.(CorruptionError)
	return damaged
}

// check compares a folder with what was acknowledged and what was being written. A
// new term may last without the entries written with it: a full segment begins
// with it.
func (h *history) check(stored consensus.Stored, where string) {
	termAlone := h.held
	termAlone.HardState = h.next.HardState
	for _, allowed := range []consensus.Stored{h.held, h.next, termAlone} {
		if same(stored, allowed) {
			return
		}
	}
	h.t.Fatalf("%s: the folder holds\n%s\nacknowledged is\n%s\nunder way was\n%s", where, brief(stored), brief(h.held), brief(h.next))
}

func same(a, b consensus.Stored) bool {
	if a.HardState != b.HardState || a.Snapshot.Index != b.Snapshot.Index || string(a.Snapshot.Data) != string(b.Snapshot.Data) {
		return false
	}
	return slices.EqualFunc(a.Entries, b.Entries, func(x, y consensus.Entry) bool {
		return x.Index == y.Index && x.Term == y.Term && string(x.Data) == string(y.Data)
	})
}

// brief names terms, snapshot and the range of entries.
func brief(s consensus.Stored) string {
	text := fmt.Sprintf("%+v, snapshot %d of term %d, %d entries", s.HardState, s.Snapshot.Index, s.Snapshot.Term, len(s.Entries))
	if len(s.Entries) > 0 {
		last := s.Entries[len(s.Entries)-1]
		text += fmt.Sprintf(" from %d to %d of term %d", s.Entries[0].Index, last.Index, last.Term)
	}
	return text
}
