package table

import (
	"crypto/sha256"
	"slices"

	"endiveplank/protocol/codec"
)

// Digest distinguishes a resend of a change from another change with the same ID.
type Digest [16]byte

// digest covers what the operator asked for. It leaves out At, because a resend
// through another leader has another At.
func (c Change) digest() Digest {
	c.At = 0
	sum := sha256.Sum256(codec.Marshal(&c))
	return Digest(sum[:len(Digest{})])
}

// storedAnswer is an answer that is kept for resends.
type storedAnswer struct {
	ID     string `msgpack:"i"`
	Digest Digest `msgpack:"d"`
	Answer Answer `msgpack:"a"`
}

// size estimates the answer's memory in bytes. Only the limit depends on it, and the
// estimate is the same on every replica.
func (a storedAnswer) size() int {
	size := len(a.ID) + 64
	for _, problem := range a.Answer.Problems {
		size += 64 + len(problem.Key) + len(problem.Column) + len(problem.Value) + len(problem.Text)
	}
	for _, conflict := range a.Answer.Conflicts {
		size += 96 + len(conflict.Key) + len(conflict.By) + len(conflict.Why)
		if conflict.Winner != nil {
			size += cellBytes(conflict.Winner.Cells)
		}
	}
	return size
}

func cellBytes(cells []string) int {
	size := 0
	for _, cell := range cells {
		size += 16 + len(cell)
	}
	return size
}

// answerStore holds the answers of the newest changes and drops the oldest first.
type answerStore struct {
	byID  map[string]storedAnswer
	order []string
	bytes int
}

func newAnswerStore() answerStore { return answerStore{byID: map[string]storedAnswer{}} }

func (s *answerStore) get(id string) (storedAnswer, bool) {
	found, ok := s.byID[id]
	return found, ok
}

func (s *answerStore) put(id string, digest Digest, answer Answer) {
	kept := storedAnswer{ID: id, Digest: digest, Answer: answer}
	s.byID[id] = kept
	s.order = append(s.order, id)
	s.bytes += kept.size()
	for len(s.order) > maxAnswers || s.bytes > maxAnswerBytes && len(s.order) > 1 {
		s.bytes -= s.byID[s.order[0]].size()
		delete(s.byID, s.order[0])
		s.order = s.order[1:]
	}
}

// deletions remembers the revisions at which rows were deleted, so that a late
// resend of the change that created a row cannot bring it back.
type deletions struct {
	at map[RowRef]uint64
	// order has the deletions, oldest first, among them some that at no longer has.
	order []deletion
}

// deletion is one deleted row in a snapshot.
type deletion struct {
	Sheet    Sheet  `msgpack:"s"`
	Key      string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
}

func newDeletions() deletions { return deletions{at: map[RowRef]uint64{}} }

func (d *deletions) put(ref RowRef, revision uint64) {
	d.at[ref] = revision
	d.order = append(d.order, deletion{ref.Sheet, ref.Key, revision})
	if len(d.at) > maxDeletions {
		d.dropOldest()
	}
	if len(d.order) > 2*maxDeletions {
		d.order = d.remembered()
	}
}

func (d *deletions) remove(ref RowRef) { delete(d.at, ref) }

func (d *deletions) dropOldest() {
	for i, old := range d.order {
		ref := RowRef{old.Sheet, old.Key}
		if d.at[ref] == old.Revision {
			delete(d.at, ref)
			d.order = d.order[i+1:]
			return
		}
	}
}

// remembered returns the deletions that are still remembered, oldest first.
func (d *deletions) remembered() []deletion {
	return slices.DeleteFunc(slices.Clone(d.order), func(old deletion) bool {
		return d.at[RowRef{old.Sheet, old.Key}] != old.Revision
	})
}

// history holds the newest committed changes, oldest first.
type history struct {
	entries []HistoryEntry
	bytes   int
}

func (e HistoryEntry) size() int {
	size := 96 + len(e.ID) + len(e.Who) + len(e.Why)
	for _, row := range e.Rows {
		size += 96 + len(row.Key) + cellBytes(row.Before) + cellBytes(row.After)
	}
	return size
}

func (h *history) put(entry HistoryEntry) {
	h.entries = append(h.entries, entry)
	h.bytes += entry.size()
	for len(h.entries) > maxHistory || h.bytes > maxHistoryBytes && len(h.entries) > 1 {
		h.bytes -= h.entries[0].size()
		h.entries = h.entries[1:]
	}
}

func (h *history) byRevision(revision uint64) (HistoryEntry, bool) {
	i, found := slices.BinarySearchFunc(h.entries, revision, func(entry HistoryEntry, revision uint64) int {
		return int(int64(entry.Revision) - int64(revision))
	})
	if !found {
		return HistoryEntry{}, false
	}
	return h.entries[i], true
}
