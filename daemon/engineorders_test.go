package daemon

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/table"
	"endiveplank/protocol/upstreamapi"
	"endiveplank/standin/engine"
)

// readState fetches the state of an engine.
func readState(t *testing.T, server *engine.Server) upstreamapi.EngineState {
	t.Helper()
	response, err := http.Get("http://" + server.Address() + upstreamapi.StatePath)
	assert.NilError(t, err)
	defer response.Body.Close()
	var state upstreamapi.EngineState
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&state))
	return state
}

// engineServes reports whether an engine serves a version of the model "m1".
func engineServes(state upstreamapi.EngineState, version string) bool {
	for _, held := range state.Models {
		if held.Model == "m1" && held.Version == version && held.Ready {
			return true
		}
	}
	return false
}

// An operator writes a new version into the models sheet. Both engines of the model must load it
// one after the other, so that callers always find an engine that serves the model, and no order
// may stay open.
func TestVersionInTheTableReachesTheEngines(t *testing.T) {
	f := newTestFleet(t)
	quick := func(s *engine.Settings) { s.Model.LoadTime = 300 * time.Millisecond }
	first := f.engine("e1", quick)
	second := f.engine("e2", quick)
	f.change(f.daemons[0], "version", table.Edit{Sheet: table.Models, Key: "m1", Cells: []table.Cell{
		{Column: "version", Value: "v2"}, {Column: "min_replicas", Value: "2"},
	}})
	f.await("both engines serve v2", func() bool {
		one, two := readState(t, first), readState(t, second)
		serves := engineServes(one, "") || engineServes(one, "v2") || engineServes(two, "") || engineServes(two, "v2")
		assert.Assert(t, serves, "no engine serves the model")
		return engineServes(one, "v2") && engineServes(two, "v2")
	})
	f.await("all orders are confirmed", func() bool {
		for _, d := range f.daemons {
			d.host.mu.Lock()
			open := len(d.host.machine.Engines().Open())
			_, settled := d.host.machine.Engines().SettledOf("e2")
			d.host.mu.Unlock()
			if open > 0 || !settled {
				return false
			}
		}
		return true
	})
}
