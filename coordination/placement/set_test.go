package placement

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// TestMain fixes the seed of the property tests, so that a run in CI can be
// repeated.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func members(n int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{ID: protocol.UpstreamID(fmt.Sprintf("e%03d", i)), Weight: 1}
	}
	return list
}

func mustSet(t testing.TB, list []Member) *Set {
	t.Helper()
	s, err := NewSet(1, list)
	assert.NilError(t, err)
	return s
}

func firstChoiceOf(s *Set, root chat.ChainHash) protocol.UpstreamID {
	var dst [1]int32
	s.Order(Key{Root: root}, dst[:])
	return s.Member(dst[0]).ID
}

// A weight that is not positive and finite, or an upstream listed twice, would
// make the rendezvous order wrong for all chats.
func TestSetRefusesBadMembers(t *testing.T) {
	for _, weight := range []float64{0, -1, math.NaN(), math.Inf(1)} {
		_, err := NewSet(1, []Member{{ID: "a", Weight: weight}})
		assert.ErrorIs(t, err, ErrBadWeight)
	}
	_, err := NewSet(1, []Member{{ID: "a", Weight: 1}, {ID: "a", Weight: 2}})
	assert.ErrorIs(t, err, ErrDuplicate)
}

// Two routers learn of a join or leave seconds apart. A chat's next turn may
// go through either of them, and must not move unless the upstream that joins
// becomes its first choice. A leave must move only the chats of the upstream
// that leaves.
func TestJoinAndLeaveMoveOnlyTheChatsOfThatUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 40).Draw(t, "n")
		list := members(n)
		for i := range list {
			list[i].Weight = rapid.Float64Range(0.1, 10).Draw(t, "weight")
		}
		groupShare := rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "spread")
		gone := rapid.IntRange(0, n-1).Draw(t, "gone")
		all, err := NewSet(1, list)
		assert.NilError(t, err)
		rest := append(append([]Member{}, list[:gone]...), list[gone+1:]...)
		fewer, err := NewSet(2, rest)
		assert.NilError(t, err)
		for range 50 {
			key := Key{Root: chat.ChainHash(rapid.Uint64().Draw(t, "root")), Group: 7, GroupShare: groupShare}
			var with, without [MaxChoices]int32
			countWith := all.Order(key, with[:])
			countWithout := fewer.Order(key, without[:])
			kept := without[:0:0]
			for _, p := range with[:countWith] {
				if all.Member(p).ID != list[gone].ID {
					kept = append(kept, p)
				}
			}
			for i := range min(len(kept), countWithout) {
				assert.Equal(t, all.Member(kept[i]).ID, fewer.Member(without[i]).ID)
			}
		}
	})
}

// If engines were not the first choice of chats in proportion to their capacity,
// small engines would be above their bound, and their chats would run on other
// engines than their first choice.
func TestFirstChoicesAreProportionalToWeight(t *testing.T) {
	list := members(12)
	total := 0.0
	for i := range list {
		list[i].Weight = float64(1 + i%4)
		total += list[i].Weight
	}
	s := mustSet(t, list)
	const chats = 200_000
	counts := make(map[protocol.UpstreamID]int)
	for i := range chats {
		counts[firstChoiceOf(s, chat.ChainHash(mix(uint64(i)+1)))]++
	}
	for _, m := range list {
		expected := chats * m.Weight / total
		deviation := math.Abs(float64(counts[m.ID])-expected) / math.Sqrt(expected)
		assert.Assert(t, deviation < 5, "%s: %d of %f", m.ID, counts[m.ID], expected)
	}
}

// A model may have fewer upstreams than MaxChoices, or none. Order must then
// return fewer choices, and no position that the set doesn't have.
func TestOrderOfShortOrEmptySet(t *testing.T) {
	var dst [MaxChoices]int32
	assert.Equal(t, mustSet(t, nil).Order(Key{Root: 7}, dst[:]), 0)
	assert.Equal(t, mustSet(t, members(3)).Order(Key{Root: 7}, dst[:]), 3)
	assert.Equal(t, mustSet(t, members(3)).Order(Key{Root: 7}, nil), 0)
}

// A customer's system prompt is the same in all its chats. If it decided the
// first choice, one engine would get every chat of that customer.
func TestSharedSystemPromptDoesNotSendChatsToOneEngine(t *testing.T) {
	s := mustSet(t, members(12))
	counts := make(map[protocol.UpstreamID]int)
	for i := range 1200 {
		messages := []chat.Message{
			{Role: "system", Content: "You answer dispatchers."},
			{Role: "user", Content: fmt.Sprintf("fuel for N%d", i)},
			{Role: "assistant", Content: "how much?"},
		}
		chain := chat.Chain("m", messages)
		counts[firstChoiceOf(s, chain[RootIndex(messages)].Hash)]++
	}
	for id, count := range counts {
		assert.Assert(t, count < 150, "%s got %d of 1200", id, count)
	}
}

// The system prompts of thousands of customers don't fit into the cache of
// every engine. When the chats with one system prompt are kept to a few
// engines, a new chat finds its system prompt cached there.
func TestGroupShareKeepsAGroupToItsPartOfTheSet(t *testing.T) {
	s := mustSet(t, members(790))
	firstChoices := make(map[int32]bool)
	groupShare := s.GroupShare(0.001)
	assert.Assert(t, groupShare*790 >= minGroupSize && groupShare*790 < 2*minGroupSize)
	for i := range 1000 {
		var dst [MaxChoices]int32
		s.Order(Key{Root: chat.ChainHash(mix(uint64(i + 1))), Group: 3, GroupShare: groupShare}, dst[:])
		firstChoices[dst[0]] = true
	}
	assert.Assert(t, len(firstChoices) >= 2 && len(firstChoices) <= 20, "%d first choices", len(firstChoices))
	assert.Equal(t, s.GroupShare(0.9), 1.0)
	assert.Equal(t, mustSet(t, members(3)).GroupShare(0), 1.0)
}

func BenchmarkOrder(b *testing.B) {
	for _, n := range []int{12, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := mustSet(b, members(n))
			var dst [MaxChoices]int32
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s.Order(Key{Root: chat.ChainHash(mix(uint64(i + 1))), Group: 5, GroupShare: 0.1}, dst[:])
			}
		})
	}
}
