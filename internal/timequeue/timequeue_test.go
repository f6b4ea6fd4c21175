package timequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEventsComeOutInTheOrderOfTheirTimes(t *testing.T) {
	var q Queue[string]
	_, any := q.Next()
	assert.Assert(t, !any)
	q.Push(3*time.Second, "c")
	q.Push(time.Second, "a")
	q.Push(2*time.Second, "b")
	next, any := q.Next()
	assert.Assert(t, any)
	assert.Equal(t, next, time.Second)
	for i, want := range []string{"a", "b", "c"} {
		at, event := q.Pop()
		assert.Equal(t, event, want)
		assert.Equal(t, at, time.Duration(i+1)*time.Second)
	}
}
