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

// fleet is a single owner of all upstreams, which walks query.
type fleet struct {
	set        *Set
	ledger     *loadbound.Ledger
	owner      *Owner
	policy     Policy
	groupShare float64
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
	f.owner.AddUpstream(now, id, 1, 1000)
}

func (f *fleet) run(now time.Duration, chain []chat.Link) Result {
	w := StartWalk(f.set, f.policy, Request{Chain: chain, RootIndex: 1, OutputTokens: 100, GroupShare: f.groupShare})
	for step, ok := w.Next(); ok; step, ok = w.Next() {
		w.HandleAnswer(f.owner.HandleQuery(now, step.Query))
	}
	r := w.Result()
	if r.Moved {
		f.owner.RecordMove(now, chain[1].Hash, r.Upstream)
	}
	return r
}

// turn returns the chain of one turn of a chat. Turns are numbered from 1.
func turn(id uint64, number int) []chat.Link {
	chain := []chat.Link{{Hash: 77, Tokens: 200}}
	for i := range 2*number - 1 {
		chain = append(chain, chat.Link{Hash: chat.ChainHash(mix(id<<16 + uint64(i) + 1)), Tokens: 200 + 100*(i+1)})
	}
	return chain
}

// A chat ran on its second choice because its first choice was full. When it
// returns, the first choice has capacity. Without the forwarding pointer the
// first choice would take the chat and prefill all of it.
func TestReturningChatFollowsPointerFromItsFirstChoice(t *testing.T) {
	f := newFleet(t, 4, ReuseFirst)
	var order [MaxChoices]int32
	f.set.Order(Key{Root: turn(5, 1)[1].Hash}, order[:])
	firstChoice := f.set.Member(order[0]).ID
	filler := f.ledger.Admit(0, firstChoice, loadbound.Request{Cost: 5000})
	first := f.run(0, turn(5, 1))
	assert.Assert(t, first.Moved && first.Upstream != firstChoice)
	f.ledger.Finish(0, filler.Ticket)
	f.owner.Finish(0, first.Answer.Ticket, first.Answer.Hit, 0)
	second := f.run(time.Minute, turn(5, 2))
	assert.Equal(t, second.Upstream, first.Upstream)
	assert.Assert(t, second.Answer.Hit.Tokens > 0 && !second.Moved)
}

// An engine joins and becomes the first choice of a twelfth of all chats,
// which return within minutes. It knows none of them. Without a probe of the
// next choice, all of them would be prefilled again.
func TestReturningChatFindsFormerFirstChoiceAfterJoin(t *testing.T) {
	f := newFleet(t, 11, ReuseFirst)
	ran := make(map[uint64]protocol.UpstreamID)
	for id := uint64(1); id <= 300; id++ {
		r := f.run(0, turn(id, 1))
		f.owner.Finish(0, r.Answer.Ticket, r.Answer.Hit, 0)
		ran[id] = r.Upstream
	}
	f.set = mustSet(t, members(12))
	f.join(time.Minute, "e011")
	changed := 0
	for id := uint64(1); id <= 300; id++ {
		r := f.run(2*time.Minute, turn(id, 2))
		f.owner.Finish(2*time.Minute, r.Answer.Ticket, r.Answer.Hit, 500)
		if r.FirstChoice == "e011" {
			changed++
		}
		assert.Equal(t, r.Upstream, ran[id], "chat %d", id)
	}
	assert.Assert(t, changed > 10)
}

// A customer's surge fills the few engines of its group. Its next chats must
// run elsewhere instead of waiting there while 90 engines are idle.
func TestSurgeBeyondTheGroupRunsElsewhere(t *testing.T) {
	f := newFleet(t, 100, ReuseFirst)
	f.groupShare = 0.05
	used := make(map[protocol.UpstreamID]bool)
	for id := uint64(1); id <= 60; id++ {
		r := f.run(0, turn(id, 1))
		assert.Equal(t, r.Verdict, Admitted)
		used[r.Upstream] = true
	}
	assert.Assert(t, len(used) > 30, "%d engines", len(used))
}

