package tool

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"endiveplank/coordination/table"
	"endiveplank/transport/admin"
)

func tableCommand(o *options) *cobra.Command {
	command := &cobra.Command{
		Use:   "table",
		Short: "Read and edit the table that configures the fleet",
	}
	command.AddCommand(tableGet(o), tableSet(o), tableDelete(o), tableExport(o), tableImport(o), tableDiff(o), tableHistory(o), tableUndo(o))
	return command
}

// fetchRows fetches all rows of a sheet.
func (o *options) fetchRows(command *cobra.Command, sheet string) ([]table.Row, error) {
	var rows []table.Row
	_, err := o.call(command.Context(), http.MethodGet, "/admin/v1/table/"+url.PathEscape(sheet), nil, &rows)
	return rows, err
}

func tableGet(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "get SHEET [KEY]",
		Short: "Show a sheet or one row",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(command *cobra.Command, args []string) error {
			rows, err := o.fetchRows(command, args[0])
			if err != nil {
				return err
			}
			if len(args) == 2 {
				found, _ := findRow(rows, args[1])
				if found == nil {
					return &Failure{Status: ExitRefused, What: fmt.Sprintf("%s has no row %q", args[0], args[1])}
				}
				rows = []table.Row{*found}
			}
			return o.print(command.OutOrStdout(), rows, func(w io.Writer) { writeRows(w, table.Sheet(args[0]), rows) })
		},
	}
}

func writeRows(w io.Writer, sheet table.Sheet, rows []table.Row) {
	head := []any{"KEY", "REVISION"}
	for _, column := range table.Columns(sheet) {
		head = append(head, strings.ToUpper(column.Name))
	}
	printRow(w, head...)
	for _, row := range rows {
		cells := []any{row.Key, row.Revision}
		for _, cell := range row.Cells {
			cells = append(cells, truncateCell(cell))
		}
		printRow(w, cells...)
	}
}

// maxCellBytes is how many bytes of a long cell, such as a key's digest, are shown.
const maxCellBytes = 24

func truncateCell(cell string) string {
	if len(cell) <= maxCellBytes {
		return cell
	}
	return cell[:maxCellBytes] + "…"
}

// findRow returns the row with a key and its revision, or nil and 0, which is the
// revision to expect of a row that never existed.
func findRow(rows []table.Row, key string) (*table.Row, uint64) {
	for i := range rows {
		if rows[i].Key == key {
			return &rows[i], rows[i].Revision
		}
	}
	return nil, 0
}

// changeFlags are the flags of commands that change the table.
type changeFlags struct {
	id     string
	why    string
	expect int64
}

func (f *changeFlags) add(command *cobra.Command) {
	command.Flags().StringVar(&f.id, "id", "", "change ID; give the same one to send a change again")
	command.Flags().StringVar(&f.why, "why", "", "reason, kept in the history")
	command.Flags().Int64Var(&f.expect, "expect", -1, "revision that the row must have; default: as it is now")
}

// changeID returns the ID given by the operator, or a new one that begins with the
// time.
func (f *changeFlags) changeID() string {
	if f.id != "" {
		return f.id
	}
	var random [8]byte
	_, _ = rand.Read(random[:])
	return time.Now().UTC().Format("20060102-150405-") + hex.EncodeToString(random[:])
}

func tableSet(o *options) *cobra.Command {
	flags := &changeFlags{}
	command := &cobra.Command{
		Use:     "set SHEET KEY COLUMN=VALUE...",
		Short:   "Write cells of a row, or a new row",
		Example: "  endiveplank table set customers clerks class=0 weight=300 --why \"winter\"",
		Args:    cobra.MinimumNArgs(3),
		RunE: func(command *cobra.Command, args []string) error {
			edit := table.Edit{Sheet: table.Sheet(args[0]), Key: args[1]}
			for _, pair := range args[2:] {
				column, value, found := strings.Cut(pair, "=")
				if !found {
					return &Failure{Status: ExitUsage, What: fmt.Sprintf("%q isn't COLUMN=VALUE", pair)}
				}
				edit.Cells = append(edit.Cells, table.Cell{Column: column, Value: value})
			}
			return o.sendEdit(command, flags, edit)
		},
	}
	flags.add(command)
	return command
}

func tableDelete(o *options) *cobra.Command {
	flags := &changeFlags{}
	command := &cobra.Command{
		Use:   "delete SHEET KEY",
		Short: "Delete a row",
		Args:  cobra.ExactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			return o.sendEdit(command, flags, table.Edit{Sheet: table.Sheet(args[0]), Key: args[1], Delete: true})
		},
	}
	flags.add(command)
	return command
}

// sendEdit sends a change of one row. Without --expect it fetches the row's
// current revision as the expected one.
func (o *options) sendEdit(command *cobra.Command, flags *changeFlags, edit table.Edit) error {
	if flags.expect >= 0 {
		edit.Expect = uint64(flags.expect)
	} else {
		rows, err := o.fetchRows(command, string(edit.Sheet))
		if err != nil {
			return err
		}
		_, edit.Expect = findRow(rows, edit.Key)
	}
	return o.sendChange(command, admin.ChangeRequest{ID: flags.changeID(), Why: flags.why, Edits: []table.Edit{edit}})
}

