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
	return Failure{Attempt: 1, Tokens: 100, RunOutcome: protocol.UnknownRun, Repeatable: true, Deadline: time.Hour}
}

// Guards against a retry of a request that ran, or that may have run and must not run
// twice, and against a retry when the attempts, the time or the budget are used up.
func TestDecide(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Failure)
		want   Reason
	}{
		{"chat of unknown run", func(*Failure) {}, ReasonNone},
		{"order of unknown run", func(f *Failure) { f.Repeatable = false }, ReasonNotRepeatable},
		{"order not run", func(f *Failure) { f.Repeatable, f.RunOutcome = false, protocol.NotRun }, ReasonNone},
		{"order without outcome", func(f *Failure) { f.Repeatable, f.RunOutcome = false, "" }, ReasonNotRepeatable},
		{"answered", func(f *Failure) { f.RunOutcome = protocol.Ran }, ReasonAnswered},
		{"all attempts used", func(f *Failure) { f.Attempt = 5 }, ReasonAttempts},
		{"too late", func(f *Failure) { f.Deadline = time.Second; f.RunTime = time.Second }, ReasonDeadline},
		{"Retry-After beyond the deadline", func(f *Failure) { f.RetryAfter = 2 * time.Hour }, ReasonDeadline},
		{"more than the budget", func(f *Failure) { f.Tokens = 3001 }, ReasonBudget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := failure()
			c.change(&f)
			b := New(DefaultConfig())
			b.RecordFirstAttempt(0, 30_000) // earns 3,000 tokens
			decision := b.Decide(0, source(), f)
			assert.Equal(t, decision.Reason, c.want)
			assert.Equal(t, decision.Retry, c.want == ReasonNone)
		})
	}
}

// Whichever requests fail at whichever time, the work of retries is at most the
// allowance, its refill since, and the share of the work of first attempts.
func TestRetriesStayWithinTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := DefaultConfig()
		b := New(config)
		rng := source()
		firstAttempts, spent := 0, 0
		now := time.Duration(0)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "fresh") {
				tokens := rapid.IntRange(1, 5000).Draw(t, "tokens")
				b.RecordFirstAttempt(now, tokens)
				firstAttempts += tokens
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
		assert.Assert(t, float64(spent) <= config.Share*float64(firstAttempts)+earned+1, "%d of %d", spent, firstAttempts)
	})
}

// Under steady load every request fails for ten minutes. If the allowance came on
// top of the share, all attempts together would exceed 1.1 times the first attempts.
func TestSaturationStaysWithinTheShare(t *testing.T) {
	b := New(DefaultConfig())
	firstAttempts, retries := 0, 0
	for tick := range 6000 {
		now := time.Duration(tick) * 100 * time.Millisecond
		b.RecordFirstAttempt(now, 300)
		firstAttempts++
		f := failure()
		f.Tokens = 300
		if b.Decide(now, source(), f).Retry {
			retries++
		}
	}
	assert.Assert(t, float64(retries) <= 0.1*float64(firstAttempts), "%d of %d", retries, firstAttempts)
	assert.Assert(t, float64(retries) >= 0.095*float64(firstAttempts), "%d of %d", retries, firstAttempts)
}

// Every upstream is lost after a quiet hour. Without decay, the credit saved in that
// hour would let every caller's request be retried in the same second.
func TestCreditOfAQuietHourDecays(t *testing.T) {
	b := New(DefaultConfig())
	for second := range 3600 {
		b.RecordFirstAttempt(time.Duration(second)*time.Second, 1000)
	}
	credit := b.Credit(time.Hour)
	assert.Assert(t, credit < 3000+0.1*1000*11, "%v", credit)
}
