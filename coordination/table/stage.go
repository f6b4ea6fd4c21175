package table

import (
	"slices"
	"strings"
)

// stager collects the rows that a change would write, and all its problems and
// conflicts. The table changes only when the whole change is valid.
type stager struct {
	table     *Table
	index     uint64
	rows      map[RowRef]*Row
	seen      map[RowRef]bool
	problems  []Problem
	conflicts []RowConflict
}

// stage returns the rows to write, nil for a deletion. If the change can't be
// applied, it returns a nil map and the answer.
func (t *Table) stage(index uint64, change Change) (map[RowRef]*Row, Answer) {
	s := &stager{table: t, index: index, rows: map[RowRef]*Row{}, seen: map[RowRef]bool{}}
	s.checkHeader(change)
	if len(change.Edits) <= maxEdits {
		for _, edit := range change.Edits {
			s.stageEdit(edit)
		}
		s.checkHashes()
	}
	if len(s.problems) > 0 {
		more := max(0, len(s.problems)-maxReported)
		return nil, Answer{Outcome: Invalid, Problems: s.problems[:len(s.problems)-more], More: more}
	}
	if len(s.conflicts) > 0 {
		more := max(0, len(s.conflicts)-maxReported)
		return nil, Answer{Outcome: Conflict, Conflicts: s.conflicts[:len(s.conflicts)-more], More: more}
	}
	return s.rows, Answer{}
}

func validID(id string) bool { return id != "" && len(id) <= maxKeyLength }

func (s *stager) checkHeader(change Change) {
	if !validID(change.ID) {
		s.problem(Edit{}, "change_id", change.ID, "must have 1 to 128 bytes")
	}
	if change.Who == "" || len(change.Who) > maxTextBytes {
		s.problem(Edit{}, "who", change.Who, "must have 1 to 256 bytes")
	}
	if len(change.Why) > maxTextBytes {
		s.problem(Edit{}, "why", change.Why, "must have at most 256 bytes")
	}
	if len(change.Edits) == 0 || len(change.Edits) > maxEdits {
		s.problem(Edit{}, "", "", "a change must hold 1 to 5000 edits")
	}
}

// problem records a problem. It truncates the texts, because answers are stored.
func (s *stager) problem(edit Edit, column, value, text string) {
	s.problems = append(s.problems, Problem{
		Sheet: Sheet(truncate(string(edit.Sheet))), Key: truncate(edit.Key),
		Column: truncate(column), Value: truncate(value), Text: text,
	})
}

func truncate(text string) string {
	if len(text) <= maxNameLength {
		return text
	}
	return strings.ToValidUTF8(text[:maxNameLength], "") + "..."
}

func (s *stager) stageEdit(edit Edit) {
	sheetColumns := columns[edit.Sheet]
	if sheetColumns == nil {
		s.problem(edit, "", string(edit.Sheet), "there is no such sheet")
		return
	}
	if problem := checkKey(edit.Sheet, edit.Key); problem != "" {
		s.problem(edit, "key", edit.Key, problem)
	}
	ref := RowRef{edit.Sheet, edit.Key}
	if s.seen[ref] {
		s.problem(edit, "", "", "the row stands twice in this change")
		return
	}
	s.seen[ref] = true
	s.checkRevision(ref, edit)
	current, exists := s.table.rows[ref]
	if edit.Delete {
		s.stageDelete(edit, exists)
		return
	}
	merged := s.mergeCells(edit, sheetColumns, current, exists)
	if exists && slices.Equal(merged.Cells, current.Cells) {
		// An imported file names every row. Rows that it doesn't change keep
		// their revision, which avoids conflicts and saves bytes.
		return
	}
	s.rows[ref] = merged
}

func (s *stager) stageDelete(edit Edit, exists bool) {
	if len(edit.Cells) > 0 {
		s.problem(edit, "", "", "a deletion must not write cells")
	}
	if !exists && edit.Expect == s.table.Revision(edit.Sheet, edit.Key) {
		s.problem(edit, "", "", "there is no such row")
	}
	s.rows[RowRef{edit.Sheet, edit.Key}] = nil
}

// checkRevision records a conflict if the edit expects a revision that is no longer
// the row's: its operator has not seen the row that another change wrote.
func (s *stager) checkRevision(ref RowRef, edit Edit) {
	found := s.table.Revision(ref.Sheet, ref.Key)
	if found == edit.Expect {
		return
	}
	conflict := RowConflict{Sheet: ref.Sheet, Key: ref.Key, Expected: edit.Expect, Found: found}
	if row, ok := s.table.rows[ref]; ok {
		conflict.Winner = &row
	}
	if entry, ok := s.table.history.byRevision(found); ok {
		conflict.By, conflict.Why, conflict.At = entry.Who, entry.Why, entry.At
	}
	s.conflicts = append(s.conflicts, conflict)
}

func (s *stager) mergeCells(edit Edit, sheetColumns []Column, current Row, exists bool) *Row {
	cells := make([]string, len(sheetColumns))
	given := make([]bool, len(sheetColumns))
	for i, column := range sheetColumns {
		cells[i] = column.Default
	}
	if exists {
		copy(cells, current.Cells)
	}
	for _, cell := range edit.Cells {
		i := slices.IndexFunc(sheetColumns, func(c Column) bool { return c.Name == cell.Column })
		if i < 0 {
			s.problem(edit, cell.Column, cell.Value, "there is no such column")
			continue
		}
		if given[i] {
			s.problem(edit, cell.Column, cell.Value, "the column is given twice")
			continue
		}
		given[i] = true
		canonical, problem := sheetColumns[i].parse(cell.Value)
		if problem != "" {
			s.problem(edit, cell.Column, cell.Value, problem)
			continue
		}
		cells[i] = canonical
	}
	for i, column := range sheetColumns {
		if column.Required && !exists && !given[i] {
			s.problem(edit, column.Name, "", "is required in a new row")
		}
	}
	return &Row{Sheet: edit.Sheet, Key: edit.Key, Revision: s.index, Cells: cells}
}

// checkHashes refuses a bearer key that two customers would share: a router could
// not tell whose request it is, and might bill the wrong customer.
func (s *stager) checkHashes() {
	staged := map[string]string{}
	refs := make([]RowRef, 0, len(s.rows))
	for ref, row := range s.rows {
		if ref.Sheet == Customers && row != nil {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, CompareRefs)
	for _, ref := range refs {
		for _, hash := range strings.Fields(s.rows[ref].Cells[0]) {
			customer := s.customerOfHash(hash, staged)
			if customer != "" && customer != ref.Key {
				s.problem(Edit{Sheet: Customers, Key: ref.Key}, "key_hashes", hash, "the key belongs to customer "+customer)
				continue
			}
			staged[hash] = ref.Key
		}
	}
}

// customerOfHash returns the customer that would have a key hash after the staged
// rows are written, or "".
func (s *stager) customerOfHash(hash string, staged map[string]string) string {
	if key, ok := staged[hash]; ok {
		return key
	}
	key, ok := s.table.byHash[hash]
	if !ok {
		return ""
	}
	row, edited := s.rows[RowRef{Customers, key}]
	if !edited {
		return key
	}
	if row != nil && slices.Contains(strings.Fields(row.Cells[0]), hash) {
		return key
	}
	return ""
}
