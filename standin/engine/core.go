package engine

import (
	"math/rand/v2"
	"slices"
	"time"

	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/upstreamapi"
)

// JobID names one request inside an engine.
type JobID uint64

// Job is one chat request as the core sees it.
type Job struct {
	Request  protocol.RequestID
	Attempt  int
	Priority int
	// Prompt is the chain of the request's messages.
	Prompt []chat.Link
	// Whole is the chain of the prompt and the answer, which the cache holds
	// once the request has finished.
	Whole []chat.Link
	// Tokens is the length of the answer and ResumeAt the tokens of it that the
	// caller already has.
	Tokens   int
	ResumeAt int
	// Marked crashes the engine once the request has been prefilled.
	Marked bool
}

// EventKind says what happened to a job.
type EventKind int

const (
	// TokenReady means that the answer's token Index is there.
	TokenReady EventKind = iota
	// JobDone means that the answer is complete.
	JobDone
	// EngineCrashed means that the job took the engine down.
	EngineCrashed
)

// Event is one outcome of an iteration.
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
	chunk   int // of these, in the current iteration
	next    int // index of the next token
	cached  int
}

// Core is the engine's model. It is not safe for concurrent use.
type Core struct {
	model   CostModel
	faults  Faults
	control control
	// sharedStore leaves the end of a load to Loaded.
	sharedStore bool
	cache       *prefixCache
	events      eventLog
	lagged      loadHistory
	rng         *rand.Rand
	now         time.Duration
	lastID      JobID
	waiting     []*job
	running     []*job
	busy        bool // an iteration is in progress and ends at endsAt
	endsAt      time.Duration
	crashed     bool // the core does nothing more
	counters    Counters
}

// NewCore returns an engine that holds the given models.
func NewCore(model CostModel, faults Faults, models []protocol.Model, role string, rng *rand.Rand) *Core {
	c := &Core{model: model, faults: faults, rng: rng}
	c.control.role = role
	for _, name := range models {
		c.control.models = append(c.control.models, heldModel{model: name})
	}
	c.events.first = 1
	c.cache = newPrefixCache(model.CacheTokens, func(op upstreamapi.CacheOp, hash chat.ChainHash) {
		c.events.add(c.now, op, hash)
	})
	return c
}

// Submit queues a job behind all of the same or a more urgent priority. It
// returns false when too many wait already; the job is then not run.
func (c *Core) Submit(now time.Duration, work Job) (JobID, bool) {
	c.now = now
	if len(c.waiting) >= c.model.MaxWaiting {
		c.counters.Refused++
		return 0, false
	}
	c.lastID++
	c.counters.Requests++
	c.waiting = insertByPriority(c.waiting, &job{Job: work, id: c.lastID, next: work.ResumeAt})
	if !c.busy {
		c.begin(now)
	}
	c.noteLoad(now)
	return c.lastID, true
}

// Cancel removes a job. It returns false when the job is not there any more.
func (c *Core) Cancel(now time.Duration, id JobID) bool {
	c.now = now
	before := len(c.waiting) + len(c.running)
	same := func(j *job) bool { return j.id == id }
	c.waiting = slices.DeleteFunc(c.waiting, same)
	c.running = slices.DeleteFunc(c.running, same)
	found := len(c.waiting)+len(c.running) < before
	if found {
		c.counters.Cancelled++
		c.noteLoad(now)
	}
	return found
}

// Next returns when the current iteration ends. ok is false while the engine
// has nothing to do, is stalled or has crashed.
func (c *Core) Next() (at time.Duration, ok bool) {
	return c.endsAt, c.busy && !c.faults.Stall && !c.crashed
}

// Advance ends every iteration that is due and returns what they produced.
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
		c.noteLoad(at)
	}
}

// SetFaults switches the faults. The end of a stall ends the iteration that it
// held up.
func (c *Core) SetFaults(now time.Duration, faults Faults) {
	if c.faults.Stall && !faults.Stall {
		c.endsAt = max(c.endsAt, now)
	}
	c.faults = faults
	if !c.busy {
		c.begin(now)
	}
}

// begin lets waiting jobs join the batch and starts an iteration.
func (c *Core) begin(now time.Duration) {
	for len(c.waiting) > 0 && len(c.running) < c.model.MaxBatch {
		c.join(c.waiting[0])
		c.waiting = c.waiting[1:]
	}
	cost, work := c.plan()
	c.busy = work
	c.endsAt = now + time.Duration(float64(cost)*max(c.faults.SlowFactor, 1))
}

// join puts a job into the batch, behind all of the same or a more urgent
// priority, and looks its prompt up in the cache. A resumed job prefills the tokens that its caller already has, too. At least
// one token is always prefilled, because the first output needs it.
func (c *Core) join(j *job) {
	prompt := tokensOf(j.Prompt)
	j.cached = min(c.cache.lookup(j.Prompt), max(prompt-1, 0))
	j.prefill = max(prompt-j.cached+j.ResumeAt, 1)
	c.counters.PromptTokens += uint64(prompt)
	c.counters.CachedTokens += uint64(j.cached)
	c.running = insertByPriority(c.running, j)
}

// plan shares the iteration's prefill budget out and returns its cost. work is
// false when no job can make progress.
func (c *Core) plan() (cost time.Duration, work bool) {
	budget := c.model.PrefillChunk
	decoding := 0
	for _, j := range c.running {
		j.chunk = min(j.prefill, budget)
		budget -= j.chunk
		if j.prefill == 0 && !c.held(j) {
			decoding++
		}
	}
	prefilled := c.model.PrefillChunk - budget
	cost = c.model.IterationBase +
		time.Duration(prefilled)*c.model.PrefillPerToken +
		time.Duration(decoding)*c.model.DecodePerSequence
	return cost, prefilled+decoding > 0
}

// held says that a job's stream is stalled by a fault.
func (c *Core) held(j *job) bool {
	limit := c.faults.StallAfterTokens
	return limit > 0 && j.next-j.ResumeAt >= limit
}

// finish ends the current iteration.
func (c *Core) finish(events []Event) []Event {
	remaining := c.running[:0:0]
	for _, j := range c.running {
		j.prefill -= j.chunk
		decodes := j.prefill == 0 && !c.held(j)
		if j.chunk > 0 && j.prefill == 0 {
			c.cache.store(j.Prompt)
			if j.Marked {
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
			c.cache.store(j.Whole)
			c.counters.Completed++
			events = append(events, Event{Kind: JobDone, Job: j.id, Index: j.next, Cached: j.cached})
			continue
		}
		remaining = append(remaining, j)
	}
	c.running = remaining
	return events
}

// insertByPriority puts a job behind all of the same or a more urgent priority.
func insertByPriority(jobs []*job, j *job) []*job {
	at := len(jobs)
	for at > 0 && jobs[at-1].Priority > j.Priority {
		at--
	}
	return slices.Insert(jobs, at, j)
}

// tokensOf returns the length of a chain.
func tokensOf(links []chat.Link) int {
	if len(links) == 0 {
		return 0
	}
	return links[len(links)-1].Tokens
}
