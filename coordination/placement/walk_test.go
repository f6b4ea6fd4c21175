package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/coordination/loadbound"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// fleet is one owner that holds every upstream, driven by walks.
type fleet struct {
	set    *Set
	ledger *loadbound.Ledger
	owner  *Owner
	policy Policy
	spread float64
}

func newFleet(t testing.TB, n int, weight float64) *fleet {
	f := &fleet{set: mustSet(t, members(n)), policy: DefaultPolicy(weight)}
	f.ledger = loadbound.NewLedger(loadbound.DefaultConfig())
	f.owner = NewOwner(f.ledger, f.policy, 1000)
	for i := range n {
		f.join(0, f.set.Member(int32(i)).ID)
	}
	return f
}

func (f *fleet) join(now time.Duration, id protocol.UpstreamID) {
	f.ledger.Acquire(now, id, loadbound.Grant{Fence: 1, ExpiresAt: time.Hour * 1000, Capacity: 1000})
	f.owner.Hold(now, id, 1, 1000)
}

func (f *fleet) run(now time.Duration, chain []chat.Link) Result {
	w := Begin(f.set, f.policy, Request{Chain: chain, Root: 1, OutputTokens: 100, Spread: f.spread})
	for step, ok := w.Next(); ok; step, ok = w.Next() {
		w.Answered(f.owner.Ask(now, step.Ask))
	}
	r := w.Result()
	if r.Moved {
		f.owner.Moved(now, chain[1].Hash, r.Upstream)
	}
	return r
}

// turn returns the chain of one turn of a chat, from 1.
func turn(id uint64, number int) []chat.Link {
	chain := []chat.Link{{Hash: 77, Tokens: 200}}
	for i := range 2*number - 1 {
		chain = append(chain, chat.Link{Hash: chat.ChainHash(mix(id<<16 + uint64(i) + 1)), Tokens: 200 + 100*(i+1)})
	}
	return chain
}

// A dispatcher's chat ran on its second choice because its home was full. When
// it returns, the home has room; without the pointer it would take the chat
// and prefill all of it.
func TestReturningChatFollowsPointerFromItsHome(t *testing.T) {
	f := newFleet(t, 4, ReuseFirst)
	var order [MaxChoices]int32
	f.set.Order(Key{Root: turn(5, 1)[1].Hash}, order[:])
	home := f.set.Member(order[0]).ID
	filler := f.ledger.Admit(0, home, loadbound.Request{Cost: 5000})
	first := f.run(0, turn(5, 1))
	assert.Assert(t, first.Moved && first.Upstream != home)
	f.ledger.Finish(0, filler.Ticket)
	f.owner.Finished(0, first.Answer.Ticket, first.Answer.Hit, 0)
	second := f.run(time.Minute, turn(5, 2))
	assert.Equal(t, second.Upstream, first.Upstream)
	assert.Assert(t, second.Answer.Hit.Tokens > 0 && !second.Moved)
}

// An engine joins and becomes the home of a twelfth of all chats. Their users
// return within minutes; asked first, the newcomer knows none of them, and
// without a probe of the next choice all of them would start cold.
func TestReturningChatFindsFormerHomeAfterJoin(t *testing.T) {
	f := newFleet(t, 11, ReuseFirst)
	ran := make(map[uint64]protocol.UpstreamID)
	for id := uint64(1); id <= 300; id++ {
		r := f.run(0, turn(id, 1))
		f.owner.Finished(0, r.Answer.Ticket, r.Answer.Hit, 0)
		ran[id] = r.Upstream
	}
	f.set = mustSet(t, members(12))
	f.join(time.Minute, "e011")
	newHomes := 0
	for id := uint64(1); id <= 300; id++ {
		r := f.run(2*time.Minute, turn(id, 2))
		f.owner.Finished(2*time.Minute, r.Answer.Ticket, r.Answer.Hit, 500)
		if r.Home == "e011" {
			newHomes++
		}
		assert.Equal(t, r.Upstream, ran[id], "chat %d", id)
	}
	assert.Assert(t, newHomes > 10)
}

// A customer surges and fills the few engines of its group. Its next chats
// must run elsewhere instead of queueing there while 90 engines are idle.
func TestSurgeBeyondTheGroupRunsElsewhere(t *testing.T) {
	f := newFleet(t, 100, ReuseFirst)
	f.spread = 0.05
	used := make(map[protocol.UpstreamID]bool)
	for id := uint64(1); id <= 60; id++ {
		r := f.run(0, turn(id, 1))
		assert.Equal(t, r.Verdict, Admitted)
		used[r.Upstream] = true
	}
	assert.Assert(t, len(used) > 30, "%d engines", len(used))
}

