package table

import (
	"crypto/sha256"
	"slices"

	"endiveplank/protocol/codec"
)

// Digest tells a resend from a reused change ID.
type Digest [16]byte

// digest covers what the operator asked for. The leader's stamp is left out,
// because a resend through another leader carries another stamp.
func (c Change) digest() Digest {
	c.At = 0
	sum := sha256.Sum256(codec.Marshal(&c))
	return Digest(sum[:len(Digest{})])
}

// remembered is one answer kept for resends.
type remembered struct {
	ID     string `msgpack:"i"`
	Digest Digest `msgpack:"d"`
	Answer Answer `msgpack:"a"`
}

// size estimates the bytes held; only the bound depends on it, and it is the
// same on every replica.
func (r remembered) size() int {
	size := len(r.ID) + 64
	for _, problem := range r.Answer.Problems {
		size += 64 + len(problem.Key) + len(problem.Column) + len(problem.Value) + len(problem.Text)
	}
	for _, conflict := range r.Answer.Conflicts {
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

// memory holds the answers of the newest changes, oldest dropped first.
type memory struct {
	byID  map[string]remembered
	order []string
	bytes int
}

func newMemory() memory { return memory{byID: map[string]remembered{}} }

func (m *memory) get(id string) (remembered, bool) {
	found, ok := m.byID[id]
	return found, ok
}

func (m *memory) put(id string, digest Digest, answer Answer) {
	kept := remembered{ID: id, Digest: digest, Answer: answer}
	m.byID[id] = kept
	m.order = append(m.order, id)
	m.bytes += kept.size()
	for len(m.order) > maxRemembered || m.bytes > maxRememberedBytes && len(m.order) > 1 {
		m.bytes -= m.byID[m.order[0]].size()
		delete(m.byID, m.order[0])
		m.order = m.order[1:]
	}
}

// deletions remembers at which revision rows were deleted, so that a late
// resend of the change that created a row cannot bring it back.
type deletions struct {
	at    map[Ref]uint64
	order []deletion
}

// deletion is one deleted row in a snapshot.
type deletion struct {
	Sheet    Sheet  `msgpack:"s"`
	Key      string `msgpack:"k"`
	Revision uint64 `msgpack:"r"`
}

func newDeletions() deletions { return deletions{at: map[Ref]uint64{}} }

func (d *deletions) put(ref Ref, revision uint64) {
	d.at[ref] = revision
	d.order = append(d.order, deletion{ref.Sheet, ref.Key, revision})
	if len(d.at) > maxDeleted {
		d.dropOldest()
	}
	if len(d.order) > 2*maxDeleted {
		d.order = d.live()
	}
}

func (d *deletions) remove(ref Ref) { delete(d.at, ref) }

func (d *deletions) dropOldest() {
	for i, old := range d.order {
		ref := Ref{old.Sheet, old.Key}
		if d.at[ref] == old.Revision {
			delete(d.at, ref)
			d.order = d.order[i+1:]
			return
		}
	}
}

// live returns the remembered deletions, oldest first.
func (d *deletions) live() []deletion {
	return slices.DeleteFunc(slices.Clone(d.order), func(old deletion) bool {
		return d.at[Ref{old.Sheet, old.Key}] != old.Revision
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
