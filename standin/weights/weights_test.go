package weights_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/standin/weights"
)

// A rack comes back and all its engines load at once: the last one waits for
// all the others. Spread out, none waits.
func TestStampedeWaits(t *testing.T) {
	line := weights.Line{Each: 5 * time.Second}
	for i := range 4 {
		assert.Equal(t, line.Join(0), time.Duration(i+1)*5*time.Second)
	}
	assert.Equal(t, line.Join(30*time.Second), 35*time.Second)
}
