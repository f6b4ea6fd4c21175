package loadgen

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The command's name may hold spaces and parentheses, which must not shift the
// fields of processor time and memory.
func TestProcessStatus(t *testing.T) {
	got, err := parseStat("42 (a) b (c) S 1 42 42 0 -1 4194304 500 0 0 0 150 50 0 0 20 0 9 0 100 2000000 256 18446744073709551615", 4096)
	assert.NilError(t, err)
	assert.Equal(t, got.cpu, 2*time.Second)
	assert.Equal(t, got.memoryMB, 1.0)
	_, err = parseStat("", 4096)
	assert.ErrorContains(t, err, "too short")
	process, err := ParseProcess("r1=42")
	assert.NilError(t, err)
	assert.Equal(t, process, Process{Name: "r1", PID: 42})
	_, err = ParseProcess("42")
	assert.ErrorContains(t, err, "NAME=PID")
}
