package loadbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/admission"
	"endiveplank/protocol"
)

// Policy is how the engine's owner admits.
type Policy uint8

const (
	// FairQueue is package admission.
	FairQueue Policy = iota
	// FirstCome is a first-come queue without bound before the same gate.
	FirstCome
	// Ungated starts everything at once.
	Ungated
)

// ServingConfig describes a run of the Serving model.
type ServingConfig struct {
	Seed   uint64
	Policy Policy
	// Load is the work sent, as a multiple of the engine's capacity.
	Load   float64
	Demand []Demand
	Phases []Phase
	// SlowFrom to SlowTo the engine has SlowFactor of its capacity.
	SlowFrom   time.Duration
	SlowTo     time.Duration
	SlowFactor float64
	// Measure starts after the warm-up and ends before End.
	Warm time.Duration
	End  time.Duration
}

// The engine: 54 streams of 37 tokens per second (27 ms a token) and 2,000 tokens
// per second in all; the gate allows twelve seconds of work.
const (
	engineCapacity = 2000.0
	streamSpeed    = 37.0
	maxRunning     = 54
	gateTokens     = 24000
)

// CustomerResult counts what one customer's callers saw of the requests that
// they sent after the warm-up.
type CustomerResult struct {
	Sent    int
	InTime  int
	Late    int
	Refused int
	// Waits and Latencies are the times to start and to the whole answer, of
	// answered requests.
	Waits     []time.Duration
	Latencies []time.Duration
	// RunTokens counts the work that the engine finished after the warm-up, and
	// GoodTokens that of it which was in time.
	RunTokens  int
	GoodTokens int
}

// ServingResult is what a run counted.
type ServingResult struct {
	Customers map[protocol.CustomerID]*CustomerResult
	// Goodput is the work of answers in time over what the engine could do.
	Goodput float64
	// SlowRefusals counts refusals that were not given at once on arrival.
	SlowRefusals int
	// NoRetryAfter counts refusals without a Retry-After.
	NoRetryAfter int
}

type serving struct {
	Clock
	config  ServingConfig
	rng     *rand.Rand
	engine  *sharedEngine
	queue   *admission.Queue
	fifo    []*job
	jobs    map[protocol.RequestID]*job
	sent    int
	expiry  time.Duration
	result  ServingResult
	drained float64
}

// RunServing runs the model once.
func RunServing(config ServingConfig) ServingResult {
	s := &serving{
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, 1)),
		queue:  admission.New(admission.DefaultConfig(engineCapacity, streamSpeed)),
		jobs:   make(map[protocol.RequestID]*job),
	}
	s.result.Customers = make(map[protocol.CustomerID]*CustomerResult)
	s.engine = &sharedEngine{clock: &s.Clock, capacity: engineCapacity, speed: streamSpeed, finished: s.finished}
	for i := range config.Demand {
		d := &config.Demand[i]
		s.result.Customers[d.Customer] = &CustomerResult{}
		s.arrivals(d)
	}
	possible := (config.End - config.Warm).Seconds()
	if config.SlowFactor > 0 {
		s.At(config.SlowFrom, func() { s.slow(config.SlowFactor) })
		s.At(config.SlowTo, func() { s.slow(1) })
		possible -= (1 - config.SlowFactor) * (config.SlowTo - config.SlowFrom).Seconds()
	}
	s.Run(config.End)
	good := 0
	for _, c := range s.result.Customers {
		good += c.GoodTokens
	}
	s.result.Goodput = float64(good) / (possible * engineCapacity)
	return s.result
}

func (s *serving) slow(factor float64) {
	s.drain()
	s.engine.setCapacity(engineCapacity*factor, streamSpeed*factor)
}

// arrivals sends a customer's requests, as a Poisson process whose rate the
// phases change.
func (s *serving) arrivals(d *Demand) {
	highest := 1.0
	for _, p := range s.config.Phases {
		if p.Customer == "" || p.Customer == d.Customer {
			highest = max(highest, p.Factor)
		}
	}
	rate := s.config.Load * engineCapacity * d.Share / d.meanTokens() * highest
	rng := rand.New(rand.NewPCG(s.config.Seed, uint64(len(d.Customer))<<32|uint64(d.MinTokens)<<16|uint64(d.Share*1000)))
	var next func()
	next = func() {
		tokens := d.draw(rng)
		if rng.Float64()*highest < factor(s.config.Phases, d.Customer, s.Now()) {
			s.arrive(d, tokens)
		}
		s.After(exponential(rng, rate), next)
	}
	s.After(exponential(rng, rate), next)
}

