package bounded

import (
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards: what was read of a longer text looks complete.
func TestLongerTextIsAnErrorAndNoEnd(t *testing.T) {
	read, err := io.ReadAll(NewLimitedReader(strings.NewReader("12345"), 4, "the text"))
	assert.Equal(t, string(read), "1234")
	assert.ErrorIs(t, err, ErrTooLong)
	assert.ErrorContains(t, err, "the text has more than 4 bytes")

	read, err = io.ReadAll(NewLimitedReader(strings.NewReader("1234"), 4, "the text"))
	assert.NilError(t, err)
	assert.Equal(t, string(read), "1234")
}

// Guards: the bound of one part of a connection's bytes holds for the next.
func TestBoundIsSetAndRemoved(t *testing.T) {
	r := NewReader(strings.NewReader("1234567890"))
	buffer := make([]byte, 3)
	r.Limit(3, "the head")
	_, err := io.ReadFull(r, buffer)
	assert.NilError(t, err)
	r.Unlimit()
	_, err = io.ReadFull(r, buffer)
	assert.NilError(t, err)
	r.Limit(2, "the head")
	_, err = io.ReadFull(r, buffer)
	assert.ErrorIs(t, err, ErrTooLong)
}
