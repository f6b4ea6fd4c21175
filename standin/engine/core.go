package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// JobID identifies one request within an engine.
type JobID uint64

// Job is one chat request to the core.
type Job struct {
	Request  protocol.RequestID
	Attempt  int
	Priority int
	// Prompt is the chain of the request's messages.
	Prompt []chat.Link
	// PromptAndAnswer is the chain of the prompt's messages and the answer. The
	// cache holds it once the request has finished.
	PromptAndAnswer []chat.Link
	// Tokens is the length of the answer. ResumeAt is the number of its tokens that
	// the caller already has.
	Tokens   int
	ResumeAt int
	// CrashMarked makes the request crash the engine once its prompt is prefilled.
	CrashMarked bool
}

// EventKind is what happened to a job.
type EventKind int

const (
	// TokenReady means that token Index of the answer has been decoded.
	TokenReady EventKind = iota
	// JobDone means that the answer is complete.
	JobDone
	// EngineCrashed means that the job crashed the engine.
	EngineCrashed
)

// Event is one result of an iteration.
type Event struct {
	Kind  EventKind
	Job   JobID
	Index int
	// Cached is the number of prompt tokens that came from the cache.
	Cached int
}

// job is a Job with its progress.
type job struct {
	Job
	id      JobID
	prefill int // prompt tokens still to prefill
	chunk   int // prompt tokens that the current iteration prefills
	next    int // index of the next token
	cached  int // prompt tokens that came from the cache
}

// Core simulates an engine. Its caller passes the time since the engine's start. It
// is not safe for concurrent use.
type Core struct {
	model      CostModel
	faults     Faults
	orderState orderState
	// usesWeightStore means that a load ends with FinishTransfer and not after
	// LoadTime.
	usesWeightStore bool
	cache           *prefixCache
	events          eventLog
	loadHistory     loadHistory
	rng             *rand.Rand
	now             time.Duration
	lastID          JobID
	waiting         []*job
	running         []*job
	busy            bool // an iteration is in progress and ends at endsAt
	endsAt          time.Duration
	crashed         bool // the core does nothing more
	counters        Counters
}

// NewCore returns the core of an engine that has loaded the given models.
func NewCore(model CostModel, faults Faults, models []protocol.Model, role string, rng *rand.Rand) *Core {
	c := &Core{model: model, faults: faults, rng: rng}
	c.orderState.role = role
	for _, name := range models {
		c.orderState.models = append(c.orderState.models, heldModel{model: name})
	}
	c.events.first = 1
	c.cache = newPrefixCache(model.CacheTokens, func(op upstreamapi.CacheOp, hash chat.ChainHash) {
		c.events.add(c.now, op, hash)
	})
	return c
}

// Submit queues a job after all jobs of the same or a more urgent priority. It
// returns false, and doesn't run the job, if MaxWaiting jobs wait already.
func (c *Core) Submit(now time.Duration, request Job) (JobID, bool) {
	c.now = now
	if len(c.waiting) >= c.model.MaxWaiting {
		c.counters.Refused++
		return 0, false
	}
	c.lastID++
	c.counters.Requests++
	c.waiting = insertByPriority(c.waiting, &job{Job: request, id: c.lastID, next: request.ResumeAt})
	if !c.busy {
		c.begin(now)
	}
	c.recordLoad(now)
	return c.lastID, true
}

// Cancel removes a job. It returns false if the job has already ended.
func (c *Core) Cancel(now time.Duration, id JobID) bool {
	c.now = now
	before := len(c.waiting) + len(c.running)
	same := func(j *job) bool { return j.id == id }
	c.waiting = slices.DeleteFunc(c.waiting, same)
	c.running = slices.DeleteFunc(c.running, same)
	found := len(c.waiting)+len(c.running) < before
	if found {
		c.counters.Cancelled++
		c.recordLoad(now)
	}
	return found
}

// Next returns when the current iteration ends. ok is false while the engine is
// idle or stalled, and after a crash.
func (c *Core) Next() (at time.Duration, ok bool) {
	return c.endsAt, c.busy && !c.faults.Stall && !c.crashed
}