// sendChange sends a change and shows its outcome.
func (o *options) sendChange(command *cobra.Command, request admin.ChangeRequest) error {
	var answer table.Answer
	if _, err := o.call(command.Context(), http.MethodPost, "/admin/v1/changes", request, &answer); err != nil {
		return addChangeID(err, request.ID)
	}
	return o.showAnswer(command, request.ID, answer)
}

// addChangeID names the change ID in the next step of a failure that leaves the
// outcome unknown.
func addChangeID(err error, id string) error {
	if failure, ok := err.(*Failure); ok && failure.Status == ExitUnknown {
		failure.Next = "send it again with --id " + id + "; it is applied once"
	}
	return err
}

func (o *options) showAnswer(command *cobra.Command, id string, answer table.Answer) error {
	err := o.print(command.OutOrStdout(), answer, func(w io.Writer) { writeAnswer(w, id, answer) })
	if err != nil {
		return err
	}
	switch answer.Outcome {
	case table.Committed:
		return nil
	case table.Invalid:
		return &Failure{Status: ExitRefused, What: "nothing was changed", Next: "fix the cells listed above"}
	}
	return &Failure{Status: ExitConflict, What: "another change won", Next: "check the current row above and decide again"}
}

func writeAnswer(w io.Writer, id string, answer table.Answer) {
	if answer.Outcome == table.Committed {
		printRow(w, fmt.Sprintf("in force everywhere at revision %d (change %s)", answer.Revision, id))
	}
	for _, problem := range answer.Problems {
		printRow(w, fmt.Sprintf("%s %s %s: %s", problem.Sheet, problem.Key, problem.Column, problem.Text))
	}
	for _, conflict := range answer.Conflicts {
		printRow(w, fmt.Sprintf("%s %s: expected revision %d, found %d, written by %s (%s)",
			conflict.Sheet, conflict.Key, conflict.Expected, conflict.Found, conflict.By, conflict.Why))
		if conflict.Winner != nil {
			writeRows(w, conflict.Sheet, []table.Row{*conflict.Winner})
		}
	}
}

func tableHistory(o *options) *cobra.Command {
	var limit int
	command := &cobra.Command{
		Use:   "history [SHEET [KEY]]",
		Short: "Show past changes: who, when, why, before and after",
		Args:  cobra.MaximumNArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			values := url.Values{"limit": {strconv.Itoa(limit)}}
			for i, name := range []string{"sheet", "key"} {
				if i < len(args) {
					values.Set(name, args[i])
				}
			}
			var entries []table.HistoryEntry
			if _, err := o.call(command.Context(), http.MethodGet, "/admin/v1/history?"+values.Encode(), nil, &entries); err != nil {
				return err
			}
			return o.print(command.OutOrStdout(), entries, func(w io.Writer) { writeHistory(w, entries) })
		},
	}
	command.Flags().IntVar(&limit, "limit", 20, "number of changes, newest first")
	return command
}

func writeHistory(w io.Writer, entries []table.HistoryEntry) {
	for _, entry := range entries {
		at := time.UnixMilli(entry.At).UTC().Format(time.RFC3339)
		printRow(w, fmt.Sprintf("%s  revision %d  by %s  change %s  %s", at, entry.Revision, entry.Who, entry.ID, entry.Why))
		for _, diff := range entry.Rows {
			writeDiff(w, diff)
		}
	}
}

// writeDiff writes the cells that differ before and after a change.
func writeDiff(w io.Writer, diff table.RowDiff) {
	for i, column := range table.Columns(diff.Sheet) {
		before, after := cellAt(diff.Before, i), cellAt(diff.After, i)
		if before != after {
			printRow(w, fmt.Sprintf("    %s %s %s: %q -> %q", diff.Sheet, diff.Key, column.Name, truncateCell(before), truncateCell(after)))
		}
	}
}

func cellAt(cells []string, i int) string {
	if i >= len(cells) {
		return ""
	}
	return cells[i]
}

func tableUndo(o *options) *cobra.Command {
	flags := &changeFlags{}
	command := &cobra.Command{
		Use:   "undo CHANGE-ID",
		Short: "Revert a past change by a new change",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			request := admin.UndoRequest{Change: args[0], ID: flags.changeID(), Why: flags.why}
			var answer table.Answer
			if _, err := o.call(command.Context(), http.MethodPost, "/admin/v1/undo", request, &answer); err != nil {
				return addChangeID(err, request.ID)
			}
			return o.showAnswer(command, request.ID, answer)
		},
	}
	flags.add(command)
	return command
}

// keyCommand generates a bearer key and its digest. Only the digest goes into
// the table or the settings.
func keyCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "key",
		Short: "Generate a bearer key and show its digest for the table or settings",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var random [24]byte
			if _, err := rand.Read(random[:]); err != nil {
				return err
			}
			key := "ep-" + hex.EncodeToString(random[:])
			digest := sha256.Sum256([]byte(key))
			fmt.Fprintf(command.OutOrStdout(), "key:    %s\nsha256: %x\n", key, digest)
			return nil
		},
	}
}
