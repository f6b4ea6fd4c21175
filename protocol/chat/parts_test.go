package chat

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSharedPartsAreTheSameWhereverTheyStand(t *testing.T) {
	rules, tool, own := Message{Role: "system", Content: "rules"}, Message{Role: "tool", Content: "table"}, Message{Role: "user", Content: "mine"}
	a := SharedParts([]Message{rules, tool, own})
	b := SharedParts([]Message{tool, rules, own})
	assert.Equal(t, len(a), 2)
	assert.DeepEqual(t, a, []uint64{b[1], b[0]})
	assert.Equal(t, len(SharedParts([]Message{own})), 0)
	assert.Equal(t, len(SharedParts(nil)), 0)
}
