package engine

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

func newTestCore(model CostModel, faults Faults) *Core {
	return NewCore(model, faults, []protocol.Model{"m1"}, "serve", rand.New(rand.NewPCG(1, 2)))
}

// testJob returns a chat whose messages have the given texts and whose answer has
// the given number of tokens.
func testJob(name string, priority, tokens int, texts ...string) Job {
	messages := make([]chat.Message, len(texts))
	for i, text := range texts {
		messages[i] = chat.Message{Role: "user", Content: text}
	}
	full := append(messages[:len(messages):len(messages)], chat.Message{Role: "assistant", Content: "fine"})
	return Job{
		Request:         protocol.RequestID(name),
		Priority:        priority,
		Prompt:          chat.Chain("m1", messages),
		PromptAndAnswer: chat.Chain("m1", full),
		Tokens:          tokens,
	}
}

// The golden file fixes the timing of the simulated engine: jobs join the batch by
// priority, prefill runs in chunks beside decoding, a returning chat is served from
// the cache, and a slow factor and a stall delay iterations.
func TestGoldenSession(t *testing.T) {
	model := DefaultCostModel()
	model.MaxBatch, model.PrefillChunk = 2, 100
	core := newTestCore(model, Faults{SlowFactor: 1})
	var log strings.Builder
	names := map[JobID]string{}
	submit := func(now time.Duration, job Job) {
		id, ok := core.Submit(now, job)
		assert.Assert(t, ok)
		names[id] = string(job.Request)
		fmt.Fprintf(&log, "%v submit %s, %d prompt tokens\n", now, job.Request, tokensOf(job.Prompt))
	}
	runUntil := func(now time.Duration) {
		for at, ok := core.Next(); ok && at <= now; at, ok = core.Next() {
			for _, event := range core.Advance(at) {
				what := map[EventKind]string{TokenReady: "token", JobDone: "done"}[event.Kind]
				fmt.Fprintf(&log, "%v %s %s %d, %d cached\n", at, names[event.Job], what, event.Index, event.Cached)
			}
		}
		fmt.Fprintf(&log, "%v load %+v\n", now, core.Load())
	}
	long := strings.Repeat("uplift ", 150)
	submit(0, testJob("long", 1, 2, long))
	submit(0, testJob("short", 1, 3, "hi"))
	submit(0, testJob("later", 2, 1, "supply summary"))
	submit(0, testJob("urgent", 0, 1, "truck"))
	runUntil(60 * time.Millisecond)
	submit(60*time.Millisecond, testJob("returning", 1, 3, long, "and N512GL?"))
	core.SetFaults(60*time.Millisecond, Faults{SlowFactor: 3})
	runUntil(90 * time.Millisecond)
	core.SetFaults(90*time.Millisecond, Faults{SlowFactor: 1, Stall: true})
	runUntil(200 * time.Millisecond)
	core.SetFaults(200*time.Millisecond, Faults{SlowFactor: 1})
	runUntil(300 * time.Millisecond)
	golden.Assert(t, log.String(), "session.golden")
}

// A router reconstructs the cache from its events. For any sequence of chats, that
// copy must equal the cache, no entry may be without its parent, and the cache must
// stay within its capacity.
func TestEventsMirrorTheCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := DefaultCostModel()
		model.CacheTokens = rapid.IntRange(1, 60).Draw(t, "capacity")
		core := newTestCore(model, Faults{})
		mirror := map[string]bool{}
		expected := uint64(1)
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			texts := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "ccccc"}), 1, 5).Draw(t, "chat")
			_, ok := core.Submit(core.endsAt, testJob("r", 1, 1, texts...))
			assert.Assert(t, ok)
			for at, ok := core.Next(); ok; at, ok = core.Next() {
				core.Advance(at)
			}
			for batch := core.TakeEvents(core.endsAt); batch != nil; batch = core.TakeEvents(core.endsAt) {
				assert.Equal(t, batch.First, expected)
				expected += uint64(len(batch.Events))
				for _, event := range batch.Events {
					assert.Assert(t, mirror[event.Hash] == (event.Op == upstreamapi.CacheEvicted))
					mirror[event.Hash] = event.Op == upstreamapi.CacheStored
				}
			}
			assert.Assert(t, core.cache.used <= model.CacheTokens)
			for hash := range core.cache.entries {
				assert.Assert(t, mirror[FormatHash(hash)])
				assert.Assert(t, core.cache.chain(hash) != nil, "orphan")
				delete(mirror, FormatHash(hash))
			}
			for hash, cached := range mirror {
				assert.Assert(t, !cached, hash)
			}
			for hash := range core.cache.entries {
				mirror[FormatHash(hash)] = true
			}
		}
	})
}

