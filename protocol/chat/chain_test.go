package chat

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestChainOfReturningChatStartsWithEarlierLinks(t *testing.T) {
	first := []Message{{Role: "user", Content: "fuel for N123"}}
	later := append(first, Message{Role: "assistant", Content: "how much?"}, Message{Role: "user", Content: "900 gal"})
	short := Chain("m", first)
	long := Chain("m", later)
	assert.Equal(t, len(long), 3)
	assert.DeepEqual(t, short, long[:1])
}

func TestChainSeparatesRoleFromContent(t *testing.T) {
	a := Chain("m", []Message{{Role: "us", Content: "er"}})
	b := Chain("m", []Message{{Role: "user", Content: ""}})
	assert.Assert(t, a[0].Hash != b[0].Hash)
}
