package settings

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const validSettings = `{"router_id":"r1","data_centre":"dc1","voters":["r1"],"role":"voter","data_folder":"d",
"listen":{"callers":"127.0.0.1:1","upstreams":"127.0.0.1:2","admin":"127.0.0.1:3","peers":"127.0.0.1:4"}}`

func TestDefaultsFillMissingFields(t *testing.T) {
	parsed, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, parsed.Load.Multiple, 1.25)
}

// An operator mistypes several fields. If Parse reported only the first, the
// operator would have to start the process once for each mistake.
func TestParseReportsAllMistakes(t *testing.T) {
	for name, tc := range map[string]struct {
		text  string
		paths []string
	}{
		"shape":  {`{"rooter":1,"listen":{"callers":7,"calers":""},"peers":{}}`, []string{"listen.calers", "listen.callers", "peers", "rooter"}},
		"values": {strings.Replace(validSettings, `127.0.0.1:1"`, `host:1"`, 1), []string{"listen.callers"}},
		"state":  {strings.Replace(strings.Replace(validSettings, `"voter"`, `"router"`, 1), `["r1"]`, `["r1","r9"]`, 1), []string{"data_folder", "voters", "voters[1]"}},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(tc.text))
			var problems Problems
			assert.Assert(t, errors.As(err, &problems), "%v", err)
			var paths []string
			for _, problem := range problems {
				paths = append(paths, problem.Path)
			}
			assert.DeepEqual(t, paths, tc.paths)
		})
	}
}

// The daemon must be able to start with every example.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../examples/*.json")
	assert.NilError(t, err)
	assert.Equal(t, len(files), 3)
	for _, file := range files {
		parsed, err := ReadFile(file)
		assert.NilError(t, err, file)
		assert.Equal(t, string(parsed.Role)+".json", filepath.Base(file))
	}
}

func TestOnlyOperatorsAndLogLevelApplyWithoutRestart(t *testing.T) {
	running, err := Parse([]byte(validSettings))
	assert.NilError(t, err)
	changed := running
	changed.Operators = []Operator{{Name: "a"}}
	changed.Log.Level = "debug"
	assert.Equal(t, len(NeedRestart(running, changed)), 0)
	changed.Log.Format = "text"
	changed.Listen.Peers = "127.0.0.1:9"
	assert.DeepEqual(t, NeedRestart(running, changed), []string{"listen", "log"})
}
