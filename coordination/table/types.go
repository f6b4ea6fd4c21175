package table

// Row is one row of a sheet. Rows are values; a change replaces the whole row.
type Row struct {
	Sheet Sheet  `msgpack:"s" json:"sheet"`
	Key   string `msgpack:"k" json:"key"`
	// Revision is the log index of the change that last wrote the row. A revision is
	// never used twice for a row, even if the row is deleted in between.
	Revision uint64 `msgpack:"r" json:"revision"`
	// Cells holds the canonical text of the cells, in the order of Columns(Sheet).
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
	// Expect is the revision of the row as the operator saw it: 0 for a row that
	// never existed, the revision of the deletion for a deleted row.
	Expect uint64 `msgpack:"e" json:"expect"`
	Delete bool   `msgpack:"d,omitempty" json:"delete,omitempty"`
	// Cells are the cells to write. Other cells keep their value, or get their
	// default in a new row.
	Cells []Cell `msgpack:"c,omitempty" json:"cells,omitempty"`
}

// Change is one operator's edit of any number of rows. Either all of it is applied
// or nothing.
type Change struct {
	// ID identifies the change. A resend carries the same ID.
	ID  string `msgpack:"i" json:"id"`
	Who string `msgpack:"w" json:"who"`
	Why string `msgpack:"y" json:"why"`
	// At is the leader's wall clock when it first received the change, in
	// milliseconds of Unix time. The table itself never reads a clock.
	At    int64  `msgpack:"t" json:"at"`
	Edits []Edit `msgpack:"e" json:"edits"`
}

// Outcome is the outcome of a change.
type Outcome string

const (
	// Committed means that the change is in the replicated state. It is in force once
	// every router that holds a lease has acknowledged Answer.Revision.
	Committed Outcome = "committed"
	// Invalid means that nothing was applied; Answer.Problems has every reason.
	Invalid Outcome = "invalid"
	// Conflict means that another change wrote a row first and nothing was applied;
	// Answer.Conflicts has the rows.
	Conflict Outcome = "conflict"
	// IDReused means that the change ID was used before for other edits.
	IDReused Outcome = "change-id-reused"
)

// Problem is one reason why a change is invalid.
type Problem struct {
	Sheet  Sheet  `msgpack:"s" json:"sheet"`
	Key    string `msgpack:"k" json:"key"`
	Column string `msgpack:"c,omitempty" json:"column,omitempty"`
	Value  string `msgpack:"v,omitempty" json:"value,omitempty"`
	Text   string `msgpack:"t" json:"text"`
}

// RowConflict shows an operator whose edit came second the row as the first left it.
type RowConflict struct {
	Sheet    Sheet  `msgpack:"s" json:"sheet"`
	Key      string `msgpack:"k" json:"key"`
	Expected uint64 `msgpack:"e" json:"expected"`
	// Found is the row's present revision; the next edit must expect it.
	Found uint64 `msgpack:"f" json:"found"`
	// Winner is the row as it is now, nil if it is deleted.
	Winner *Row `msgpack:"w,omitempty" json:"winner,omitempty"`
	// By, Why and At describe the change that wrote the row, if the history still
	// has it.
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

// RowDiff is one row before and after a change; Before or After is nil if the row
// did not exist.
type RowDiff struct {
	Sheet  Sheet    `msgpack:"s" json:"sheet"`
	Key    string   `msgpack:"k" json:"key"`
	Before []string `msgpack:"b,omitempty" json:"before,omitempty"`
	After  []string `msgpack:"a,omitempty" json:"after,omitempty"`
}

// HistoryEntry is one committed change: who made it, when and why, and its rows
// before and after.
type HistoryEntry struct {
	ID       string    `msgpack:"i" json:"id"`
	Revision uint64    `msgpack:"r" json:"revision"`
	Who      string    `msgpack:"w" json:"who"`
	Why      string    `msgpack:"y" json:"why"`
	At       int64     `msgpack:"t" json:"at"`
	Rows     []RowDiff `msgpack:"d" json:"rows"`
}
