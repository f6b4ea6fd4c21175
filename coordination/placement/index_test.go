package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol/chat"
)

// As long as no bucket overflows, the table must hold the last value of each
// hash.
func TestTableRemembersTheLatestOfEachHash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(2000)
		model := make(map[uint64]uint64)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			hash := rapid.Uint64Range(1, 100).Draw(t, "hash")
			if rapid.IntRange(0, 3).Draw(t, "op") == 0 {
				_, ok := table.remove(hash)
				_, held := model[hash]
				assert.Equal(t, ok, held)
				delete(model, hash)
				continue
			}
			value := rapid.Uint64Range(0, valueMask).Draw(t, "value")
			table.put(0, hash, value)
			model[hash] = value
		}
		assert.Equal(t, table.used, len(model))
		for hash, want := range model {
			got, _, ok := table.get(hash)
			assert.Assert(t, ok && got == want)
		}
	})
}

// A full bucket must drop its oldest entry, not one that was just used.
func TestFullTableForgetsTheOldest(t *testing.T) {
	table := newTable(1)
	for i := range uint64(bucketEntries + 1) {
		table.put(time.Duration(i)*time.Minute, i+1, i)
	}
	_, _, first := table.get(1)
	_, _, last := table.get(bucketEntries + 1)
	assert.Assert(t, !first && last)
	assert.Equal(t, table.used, bucketEntries)
}

// A chat of thirty turns must not take thirty entries, or the indexes of 4.2
// million chats would not fit into the memory of the VMs.
func TestChatTakesOneEntryHoweverLongItGrows(t *testing.T) {
	x := NewIndex(100)
	for n := 1; n <= 30; n++ {
		chain := turn(9, n)
		hit := x.Lookup(0, chain, 1)
		if n > 1 {
			assert.Equal(t, hit.Tokens, chain[len(chain)-2].Tokens)
		}
		x.RecordPlaced(0, chain, 1, hit)
	}
	assert.Equal(t, x.Len(), 2, "the chat and its system prompt")
}

// An engine loses some of its events. A chat whose eviction was lost would be
// considered cached for ever. After the gap its entry must count for less,
// while entries of chats placed since are certain.
func TestGapInEventsMakesOlderEntriesUncertain(t *testing.T) {
	x := NewIndex(100)
	for id := uint64(1); id <= 10; id++ {
		x.RecordPlaced(0, turn(id, 1), 1, Hit{Link: -1})
	}
	assert.Equal(t, x.ApplyEvents(time.Minute, 1, evictions(turn(1, 1)[1].Hash)), BatchApplied)
	assert.Equal(t, x.Lookup(time.Minute, turn(2, 1), 1).Confidence, 1.0)
	assert.Equal(t, x.ApplyEvents(2*time.Minute, 7, nil), BatchAfterGap)
	uncertain := x.Lookup(2*time.Minute, turn(2, 1), 1)
	assert.Assert(t, uncertain.Confidence < 1 && uncertain.Confidence > 0)
	x.RecordPlaced(3*time.Minute, turn(3, 1), 1, Hit{Link: -1})
	assert.Equal(t, x.Lookup(3*time.Minute, turn(3, 1), 1).Confidence, 1.0)
	assert.Equal(t, x.Lookup(3*time.Minute, turn(1, 1), 1).Link, 0)
	x.Reset()
	assert.Equal(t, x.Lookup(3*time.Minute, turn(3, 1), 1).Link, -1)
}

func evictions(hashes ...chat.ChainHash) []Event {
	var list []Event
	for _, h := range hashes {
		list = append(list, Event{Op: Evicted, Hash: h})
	}
	return list
}

// A batch that arrives again or overlaps an earlier one must not remove a
// prefix that was placed since.
func TestLateEventsAreAppliedOnce(t *testing.T) {
	x := NewIndex(100)
	hash := turn(1, 1)[1].Hash
	assert.Equal(t, x.ApplyEvents(0, 5, evictions(1, 2)), BatchApplied)
	assert.Equal(t, x.ApplyEvents(0, 5, evictions(1, 2)), BatchStale)
	x.RecordPlaced(0, turn(1, 1), 1, Hit{Link: -1})
	assert.Equal(t, x.ApplyEvents(0, 4, evictions(hash, hash)), BatchStale)
	assert.Equal(t, x.Lookup(0, turn(1, 1), 1).Link, 1)
	assert.Equal(t, x.ApplyEvents(0, 6, evictions(hash, hash)), BatchApplied)
	assert.Equal(t, x.Lookup(0, turn(1, 1), 1).Link, 0)
}

// FuzzCacheEvents applies batches of events with any numbers and hashes. The
// index must stay consistent and never claim that more tokens are cached than
// the prompt has.
func FuzzCacheEvents(f *testing.F) {
	f.Add(uint64(1), uint64(3), []byte{1, 2, 3})
	f.Add(^uint64(0), uint64(1), []byte{0, 255, 7, 9})
	f.Add(uint64(9), uint64(2), []byte{})
	f.Fuzz(func(t *testing.T, first, second uint64, data []byte) {
		x := NewIndex(8)
		var events []Event
		for i, b := range data {
			chain := turn(uint64(b%16), 1+i%3)
			x.RecordPlaced(time.Duration(i)*time.Second, chain, 1, x.Lookup(0, chain, 1))
			events = append(events, Event{Op: EventOp(b % 4), Hash: chain[len(chain)-1].Hash})
		}
		now := time.Duration(len(data)) * time.Second
		x.ApplyEvents(now, first, events)
		x.ApplyEvents(now, second, events)
		for id := range uint64(16) {
			chain := turn(id, 4)
			hit := x.Lookup(now, chain, 1)
			x.RecordCachedTokens(now, hit, int(second%100))
			if hit.Tokens > chain[len(chain)-1].Tokens || hit.Confidence < 0 || hit.Confidence > 1 {
				t.Fatalf("hit %+v", hit)
			}
		}
		if x.Len() < 0 || x.Len()*EntryBytes > x.Bytes() {
			t.Fatalf("%d entries in %d bytes", x.Len(), x.Bytes())
		}
	})
}

// BenchmarkIndex measures the memory that a chat takes and the cost of a
// lookup.
func BenchmarkIndex(b *testing.B) {
	const chats = 100_000
	x := NewIndex(chats)
	for id := range uint64(chats) {
		x.RecordPlaced(0, turn(id, 2), 1, Hit{Link: -1})
	}
	chain := turn(77, 3)
	b.ReportAllocs()
	for b.Loop() {
		x.Lookup(0, chain, 1)
	}
	b.ReportMetric(float64(x.Bytes())/chats, "B/chat")
	b.ReportMetric(100*float64(x.Len())/chats, "kept-pct")
}

// BenchmarkPlaceAndAdmit measures a whole decision: order, walk, index and
// load bound.
func BenchmarkPlaceAndAdmit(b *testing.B) {
	for _, n := range []int{12, 790} {
		b.Run(fmt.Sprint(n), func(b *testing.B) { placeAndAdmit(b, n) })
	}
}

func placeAndAdmit(b *testing.B, n int) {
	f := newFleet(b, n, ReuseFirst)
	var chains [][]chat.Link
	for id := range uint64(1000) {
		chains = append(chains, turn(id, 3))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := f.run(time.Hour*3, chains[i%len(chains)])
		f.owner.Finish(time.Hour*3, r.Answer.Ticket, r.Answer.Hit, -1)
	}
}
