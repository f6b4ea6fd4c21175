package wire

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A broken or hostile peer sends twelve bytes that declare a list of millions
// of entries. Allocating the list would end the process and with it every request
// in flight.
func TestHugeListLengthIsRefused(t *testing.T) {
	var payload struct {
		List []struct{ A, B, C, D uint64 } `msgpack:"l"`
	}
	hostile := []byte{0x81, 0xa1, 'l', 0xdd, 0x00, 0xff, 0xff, 0xff, 0, 0, 0, 0}
	assert.Assert(t, Decode(hostile, &payload) != nil)
	assert.Equal(t, cap(payload.List), 0)
}
