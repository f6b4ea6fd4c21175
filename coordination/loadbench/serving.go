package loadbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/admission"
	"endiveplank/protocol"
)

// AdmissionPolicy is how the engine's owner, the one router that places requests
// on it, admits them.
type AdmissionPolicy uint8

const (
	// FairQueue uses package admission.
	FairQueue AdmissionPolicy = iota
	// FirstCome uses an unbounded first-come queue. Requests leave both queues
	// through the same gate.
	FirstCome
	// Ungated starts every request at once.
	Ungated
)

// ServingConfig describes a run of the Serving model.
type ServingConfig struct {
	Seed   uint64
	Policy AdmissionPolicy
	// Load is the number of tokens sent, as a multiple of the engine's capacity.
	Load   float64
	Demand []Demand
	Phases []Phase
	// Between SlowFrom and SlowTo, the engine has SlowFactor of its capacity.
	// Zero leaves it at its full capacity.
	SlowFrom   time.Duration
	SlowTo     time.Duration
	SlowFactor float64
	// The model measures from WarmUp to End.
	WarmUp time.Duration
	End    time.Duration
}

// The engine runs 54 streams at 37 tokens per second each (27 ms for a token), so
// 2,000 tokens per second in total. The gate admits up to twelve seconds of work.
const (
	engineCapacity       = 2000.0
	streamSpeed          = 37.0
	maxRunning           = 54
	maxOutstandingTokens = 24000
)

// CustomerResult counts the requests that one customer sent after the warm-up,
// by what its callers saw.
type CustomerResult struct {
	Sent    int
	InTime  int
	Late    int
	Refused int
	// Waits are the times from sending to start, and Latencies those from sending
	// to the complete answer. Both cover only requests that the engine finished.
	Waits     []time.Duration
	Latencies []time.Duration
	// FinishedTokens counts the tokens of requests that the engine finished after
	// the warm-up, and GoodTokens those of requests finished by their deadline.
	FinishedTokens int
	GoodTokens     int
}

// ServingResult is the result of a run of the Serving model.
type ServingResult struct {
	Customers map[protocol.CustomerID]*CustomerResult
	// Goodput is the number of tokens in answers in time, as a part of what the
	// engine could generate after the warm-up.
	Goodput float64
	// LateRefusals counts requests that were refused after they had waited in the
	// queue, and not at once on arrival.
	LateRefusals int
	// NoRetryAfter counts refusals without a Retry-After.
	NoRetryAfter int
}

type serving struct {
	Clock
	config           ServingConfig
	rng              *rand.Rand
	engine           *batchingEngine
	queue            *admission.Queue
	fifo             []*job
	queued           map[protocol.RequestID]*job
	sent             int
	nextExpiryEvent  time.Duration
	result           ServingResult
	unreportedTokens float64
}

// RunServing runs the model once.
func RunServing(config ServingConfig) ServingResult {
	s := &serving{
		config: config,
		rng:    rand.New(rand.NewPCG(config.Seed, 1)),
		queue:  admission.New(admission.DefaultConfig(engineCapacity, streamSpeed)),
		queued: make(map[protocol.RequestID]*job),
	}
	s.result.Customers = make(map[protocol.CustomerID]*CustomerResult)
	s.engine = &batchingEngine{clock: &s.Clock, capacity: engineCapacity, maxStreamSpeed: streamSpeed, onFinish: s.finished}
	for i := range config.Demand {
		d := &config.Demand[i]
		s.result.Customers[d.Customer] = &CustomerResult{}
		s.startArrivals(d)
	}
	fullCapacitySeconds := (config.End - config.WarmUp).Seconds()
	if config.SlowFactor > 0 {
		s.At(config.SlowFrom, func() { s.setSpeedFactor(config.SlowFactor) })
		s.At(config.SlowTo, func() { s.setSpeedFactor(1) })
		fullCapacitySeconds -= (1 - config.SlowFactor) * (config.SlowTo - config.SlowFrom).Seconds()
	}
	s.Run(config.End)
	goodTokens := 0
	for _, c := range s.result.Customers {
		goodTokens += c.GoodTokens
	}
	s.result.Goodput = float64(goodTokens) / (fullCapacitySeconds * engineCapacity)
	return s.result
}

func (s *serving) setSpeedFactor(factor float64) {
	s.recordProgress()
	s.engine.setCapacity(engineCapacity*factor, streamSpeed*factor)
}

