package loadbench

import (
	"math/rand/v2"
	"time"

	"endiveplank/coordination/retry"
	"endiveplank/protocol"
)

// RetryPolicy is how routers retry in the Storm model.
type RetryPolicy uint8

const (
	// Budgeted uses the retry budgets of package retry.
	Budgeted RetryPolicy = iota
	// FixedRetries retries each failed request up to three times.
	FixedRetries
	// Unbounded retries as long as another attempt can end by the caller's deadline.
	Unbounded
)

// StormConfig describes a run of the Storm model: routers that retry failed
// attempts against a pool that is saturated or unavailable.
type StormConfig struct {
	Seed    uint64
	Policy  RetryPolicy
	Routers int
	// Load is the rate of first attempts, as a multiple of the pool's capacity.
	Load float64
	// The pool starts no attempt between OutageFrom and OutageTo.
	OutageFrom time.Duration
	OutageTo   time.Duration
	End        time.Duration
}

// StormResult is the result of a run of the Storm model.
type StormResult struct {
	// Amplification is the number of attempts per request over the whole run.
	// WorstAmplification is the highest such number over any 10 s.
	Amplification      float64
	WorstAmplification float64
	// AnsweredShare is the share of requests of which an attempt was answered
	// within its timeout.
	AnsweredShare float64
	// Recovery is the time from OutageTo to the first second of whose requests at
	// least 95% were answered, or End if there was none.
	Recovery time.Duration
}

const (
	stormRate           = 200.0 // requests per second that the pool can answer
	attemptTimeout      = 5 * time.Second
	callerTimeout       = 30 * time.Second
	stormTokens         = 300
	maxFixedRetries     = 3
	amplificationWindow = 10 // seconds
)

// storm models a pool that serves attempts in order of arrival. It also spends time
// on attempts whose routers have given up, like engines that don't notice this.
type storm struct {
	Clock
	config  StormConfig
	rng     *rand.Rand
	budgets []*retry.Budget
	queue   []*attempt
	busy    bool
	// requests, attempts and answered are counted per second. An answer counts in
	// the second in which its request was first sent.
	requests []int
	attempts []int
	answered []int
}

type stormRequest struct {
	router int
	sent   time.Duration
}

type attempt struct {
	request *stormRequest
	number  int
	done    bool
}

// RunStorm runs the model once.
func RunStorm(config StormConfig) StormResult {
	seconds := int(config.End/time.Second) + 1
	s := &storm{
		config:   config,
		rng:      rand.New(rand.NewPCG(config.Seed, 2)),
		requests: make([]int, seconds),
		attempts: make([]int, seconds),
		answered: make([]int, seconds),
	}
	for range config.Routers {
		s.budgets = append(s.budgets, retry.New(retry.DefaultConfig()))
	}
	var next func()
	next = func() {
		r := &stormRequest{router: s.rng.IntN(config.Routers), sent: s.Now()}
		s.requests[s.second(r.sent)]++
		s.budgets[r.router].RecordFirstAttempt(s.Now(), stormTokens)
		s.startAttempt(r, 1)
		s.After(exponential(s.rng, config.Load*stormRate), next)
	}
	s.At(0, next)
	s.At(config.OutageTo, s.serveNext)
	s.Run(config.End)
	return s.result()
}

func (s *storm) second(at time.Duration) int { return int(at / time.Second) }

func (s *storm) startAttempt(r *stormRequest, number int) {
	a := &attempt{request: r, number: number}
	s.attempts[s.second(s.Now())]++
	s.queue = append(s.queue, a)
	s.After(attemptTimeout, func() {
		if !a.done {
			a.done = true
			s.attemptFailed(a)
		}
	})
	s.serveNext()
}

// serveNext starts the next attempt of the queue, unless the pool is busy or in its
// outage.
func (s *storm) serveNext() {
	inOutage := s.Now() >= s.config.OutageFrom && s.Now() < s.config.OutageTo
	if s.busy || inOutage || len(s.queue) == 0 {
		return
	}
	a := s.queue[0]
	s.queue = s.queue[1:]
	s.busy = true
	s.After(time.Duration(float64(time.Second)/stormRate), func() {
		s.busy = false
		if !a.done {
			a.done = true
			s.answered[s.second(a.request.sent)]++
		}
		s.serveNext()
	})
}

func (s *storm) attemptFailed(a *attempt) {
	delay, shouldRetry := s.decideRetry(a)
	if shouldRetry {
		s.After(delay, func() { s.startAttempt(a.request, a.number+1) })
	}
}

func (s *storm) decideRetry(a *attempt) (time.Duration, bool) {
	const fixedDelay = 100 * time.Millisecond
	deadline := a.request.sent + callerTimeout
	switch s.config.Policy {
	case FixedRetries:
		return fixedDelay, a.number <= maxFixedRetries
	case Unbounded:
		return fixedDelay, s.Now()+attemptTimeout < deadline
	}
	decision := s.budgets[a.request.router].Decide(s.Now(), s.rng, retry.Failure{
		Attempt:    a.number,
		Tokens:     stormTokens,
		RunOutcome: protocol.UnknownRun,
		Repeatable: true,
		Deadline:   deadline,
	})
	return decision.Delay, decision.Retry
}

func (s *storm) result() StormResult {
	var r StormResult
	requests, attempts, answered := 0, 0, 0
	// Requests of the last seconds may still be in flight, so they are left out.
	settledSeconds := len(s.requests) - int((callerTimeout)/time.Second)
	for i := range s.requests {
		requests += s.requests[i]
		attempts += s.attempts[i]
		if i < settledSeconds {
			answered += s.answered[i]
		}
	}
	r.Amplification = float64(attempts) / float64(requests)
	r.AnsweredShare = float64(answered) / float64(sum(s.requests[:settledSeconds]))
	for i := 0; i+amplificationWindow < len(s.requests); i++ {
		window := float64(sum(s.attempts[i:i+amplificationWindow])) / float64(sum(s.requests[i:i+amplificationWindow]))
		r.WorstAmplification = max(r.WorstAmplification, window)
	}
	r.Recovery = s.config.End
	for i := s.second(s.config.OutageTo); i < settledSeconds; i++ {
		if float64(s.answered[i]) >= 0.95*float64(s.requests[i]) {
			r.Recovery = time.Duration(i)*time.Second - s.config.OutageTo
			break
		}
	}
	return r
}

func sum(counts []int) int {
	total := 0
	for _, c := range counts {
		total += c
	}
	return total
}
