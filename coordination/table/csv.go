package table

import (
	"bytes"
	"encoding/csv"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// Columns that every CSV file has besides those of its sheet.
const (
	csvKey      = "key"
	csvRevision = "revision"
)

// maxCSV bounds an imported file, in bytes.
const maxCSV = MaxChangeBytes

// MaxChangeBytes bounds one change, in bytes. It is more than 2,400 customer rows
// need.
const MaxChangeBytes = 3 << 20

// ErrNoSheet means that there is no sheet with the given name.
var ErrNoSheet = eris.New("table: there is no such sheet")

// ExportCSV returns rows of one sheet as a CSV file, in the given order.
func ExportCSV(sheet Sheet, rows []Row) ([]byte, error) {
	sheetColumns := columns[sheet]
	if sheetColumns == nil {
		return nil, ErrNoSheet
	}
	var out bytes.Buffer
	writer := csv.NewWriter(&out)
	header := []string{csvKey, csvRevision}
	for _, column := range sheetColumns {
		header = append(header, column.Name)
	}
	_ = writer.Write(header)
	for _, row := range rows {
		record := []string{row.Key, strconv.FormatUint(row.Revision, 10)}
		for _, column := range sheetColumns {
			record = append(record, row.cell(column.Name))
		}
		_ = writer.Write(record)
	}
	writer.Flush()
	return out.Bytes(), eris.Wrap(writer.Error(), "table: write CSV")
}

// ImportCSV converts a CSV file into edits. Columns may be in any order, and cells
// of columns that are left out stay as they are. The revision column has the
// revision that the operator saw; it is empty or 0 for a new row. Rows that the file
// does not name stay as they are. All problems with the form of the file are
// returned at once; the cells are checked by Table.Check or when the change is
// applied.
func ImportCSV(sheet Sheet, file []byte) ([]Edit, []Problem) {
	reading := csvImport{sheet: sheet}
	if columns[sheet] == nil {
		reading.problem("", "", string(sheet), "there is no such sheet")
		return nil, reading.problems
	}
	if len(file) > maxCSV {
		reading.problem("", "", "", "the file is over "+strconv.Itoa(maxCSV)+" bytes")
		return nil, reading.problems
	}
	reader := csv.NewReader(bytes.NewReader(file))
	reader.FieldsPerRecord = -1
	records, err := reader.ReadAll()
	if err != nil {
		reading.problem("", "", "", err.Error())
		return nil, reading.problems
	}
	if len(records) == 0 {
		reading.problem("", "", "", "the file has no header")
		return nil, reading.problems
	}
	reading.header(records[0])
	for i, record := range records[1:] {
		reading.row(i+2, record)
	}
	if len(reading.problems) > 0 {
		return nil, reading.problems
	}
	return reading.edits, nil
}

// csvImport is the state of one ImportCSV call.
type csvImport struct {
	sheet    Sheet
	names    []string
	edits    []Edit
	problems []Problem
}

func (r *csvImport) problem(key, column, value, text string) {
	r.problems = append(r.problems, Problem{
		Sheet: r.sheet, Key: truncate(key), Column: truncate(column), Value: truncate(value), Text: text,
	})
}

func (r *csvImport) header(names []string) {
	seen := map[string]bool{}
	for _, name := range names {
		name = strings.TrimSpace(strings.TrimPrefix(name, "\ufeff"))
		known := name == csvKey || name == csvRevision || ColumnIndex(r.sheet, name) >= 0
		if !known {
			r.problem("", name, "", "there is no such column")
		}
		if seen[name] {
			r.problem("", name, "", "the column is given twice")
		}
		seen[name] = true
		r.names = append(r.names, name)
	}
	if !seen[csvKey] {
		r.problem("", csvKey, "", "the column is required")
	}
}

func (r *csvImport) row(line int, record []string) {
	if len(record) != len(r.names) {
		r.problem("line "+strconv.Itoa(line), "", "", "has "+strconv.Itoa(len(record))+" cells, the header has "+strconv.Itoa(len(r.names)))
		return
	}
	edit := Edit{Sheet: r.sheet}
	for i, name := range r.names {
		switch name {
		case csvKey:
			edit.Key = strings.TrimSpace(record[i])
		case csvRevision:
			edit.Expect = r.revision(line, record[i])
		default:
			edit.Cells = append(edit.Cells, Cell{Column: name, Value: record[i]})
		}
	}
	r.edits = append(r.edits, edit)
}

func (r *csvImport) revision(line int, text string) uint64 {
	text = strings.TrimSpace(text)
	if text == "" {
		return 0
	}
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		r.problem("line "+strconv.Itoa(line), csvRevision, text, "must be a whole number")
	}
	return revision
}
