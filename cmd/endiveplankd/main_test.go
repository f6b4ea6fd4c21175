package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// execute runs a command line and returns its output.
func execute(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	root := rootCommand()
	var printed bytes.Buffer
	root.SetOut(&printed)
	root.SetErr(&printed)
	root.SetArgs(arguments)
	err := root.Execute()
	return printed.String(), err
}

// writeSettings writes a settings file of a router that sends to upstreams itself
// and returns its path.
func writeSettings(t *testing.T, name, seeds string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "router.json")
	text := `{"role": "router", "name": "` + name + `", "data_centre": "dc1", "seeds": [` + seeds + `],
		"listen": {"callers": "127.0.0.1:8080", "readiness": "127.0.0.1:8081", "peers": "127.0.0.1:7700"}}`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestCheckReportsAllMistakesWithoutStarting(t *testing.T) {
	// An operator checks a settings file before distributing it to a hundred VMs.
	// The command must report all mistakes at once and start nothing.
	printed, err := execute(t, "router", "check", "--config", writeSettings(t, "r1", `"127.0.0.1:8083"`))
	assert.NilError(t, err)
	assert.Equal(t, printed, "settings are good\n")

	_, err = execute(t, "router", "check", "--config", writeSettings(t, "r 1", `"nowhere"`))
	assert.ErrorContains(t, err, "name")
	assert.ErrorContains(t, err, "seeds")

	_, err = execute(t, "disk-vm", "check", "--config", writeSettings(t, "r1", `"127.0.0.1:8083"`))
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "role"), "%v", err)
}
