package table

import "slices"

// Snapshot is the whole table as a value, in a fixed order. Empty lists are left
// out, because a nil and an empty list would be encoded differently.
type Snapshot struct {
	Rows    []Row          `msgpack:"r,omitempty"`
	Deleted []deletion     `msgpack:"d,omitempty"`
	Answers []storedAnswer `msgpack:"a,omitempty"`
	History []HistoryEntry `msgpack:"h,omitempty"`
}

// Snapshot returns a snapshot of the table. Equal tables give equal snapshots.
func (t *Table) Snapshot() Snapshot {
	snapshot := Snapshot{Deleted: t.deleted.remembered(), History: t.history.entries}
	for _, sheet := range Sheets {
		snapshot.Rows = append(snapshot.Rows, t.Rows(sheet)...)
	}
	for _, id := range t.answers.order {
		snapshot.Answers = append(snapshot.Answers, t.answers.byID[id])
	}
	return snapshot
}

// FromSnapshot restores a table from its snapshot.
func FromSnapshot(snapshot Snapshot) *Table {
	t := New()
	for _, row := range snapshot.Rows {
		if len(row.Cells) == 0 || columns[row.Sheet] == nil {
			continue
		}
		t.rows[RowRef{row.Sheet, row.Key}] = row
		t.indexHashes(row)
	}
	for _, old := range snapshot.Deleted {
		t.deleted.put(RowRef{old.Sheet, old.Key}, old.Revision)
	}
	for _, answer := range snapshot.Answers {
		t.answers.put(answer.ID, answer.Digest, answer.Answer)
	}
	for _, entry := range snapshot.History {
		t.history.put(entry)
	}
	return t
}

// Refs returns the refs of all rows, sorted.
func (t *Table) Refs() []RowRef {
	refs := make([]RowRef, 0, len(t.rows))
	for ref := range t.rows {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, CompareRefs)
	return refs
}
