package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"endiveplank/protocol"
)

// Config holds the settings of a Budget.
type Config struct {
	// Share is the work that retries may add, as a share of the work of first
	// attempts.
	Share float64
	// Allowance is the budget, in tokens of work, of a router that had no first
	// attempts recently. It gets it little by little.
	Allowance float64
	// TimeConstant is the time constant of the exponential decay of the budget
	// that first attempts have earned.
	TimeConstant time.Duration
	// BaseDelay and MaxDelay bound the backoff.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
}

// DefaultConfig returns the default settings.
//
// A share of 0.1 adds a tenth to the load of a saturated fleet, which the load
// bound's margin of a quarter absorbs. The time constant of 10 s is about the
// duration of one request. With a longer one, the credit of a quiet hour could be
// spent in one second as a retry storm. The allowance covers three ordinary requests
// of 1,000 tokens.
func DefaultConfig() Config {
	return Config{
		Share:        0.1,
		Allowance:    3000,
		TimeConstant: 10 * time.Second,
		BaseDelay:    50 * time.Millisecond,
		MaxDelay:     2 * time.Second,
		MaxAttempts:  5,
	}
}

// Failure describes a failed attempt.
type Failure struct {
	// Attempt is the number of the failed attempt, from 1.
	Attempt int
	// Tokens is the work of another attempt. For a resumed stream it covers the
	// prompt and the rest of the answer.
	Tokens int
	// RunOutcome says whether the failed attempt ran.
	RunOutcome protocol.RunOutcome
	// Repeatable says whether the work may run twice. Chats are repeatable; a
	// request to a route that is marked as not idempotent isn't.
	Repeatable bool
	// RetryAfter is the shortest delay that the failed hop asked for.
	RetryAfter time.Duration
	// Deadline is when the caller's answer must be complete. RunTime is how long
	// another attempt would take.
	Deadline time.Duration
	RunTime  time.Duration
}

// Reason says why work is not tried again.
type Reason string

const (
	// ReasonNone means that the work is tried again.
	ReasonNone Reason = ""
	// ReasonNotRepeatable means that the work may have run and must not run twice.
	ReasonNotRepeatable Reason = "not-repeatable"
	// ReasonAnswered means that the attempt ran and was answered.
	ReasonAnswered Reason = "answered"
	// ReasonBudget means that the retry budget is spent.
	ReasonBudget Reason = "retry-budget-spent"
	// ReasonAttempts means that the request has used all its attempts.
	ReasonAttempts Reason = "attempts-spent"
	// ReasonDeadline means that another attempt would end after the deadline.
	ReasonDeadline Reason = "deadline-unreachable"
)

// Decision is the result of Budget.Decide.
type Decision struct {
	Retry bool
	// Delay is how long to wait before the next attempt.
	Delay time.Duration
	// Reason is set when Retry is false.
	Reason Reason
}

// Budget limits a router's retries to a share of the work of its recent first
// attempts. It prevents a retry storm after an upstream is lost.
//
// It is called once for every request and once for every failed attempt, also when
// all requests of a router fail at once. It counts tokens, not retries, because ten
// retries of one-line questions and ten of long summaries are not the same load.
type Budget struct {
	config Config
	credit float64
	// loan is the part of the allowance that first attempts haven't earned yet.
	// They pay it back first, so that a router with much traffic doesn't get the
	// allowance on top of the share.
	loan           float64
	updated        time.Duration
	firstAttemptAt time.Duration // time of the latest first attempt
}

// New returns a budget without credit: a router that starts again doesn't know what it
// spent before, and routers that are killed one after the other would get an allowance for
// each start.
func New(config Config) *Budget {
	return &Budget{config: config}
}

// RecordFirstAttempt records the first attempt of a request, which earns credit for
// retries.
func (b *Budget) RecordFirstAttempt(now time.Duration, tokens int) {
	b.decay(now)
	b.firstAttemptAt = now
	earned := b.config.Share * float64(tokens)
	repaid := min(earned, b.loan)
	b.loan -= repaid
	b.credit += earned - repaid
}

// Decide decides whether the failed work is tried again. It charges a retry to the
// budget when it grants it.
func (b *Budget) Decide(now time.Duration, rng *rand.Rand, f Failure) Decision {
	if reason := b.ineligible(f); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	delay := max(b.backoff(rng, f.Attempt), f.RetryAfter)
	if now+delay+f.RunTime > f.Deadline {
		return Decision{Reason: ReasonDeadline}
	}
	b.decay(now)
	if b.credit < float64(f.Tokens) {
		return Decision{Reason: ReasonBudget}
	}
	b.credit -= float64(f.Tokens)
	return Decision{Retry: true, Delay: delay}
}

// Credit returns the work that retries may cost now, in tokens.
func (b *Budget) Credit(now time.Duration) float64 {
	b.decay(now)
	return b.credit
}

// ineligible returns why the work must not be retried whatever the budget, or
// ReasonNone if it may be.
func (b *Budget) ineligible(f Failure) Reason {
	switch {
	case f.RunOutcome == protocol.Ran:
		return ReasonAnswered
	case f.RunOutcome != protocol.NotRun && !f.Repeatable:
		return ReasonNotRepeatable
	case f.Attempt >= b.config.MaxAttempts:
		return ReasonAttempts
	}
	return ReasonNone
}

// backoff returns the delay before the next attempt. Its upper bound doubles with
// each attempt, and the delay is drawn from the upper half of the range. The lower
// bound gives the fault time to pass; the jitter keeps requests that failed together
// from being retried together.
func (b *Budget) backoff(rng *rand.Rand, attempt int) time.Duration {
	const maxDoublings = 20
	doublings := min(max(attempt-1, 0), maxDoublings)
	top := min(b.config.BaseDelay<<doublings, b.config.MaxDelay)
	return top/2 + time.Duration(rng.Int64N(int64(top/2)+1))
}

// decay updates the credit for the time since the last call. Credit above the
// allowance decays towards the allowance. A router without recent first attempts
// gets its allowance back as a loan, over refillTimeConstants time constants, so
// that a quiet router whose allowance is spent may retry again.
func (b *Budget) decay(now time.Duration) {
	const refillTimeConstants = 10
	elapsed := now - b.updated
	if elapsed <= 0 {
		return
	}
	b.updated = now
	if b.credit > b.config.Allowance {
		keep := math.Exp(-elapsed.Seconds() / b.config.TimeConstant.Seconds())
		b.credit = b.config.Allowance + (b.credit-b.config.Allowance)*keep
		return
	}
	if now-b.firstAttemptAt < b.config.TimeConstant {
		return
	}
	lent := b.config.Allowance * elapsed.Seconds() / (refillTimeConstants * b.config.TimeConstant.Seconds())
	lent = min(lent, b.config.Allowance-b.credit)
	b.credit += lent
	b.loan = min(b.loan+lent, b.config.Allowance)
}
