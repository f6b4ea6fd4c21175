// Package table implements the operators' table as a part of the replicated state:
// sheets with customers, models, routes and upstream settings as rows and columns.
//
// A Change edits any number of rows. Table.Apply validates every cell and reports
// all problems at once, checks the expected revision of every row, and then writes
// all rows or none.
//
// The failures that the package guards against:
//
//   - The answer to a change is lost. The operator resends the change under the
//     same change ID, perhaps to another leader after a restart, and gets the
//     first answer, because answers are part of the replicated state (limited by
//     maxAnswers and maxAnswerBytes). A resend that comes after its answer was
//     dropped fails the revision check and gets a conflict. It is never applied
//     twice.
//   - Two operators edit the same row at the same time. Both expect the same
//     revision; the first in the log wins, and the other gets the winner's row,
//     name and reason.
//   - A change ID is reused for other edits. Without a check, the second change
//     would get the answer of the first and look accepted, though nothing was
//     written.
//
// A revision is the log index of the command that wrote the row, so revisions
// grow over the whole fleet and are never used twice. The package is
// deterministic: it reads no clock, and no output depends on map order.
package table

import (
	"maps"
	"slices"
	"strings"
)

// Bounds of one change and of what the table remembers.
const (
	// maxEdits is enough to import a whole table of 2,400 customers at once.
	maxEdits = 5_000
	// maxReported bounds the problems and the conflicts in one answer.
	maxReported  = 200
	maxTextBytes = 256
	// maxAnswers and maxAnswerBytes bound the answers that are kept for resends.
	// 10,000 changes are almost three days at 3,600 changes a day.
	maxAnswers     = 10_000
	maxAnswerBytes = 8 << 20
	// maxHistory and maxHistoryBytes bound the history of changes.
	maxHistory      = 20_000
	maxHistoryBytes = 16 << 20
	// maxDeletions bounds the deletions that are remembered.
	maxDeletions = 10_000
)

// RowRef identifies a row.
type RowRef struct {
	Sheet Sheet
	Key   string
}

// CompareRefs compares refs by sheet, then by key.
func CompareRefs(a, b RowRef) int {
	if c := strings.Compare(string(a.Sheet), string(b.Sheet)); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

// ChangedRow is a row that a change wrote or deleted.
type ChangedRow struct {
	Ref     RowRef
	Deleted bool
}

// Table holds the rows, the answers kept for resends and the history. It is not
// safe for concurrent use.
type Table struct {
	rows    map[RowRef]Row
	deleted deletions
	// byHash maps a key hash to its customer, so that two customers can't have
	// the same bearer key.
	byHash  map[string]string
	answers answerStore
	history history
}

// New returns an empty table.
func New() *Table {
	return &Table{
		rows:    map[RowRef]Row{},
		deleted: newDeletions(),
		byHash:  map[string]string{},
		answers: newAnswerStore(),
	}
}

// Row returns a row. Its cells must not be modified.
func (t *Table) Row(sheet Sheet, key string) (Row, bool) {
	row, ok := t.rows[RowRef{sheet, key}]
	return row, ok
}

// Len returns the number of rows in all sheets.
func (t *Table) Len() int { return len(t.rows) }

// Rows returns the rows of a sheet, sorted by key.
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

// Revision returns the revision that an edit of the row has to expect: that of the
// row, that of its deletion, or 0 if neither is known.
func (t *Table) Revision(sheet Sheet, key string) uint64 {
	ref := RowRef{sheet, key}
	if row, ok := t.rows[ref]; ok {
		return row.Revision
	}
	return t.deleted.at[ref]
}

// Apply applies a change at its log index. It returns the change's answer and the
// rows that it wrote or deleted, in the order of CompareRefs.
func (t *Table) Apply(index uint64, change Change) (Answer, []ChangedRow) {
	digest := change.digest()
	if stored, ok := t.answers.get(change.ID); ok {
		if stored.Digest != digest {
			return Answer{Outcome: IDReused, Revision: stored.Answer.Revision}, nil
		}
		return stored.Answer, nil
	}
	answer, changed := t.applyNew(index, change)
	if validID(change.ID) {
		t.answers.put(change.ID, digest, answer)
	}
	return answer, changed
}

// Check returns the answer that the change would get now, without applying it.
func (t *Table) Check(change Change) Answer {
	staged, answer := t.stage(0, change)
	if staged == nil {
		return answer
	}
	return Answer{Outcome: Committed}
}

// Preview returns the rows that the change would write now and the answer that it
// would get, without applying it.
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

func (t *Table) diff(ref RowRef, after *Row) RowDiff {
	diff := RowDiff{Sheet: ref.Sheet, Key: ref.Key, Before: t.rows[ref].Cells}
	if after != nil {
		diff.After = after.Cells
	}
	return diff
}

func (t *Table) applyNew(index uint64, change Change) (Answer, []ChangedRow) {
	staged, answer := t.stage(index, change)
	if staged == nil {
		return answer, nil
	}
	if len(staged) == 0 {
		return Answer{Outcome: Committed, Revision: t.newestRevision(change.Edits)}, nil
	}
	changed := t.write(index, change, staged)
	return Answer{Outcome: Committed, Revision: index}, changed
}

// newestRevision returns the highest revision of the rows that a change names. It is
// the revision of a change that alters nothing: such a change is in force as soon as
// those rows are.
func (t *Table) newestRevision(edits []Edit) uint64 {
	revision := uint64(0)
	for _, edit := range edits {
		revision = max(revision, t.Revision(edit.Sheet, edit.Key))
	}
	return revision
}

// write replaces the staged rows and deletes those that are nil.
func (t *Table) write(index uint64, change Change, staged map[RowRef]*Row) []ChangedRow {
	entry := HistoryEntry{ID: change.ID, Revision: index, Who: change.Who, Why: change.Why, At: change.At}
	var changed []ChangedRow
	refs := slices.SortedFunc(maps.Keys(staged), CompareRefs)
	// All old hashes are removed before new ones are added, so that a change can
	// move a key hash from one customer to another.
	for _, ref := range refs {
		t.unindexHashes(t.rows[ref])
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
			t.indexHashes(*after)
		}
		changed = append(changed, ChangedRow{Ref: ref, Deleted: after == nil})
	}
	t.history.put(entry)
	return changed
}

func (t *Table) indexHashes(row Row) {
	if row.Sheet != Customers {
		return
	}
	for _, hash := range strings.Fields(row.Cells[0]) {
		t.byHash[hash] = row.Key
	}
}

func (t *Table) unindexHashes(row Row) {
	if row.Sheet != Customers {
		return
	}
	for _, hash := range strings.Fields(row.Cells[0]) {
		if t.byHash[hash] == row.Key {
			delete(t.byHash, hash)
		}
	}
}
