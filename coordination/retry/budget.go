package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"endiveplank/protocol"
)

// Config holds the settings of a Budget.
type Config struct {
	// Share of the fresh work that retries may add, in work.
	Share float64
	// Allowance is the budget of a router that just started or had no
	// fresh work lately, in tokens of work.
	Allowance float64
	// Memory is the time constant after which fresh work no longer earns
	// retries.
	Memory time.Duration
	// BaseDelay and MaxDelay bound the backoff.
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// MaxAttempts bounds the attempts of one request, the first included.
	MaxAttempts int
}

// DefaultConfig returns the default settings.
//
// A share of 0.1 adds a tenth to a saturated fleet, which the load bound's
// margin of a quarter absorbs. The memory of 10 s is about one request's life:
// with a longer one, the credit of a quiet hour could be spent as a storm in
// one second. The allowance covers three ordinary requests of 1,000 tokens.
func DefaultConfig() Config {
	return Config{
		Share:       0.1,
		Allowance:   3000,
		Memory:      10 * time.Second,
		BaseDelay:   50 * time.Millisecond,
		MaxDelay:    2 * time.Second,
		MaxAttempts: 5,
	}
}

// Failure describes a failed attempt.
type Failure struct {
	// Attempt is the number of the failed attempt, from 1.
	Attempt int
	// Tokens is the work that another attempt would cost. For a stream that is
	// resumed it is the prompt and the rest of the answer.
	Tokens int
	// Run says whether the failed attempt ran.
	Run protocol.RunOutcome
	// Repeatable says whether running the work twice does no harm. Chats are
	// repeatable; a call to a route marked not idempotent isn't.
	Repeatable bool
	// RetryAfter is the shortest delay that the failing hop asked for.
	RetryAfter time.Duration
	// Deadline is when the caller's answer must be complete, and RunTime how
	// long another attempt would take.
	Deadline time.Duration
	RunTime  time.Duration
}

// Reason says why work is not tried again.
type Reason string

const (
	// ReasonNone is the reason of a retry.
	ReasonNone Reason = ""
	// ReasonNotRepeatable means that another run might be a second one.
	ReasonNotRepeatable Reason = "not-repeatable"
	// ReasonAnswered means that the attempt ran and was answered.
	ReasonAnswered Reason = "answered"
	// ReasonBudget means that the retry budget is spent.
	ReasonBudget Reason = "retry-budget-spent"
	// ReasonAttempts means that the request had all its attempts.
	ReasonAttempts Reason = "attempts-spent"
	// ReasonDeadline means that another attempt would end too late.
	ReasonDeadline Reason = "deadline-unreachable"
)

// Decision is the typed answer to Decide.
type Decision struct {
	Retry bool
	// Delay is how long to wait before the next attempt.
	Delay time.Duration
	// Reason is set when Retry is false.
	Reason Reason
}

// Budget bounds a router's retries to a share of its recent fresh work.
//
// Load: every request once and every failed attempt, also when all of a
// router's requests fail at once. Harm prevented: a retry storm after an
// upstream's loss. Reason for counting tokens: ten retries of one-line questions
// and ten of long summaries are not the same load.
type Budget struct {
	config Config
	credit float64
	// loan is the part of the allowance that fresh work has not earned yet. It is
	// paid back first, so that the allowance does not come on top of the share
	// where there is much fresh work.
	loan    float64
	updated time.Duration
	fresh   time.Duration // time of the latest fresh work
}

// New returns a budget that holds its allowance.
func New(config Config) *Budget {
	return &Budget{config: config, credit: config.Allowance, loan: config.Allowance}
}

// Fresh notes a first attempt, which earns its share.
func (b *Budget) Fresh(now time.Duration, tokens int) {
	b.decay(now)
	b.fresh = now
	earned := b.config.Share * float64(tokens)
	repaid := min(earned, b.loan)
	b.loan -= repaid
	b.credit += earned - repaid
}

// Decide says whether the failed work is tried again. A retry is paid for when
// it is granted.
func (b *Budget) Decide(now time.Duration, rng *rand.Rand, f Failure) Decision {
	if reason := b.forbidden(f); reason != ReasonNone {
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

// Credit returns the tokens of work that retries may cost now.
func (b *Budget) Credit(now time.Duration) float64 {
	b.decay(now)
	return b.credit
}

func (b *Budget) forbidden(f Failure) Reason {
	switch {
	case f.Run == protocol.Ran:
		return ReasonAnswered
	case f.Run != protocol.NotRun && !f.Repeatable:
		return ReasonNotRepeatable
	case f.Attempt >= b.config.MaxAttempts:
		return ReasonAttempts
	}
	return ReasonNone
}

// backoff doubles with each attempt and is drawn from the upper half of its
// range. The lower bound gives the fault time to pass, and the spread keeps
// requests that failed together from coming back together.
func (b *Budget) backoff(rng *rand.Rand, attempt int) time.Duration {
	const maxDoublings = 20
	doublings := min(max(attempt-1, 0), maxDoublings)
	top := min(b.config.BaseDelay<<doublings, b.config.MaxDelay)
	return top/2 + time.Duration(rng.Int64N(int64(top/2)+1))
}

// decay forgets old fresh work, which moves a credit above the allowance down to
// it, and lends a router without fresh work its allowance anew, over refill
// memories, so that a quiet router whose allowance is spent may retry again.
func (b *Budget) decay(now time.Duration) {
	const refill = 10
	elapsed := now - b.updated
	if elapsed <= 0 {
		return
	}
	b.updated = now
	if b.credit > b.config.Allowance {
		keep := math.Exp(-elapsed.Seconds() / b.config.Memory.Seconds())
		b.credit = b.config.Allowance + (b.credit-b.config.Allowance)*keep
		return
	}
	if now-b.fresh < b.config.Memory {
		return
	}
	lent := b.config.Allowance * elapsed.Seconds() / (refill * b.config.Memory.Seconds())
	lent = min(lent, b.config.Allowance-b.credit)
	b.credit += lent
	b.loan = min(b.loan+lent, b.config.Allowance)
}
