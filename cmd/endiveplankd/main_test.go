package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// runLine executes a command line and returns what it printed.
func runLine(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	root := rootCommand()
	var printed bytes.Buffer
	root.SetOut(&printed)
	root.SetErr(&printed)
	root.SetArgs(arguments)
	err := root.Execute()
	return printed.String(), err
}

// settingsFile writes settings of a router that sends to upstreams itself.
func settingsFile(t *testing.T, name, seeds string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "router.json")
	text := `{"role": "router", "name": "` + name + `", "data_centre": "dc1", "seeds": [` + seeds + `],
		"listen": {"callers": "127.0.0.1:8080", "readiness": "127.0.0.1:8081", "peers": "127.0.0.1:7700"}}`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestSettingsOfDirectRolesAreCheckedWithoutStarting(t *testing.T) {
	// An operator checks a file before it goes to a hundred VMs. All mistakes
	// come at once, and nothing is started.
	printed, err := runLine(t, "router", "check", "--config", settingsFile(t, "r1", `"127.0.0.1:8083"`))
	assert.NilError(t, err)
	assert.Equal(t, printed, "settings are good\n")

	_, err = runLine(t, "router", "check", "--config", settingsFile(t, "r 1", `"nowhere"`))
	assert.ErrorContains(t, err, "name")
	assert.ErrorContains(t, err, "seeds")

	_, err = runLine(t, "disk-vm", "check", "--config", settingsFile(t, "r1", `"127.0.0.1:8083"`))
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "role"), "%v", err)
}
