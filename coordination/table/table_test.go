package table

import (
	"flag"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol/codec"
)

// The properties run with one fixed seed; -rapid.seed gives another.
func init() { _ = flag.Set("rapid.seed", "1") }

func hash(i int) string { return fmt.Sprintf("%064x", i) }

func change(id string, edits ...Edit) Change {
	return Change{ID: id, Who: "ana", Why: "season", At: 1000, Edits: edits}
}

func customer(key string, expect uint64, cells ...string) Edit {
	edit := Edit{Sheet: Customers, Key: key, Expect: expect}
	for i := 0; i < len(cells); i += 2 {
		edit.Cells = append(edit.Cells, Cell{cells[i], cells[i+1]})
	}
	return edit
}

// filled returns a table with customers a and b at revisions 1 and 2.
func filled(t *testing.T) *Table {
	table := New()
	for i, key := range []string{"a", "b"} {
		answer, _ := table.Apply(uint64(i+1), change("new-"+key, customer(key, 0, "key_hashes", hash(i))))
		assert.Equal(t, answer.Outcome, Committed)
	}
	return table
}

// An operator imports a sheet with several mistakes. The answer must name all of them
// by row and column, and none of the correct rows may be applied.
func TestAllProblemsAtOnceAndNothingApplied(t *testing.T) {
	table := filled(t)
	before := string(codec.Marshal(table.Snapshot().Rows))
	answer, changed := table.Apply(3, change("import",
		customer("c", 0, "key_hashes", hash(9)),
		customer("d", 0, "weight", "heavy", "colour", "red"),
		customer("e", 0, "key_hashes", hash(0), "class", "4"),
		customer("a", 1, "weight", "1", "weight", "2"),
		customer("c", 0, "weight", "5"),
		customer("=f()", 0, "key_hashes", "x"),
		Edit{Sheet: "colours", Key: "x"},
		Edit{Sheet: Routes, Key: "desk", Cells: []Cell{{"service", "a b"}}},
		Edit{Sheet: Models, Key: "m", Delete: true},
	))
	assert.Equal(t, answer.Outcome, Invalid)
	assert.Equal(t, len(changed), 0)
	var found []string
	for _, problem := range answer.Problems {
		found = append(found, problem.Key+"."+problem.Column)
	}
	assert.DeepEqual(t, found, []string{
		"d.weight", "d.colour", "d.key_hashes", "e.class", "a.weight", "c.", "=f().key", "=f().key_hashes",
		"x.", "desk.key", "desk.service", "desk.idempotent", "m.", "e.key_hashes",
	})
	assert.Equal(t, string(codec.Marshal(table.Snapshot().Rows)), before)
}

// Two operators edit the same row from the same revision. One must win. The other
// must get the winner's row, name and revision to continue from, and none of its
// other edits may be applied.
func TestRacingOperators(t *testing.T) {
	table := filled(t)
	won, _ := table.Apply(3, change("first", customer("a", 1, "weight", "7")))
	lost, _ := table.Apply(4, change("second", customer("a", 1, "weight", "8"), customer("b", 2, "weight", "8")))
	assert.Equal(t, won.Outcome, Committed)
	assert.Equal(t, lost.Outcome, Conflict)
	assert.Equal(t, lost.Conflicts[0].Found, uint64(3))
	assert.Equal(t, lost.Conflicts[0].By, "ana")
	assert.Equal(t, CustomerOf(*lost.Conflicts[0].Winner).Weight, 7)
	b, _ := table.Row(Customers, "b")
	assert.Equal(t, CustomerOf(b).Weight, 100)
}

// The answer to a change is lost, and the operator sends the change again: after a
// restart from a snapshot and another write of the row, and after the table has
// dropped the answer. The resend must get the first answer, or a conflict, and never
// undo a later write. Other edits with the same change ID must be refused.
func TestResendGetsFirstAnswerOrConflict(t *testing.T) {
	table := filled(t)
	first := change("c", customer("a", 1, "weight", "7"))
	answer, _ := table.Apply(3, first)
	table = FromSnapshot(table.Snapshot())
	table.Apply(4, change("d", customer("a", 3, "weight", "9")))
	resend := first
	resend.At = 2000
	again, changed := table.Apply(5, resend)
	assert.DeepEqual(t, again, answer)
	assert.Equal(t, len(changed), 0)
	reused, _ := table.Apply(6, change("c", customer("a", 4, "weight", "1")))
	assert.Equal(t, reused.Outcome, IDReused)
	for i := range uint64(maxAnswers) {
		table.Apply(10+i, change(fmt.Sprint(i), customer("b", 0)))
	}
	forgotten, _ := table.Apply(1_000_000, first)
	assert.Equal(t, forgotten.Outcome, Conflict)
	a, _ := table.Row(Customers, "a")
	assert.Equal(t, CustomerOf(a).Weight, 9)
}

// A row is created and deleted, and the change that created it arrives again after
// its answer was dropped. The row must not come back.
func TestDeletedRowStaysDeleted(t *testing.T) {
	table := filled(t)
	table.Apply(3, change("gone", Edit{Sheet: Customers, Key: "a", Expect: 1, Delete: true}))
	table = FromSnapshot(table.Snapshot())
	answer, _ := table.Apply(4, change("late", customer("a", 0, "key_hashes", hash(0))))
	assert.Equal(t, answer.Outcome, Conflict)
	assert.Equal(t, answer.Conflicts[0].Found, uint64(3))
	answer, _ = table.Apply(5, change("again", customer("a", 3, "key_hashes", hash(0))))
	assert.Equal(t, answer.Outcome, Committed)
}

