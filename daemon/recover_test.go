package daemon

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/table"
	"endiveplank/protocol"
	"endiveplank/settings"
)

// Two of three voters are lost for good. The third has the rows, but alone it can't commit or
// grant a lease, so it would stay unready forever. The operator names the others as lost, and the
// fleet continues from the third voter's disk.
func TestRecoveredSurvivorServesAsTheOnlyVoter(t *testing.T) {
	t.Parallel()
	f := newTestFleet(t)
	f.setUp()
	_, err := Recover(f.configs[0], []protocol.RouterID{"r2", "r3"}, true)
	assert.ErrorContains(t, err, "is the process stopped?")
	f.stop()
	f.daemons = nil

	s := f.configs[0]
	_, err = Recover(s, []protocol.RouterID{"r2"}, false)
	assert.ErrorContains(t, err, "name all other voters")
	trial, err := Recover(s, []protocol.RouterID{"r3", "r2"}, true)
	assert.NilError(t, err)
	again, err := Recover(s, []protocol.RouterID{"r2", "r3"}, true)
	assert.NilError(t, err)
	assert.DeepEqual(t, again, trial)
	done, err := Recover(s, []protocol.RouterID{"r2", "r3"}, false)
	assert.NilError(t, err)
	assert.DeepEqual(t, done, trial)

	survivor := f.start(0)
	f.daemons = []*Daemon{survivor}
	f.await("the survivor serves alone", survivor.runner.Ready)
	assert.Equal(t, len(survivor.Rows(table.Customers)), 1)
	edit := table.Edit{Sheet: table.Routes, Key: "/svc/x", Cells: []table.Cell{{Column: "service", Value: "x"}, {Column: "idempotent", Value: "yes"}}}
	assert.Equal(t, f.change(survivor, "after", edit).Outcome, table.Committed)
}

// An operator mistypes the data folder, names an empty one, or runs the command on a router
// without state. Recover must fail and create no state.
func TestRecoverCreatesNoState(t *testing.T) {
	s := settings.Defaults()
	s.RouterID, s.Role = "r1", settings.RoleVoter
	s.DataFolder = filepath.Join(t.TempDir(), "mistyped")
	_, err := Recover(s, nil, true)
	assert.ErrorContains(t, err, "find the data folder")
	s.DataFolder = t.TempDir()
	_, err = Recover(s, nil, false)
	assert.ErrorContains(t, err, "no state to go on from")
	s.Role = settings.RoleRouter
	_, err = Recover(s, nil, true)
	assert.ErrorContains(t, err, "keeps no state")
}
