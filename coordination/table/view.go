package table

import (
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"endiveplank/protocol"
)

// ErrNoChange means that the history does not hold the requested change.
var ErrNoChange = eris.New("table: the history does not hold this change")

// Customer is a row of the customers sheet with typed fields.
type Customer struct {
	ID        protocol.CustomerID
	KeyHashes []string
	// Class is the priority class, 0 the most urgent.
	Class  int
	Weight int
	// TokensPerSecond, RequestsPerSecond and Concurrent are limits over the
	// whole fleet, 0 for none.
	TokensPerSecond   int
	RequestsPerSecond int
	Concurrent        int
	Home              string
	// Disabled customers are refused.
	Disabled bool
}

// Model is a row of the models sheet with typed fields.
type Model struct {
	Name          protocol.Model
	Version       string
	MinReplicas   int
	MaxReplicas   int
	ContextTokens int
}

// Route is a row of the routes sheet with typed fields.
type Route struct {
	Prefix     string
	Service    protocol.Service
	Idempotent bool
	DeadlineMS int
}

// Upstream is a row of the upstreams sheet with typed fields.
type Upstream struct {
	ID            protocol.UpstreamID
	WeightPercent int
	MaxConcurrent int
	Drain         bool
}

// CustomerOf converts a row of the customers sheet.
func CustomerOf(row Row) Customer {
	return Customer{
		ID:                protocol.CustomerID(row.Key),
		KeyHashes:         strings.Fields(row.cell("key_hashes")),
		Class:             row.number("class"),
		Weight:            row.number("weight"),
		TokensPerSecond:   row.number("tokens_per_s"),
		RequestsPerSecond: row.number("requests_per_s"),
		Concurrent:        row.number("concurrent"),
		Home:              row.cell("home"),
		Disabled:          row.cell("disabled") == "yes",
	}
}

// ModelOf converts a row of the models sheet.
func ModelOf(row Row) Model {
	return Model{
		Name:          protocol.Model(row.Key),
		Version:       row.cell("version"),
		MinReplicas:   row.number("min_replicas"),
		MaxReplicas:   row.number("max_replicas"),
		ContextTokens: row.number("context_tokens"),
	}
}

// RouteOf converts a row of the routes sheet.
func RouteOf(row Row) Route {
	return Route{
		Prefix:     row.Key,
		Service:    protocol.Service(row.cell("service")),
		Idempotent: row.cell("idempotent") == "yes",
		DeadlineMS: row.number("deadline_ms"),
	}
}

// UpstreamOf converts a row of the upstreams sheet.
func UpstreamOf(row Row) Upstream {
	return Upstream{
		ID:            protocol.UpstreamID(row.Key),
		WeightPercent: row.number("weight_pct"),
		MaxConcurrent: row.number("max_concurrent"),
		Drain:         row.cell("drain") == "yes",
	}
}

// cell returns the cell of a column. A row that was written before the column
// existed has the column's default.
func (r Row) cell(name string) string {
	i := ColumnIndex(r.Sheet, name)
	if i >= len(r.Cells) {
		return columns[r.Sheet][i].Default
	}
	return r.Cells[i]
}

// number returns the number in a cell. Stored cells are canonical, so parsing one
// can't fail.
func (r Row) number(name string) int {
	number, _ := strconv.Atoi(r.cell(name))
	return number
}

// History returns the newest committed changes that the history still holds, newest
// first and at most limit. An empty sheet or key matches all.
func (t *Table) History(sheet Sheet, key string, limit int) []HistoryEntry {
	var out []HistoryEntry
	for _, entry := range slices.Backward(t.history.entries) {
		if len(out) == limit {
			break
		}
		if entry.touches(sheet, key) {
			out = append(out, entry)
		}
	}
	return out
}

func (e HistoryEntry) touches(sheet Sheet, key string) bool {
	return slices.ContainsFunc(e.Rows, func(row RowDiff) bool {
		return (sheet == "" || row.Sheet == sheet) && (key == "" || row.Key == key)
	})
}

// UndoEdits returns the edits that undo a committed change. They expect the
// revisions that the change wrote, so if a row was written again since, the undo
// gets a conflict instead of losing the later write.
func (t *Table) UndoEdits(changeID string) ([]Edit, error) {
	i := slices.IndexFunc(t.history.entries, func(e HistoryEntry) bool { return e.ID == changeID })
	if i < 0 {
		return nil, ErrNoChange
	}
	entry := t.history.entries[i]
	edits := make([]Edit, 0, len(entry.Rows))
	for _, row := range entry.Rows {
		edits = append(edits, row.undo(entry.Revision))
	}
	return edits, nil
}

func (d RowDiff) undo(revision uint64) Edit {
	edit := Edit{Sheet: d.Sheet, Key: d.Key, Expect: revision, Delete: d.Before == nil}
	for i, value := range d.Before {
		if d.After == nil || d.After[i] != value {
			edit.Cells = append(edit.Cells, Cell{Column: columns[d.Sheet][i].Name, Value: value})
		}
	}
	return edit
}