// A chat with a long prompt returns an instant after the engine evicted it;
// the event arrives half a second later. Counted as cached for as long as it
// runs, the engine would be given more above its bound.
func TestLateEvictionCorrectsARunningRequest(t *testing.T) {
	f := newFleet(t, 1, ReuseFirst)
	first := f.run(0, turn(5, 30))
	f.owner.Finished(0, first.Answer.Ticket, first.Answer.Hit, 0)
	again := f.run(time.Minute, turn(5, 31))
	warm, _, _ := f.ledger.Load(time.Minute, "e000")
	late := evictions(turn(5, 30)[59].Hash)
	f.owner.CacheEvents(time.Minute+time.Second, "e000", 1, late)
	cold, _, _ := f.ledger.Load(time.Minute+time.Second, "e000")
	assert.Assert(t, cold > warm+500, "warm %v cold %v", warm, cold)
	f.owner.Finished(time.Minute+time.Second, again.Answer.Ticket, again.Answer.Hit, 0)
	load, _, _ := f.ledger.Load(time.Hour, "e000")
	assert.Equal(t, load, 0.0)
}

// The same, but the short answer has ended when the event arrives: nothing
// is left to correct.
func TestLateEvictionLeavesAFinishedRequestAlone(t *testing.T) {
	f := newFleet(t, 1, ReuseFirst)
	first := f.run(0, turn(5, 30))
	other := f.run(0, turn(6, 1))
	f.owner.Finished(0, first.Answer.Ticket, first.Answer.Hit, 0)
	again := f.run(time.Minute, turn(5, 31))
	f.owner.Finished(time.Minute, again.Answer.Ticket, again.Answer.Hit, 0)
	before, _, _ := f.ledger.Load(time.Minute, "e000")
	f.owner.CacheEvents(time.Minute+time.Second, "e000", 1, evictions(turn(5, 30)[59].Hash))
	after, _, _ := f.ledger.Load(time.Minute+time.Second, "e000")
	assert.Equal(t, after, before)
	assert.Assert(t, other.Verdict == Admitted)
}

func TestWalkAnswersBadInputWithAReason(t *testing.T) {
	empty := mustSet(t, nil)
	one := mustSet(t, members(1))
	cases := []struct {
		set     *Set
		request Request
		want    RefusalReason
	}{
		{empty, Request{Chain: turn(1, 1), Root: 1}, NoUpstream},
		{one, Request{}, EmptyRequest},
		{one, Request{Chain: turn(1, 1), Root: 9}, EmptyRequest},
		{one, Request{Chain: turn(1, 1), Root: -1}, EmptyRequest},
	}
	for _, c := range cases {
		w := Begin(c.set, DefaultPolicy(1), c.request)
		_, more := w.Next()
		assert.Assert(t, !more)
		assert.Equal(t, w.Result().Refusal, c.want)
	}
}

// The owners of all choices are silent (their data centre is cut off). The
// walk must end with a refusal that says so instead of asking for ever.
func TestWalkEndsWhenNoOwnerAnswers(t *testing.T) {
	w := Begin(mustSet(t, members(20)), DefaultPolicy(1), Request{Chain: turn(1, 1), Root: 1})
	for _, ok := w.Next(); ok; _, ok = w.Next() {
		w.Answered(Silent)
	}
	assert.Equal(t, w.Result().Refusal, NoOwner)
	assert.Assert(t, w.Result().Asks <= openChoices+wideRounds*wideChoices)
}

// Whatever owners answer, a walk ends after few asks with a typed result.
func TestWalkAlwaysEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, err := NewSet(1, members(rapid.IntRange(0, 20).Draw(t, "n")))
		assert.NilError(t, err)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := Begin(set, DefaultPolicy(1), Request{Chain: turn(1, 2), Root: 1, OutputTokens: 5})
		asks := 0
		for _, ok := w.Next(); ok; _, ok = w.Next() {
			asks++
			assert.Assert(t, asks <= MaxAsks)
			forward := ShortID(members(20)[rng.IntN(20)].ID)
			w.Answered(Answer{Verdict: Verdict(1 + rng.IntN(7)), Forward: forward, Ratio: rng.Float64() * 2})
		}
		verdict := w.Result().Verdict
		assert.Assert(t, verdict == Admitted || verdict == Queued || verdict == Refused)
	})
}
