package weights_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/standin/weights"
)

// When all engines of a rack load at once, each transfer waits for those before
// it, and the last one for all others. A transfer that is requested after the
// queue has emptied doesn't wait.
func TestSimultaneousTransfersQueue(t *testing.T) {
	queue := weights.Queue{TransferTime: 5 * time.Second}
	for i := range 4 {
		assert.Equal(t, queue.Add(0), time.Duration(i+1)*5*time.Second)
	}
	assert.Equal(t, queue.Add(30*time.Second), 35*time.Second)
}
