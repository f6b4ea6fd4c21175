package tool

import (
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"endiveplank/coordination/table"
	"endiveplank/transport/admin"
)

// tableExport writes a sheet as CSV with the revision of each row. An import of
// the edited file sends these revisions as the ones that the operator saw, so
// that a row changed since the export is a conflict.
func tableExport(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "export SHEET",
		Short:   "Write a sheet as CSV, to edit in a spreadsheet",
		Example: "  endiveplank table export customers > customers.csv",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			rows, err := o.fetchRows(command, args[0])
			if err != nil {
				return err
			}
			file, err := table.ExportCSV(table.Sheet(args[0]), rows)
			if err != nil {
				return err
			}
			_, err = command.OutOrStdout().Write(file)
			return err
		},
	}
}

// tableImport sends the rows of a file that differ from the table as one
// change, which is applied whole or not at all.
func tableImport(o *options) *cobra.Command {
	flags := &changeFlags{}
	command := &cobra.Command{
		Use:   "import SHEET FILE",
		Short: "Apply a CSV file: all its rows or none",
		Long: "Sends the rows that differ as one change. Each carries the revision in the file,\n" +
			"so a row that somebody has edited since the export is a conflict (exit 4) and\n" +
			"nothing is changed. Rows that the file doesn't name stay as they are.",
		Args: cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			edits, _, err := o.compare(command, args[0], args[1])
			if err != nil {
				return err
			}
			if len(edits) == 0 {
				fmt.Fprintln(command.ErrOrStderr(), "nothing to change: the table already matches the file")
				return nil
			}
			return o.sendChange(command, admin.ChangeRequest{ID: flags.changeID(), Why: flags.why, Edits: edits})
		},
	}
	command.Flags().StringVar(&flags.id, "id", "", "change ID; give the same one to send a change again")
	command.Flags().StringVar(&flags.why, "why", "", "reason, kept in the history")
	return command
}

func tableDiff(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "diff SHEET FILE",
		Short: "Show what an import of a CSV file would change",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			edits, rows, err := o.compare(command, args[0], args[1])
			if err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), edits, func(w io.Writer) { writeEdits(w, edits, rows) })
		},
	}
}

// compare reads a CSV file and returns the edits that would change the table,
// and the sheet's current rows.
func (o *options) compare(command *cobra.Command, sheet, path string) ([]table.Edit, []table.Row, error) {
	file, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, &Failure{Status: ExitUsage, What: err.Error()}
	}
	edits, problems := table.ImportCSV(table.Sheet(sheet), file)
	if len(problems) > 0 {
		writeAnswer(command.ErrOrStderr(), "", table.Answer{Problems: problems})
		return nil, nil, &Failure{Status: ExitRefused, What: "nothing was changed", Next: "fix the problems in the file that are listed above"}
	}
	rows, err := o.fetchRows(command, sheet)
	if err != nil {
		return nil, nil, err
	}
	return slices.DeleteFunc(edits, func(edit table.Edit) bool { return unchanged(edit, rows) }), rows, nil
}

// unchanged reports whether the table already holds what an edit writes.
func unchanged(edit table.Edit, rows []table.Row) bool {
	found, _ := findRow(rows, edit.Key)
	if found == nil {
		return false
	}
	return slices.Equal(cellsAfter(edit, found), found.Cells)
}

// cellsAfter returns the cells of a row after an edit. before is nil for a new
// row, whose unnamed cells stay empty here instead of getting their defaults.
func cellsAfter(edit table.Edit, before *table.Row) []string {
	cells := make([]string, len(table.Columns(edit.Sheet)))
	if before != nil {
		copy(cells, before.Cells)
	}
	for _, cell := range edit.Cells {
		if i := table.ColumnIndex(edit.Sheet, cell.Column); i >= 0 {
			cells[i] = cell.Value
		}
	}
	return cells
}

func writeEdits(w io.Writer, edits []table.Edit, rows []table.Row) {
	for _, edit := range edits {
		found, revision := findRow(rows, edit.Key)
		diff := table.RowDiff{Sheet: edit.Sheet, Key: edit.Key, After: cellsAfter(edit, found)}
		switch {
		case found == nil:
			printRow(w, edit.Key+": new row")
		case revision != edit.Expect:
			printRow(w, fmt.Sprintf("%s: edited since the export (revision %d, the file has %d); an import will conflict", edit.Key, revision, edit.Expect))
			diff.Before = found.Cells
		default:
			printRow(w, edit.Key+": changed")
			diff.Before = found.Cells
		}
		writeDiff(w, diff)
	}
}
