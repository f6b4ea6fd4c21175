package table

import "slices"

// Snapshot is the whole table as a value with one fixed order. Empty lists are
// left out, because a nil and an empty list would encode differently.
type Snapshot struct {
	Rows    []Row          `msgpack:"r,omitempty"`
	Deleted []deletion     `msgpack:"d,omitempty"`
	Answers []remembered   `msgpack:"a,omitempty"`
	History []HistoryEntry `msgpack:"h,omitempty"`
}

// Snapshot returns the state. Equal tables give equal snapshots.
func (t *Table) Snapshot() Snapshot {
	snapshot := Snapshot{Deleted: t.deleted.live(), History: t.history.entries}
	for _, sheet := range Sheets {
		snapshot.Rows = append(snapshot.Rows, t.Rows(sheet)...)
	}
	for _, id := range t.answers.order {
		snapshot.Answers = append(snapshot.Answers, t.answers.byID[id])
	}
	return snapshot
}

// FromSnapshot returns the table that a snapshot was taken of.
func FromSnapshot(snapshot Snapshot) *Table {
	t := New()
	for _, row := range snapshot.Rows {
		if len(row.Cells) == 0 || columns[row.Sheet] == nil {
			continue
		}
		t.rows[Ref{row.Sheet, row.Key}] = row
		t.index(row)
	}
	for _, old := range snapshot.Deleted {
		t.deleted.put(Ref{old.Sheet, old.Key}, old.Revision)
	}
	for _, answer := range snapshot.Answers {
		t.answers.put(answer.ID, answer.Digest, answer.Answer)
	}
	for _, entry := range snapshot.History {
		t.history.put(entry)
	}
	return t
}

// Refs returns every row's ref, in order.
func (t *Table) Refs() []Ref {
	refs := make([]Ref, 0, len(t.rows))
	for ref := range t.rows {
		refs = append(refs, ref)
	}
	slices.SortFunc(refs, CompareRefs)
	return refs
}
