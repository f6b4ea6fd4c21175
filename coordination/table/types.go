package table

// Row is one row of a sheet. Rows are values; a change replaces the whole row.
type Row struct {
	Sheet Sheet  `msgpack:"s" json:"sheet"`
	Key   string `msgpack:"k" json:"key"`
	// Revision is the log index of the change that last wrote the row. No
	// revision is ever used twice for a row, also over its deletion.
	Revision uint64 `msgpack:"r" json:"revision"`
	// Cells holds canonical text in the order of Columns(Sheet).
	Cells []string `msgpack:"c" json:"cells"`
}

// Cell is one cell of an edit.
type Cell struct {
	Column string `msgpack:"c" json:"column"`
	Value  string `msgpack:"v" json:"value"`
}

// Edit writes or deletes one row.
type Edit struct {
	Sheet Sheet  `msgpack:"s" json:"sheet"`
	Key   string `msgpack:"k" json:"key"`
	// Expect is the revision of the row as the operator saw it, 0 for a row
	// that never existed, the revision of the deletion for a deleted one.
	Expect uint64 `msgpack:"e" json:"expect"`
	Delete bool   `msgpack:"d,omitempty" json:"delete,omitempty"`
	// Cells are the cells to write; others keep their value, or get their
	// default in a new row.
	Cells []Cell `msgpack:"c,omitempty" json:"cells,omitempty"`
}

// Change is one operator's edit of any number of rows. All of it is applied
// or nothing.
type Change struct {
	// ID names the change. A resend carries the same ID.
	ID  string `msgpack:"i" json:"id"`
	Who string `msgpack:"w" json:"who"`
	Why string `msgpack:"y" json:"why"`
	// At is the leader's wall clock when it first took the change, in
	// milliseconds of Unix time. It is data: the table never reads a clock.
	At    int64  `msgpack:"t" json:"at"`
	Edits []Edit `msgpack:"e" json:"edits"`
}

// Outcome says what became of a change.
type Outcome string

const (
	// Committed means that the change is in the replicated state. It is in
	// force once every router that holds a lease has acknowledged Revision.
	Committed Outcome = "committed"
	// Invalid means that nothing was applied; Problems has every reason.
	Invalid Outcome = "invalid"
	// Conflict means that another change won; Conflicts has the rows.
	Conflict Outcome = "conflict"
	// Reused means that the change ID was used before for other edits.
	Reused Outcome = "change-id-reused"
)

// Problem is one reason why a change is invalid.
type Problem struct {
	Sheet  Sheet  `msgpack:"s" json:"sheet"`
	Key    string `msgpack:"k" json:"key"`
	Column string `msgpack:"c,omitempty" json:"column,omitempty"`
	Value  string `msgpack:"v,omitempty" json:"value,omitempty"`
	Text   string `msgpack:"t" json:"text"`
}

// RowConflict shows the loser of a race the row that won.
type RowConflict struct {
	Sheet    Sheet  `msgpack:"s" json:"sheet"`
	Key      string `msgpack:"k" json:"key"`
	Expected uint64 `msgpack:"e" json:"expected"`
	// Found is the row's revision now: expect this one to go on.
	Found uint64 `msgpack:"f" json:"found"`
	// Winner is the row as it stands, nil if it is deleted.
	Winner *Row `msgpack:"w,omitempty" json:"winner,omitempty"`
	// By, Why and At describe the change that won, as far as the history
	// still holds it.
	By  string `msgpack:"b,omitempty" json:"by,omitempty"`
	Why string `msgpack:"y,omitempty" json:"why,omitempty"`
	At  int64  `msgpack:"t,omitempty" json:"at,omitempty"`
}

// Answer is the result of a change. A resend gets the first answer.
type Answer struct {
	Outcome   Outcome       `msgpack:"o" json:"outcome"`
	Revision  uint64        `msgpack:"r" json:"revision"`
	Problems  []Problem     `msgpack:"p,omitempty" json:"problems,omitempty"`
	Conflicts []RowConflict `msgpack:"c,omitempty" json:"conflicts,omitempty"`
	// More counts problems and conflicts beyond those listed.
	More int `msgpack:"m,omitempty" json:"more,omitempty"`
}

// RowDiff is one row before and after a change, nil where it did not exist.
type RowDiff struct {
	Sheet  Sheet    `msgpack:"s" json:"sheet"`
	Key    string   `msgpack:"k" json:"key"`
	Before []string `msgpack:"b,omitempty" json:"before,omitempty"`
	After  []string `msgpack:"a,omitempty" json:"after,omitempty"`
}

// HistoryEntry is one committed change: who, when, why, before and after.
type HistoryEntry struct {
	ID       string    `msgpack:"i" json:"id"`
	Revision uint64    `msgpack:"r" json:"revision"`
	Who      string    `msgpack:"w" json:"who"`
	Why      string    `msgpack:"y" json:"why"`
	At       int64     `msgpack:"t" json:"at"`
	Rows     []RowDiff `msgpack:"d" json:"rows"`
}
