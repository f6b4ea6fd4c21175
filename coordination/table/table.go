// Package table is the operators' spreadsheet as a part of the replicated
// state: customers, models, routes and upstream settings as rows and columns.
//
// A change edits any number of rows. Apply validates every cell and gives all
// problems at once, checks the expected revision of every row, and then writes
// all rows or none.
//
// The failures it guards against:
//
//   - A lost answer. The operator resends the change under the same change ID,
//     perhaps to another leader after a restart, and gets the first answer,
//     because answers are part of the replicated state (bounded; see
//     maxRemembered). A resend that comes after its answer was forgotten meets
//     the revision check and gets a conflict: it is never applied twice.
//   - Racing operators. Both expect the same revision; the first in the log
//     wins, the other gets the winner's row, name and reason.
//   - A reused change ID with other edits, which would otherwise look
//     accepted though nothing was written.
//
// A revision is the log index of the command that wrote the row, so revisions
// grow over the whole fleet and are never used twice. Everything here is
// deterministic: no clock, no map order in any output.
package table

import (
	"maps"
	"slices"
	"strings"
)

// Bounds of one change and of what is remembered.
const (
	// maxEdits lets a whole table of 2,400 customers be imported at once.
	maxEdits = 5_000
	// maxListed bounds the problems and conflicts in one answer.
	maxListed = 200
	maxText   = 256
	// maxRemembered changes is the memory for resends: almost three days at
	// 3,600 changes a day.
	maxRemembered      = 10_000
	maxRememberedBytes = 8 << 20
	// maxHistory changes and bytes bound the history.
	maxHistory      = 20_000
	maxHistoryBytes = 16 << 20
	// maxDeleted bounds the remembered deletions.
	maxDeleted = 10_000
)

// Ref names a row.
type Ref struct {
	Sheet Sheet
	Key   string
}

// CompareRefs orders refs by sheet and key.
func CompareRefs(a, b Ref) int {
	if c := strings.Compare(string(a.Sheet), string(b.Sheet)); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

// Touched is a row written or deleted by a change.
type Touched struct {
	Ref  Ref
	Gone bool
}

// Table is the state. It is not safe for concurrent use.
type Table struct {
	rows    map[Ref]Row
	deleted deletions
	// byHash finds the customer of a key hash, to refuse shared keys.
	byHash  map[string]string
	answers memory
	history history
}

// New returns an empty table.
func New() *Table {
	return &Table{
		rows:    map[Ref]Row{},
		deleted: newDeletions(),
		byHash:  map[string]string{},
		answers: newMemory(),
	}
}

// Row returns a row. Its cells must not be modified.
func (t *Table) Row(sheet Sheet, key string) (Row, bool) {
	row, ok := t.rows[Ref{sheet, key}]
	return row, ok
}

// Len returns the number of rows in all sheets.
func (t *Table) Len() int { return len(t.rows) }

// Rows returns the rows of a sheet in the order of their keys.
func (t *Table) Rows(sheet Sheet) []Row {
	var out []Row
	for ref, row := range t.rows {
		if ref.Sheet == sheet {
			out = append(out, row)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// Revision returns what an edit of the row has to expect: the row's revision,
// that of its deletion, or 0 if neither is known.
func (t *Table) Revision(sheet Sheet, key string) uint64 {
	ref := Ref{sheet, key}
	if row, ok := t.rows[ref]; ok {
		return row.Revision
	}
	return t.deleted.at[ref]
}

// Apply runs a change at a log index and returns its answer and the rows it
// touched, in the order of CompareRefs.
func (t *Table) Apply(index uint64, change Change) (Answer, []Touched) {
	digest := change.digest()
	if remembered, ok := t.answers.get(change.ID); ok {
		if remembered.Digest != digest {
			return Answer{Outcome: Reused, Revision: remembered.Answer.Revision}, nil
		}
		return remembered.Answer, nil
	}
	answer, touched := t.run(index, change)
	if validID(change.ID) {
		t.answers.put(change.ID, digest, answer)
	}
	return answer, touched
}

// Check returns the answer that the change would get now, without running it.
func (t *Table) Check(change Change) Answer {
	staged, answer := t.stage(0, change)
	if staged == nil {
		return answer
	}
	return Answer{Outcome: Committed}
}

// Preview returns what the change would write now, without running it, and the
// answer that it would get.
func (t *Table) Preview(change Change) ([]RowDiff, Answer) {
	staged, answer := t.stage(0, change)
	if staged == nil {
		return nil, answer
	}
	var diffs []RowDiff
	for _, ref := range slices.SortedFunc(maps.Keys(staged), CompareRefs) {
		diffs = append(diffs, t.diff(ref, staged[ref]))
	}
	return diffs, Answer{Outcome: Committed}
}

func (t *Table) diff(ref Ref, after *Row) RowDiff {
	diff := RowDiff{Sheet: ref.Sheet, Key: ref.Key, Before: t.rows[ref].Cells}
	if after != nil {
		diff.After = after.Cells
	}
	return diff
}

func (t *Table) run(index uint64, change Change) (Answer, []Touched) {
	staged, answer := t.stage(index, change)
	if staged == nil {
		return answer, nil
	}
	if len(staged) == 0 {
		return Answer{Outcome: Committed, Revision: t.newest(change.Edits)}, nil
	}
	touched := t.write(index, change, staged)
	return Answer{Outcome: Committed, Revision: index}, touched
}

// newest returns the highest revision of the rows that a change names. A
// change that alters nothing is in force when those rows are.
func (t *Table) newest(edits []Edit) uint64 {
	revision := uint64(0)
	for _, edit := range edits {
		revision = max(revision, t.Revision(edit.Sheet, edit.Key))
	}
	return revision
}

// write replaces the staged rows; nil deletes.
func (t *Table) write(index uint64, change Change, staged map[Ref]*Row) []Touched {
	entry := HistoryEntry{ID: change.ID, Revision: index, Who: change.Who, Why: change.Why, At: change.At}
	var touched []Touched
	refs := slices.SortedFunc(maps.Keys(staged), CompareRefs)
	// All old hashes go before the new ones come, so that a change can move a
	// key hash from one customer to another.
	for _, ref := range refs {
		t.unindex(t.rows[ref])
	}
	for _, ref := range refs {
		after := staged[ref]
		entry.Rows = append(entry.Rows, t.diff(ref, after))
		if after == nil {
			delete(t.rows, ref)
			t.deleted.put(ref, index)
		} else {
			t.rows[ref] = *after
			t.deleted.remove(ref)
			t.index(*after)
		}
		touched = append(touched, Touched{Ref: ref, Gone: after == nil})
	}
	t.history.put(entry)
	return touched
}

func (t *Table) index(row Row) {
	if row.Sheet != Customers {
		return
	}
	for _, hash := range strings.Fields(row.Cells[0]) {
		t.byHash[hash] = row.Key
	}
}

func (t *Table) unindex(row Row) {
	if row.Sheet != Customers {
		return
	}
	for _, hash := range strings.Fields(row.Cells[0]) {
		if t.byHash[hash] == row.Key {
			delete(t.byHash, hash)
		}
	}
}
