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
	// Budgeted retries by package retry.
	Budgeted RetryPolicy = iota
	// FixedRetries retries each failed request three times.
	FixedRetries
	// Unbounded retries until the caller's deadline.
	Unbounded
)

// StormConfig describes a run of the Storm model.
type StormConfig struct {
	Seed    uint64
	Policy  RetryPolicy
	Routers int
	// Load is the fresh work, as a multiple of the pool's capacity.
	Load float64
	// The pool does no work from LostFrom to LostTo.
	LostFrom time.Duration
	LostTo   time.Duration
	End      time.Duration
}

// StormResult is what a run counted.
type StormResult struct {
	// Amplification is attempts per fresh request, Worst the highest over any
	// 10 s in which fresh requests came.
	Amplification float64
	Worst         float64
	// Answered is the part of fresh requests that were answered in time.
	Answered float64
	// Recovery is how long after LostTo 95 of 100 fresh requests sent within
	// one second were answered again; End if never.
	Recovery time.Duration
}

const (
	stormRate      = 200.0 // requests per second that the pool can answer
	attemptTimeout = 5 * time.Second
	callerPatience = 30 * time.Second
	stormTokens    = 300
	fixedRetries   = 3
	amplifyWindow  = 10 // seconds
)

// storm is a pool that serves attempts first come first served and works
// also on those whose routers have given up, as engines do that don't notice.
type storm struct {
	Clock
	config  StormConfig
	rng     *rand.Rand
	budgets []*retry.Budget
	queue   []*attempt
	serving bool
	// Per second of sending.
	fresh    []int
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
		fresh:    make([]int, seconds),
		attempts: make([]int, seconds),
		answered: make([]int, seconds),
	}
	for range config.Routers {
		s.budgets = append(s.budgets, retry.New(retry.DefaultConfig()))
	}
	var next func()
	next = func() {
		r := &stormRequest{router: s.rng.IntN(config.Routers), sent: s.Now()}
		s.fresh[s.second(r.sent)]++
		s.budgets[r.router].RecordFirstAttempt(s.Now(), stormTokens)
		s.try(r, 1)
		s.After(exponential(s.rng, config.Load*stormRate), next)
	}
	s.At(0, next)
	s.At(config.LostTo, s.serve)
	s.Run(config.End)
	return s.result()
}

func (s *storm) second(at time.Duration) int { return int(at / time.Second) }

func (s *storm) try(r *stormRequest, number int) {
	a := &attempt{request: r, number: number}
	s.attempts[s.second(s.Now())]++
	s.queue = append(s.queue, a)
	s.After(attemptTimeout, func() {
		if !a.done {
			a.done = true
			s.failed(a)
		}
	})
	s.serve()
}

// serve works on the queue while the pool is there.
func (s *storm) serve() {
	lost := s.Now() >= s.config.LostFrom && s.Now() < s.config.LostTo
	if s.serving || lost || len(s.queue) == 0 {
		return
	}
	a := s.queue[0]
	s.queue = s.queue[1:]
	s.serving = true
	s.After(time.Duration(float64(time.Second)/stormRate), func() {
		s.serving = false
		if !a.done {
			a.done = true
			s.answered[s.second(a.request.sent)]++
		}
		s.serve()
	})
}

func (s *storm) failed(a *attempt) {
	delay, again := s.decide(a)
	if again {
		s.After(delay, func() { s.try(a.request, a.number+1) })
	}
}

func (s *storm) decide(a *attempt) (time.Duration, bool) {
	const pause = 100 * time.Millisecond
	deadline := a.request.sent + callerPatience
	switch s.config.Policy {
	case FixedRetries:
		return pause, a.number <= fixedRetries
	case Unbounded:
		return pause, s.Now()+attemptTimeout < deadline
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
	fresh, attempts, answered := 0, 0, 0
	// Requests of the last seconds may still be on their way.
	settled := len(s.fresh) - int((callerPatience)/time.Second)
	for i := range s.fresh {
		fresh += s.fresh[i]
		attempts += s.attempts[i]
		if i < settled {
			answered += s.answered[i]
		}
	}
	r.Amplification = float64(attempts) / float64(fresh)
	r.Answered = float64(answered) / float64(sum(s.fresh[:settled]))
	for i := 0; i+amplifyWindow < len(s.fresh); i++ {
		window := float64(sum(s.attempts[i:i+amplifyWindow])) / float64(sum(s.fresh[i:i+amplifyWindow]))
		r.Worst = max(r.Worst, window)
	}
	r.Recovery = s.config.End
	for i := s.second(s.config.LostTo); i < settled; i++ {
		if float64(s.answered[i]) >= 0.95*float64(s.fresh[i]) {
			r.Recovery = time.Duration(i)*time.Second - s.config.LostTo
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
