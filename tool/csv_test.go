package tool

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/table"
	"endiveplank/transport/admin"
)

// fakeFleet serves one sheet and accepts changes as the leader does: a row whose
// revision differs from the expected one is a conflict.
type fakeFleet struct {
	rows    []table.Row
	changes []admin.ChangeRequest
}

func (f *fakeFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer k" {
		w.WriteHeader(http.StatusUnauthorized)
		_ = json.NewEncoder(w).Encode(admin.ErrorBody{Error: "no operator has this key"})
		return
	}
	switch {
	case r.Method == http.MethodGet && strings.HasSuffix(r.URL.Path, "/status"):
		_ = json.NewEncoder(w).Encode(admin.Status{Leader: "r1", Routers: []admin.RouterStatus{{Router: "r1", Stopping: true}}})
	case r.Method == http.MethodGet:
		_ = json.NewEncoder(w).Encode(f.rows)
	default:
		f.change(w, r)
	}
}

func (f *fakeFleet) change(w http.ResponseWriter, r *http.Request) {
	var request admin.ChangeRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	answer := table.Answer{Outcome: table.Committed, Revision: 9}
	for _, edit := range request.Edits {
		if _, revision := findRow(f.rows, edit.Key); revision != edit.Expect {
			answer.Outcome = table.Conflict
			w.WriteHeader(http.StatusConflict)
			break
		}
	}
	f.changes = append(f.changes, request)
	_ = json.NewEncoder(w).Encode(answer)
}

func startFleet(t *testing.T) (*fakeFleet, func(args ...string) (string, error)) {
	t.Helper()
	routes := func(key, service string, revision uint64) table.Row {
		cells := make([]string, len(table.Columns(table.Routes)))
		cells[table.ColumnIndex(table.Routes, "service")] = service
		return table.Row{Sheet: table.Routes, Key: key, Revision: revision, Cells: cells}
	}
	fleet := &fakeFleet{rows: []table.Row{routes("/svc/a", "a", 3), routes("/svc/b", "b", 4)}}
	server := httptest.NewServer(fleet)
	t.Cleanup(server.Close)
	return fleet, func(args ...string) (string, error) {
		return run(append([]string{"--admin", server.Listener.Addr().String(), "--key", "k"}, args...)...)
	}
}

// writeCSV writes a CSV file and returns its path.
func writeCSV(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sheet.csv")
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// An import sends no change for an unedited export, and only the edited row,
// with the revision of the export, for an edited one.
func TestImportSendsOnlyChangedRows(t *testing.T) {
	fleet, tool := startFleet(t)
	exported, err := tool("table", "export", "routes")
	assert.NilError(t, err)
	_, err = tool("table", "import", "routes", writeCSV(t, exported))
	assert.NilError(t, err)
	assert.Equal(t, len(fleet.changes), 0)
	_, err = tool("table", "import", "routes", writeCSV(t, strings.Replace(exported, ",b,", ",bee,", 1)), "--why", "w", "--id", "c1")
	assert.NilError(t, err)
	assert.Equal(t, len(fleet.changes), 1)
	change := fleet.changes[0]
	assert.Equal(t, change.ID+change.Why, "c1w")
	assert.Equal(t, len(change.Edits), 1)
	assert.Equal(t, change.Edits[0].Key, "/svc/b")
	assert.Equal(t, change.Edits[0].Expect, uint64(4))
}

// Another operator changes a row between an export and the import of the edited
// file. The import must not restore the old row, nor apply the file's other rows.
func TestImportOfOutdatedExportConflicts(t *testing.T) {
	fleet, tool := startFleet(t)
	path := writeCSV(t, "key,revision,service\n/svc/a,2,old\n/svc/b,4,new\n")
	shown, err := tool("table", "diff", "routes", path)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(shown, "/svc/a: edited since the export"), shown)
	assert.Assert(t, strings.Contains(shown, `"b" -> "new"`), shown)
	_, err = tool("table", "import", "routes", path)
	assert.Equal(t, exitStatus(t, err), ExitConflict)
	assert.Equal(t, len(fleet.changes), 1)
	assert.Equal(t, len(fleet.changes[0].Edits), 2)
}

// Scripts tell by the exit status whether a call was refused, was wrong usage,
// reached no router, or left the outcome of a change unknown.
func TestExitStatuses(t *testing.T) {
	_, tool := startFleet(t)
	bad := writeCSV(t, "key,colour\n/svc/a,red\n")
	for name, tc := range map[string]struct {
		args []string
		want int
	}{
		"file with mistakes": {[]string{"table", "import", "routes", bad}, ExitRefused},
		"no file":            {[]string{"table", "import", "routes", bad + "x"}, ExitUsage},
		"bad output":         {[]string{"vm", "list", "--output", "xml"}, ExitUsage},
		"wrong key":          {[]string{"vm", "list", "--key", "other"}, ExitRefused},
		"nobody there":       {[]string{"vm", "list", "--admin", "127.0.0.1:1"}, ExitUnreachable},
		"change, no answer":  {[]string{"table", "undo", "c1", "--admin", "127.0.0.1:1"}, ExitUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := tool(tc.args...)
			assert.Equal(t, exitStatus(t, err), tc.want)
		})
	}
	shown, err := tool("vm", "list")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(shown, "stopping") && strings.Contains(shown, "leader"), shown)
	for _, shell := range []string{"bash", "zsh", "fish", "powershell"} {
		script, err := run("completion", shell)
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(script, "endiveplank"))
	}
}
