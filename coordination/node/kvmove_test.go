package node_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/node/nodetest"
	"endiveplank/protocol"
)

// longPrompt has a prefill that costs more than the move of its cache.
var longPrompt = strings.Repeat("the pump at the east gate ", 400)

// An engine on which many chats ran announces that it leaves. Without a move the
// next turn of each chat would prefill its whole prompt on another engine. The
// cache of each chat that ran there recently must be moved once. The caches of
// chats that ran long ago, and those on other engines, must not be moved.
func TestLeavingEnginesHotChatsAreMoved(t *testing.T) {
	f := nodetest.New(seed, 3)
	f.AddEngine("e1", "r1", 100, 8)
	f.AddEngine("e2", "r2", 100, 8)
	f.Run(2 * time.Second)
	chats := func(prefix string) int {
		ran := 0
		for i := range 20 {
			count := len(f.Engines["e1"].Runs)
			id := protocol.RequestID(fmt.Sprint(prefix, i))
			answer := f.Submit("r3", id, "key", fmt.Sprint(prefix, i, " ", longPrompt), 2)
			f.Run(time.Second)
			assert.Assert(t, answer.Ended)
			ran += len(f.Engines["e1"].Runs) - count
		}
		return ran
	}
	chats("old")
	f.Run(5 * time.Minute)
	hot := chats("hot")
	assert.Assert(t, hot > 0 && hot < 20)
	assert.Equal(t, len(f.CacheMoves), 0)
	f.Engines["e1"].Leave()
	f.Run(30 * time.Second)
	assert.Equal(t, len(f.CacheMoves), hot)
	seen := map[any]bool{}
	for _, move := range f.CacheMoves {
		assert.Equal(t, move.Upstream, protocol.UpstreamID("e1"))
		assert.Assert(t, !seen[move.Hash])
		seen[move.Hash] = true
	}
}