func (s *serving) arrive(d *Demand, tokens int) {
	s.sent++
	j := &job{id: s.sent, tokens: tokens, demand: d, sent: s.Now(), deadline: s.Now() + d.Patience}
	if s.measured(j) {
		s.result.Customers[d.Customer].Sent++
	}
	s.drain()
	switch s.config.Policy {
	case Ungated:
		s.engine.start(j)
	case FirstCome:
		s.fifo = append(s.fifo, j)
		s.fill()
	case FairQueue:
		s.submit(j)
	}
}

func (s *serving) submit(j *job) {
	r := admission.Request{
		ID:           protocol.RequestID(fmt.Sprint(j.id)),
		Customer:     j.demand.Customer,
		Class:        j.demand.Class,
		Weight:       j.demand.Weight,
		Tokens:       j.tokens,
		AnswerTokens: j.tokens,
		Deadline:     j.deadline,
	}
	outcome := s.queue.Submit(s.Now(), r, s.gate)
	switch outcome.Kind {
	case admission.Admitted:
		s.engine.start(j)
	case admission.Queued:
		s.jobs[r.ID] = j
		s.watchExpiry()
	case admission.Refused:
		s.refused(j, outcome.RetryAfter)
	}
}

// gate admits while the engine has a stream free and less than gateTokens of work.
func (s *serving) gate(tokens int) bool {
	return len(s.engine.running) < maxRunning && s.engine.outstanding()+float64(tokens) <= gateTokens
}

// drain tells the queue what the engine has done since the last event.
func (s *serving) drain() {
	streams := len(s.engine.running)
	s.drained += s.engine.advance()
	whole := int(s.drained)
	s.drained -= float64(whole)
	s.queue.RecordProgress(s.Now(), whole, streams)
}

// fill starts what may start now.
func (s *serving) fill() {
	for len(s.fifo) > 0 && s.gate(s.fifo[0].tokens) {
		s.engine.start(s.fifo[0])
		s.fifo = s.fifo[1:]
	}
	for {
		r, ok := s.queue.Next(s.Now(), s.gate)
		if !ok {
			break
		}
		j := s.jobs[r.ID]
		delete(s.jobs, r.ID)
		s.engine.start(j)
	}
	s.expire()
}

// expire answers the requests whose time has passed in the queue.
func (s *serving) expire() {
	for _, refusal := range s.queue.Expire(s.Now()) {
		j := s.jobs[refusal.Request.ID]
		delete(s.jobs, refusal.Request.ID)
		s.result.SlowRefusals++
		s.refused(j, refusal.RetryAfter)
	}
}

// watchExpiry sets the event at which the next request's time passes.
func (s *serving) watchExpiry() {
	at, ok := s.queue.NextExpiry()
	if !ok || s.expiry > s.Now() && s.expiry <= at {
		return
	}
	s.expiry = at
	s.At(at, func() {
		s.drain()
		s.fill()
		s.watchExpiry()
	})
}

func (s *serving) refused(j *job, retryAfter time.Duration) {
	if retryAfter <= 0 {
		s.result.NoRetryAfter++
	}
	if s.measured(j) {
		s.result.Customers[j.demand.Customer].Refused++
	}
}

func (s *serving) finished(j *job) {
	s.drain()
	c := s.result.Customers[j.demand.Customer]
	inTime := s.Now() <= j.deadline
	if s.Now() >= s.config.Warm {
		c.RunTokens += j.tokens
		if inTime {
			c.GoodTokens += j.tokens
		}
	}
	if s.measured(j) {
		c.Waits = append(c.Waits, j.started-j.sent)
		c.Latencies = append(c.Latencies, s.Now()-j.sent)
		if inTime {
			c.InTime++
		} else {
			c.Late++
		}
	}
	s.fill()
}

func (s *serving) measured(j *job) bool { return j.sent >= s.config.Warm }
