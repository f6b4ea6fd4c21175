package kvmove

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/placement"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

var costs = Costs{Transfer: 10_000, Setup: 10 * time.Millisecond, PrefillPerCapacity: 10, HalfLife: 10 * time.Minute, MaxIdle: 20 * time.Minute}

const now = time.Hour

func chatOf(root chat.ChainHash, tokens int, idle time.Duration) Chat {
	return Chat{Key: placement.Key{Root: root}, Deepest: root + 100, Tokens: tokens, UsedAt: now - idle}
}

// placeByRoot sends odd roots to a small engine, and even ones to one so fast
// that prefill there is cheaper than any transfer. Root 0 has no destination.
func placeByRoot(key placement.Key) (Destination, bool) {
	if key.Root%2 == 1 {
		return Destination{Upstream: "small", Capacity: 100}, true
	}
	return Destination{Upstream: "fast", Capacity: 2000}, key.Root != 0
}

func anyEngine(protocol.UpstreamID) bool { return true }

// An engine is drained and has less time than all moves need. The plan must hold
// the moves that save the most time per time spent, and none that saves nothing
// or whose chat was idle for too long.
func TestPlanTakesTheMovesThatSaveMost(t *testing.T) {
	chats := []Chat{
		chatOf(0, 5000, 0), chatOf(1, 5000, 5*time.Minute), chatOf(2, 5000, 0), chatOf(3, 5000, 0),
		chatOf(5, 5, 0), chatOf(7, 5000, 30*time.Minute), chatOf(9, 9000, time.Minute),
	}
	for name, tc := range map[string]struct {
		span time.Duration
		want []chat.ChainHash
	}{
		"all that are worth it":        {time.Minute, []chat.ChainHash{3, 9, 1}},
		"the best that fit":            {1100 * time.Millisecond, []chat.ChainHash{3, 1}},
		"none without the time for it": {time.Millisecond, nil},
	} {
		t.Run(name, func(t *testing.T) {
			var got []chat.ChainHash
			for _, move := range MakePlan(now, chats, placeByRoot, costs, tc.span) {
				got = append(got, move.Chat.Key.Root)
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

func drain(chats int) *Mover {
	var list []Chat
	for i := range chats {
		list = append(list, chatOf(chat.ChainHash(2*i+1), 5000, 0))
	}
	return NewMover(now, now+time.Minute, MakePlan(now, list, placeByRoot, costs, time.Minute))
}

// An engine with many chats is drained, and every move ends as soon as it
// starts. Without a rate limit the drain takes the whole link, and running
// streams stall. The mover must start no more moves in a period than the
// planned rate allows, and have no more in progress than the bound.
func TestMovesKeepToTheirRate(t *testing.T) {
	m := drain(50)
	started := 0
	for at := now; at < now+5*time.Second; at += 20 * time.Millisecond {
		for _, move := range m.Next(at, anyEngine) {
			started++
			m.Ended(move.Chat.Deepest, true)
		}
	}
	assert.Equal(t, started, 10)
	m = drain(50)
	started = 0
	for at := now; at < now+5*time.Second; at += 20 * time.Millisecond {
		started += len(m.Next(at, anyEngine))
	}
	assert.Equal(t, started, maxConcurrent)
}

// A destination refuses imports or leaves during the drain, or the drain ends.
// The mover must drop the moves that can't succeed any more: they would only
// take bandwidth from the others.
func TestMovesThatCantSucceedAreDropped(t *testing.T) {
	run := func(m *Mover, moved bool, available func(protocol.UpstreamID) bool) {
		for at := now; at < now+2*time.Minute; at += 20 * time.Millisecond {
			for _, move := range m.Next(at, available) {
				m.Ended(move.Chat.Deepest, moved)
			}
		}
		assert.Assert(t, m.Done())
	}
	refused := drain(20)
	run(refused, false, anyEngine)
	assert.Equal(t, refused.Failed, maxFailures)
	assert.Equal(t, refused.Dropped, 20-maxFailures)
	left := drain(20)
	run(left, true, func(protocol.UpstreamID) bool { return false })
	assert.Equal(t, left.Dropped, 20)
	ending := drain(20)
	ending.until = now + 2*time.Second
	run(ending, true, anyEngine)
	assert.Equal(t, ending.Moved, 3)
}

// More chats run on an engine than the record holds. It must drop the older ones
// and stay within its limit.
func TestRecentChatsKeepsTheLatest(t *testing.T) {
	h := NewRecentChats(10)
	for i := range 100 {
		h.Record(chatOf(chat.ChainHash(i), 10, time.Duration(100-i)*time.Second))
	}
	chats := h.Chats()
	assert.Assert(t, len(chats) >= 5 && len(chats) <= 10)
	assert.Equal(t, chats[0].Key.Root, chat.ChainHash(99))
}
