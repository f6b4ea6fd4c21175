package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
)

func open(int) bool   { return true }
func closed(int) bool { return false }

func request(id string, customer string, class Class, tokens int) Request {
	return Request{
		ID:       protocol.RequestID(id),
		Customer: protocol.CustomerID(customer),
		Class:    class,
		Weight:   1,
		Tokens:   tokens,
		Deadline: time.Hour,
	}
}

// Invalid requests get the reason that names the fault, and no Retry-After,
// because a retry of the same request can't succeed.
func TestSubmitRefusesBadInput(t *testing.T) {
	late := request("r", "a", 0, 1)
	late.Deadline = -1
	weightless := request("r", "a", 0, 1)
	weightless.Weight = 0
	cases := map[Reason]Request{
		ReasonBadClass:   request("r", "a", NumClasses, 1),
		ReasonBadTokens:  request("r", "a", 0, 0),
		ReasonBadWeight:  weightless,
		ReasonImpossible: late,
	}
	for reason, r := range cases {
		outcome := New(DefaultConfig(1000, 37)).Submit(0, r, open)
		assert.Equal(t, outcome, Outcome{Kind: Refused, Reason: reason})
	}
}

// The order of the waiting requests: by class, between customers by tokens and
// not by requests, and short before long within a customer.
func TestOrderOfService(t *testing.T) {
	type step struct {
		customer string
		class    Class
		tokens   int
	}
	cases := []struct {
		name  string
		steps []step
		want  []string
	}{
		{"urgent class first", []step{{"a", 1, 10}, {"b", 0, 10}}, []string{"1", "0"}},
		{
			"customers share by tokens",
			[]step{{"a", 0, 100}, {"a", 0, 100}, {"b", 0, 50}, {"b", 0, 50}, {"b", 0, 50}},
			[]string{"0", "2", "3", "1", "4"},
		},
		{"short passes long of one customer", []step{{"a", 0, 4000}, {"a", 0, 10}}, []string{"1", "0"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New(DefaultConfig(1000, 37))
			for i, s := range c.steps {
				out := q.Submit(0, request(fmt.Sprint(i), s.customer, s.class, s.tokens), closed)
				assert.Equal(t, out.Kind, Queued)
			}
			var got []string
			for {
				r, ok := q.Next(0, open)
				if !ok {
					break
				}
				got = append(got, string(r.ID))
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// A request with a deadline in 11 s arrives when 20 s of work wait before it.
// It must be refused at once, with a Retry-After by which the queue has shrunk
// enough.
func TestEarlyRefusal(t *testing.T) {
	q := New(DefaultConfig(100, 37))
	for i := range 20 {
		q.Submit(0, request(fmt.Sprint(i), fmt.Sprint("c", i), 0, 100), closed)
	}
	r := request("late", "z", 0, 100)
	r.Deadline = 11 * time.Second
	out := q.Submit(0, r, closed)
	assert.Equal(t, out.Kind, Refused)
	assert.Equal(t, out.Reason, ReasonDeadline)
	assert.Assert(t, out.RetryAfter >= 10*time.Second && out.RetryAfter <= 30*time.Second, "%v", out)
	assert.Equal(t, q.Len(), 20)
}

// A request expires only after its latest start, and a request can be cancelled
// only once.
func TestExpireAndCancel(t *testing.T) {
	q := New(DefaultConfig(1e6, 37))
	r := request("a", "a", 0, 1)
	r.Deadline = 3 * time.Second
	q.Submit(0, r, closed)
	q.Submit(0, request("b", "a", 0, 1), closed)
	at, ok := q.NextExpiry()
	assert.Assert(t, ok)
	assert.Equal(t, len(q.Expire(at-1)), 0)
	refusals := q.Expire(at)
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Reason, ReasonExpired)
	assert.Assert(t, q.Cancel(at, "b"))
	assert.Assert(t, !q.Cancel(at, "b"))
	assert.Equal(t, q.Len(), 0)
}

// Every queued request comes out exactly once, by Next, Expire or Cancel, and
// the token counts that the estimates read equal those of the waiting requests.
func TestNothingLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(DefaultConfig(500, 37))
		waiting := map[protocol.RequestID]Request{}
		now := time.Duration(0)
		gone := func(id protocol.RequestID) {
			_, ok := waiting[id]
			assert.Assert(t, ok, "%s came out twice", id)
			delete(waiting, id)
		}
		steps := rapid.IntRange(1, 200).Draw(t, "steps")
		for i := range steps {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "op") {
			case 0, 1, 2:
				r := request(fmt.Sprint(i), fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "c")),
					Class(rapid.IntRange(0, NumClasses-1).Draw(t, "class")), rapid.IntRange(1, 900).Draw(t, "tokens"))
				r.Weight = rapid.Float64Range(0.5, 4).Draw(t, "weight")
				r.Deadline = now + time.Duration(rapid.IntRange(1, 60).Draw(t, "s"))*time.Second
				out := q.Submit(now, r, closed)
				if out.Kind == Queued {
					waiting[r.ID] = r
				}
				assert.Assert(t, out.Kind != Refused || out.RetryAfter > 0 || out.Reason == ReasonImpossible)
			case 3:
				if r, ok := q.Next(now, open); ok {
					gone(r.ID)
				}
				fallthrough
			case 4:
				for _, refusal := range q.Expire(now) {
					gone(refusal.Request.ID)
				}
			case 5:
				id := protocol.RequestID(fmt.Sprint(rapid.IntRange(0, i).Draw(t, "cancelled")))
				if q.Cancel(now, id) {
					gone(id)
				}
			}
			assert.Equal(t, q.Len(), len(waiting))
			tokens := 0
			for _, r := range waiting {
				tokens += r.Tokens
			}
			counted := 0
			for class := range Class(NumClasses) {
				counted += q.Tokens(class)
			}
			assert.Equal(t, counted, tokens)
		}
	})
}