// Advance completes all iterations that end at now or earlier and returns their
// events.
func (c *Core) Advance(now time.Duration) []Event {
	var events []Event
	for {
		at, ok := c.Next()
		if !ok || at > now {
			return events
		}
		c.now = at
		events = c.finish(events)
		if c.crashed {
			return events
		}
		c.begin(at)
		c.recordLoad(at)
	}
}

// SetFaults replaces the faults. When a stall ends, the iteration that it delayed
// ends at now or later.
func (c *Core) SetFaults(now time.Duration, faults Faults) {
	if c.faults.Stall && !faults.Stall {
		c.endsAt = max(c.endsAt, now)
	}
	c.faults = faults
	if !c.busy {
		c.begin(now)
	}
}

// begin moves waiting jobs to the batch and starts an iteration.
func (c *Core) begin(now time.Duration) {
	for len(c.waiting) > 0 && len(c.running) < c.model.MaxBatch {
		c.join(c.waiting[0])
		c.waiting = c.waiting[1:]
	}
	cost, ok := c.plan()
	c.busy = ok
	c.endsAt = now + time.Duration(float64(cost)*max(c.faults.SlowFactor, 1))
}

// join adds a job to the batch, after all jobs of the same or a more urgent
// priority, and looks up its prompt in the cache. A resumed job also prefills the
// tokens that its caller already has. At least one token is always prefilled,
// because the first output token needs it.
func (c *Core) join(j *job) {
	prompt := tokensOf(j.Prompt)
	j.cached = min(c.cache.lookup(j.Prompt), max(prompt-1, 0))
	j.prefill = max(prompt-j.cached+j.ResumeAt, 1)
	c.counters.PromptTokens += uint64(prompt)
	c.counters.CachedTokens += uint64(j.cached)
	c.running = insertByPriority(c.running, j)
}

// plan divides the iteration's prefill budget among the jobs and returns how long
// the iteration takes. ok is false if no job can make progress.
func (c *Core) plan() (cost time.Duration, ok bool) {
	budget := c.model.PrefillChunk
	decoding := 0
	for _, j := range c.running {
		j.chunk = min(j.prefill, budget)
		budget -= j.chunk
		if j.prefill == 0 && !c.stalled(j) {
			decoding++
		}
	}
	prefilled := c.model.PrefillChunk - budget
	cost = c.model.IterationBase +
		time.Duration(prefilled)*c.model.PrefillPerToken +
		time.Duration(decoding)*c.model.DecodePerSequence
	return cost, prefilled+decoding > 0
}

// stalled reports whether the fault StallAfterTokens stops a job.
func (c *Core) stalled(j *job) bool {
	limit := c.faults.StallAfterTokens
	return limit > 0 && j.next-j.ResumeAt >= limit
}

// finish completes the current iteration and appends its events to events.
func (c *Core) finish(events []Event) []Event {
	remaining := c.running[:0:0]
	for _, j := range c.running {
		j.prefill -= j.chunk
		decodes := j.prefill == 0 && !c.stalled(j)
		if j.chunk > 0 && j.prefill == 0 {
			c.cache.store(j.Prompt)
			if j.CrashMarked {
				c.counters.Crashes++
				c.crashed = true
				return append(events, Event{Kind: EngineCrashed, Job: j.id})
			}
		}
		if decodes && j.next < j.Tokens {
			events = append(events, Event{Kind: TokenReady, Job: j.id, Index: j.next, Cached: j.cached})
			j.next++
			c.counters.GeneratedTokens++
		}
		if j.prefill == 0 && j.next >= j.Tokens {
			c.cache.store(j.PromptAndAnswer)
			c.counters.Completed++
			events = append(events, Event{Kind: JobDone, Job: j.id, Index: j.next, Cached: j.cached})
			continue
		}
		remaining = append(remaining, j)
	}
	c.running = remaining
	return events
}

// insertByPriority inserts a job after all jobs of the same or a more urgent
// priority. A lower number is more urgent.
func insertByPriority(jobs []*job, j *job) []*job {
	at := len(jobs)
	for at > 0 && jobs[at-1].Priority > j.Priority {
		at--
	}
	return slices.Insert(jobs, at, j)
}

// tokensOf returns the length of a chain in tokens.
func tokensOf(links []chat.Link) int {
	if len(links) == 0 {
		return 0
	}
	return links[len(links)-1].Tokens
}