// A new change undoes a whole change. It must conflict once one of the rows was
// written again, because the undo would revert that write too.
func TestUndo(t *testing.T) {
	table := filled(t)
	table.Apply(3, change("both", customer("a", 1, "weight", "7"), customer("b", 2, "home", "north"), customer("c", 0, "key_hashes", hash(5))))
	edits, err := table.UndoEdits("both")
	assert.NilError(t, err)
	diffs, preview := table.Preview(change("undo", edits...))
	assert.Equal(t, preview.Outcome, Committed)
	assert.Equal(t, fmt.Sprintf("%s to %s, %d rows, deleted %t", diffs[0].Before[2], diffs[0].After[2], len(diffs), diffs[2].After == nil), "7 to 100, 3 rows, deleted true")
	answer, _ := table.Apply(4, change("undo", edits...))
	assert.Equal(t, answer.Outcome, Committed, "%v", answer)
	a, _ := table.Row(Customers, "a")
	assert.Equal(t, CustomerOf(a).Weight, 100)
	_, exists := table.Row(Customers, "c")
	assert.Equal(t, exists, false)
	edits, _ = table.UndoEdits("both")
	answer, _ = table.Apply(5, change("undo twice", edits...))
	assert.Equal(t, answer.Outcome, Conflict)
	_, err = table.UndoEdits("never")
	assert.ErrorIs(t, err, ErrNoChange)
	assert.Equal(t, len(table.History(Customers, "a", 10)), 3)
}

// A change can move a key hash between customers, but two customers can never share
// one, or a request could be billed to either.
func TestKeyHashIsUnique(t *testing.T) {
	table := filled(t)
	answer, _ := table.Apply(3, change("shared", customer("a", 1, "key_hashes", hash(1))))
	assert.Equal(t, answer.Outcome, Invalid)
	answer, _ = table.Apply(4, change("swap", customer("a", 1, "key_hashes", hash(1)), customer("b", 2, "key_hashes", hash(0))))
	assert.Equal(t, answer.Outcome, Committed)
	table.Apply(5, change("new key", customer("a", 4, "key_hashes", hash(7))))
	answer, _ = table.Apply(6, change("freed key", customer("e", 0, "key_hashes", hash(1))))
	assert.Equal(t, answer.Outcome, Committed)
	answer, _ = table.Apply(7, change("both", customer("c", 0, "key_hashes", hash(8)), customer("d", 0, "key_hashes", hash(8))))
	assert.Equal(t, answer.Outcome, Invalid)
}

// A sheet is exported as CSV, edited and imported. Only the edited row may be
// written. For a file with mistakes in its form, all problems must be returned.
func TestCSV(t *testing.T) {
	table := filled(t)
	file, err := ExportCSV(Customers, table.Rows(Customers))
	assert.NilError(t, err)
	edits, problems := ImportCSV(Customers, file)
	assert.Equal(t, len(problems), 0)
	answer, changed := table.Apply(3, change("same", edits...))
	assert.Equal(t, answer.Outcome, Committed)
	assert.Equal(t, answer.Revision, uint64(2))
	assert.Equal(t, len(changed), 0)
	edits, _ = ImportCSV(Customers, []byte("weight,key,revision\n5,b,2\n6,c,\n"))
	answer, _ = table.Apply(4, change("edited", edits...))
	assert.Equal(t, answer.Outcome, Invalid)
	assert.Equal(t, answer.Problems[0].Key+answer.Problems[0].Column, "ckey_hashes")
	_, problems = ImportCSV(Customers, []byte("key,colour,key,revision\na,b,c\na,b,c,x\n"))
	assert.Equal(t, len(problems), 4)
	_, problems = ImportCSV("colours", nil)
	assert.Equal(t, len(problems), 1)
}

// An exported file can be imported whatever its cells contain, and changes nothing.
func TestCSVRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		edits := []Edit{}
		for i := range rapid.IntRange(1, 20).Draw(t, "rows") {
			edits = append(edits, Edit{Sheet: Routes, Key: "/" + rapid.StringMatching(`[a-z",;]{0,9}`).Draw(t, "key") + fmt.Sprint(i), Cells: []Cell{
				{"service", rapid.StringMatching(`[a-z",;]{1,9}`).Draw(t, "service")}, {"idempotent", "no"},
			}})
		}
		answer, _ := table.Apply(1, change("new", edits...))
		assert.Equal(t, answer.Outcome, Committed)
		file, _ := ExportCSV(Routes, table.Rows(Routes))
		back, problems := ImportCSV(Routes, file)
		assert.Equal(t, len(problems), 0)
		_, changed := table.Apply(2, change("same", back...))
		assert.Equal(t, len(changed), 0)
	})
}

// BenchmarkTableBytes measures the encoded sizes, in bytes a row, of 2,400 customers
// that are imported as one change: of the change, the snapshot and the history.
func BenchmarkTableBytes(b *testing.B) {
	const customers = 2400
	for range b.N {
		table := New()
		var edits []Edit
		for i := range customers {
			edits = append(edits, customer(fmt.Sprintf("customer-%04d", i), 0,
				"key_hashes", hash(i), "weight", "100", "tokens_per_s", "40000", "requests_per_s", "50", "home", "north"))
		}
		imported := change("import", edits...)
		b.ReportMetric(float64(len(codec.Marshal(&imported)))/customers, "command-B/row")
		answer, _ := table.Apply(1, imported)
		if answer.Outcome != Committed {
			b.Fatal(answer)
		}
		snapshot := table.Snapshot()
		b.ReportMetric(float64(len(codec.Marshal(snapshot.Rows)))/customers, "snapshot-B/row")
		b.ReportMetric(float64(len(codec.Marshal(snapshot.History)))/customers, "history-B/row")
	}
}
