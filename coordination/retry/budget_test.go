package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endiveplank/protocol"
)

func source() *rand.Rand { return rand.New(rand.NewPCG(4, 4)) }

func failure() Failure {
	return Failure{Attempt: 1, Tokens: 100, Run: protocol.UnknownRun, Repeatable: true, Deadline: time.Hour}
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Failure)
		want   Reason
	}{
		{"chat of unknown run", func(*Failure) {}, ReasonNone},
		{"order of unknown run", func(f *Failure) { f.Repeatable = false }, ReasonNotRepeatable},
		{"order not run", func(f *Failure) { f.Repeatable, f.Run = false, protocol.NotRun }, ReasonNone},
		{"order without outcome", func(f *Failure) { f.Repeatable, f.Run = false, "" }, ReasonNotRepeatable},
		{"answered", func(f *Failure) { f.Run = protocol.Ran }, ReasonAnswered},
		{"all attempts used", func(f *Failure) { f.Attempt = 5 }, ReasonAttempts},
		{"too late", func(f *Failure) { f.Deadline = time.Second; f.RunTime = time.Second }, ReasonDeadline},
		{"asked to stay away too long", func(f *Failure) { f.RetryAfter = 2 * time.Hour }, ReasonDeadline},
		{"more than the budget", func(f *Failure) { f.Tokens = 3001 }, ReasonBudget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := failure()
			c.change(&f)
			decision := New(DefaultConfig()).Decide(0, source(), f)
			assert.Equal(t, decision.Reason, c.want)
			assert.Equal(t, decision.Retry, c.want == ReasonNone)
		})
	}
}

// Whatever fails and whenever, retries cost at most the allowance, what it
// earned anew since, and the share of the fresh work.
func TestRetriesStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		b := New(config)
		rng := source()
		fresh, spent := 0, 0
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "fresh") {
				tokens := rapid.IntRange(1, 5000).Draw(t, "tokens")
				b.Fresh(now, tokens)
				fresh += tokens
			}
			f := failure()
			f.Deadline = now + time.Hour
			f.Tokens = rapid.IntRange(1, 5000).Draw(t, "cost")
			f.Attempt = rapid.IntRange(1, 4).Draw(t, "attempt")
			decision := b.Decide(now, rng, f)
			if decision.Retry {
				spent += f.Tokens
				assert.Assert(t, decision.Delay >= config.BaseDelay/2 && decision.Delay <= config.MaxDelay)
			}
		}
		earned := config.Allowance * (1 + now.Seconds()/100)
		assert.Assert(t, float64(spent) <= config.Share*float64(fresh)+earned+1, "%d of %d", spent, fresh)
	})
}

// Under steady load everything fails for ten minutes. The allowance must not
// come on top of the share: attempts stay within 1.1 times the fresh ones.
func TestSaturationStaysWithinTheShare(t *testing.T) {
	b := New(DefaultConfig())
	fresh, retries := 0, 0
	for tick := range 6000 {
		now := time.Duration(tick) * 100 * time.Millisecond
		b.Fresh(now, 300)
		fresh++
		f := failure()
		f.Tokens = 300
		if b.Decide(now, source(), f).Retry {
			retries++
		}
	}
	assert.Assert(t, float64(retries) <= 0.1*float64(fresh), "%d of %d", retries, fresh)
	assert.Assert(t, float64(retries) >= 0.095*float64(fresh), "%d of %d", retries, fresh)
}

// A quiet hour is followed by the loss of every upstream. Without forgetting,
// the budget saved up in the hour would let every caller's request be retried in
// the same second.
func TestQuietHourBuysNoStorm(t *testing.T) {
	b := New(DefaultConfig())
	for second := range 3600 {
		b.Fresh(time.Duration(second)*time.Second, 1000)
	}
	credit := b.Credit(time.Hour)
	assert.Assert(t, credit < 3000+0.1*1000*11, "%v", credit)
}