// A chat with a long prompt returns just after the engine evicted it, and the
// event arrives a second later. If the owner counted the prompt as cached for
// as long as the request runs, it would give the engine more work than its
// bound allows.
func TestLateEvictionCorrectsARunningRequest(t *testing.T) {
	f := newFleet(t, 1, ReuseFirst)
	first := f.run(0, turn(5, 30))
	f.owner.Finish(0, first.Answer.Ticket, first.Answer.Hit, 0)
	again := f.run(time.Minute, turn(5, 31))
	warm, _, _ := f.ledger.Load(time.Minute, "e000")
	late := evictions(turn(5, 30)[59].Hash)
	f.owner.HandleCacheEvents(time.Minute+time.Second, "e000", 1, late)
	cold, _, _ := f.ledger.Load(time.Minute+time.Second, "e000")
	assert.Assert(t, cold > warm+500, "warm %v cold %v", warm, cold)
	f.owner.Finish(time.Minute+time.Second, again.Answer.Ticket, again.Answer.Hit, 0)
	load, _, _ := f.ledger.Load(time.Hour, "e000")
	assert.Equal(t, load, 0.0)
}

// As above, but the request has ended when the event arrives, so there is
// nothing left to correct.
func TestLateEvictionLeavesAFinishedRequestAlone(t *testing.T) {
	f := newFleet(t, 1, ReuseFirst)
	first := f.run(0, turn(5, 30))
	other := f.run(0, turn(6, 1))
	f.owner.Finish(0, first.Answer.Ticket, first.Answer.Hit, 0)
	again := f.run(time.Minute, turn(5, 31))
	f.owner.Finish(time.Minute, again.Answer.Ticket, again.Answer.Hit, 0)
	before, _, _ := f.ledger.Load(time.Minute, "e000")
	f.owner.HandleCacheEvents(time.Minute+time.Second, "e000", 1, evictions(turn(5, 30)[59].Hash))
	after, _, _ := f.ledger.Load(time.Minute+time.Second, "e000")
	assert.Equal(t, after, before)
	assert.Assert(t, other.Verdict == Admitted)
}

// Bad input must end the walk with a reason, not with a panic.
func TestWalkAnswersBadInputWithAReason(t *testing.T) {
	empty := mustSet(t, nil)
	one := mustSet(t, members(1))
	cases := []struct {
		set     *Set
		request Request
		want    RefusalReason
	}{
		{empty, Request{Chain: turn(1, 1), RootIndex: 1}, NoUpstream},
		{one, Request{}, EmptyRequest},
		{one, Request{Chain: turn(1, 1), RootIndex: 9}, EmptyRequest},
		{one, Request{Chain: turn(1, 1), RootIndex: -1}, EmptyRequest},
	}
	for _, c := range cases {
		w := StartWalk(c.set, DefaultPolicy(1), c.request)
		_, more := w.Next()
		assert.Assert(t, !more)
		assert.Equal(t, w.Result().Refusal, c.want)
	}
}

// The owners of all choices are silent, for example because their data centre
// is partitioned. The walk must end with a refusal that says so instead of
// asking for ever.
func TestWalkEndsWhenNoOwnerAnswers(t *testing.T) {
	w := StartWalk(mustSet(t, members(20)), DefaultPolicy(1), Request{Chain: turn(1, 1), RootIndex: 1})
	for _, ok := w.Next(); ok; _, ok = w.Next() {
		w.HandleAnswer(NoAnswer)
	}
	assert.Equal(t, w.Result().Refusal, NoOwner)
	assert.Assert(t, w.Result().Queries <= orderChoices+widenRounds*widenChoices)
}

// Whatever the owners answer, a walk must end after at most MaxQueries queries
// with a typed result.
func TestWalkAlwaysEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, err := NewSet(1, members(rapid.IntRange(0, 20).Draw(t, "n")))
		assert.NilError(t, err)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		w := StartWalk(set, DefaultPolicy(1), Request{Chain: turn(1, 2), RootIndex: 1, OutputTokens: 5})
		queries := 0
		for _, ok := w.Next(); ok; _, ok = w.Next() {
			queries++
			assert.Assert(t, queries <= MaxQueries)
			forward := ShortID(members(20)[rng.IntN(20)].ID)
			w.HandleAnswer(Answer{Verdict: Verdict(1 + rng.IntN(7)), Forward: forward, Ratio: rng.Float64() * 2})
		}
		verdict := w.Result().Verdict
		assert.Assert(t, verdict == Admitted || verdict == Queued || verdict == Refused)
	})
}