// startArrivals starts a customer's arrivals, a Poisson process whose rate the
// phases change. It draws arrivals at the highest rate of any single phase and
// discards the surplus.
func (s *serving) startArrivals(d *Demand) {
	maxFactor := 1.0
	for _, p := range s.config.Phases {
		if p.Customer == "" || p.Customer == d.Customer {
			maxFactor = max(maxFactor, p.Factor)
		}
	}
	rate := s.config.Load * engineCapacity * d.Share / d.meanTokens() * maxFactor
	rng := rand.New(rand.NewPCG(s.config.Seed, uint64(len(d.Customer))<<32|uint64(d.MinTokens)<<16|uint64(d.Share*1000)))
	var next func()
	next = func() {
		tokens := d.drawTokens(rng)
		if rng.Float64()*maxFactor < rateFactor(s.config.Phases, d.Customer, s.Now()) {
			s.arrive(d, tokens)
		}
		s.After(exponential(rng, rate), next)
	}
	s.After(exponential(rng, rate), next)
}

func (s *serving) arrive(d *Demand, tokens int) {
	s.sent++
	j := &job{id: s.sent, tokens: tokens, demand: d, sentAt: s.Now(), deadline: s.Now() + d.Patience}
	if s.isMeasured(j) {
		s.result.Customers[d.Customer].Sent++
	}
	s.recordProgress()
	switch s.config.Policy {
	case Ungated:
		s.engine.start(j)
	case FirstCome:
		s.fifo = append(s.fifo, j)
		s.startWaiting()
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
		s.queued[r.ID] = j
		s.scheduleExpiry()
	case admission.Refused:
		s.refused(j, outcome.RetryAfter)
	}
}

// gate reports whether a request may start: the engine must have a free stream, and
// its work with the request must be at most maxOutstandingTokens.
func (s *serving) gate(tokens int) bool {
	return len(s.engine.running) < maxRunning && s.engine.outstandingTokens()+float64(tokens) <= maxOutstandingTokens
}

// recordProgress reports to the queue how many tokens the engine generated since
// the last event. It keeps the fraction of a token for the next call.
func (s *serving) recordProgress() {
	streams := len(s.engine.running)
	s.unreportedTokens += s.engine.advance()
	wholeTokens := int(s.unreportedTokens)
	s.unreportedTokens -= float64(wholeTokens)
	s.queue.RecordProgress(s.Now(), wholeTokens, streams)
}

// startWaiting starts all waiting requests that the gate admits now.
func (s *serving) startWaiting() {
	for len(s.fifo) > 0 && s.gate(s.fifo[0].tokens) {
		s.engine.start(s.fifo[0])
		s.fifo = s.fifo[1:]
	}
	for {
		r, ok := s.queue.Next(s.Now(), s.gate)
		if !ok {
			break
		}
		j := s.queued[r.ID]
		delete(s.queued, r.ID)
		s.engine.start(j)
	}
	s.expire()
}

// expire counts the requests that the queue refuses because they can no longer be
// answered by their deadline.
func (s *serving) expire() {
	for _, refusal := range s.queue.Expire(s.Now()) {
		j := s.queued[refusal.Request.ID]
		delete(s.queued, refusal.Request.ID)
		s.result.LateRefusals++
		s.refused(j, refusal.RetryAfter)
	}
}

// scheduleExpiry adds the event at which the next request in the queue expires,
// unless an earlier or equal one is queued.
func (s *serving) scheduleExpiry() {
	at, ok := s.queue.NextExpiry()
	if !ok || s.nextExpiryEvent > s.Now() && s.nextExpiryEvent <= at {
		return
	}
	s.nextExpiryEvent = at
	s.At(at, func() {
		s.recordProgress()
		s.startWaiting()
		s.scheduleExpiry()
	})
}

func (s *serving) refused(j *job, retryAfter time.Duration) {
	if retryAfter <= 0 {
		s.result.NoRetryAfter++
	}
	if s.isMeasured(j) {
		s.result.Customers[j.demand.Customer].Refused++
	}
}

func (s *serving) finished(j *job) {
	s.recordProgress()
	c := s.result.Customers[j.demand.Customer]
	inTime := s.Now() <= j.deadline
	if s.Now() >= s.config.WarmUp {
		c.FinishedTokens += j.tokens
		if inTime {
			c.GoodTokens += j.tokens
		}
	}
	if s.isMeasured(j) {
		c.Waits = append(c.Waits, j.startedAt-j.sentAt)
		c.Latencies = append(c.Latencies, s.Now()-j.sentAt)
		if inTime {
			c.InTime++
		} else {
			c.Late++
		}
	}
	s.startWaiting()
}

func (s *serving) isMeasured(j *job) bool { return j.sentAt >= s.config.WarmUp }
