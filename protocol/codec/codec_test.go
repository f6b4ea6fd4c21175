package codec

import (
	"errors"
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// CI runs the property tests with one seed; -rapid.seed selects another.
func init() { _ = flag.Set("rapid.seed", "1") }

type message struct {
	ID    uint64    `msgpack:"i"`
	Names []string  `msgpack:"n,omitempty"`
	Inner []message `msgpack:"m,omitempty"`
	Body  []byte    `msgpack:"b,omitempty"`
	Next  *message  `msgpack:"x,omitempty"`
}

// A frame is truncated or one of its bits flips, so that twelve bytes declare a
// list of two thousand million structs. The msgpack library allocates the list
// before it reads elements, so every process that decodes the frame runs out of
// memory.
func TestHugeListIsRefused(t *testing.T) {
	var target message
	for _, encoded := range []string{
		"\x81\xa1m\xdd\x91\x81\xa1o\x91", "\x81\xa1m\xdd\xff\xff\xff\xff", "\x81\xa1n\xdc\xff\xff",
		"\xdf\xff\xff\xff\xff", "\xc6\xff\xff\xff\xff", "\xdb\xff", "\x81\xa1i", "\x01\x01", "", "\xc1",
	} {
		assert.Assert(t, errors.Is(Unmarshal([]byte(encoded), &target), ErrMalformed), "%q", encoded)
	}
}

func drawMessage(t *rapid.T, depth int) message {
	m := message{
		ID:    rapid.Uint64().Draw(t, "id"),
		Names: rapid.SliceOfN(rapid.String(), 0, 40).Draw(t, "names"),
		Body:  rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "body"),
	}
	for range rapid.IntRange(0, depth).Draw(t, "inner") {
		m.Inner = append(m.Inner, drawMessage(t, depth-1))
	}
	return m
}

// Check accepts every encoded message and rejects every proper prefix of it.
func TestCheckAcceptsOnlyWholeMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawMessage(t, 2)
		for _, encoded := range [][]byte{Marshal(&m), MarshalArrays(&m)} {
			assert.NilError(t, Check(encoded))
			assert.Assert(t, Check(encoded[:rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")]) != nil)
			var decoded message
			assert.NilError(t, Unmarshal(encoded, &decoded))
			assert.Equal(t, decoded.ID, m.ID)
			assert.Equal(t, len(decoded.Inner), len(m.Inner))
		}
	})
}