// A router detects lost events by a batch whose First is not the number that it
// expects. No event may be published before it has the configured age.
func TestEventsComeLateAndWithGaps(t *testing.T) {
	const delay = 500
	core := newTestCore(DefaultCostModel(), Faults{EventDelayMs: delay, EventGap: 0.3})
	expected, gaps, batches := uint64(1), 0, 0
	for i := range 40 {
		now := time.Duration(i) * time.Second
		core.Import(now, entriesOf(chat.Chain("m1", []chat.Message{{Content: fmt.Sprint(i)}})))
		assert.Assert(t, core.TakeEvents(now+(delay-1)*time.Millisecond) == nil)
		batch := core.TakeEvents(now + delay*time.Millisecond)
		if batch == nil {
			gaps++
			continue
		}
		batches++
		assert.Equal(t, batch.First-expected, uint64(i)+1-expected)
		expected = batch.First + uint64(len(batch.Events))
	}
	assert.Assert(t, gaps > 5 && batches > 20, "%d gaps, %d batches", gaps, batches)
}

// While no router is reachable for a long time, the engine must keep only a bounded
// number of events. The number of the next event shows how many were dropped.
func TestUnpublishedEventsAreBounded(t *testing.T) {
	log := eventLog{first: 1}
	for i := range maxPending + 1 {
		log.add(0, upstreamapi.CacheStored, chat.ChainHash(i+1))
	}
	batch := log.take(0, 0, 0, rand.New(rand.NewPCG(1, 1)))
	assert.Equal(t, batch.First, uint64(maxPending/2+1))
	assert.Equal(t, batch.Events[0].Hash, FormatHash(chat.ChainHash(batch.First)))
	assert.Equal(t, len(log.pending)+len(batch.Events), maxPending/2+1)
}

// Announcements report the load as it was LoadLagMs ago. The history that this
// needs must not grow without bound.
func TestLoadIsReportedWithLag(t *testing.T) {
	core := newTestCore(DefaultCostModel(), Faults{LoadLagMs: 100})
	_, _ = core.Submit(0, testJob("r", 1, 1000, "hi"))
	assert.Equal(t, core.LaggedLoad(99*time.Millisecond).Running, 0)
	assert.Equal(t, core.LaggedLoad(100*time.Millisecond).Running, 1)
	core.Advance(time.Second)
	assert.Equal(t, core.LaggedLoad(time.Second).OutstandingTokens > core.Load().OutstandingTokens, true)
	assert.Assert(t, len(core.loadHistory.samples) < 40, "history grows without bound")
}

// A router that issued engine orders has been replaced, doesn't know it yet, and
// sends an order with its old fencing number. A normal engine refuses it. An engine
// with IgnoreFence applies it, which only its state shows.
func TestFencingKeptOrIgnored(t *testing.T) {
	for _, ignore := range []bool{false, true} {
		core := newTestCore(DefaultCostModel(), Faults{IgnoreFence: ignore})
		current := upstreamapi.EngineOrder{Fence: 7, Action: upstreamapi.ActionRole, Role: "prefill"}
		stale := upstreamapi.EngineOrder{Fence: 6, Action: upstreamapi.ActionRole, Role: "decode"}
		assert.Equal(t, core.Order(0, current), OrderAccepted)
		assert.Equal(t, core.Order(0, current), OrderAccepted, "the same number again")
		want, role, fence := OrderFenced, "prefill", protocol.Fence(7)
		if ignore {
			want, role, fence = OrderAccepted, "decode", 6
		}
		assert.Equal(t, core.Order(0, stale), want)
		assert.Equal(t, core.State(0).Role, role)
		assert.Equal(t, core.State(0).Fence, fence)
	}
}

// An engine that gets several load orders at once loads one model at a time. An
// order that repeats an earlier one must not start a second load.
func TestModelLoadsRunOneAfterAnother(t *testing.T) {
	core := newTestCore(DefaultCostModel(), Faults{})
	for _, model := range []protocol.Model{"m2", "m3", "m3"} {
		core.Order(time.Second, upstreamapi.EngineOrder{Action: upstreamapi.ActionLoad, Model: model})
	}
	ready := func(at time.Duration) []protocol.Model { return core.orderState.readyModels(at) }
	assert.DeepEqual(t, ready(6*time.Second-1), []protocol.Model{"m1"})
	assert.DeepEqual(t, ready(6*time.Second), []protocol.Model{"m1", "m2"})
	assert.DeepEqual(t, ready(11*time.Second), []protocol.Model{"m1", "m2", "m3"})
}
