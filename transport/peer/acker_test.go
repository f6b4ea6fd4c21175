package peer

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards: a peer that reads nothing holds up all messages of a process for up to a second, as an
// acknowledgement to it is being written.
func TestAcknowledgementToAPeerThatReadsNothingHoldsNothingUp(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	a := newAcker(near)
	a.record(1)
	time.Sleep(ackDelay + 20*time.Millisecond)
	began := time.Now()
	a.record(2)
	assert.Assert(t, len(a.appendDue(nil)) > 0)
	assert.Assert(t, time.Since(began) < dialTimeout/4, "took %s", time.Since(began))
}