// An engine slows down to a tenth while requests wait. If they started now they
// would end after their deadlines, so they must be refused instead of using
// engine time for answers that come too late.
func TestSlowedEngineStartsNothingThatEndsLate(t *testing.T) {
	q := New(DefaultConfig(1000, 37))
	r := request("r", "a", 0, 100)
	r.AnswerTokens = 100
	r.Deadline = 10 * time.Second
	assert.Equal(t, q.Submit(0, r, closed).Kind, Queued)
	now := time.Duration(0)
	for range 50 {
		now += 100 * time.Millisecond
		q.RecordProgress(now, 20, 54)
	}
	_, ok := q.Next(now, open)
	assert.Assert(t, !ok)
	refusals := q.Expire(now)
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Reason, ReasonExpired)
}

// Two hundred urgent customers send without a pause. By weight alone the one
// customer of class 2 would get half a percent; its class must get its minimum
// share of 3%.
func TestMinimumShareOfAClass(t *testing.T) {
	q := New(DefaultConfig(1000, 37))
	next := 0
	submit := func(customer string, class Class) {
		next++
		q.Submit(0, request(fmt.Sprint(next), customer, class, 100), closed)
	}
	for i := range 200 {
		submit(fmt.Sprint("urgent-", i), 0)
	}
	submit("summaries", 2)
	served := 0
	const starts = 5000
	for range starts {
		r, ok := q.Next(0, open)
		assert.Assert(t, ok)
		if r.Class == 2 {
			served++
		}
		submit(string(r.Customer), r.Class)
	}
	least := 0.03 * starts
	assert.Assert(t, float64(served) >= 0.95*least && float64(served) <= 1.2*least, "%d", served)
}

// Less urgent requests must leave the reserve of a busy engine free. Otherwise
// an urgent request would wait for a summary to end.
func TestLessUrgentWorkLeavesAReserve(t *testing.T) {
	q := New(DefaultConfig(1000, 37))
	q.RecordProgress(0, 0, 1)
	gate := func(tokens int) bool { return tokens <= 300 }
	assert.Equal(t, q.Submit(0, request("low", "a", 1, 100), gate).Kind, Queued)
	assert.Equal(t, q.Submit(0, request("urgent", "b", 0, 100), gate).Kind, Admitted)
	_, ok := q.Next(0, gate)
	assert.Assert(t, !ok)
	_, ok = q.Next(0, func(tokens int) bool { return tokens <= 350 })
	assert.Assert(t, ok)
}

// The expected wait of a request depends on its own customer's queue and on
// more urgent work, and not on another customer's surge or on less urgent work.
func TestExpectedWait(t *testing.T) {
	cases := []struct {
		name     string
		customer string
		class    Class
		min, max time.Duration
	}{
		{"behind its own surge", "surging", 0, 9 * time.Second, 11 * time.Second},
		{"by its share beside another's surge", "small", 0, 0, 300 * time.Millisecond},
		{"less urgent, by its share", "other", 2, 0, time.Second},
		{"behind background work only", "behind", 3, 0, 11 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New(DefaultConfig(1000, 37))
			for i := range 100 {
				q.Submit(0, request(fmt.Sprint(i), "surging", 0, 100), closed)
			}
			wait := q.ExpectedWait(0, request("r", c.customer, c.class, 100))
			assert.Assert(t, wait >= c.min && wait <= c.max, "%v", wait)
		})
	}
	q := New(DefaultConfig(1000, 37))
	for i := range 100 {
		q.Submit(0, request(fmt.Sprint(i), fmt.Sprint("batch-", i), 2, 100), closed)
	}
	wait := q.ExpectedWait(0, request("r", "urgent", 0, 100))
	assert.Equal(t, wait, time.Duration(0))
}

// The tokens of a long request of class 1 plus the reserve exceed the
// upstream's bound. If the reserve applied on an idle upstream, the request
// would wait until its deadline and never start.
func TestReserveStopsNobodyAtAnIdleUpstream(t *testing.T) {
	q := New(DefaultConfig(1000, 37))
	small := func(tokens int) bool { return tokens <= 300 }
	q.RecordProgress(0, 0, 1)
	assert.Equal(t, q.Submit(0, request("long", "a", 1, 200), small).Kind, Queued)
	_, ok := q.Next(0, small)
	assert.Assert(t, !ok)
	q.RecordProgress(time.Second, 10, 0) // the running request has ended
	_, ok = q.Next(time.Second, small)
	assert.Assert(t, ok)
	q.RecordProgress(2*time.Second, 10, 0)
	assert.Equal(t, q.Submit(2*time.Second, request("next", "a", 1, 200), small).Kind, Admitted)
	assert.Equal(t, q.Submit(2*time.Second, request("third", "a", 1, 200), small).Kind, Queued)
}
