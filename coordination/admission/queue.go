package admission

import (
	"fmt"
	"time"

	"endiveplank/protocol"
)

// Queue holds the requests that wait for one upstream, or for a set of
// upstreams that take the same work. It runs on the owning router.
//
// It receives all requests that the upstream can't start at once, up to several
// times the upstream's capacity. It prevents late answers, starved classes or
// customers, and engine time spent on answers that nobody waits for. Config
// holds its limits and the reason for each.
type Queue struct {
	config     Config
	classes    [NumClasses]classQueue
	shares     shares
	entries    map[protocol.RequestID]*waitingEntry
	expiries   indexedHeap[*expiry]
	expired    []Refusal // to be returned by the next call of Expire
	drainRate  rate      // tokens finished per second
	directRate rate      // tokens started without waiting, per second
	speed      streamSpeed
	running    int // streams at the last call of RecordProgress, plus starts since
	arrivals   uint64
}

// waitingEntry holds an entry and its element in the heap of expiries.
type waitingEntry struct {
	entry  entry
	expiry expiry
}

// New returns an empty queue. It panics if the minimum shares add up to one or
// more, because they couldn't all be kept.
func New(config Config) *Queue {
	total := 0.0
	for _, share := range config.MinShare {
		total += share
	}
	if total >= 1 {
		panic(fmt.Sprintf("admission: minimum shares add up to %v, must be below 1", total))
	}
	q := &Queue{
		config:     config,
		shares:     shares{flows: make(map[flowKey]*flow), credit: config.CreditTokens},
		entries:    make(map[protocol.RequestID]*waitingEntry),
		drainRate:  newRate(config.InitialRate, config.RateWindow),
		directRate: newRate(0, config.RateWindow),
		speed:      newStreamSpeed(config.InitialSpeed, config.RateWindow),
	}
	for i := range q.classes {
		q.classes[i].rate = newRate(config.InitialRate, config.RateWindow)
	}
	return q
}

// Submit decides at once whether a new request starts, waits or is refused. It
// is refused when its customer's part of the queue or the whole queue is full,
// or when the expected wait would make its answer late.
func (q *Queue) Submit(now time.Duration, r Request, gate Gate) Outcome {
	if reason := q.invalid(r); reason != ReasonNone {
		return Outcome{Kind: Refused, Reason: reason}
	}
	slack := q.latestStart(r) - now
	if slack < 0 {
		return q.refuseImpossible(now, r)
	}
	f := q.shares.flowOf(r, q.config.ClassWeight[r.Class])
	limit := q.waitLimit(now, f, slack)
	if q.canStartDirectly(f) && gate(r.Tokens+q.reserve(r.Class)) {
		q.startDirectly(now, f, r)
		return Outcome{Kind: Admitted}
	}
	wait := q.ExpectedWait(now, r)
	if reason := q.full(f); reason != ReasonNone {
		return Outcome{Kind: Refused, Reason: reason, RetryAfter: q.retryAfter(r, wait)}
	}
	if waitWithMargin := time.Duration(float64(wait) * q.config.WaitMargin); waitWithMargin > limit {
		outcome := Outcome{Kind: Refused, Wait: wait, Reason: ReasonDeadline}
		if waitWithMargin <= slack {
			outcome.Reason = ReasonStanding
			f.targetUntil = now + q.config.TargetHoldTime
		}
		outcome.RetryAfter = q.retryAfter(r, waitWithMargin-limit)
		return outcome
	}
	position := q.expectedPosition(r)
	q.enqueue(now, f, r)
	return Outcome{Kind: Queued, Position: position, Wait: wait}
}

// Next removes and returns the request that should start now. It returns false
// when no request waits or when the gate refuses the next request. The caller
// adds the request's tokens to the load before it calls Next again.
//
// A request that doesn't fit stays the next one: starting others before it
// would starve long requests.
func (q *Queue) Next(now time.Duration, gate Gate) (Request, bool) {
	for {
		class, reserve, ok := q.nextClass()
		if !ok {
			return Request{}, false
		}
		e, _ := q.classes[class].head()
		if now > q.latestStart(e.request) {
			// The engine has slowed down since the request arrived.
			q.refuseExpired(now, e.request)
			continue
		}
		if !gate(e.request.Tokens + reserve) {
			return Request{}, false
		}
		q.startQueued(now, e)
		return e.request, true
	}
}

// Expire removes the requests that can't meet their deadlines any more. They
// have not run; the caller refuses them at once.
func (q *Queue) Expire(now time.Duration) []Refusal {
	for {
		x, ok := q.expiries.first()
		if !ok || x.entry.latestStart >= now {
			break
		}
		q.refuseExpired(now, x.entry.request)
	}
	refusals := q.expired
	q.expired = nil
	return refusals
}

// NextExpiry returns the time at which Expire must be called next.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	x, ok := q.expiries.first()
	if !ok {
		return 0, false
	}
	return x.entry.latestStart + 1, true
}

// Cancel removes a waiting request whose caller has disconnected. It returns
// false for a request that doesn't wait here (any more).
func (q *Queue) Cancel(now time.Duration, id protocol.RequestID) bool {
	if _, ok := q.entries[id]; !ok {
		return false
	}
	q.discard(now, id)
	return true
}

// RecordProgress records that the running requests, streams in number, finished
// tokens since the last call. Calling it about every 100 ms, or for each batch
// of chunks, is often enough; call it also whenever a request has ended.
func (q *Queue) RecordProgress(now time.Duration, tokens, streams int) {
	q.running = streams
	q.drainRate.add(now, tokens)
	q.speed.add(now, tokens, streams)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Tokens returns the work waiting in a class, in tokens.
func (q *Queue) Tokens(class Class) int { return q.classes[class].tokens }

// Requests returns all waiting requests in no particular order, to transfer
// them to another owner.
func (q *Queue) Requests() []Request {
	requests := make([]Request, 0, len(q.entries))
	for _, x := range q.expiries.items {
		requests = append(requests, x.entry.request)
	}
	return requests
}

func (q *Queue) invalid(r Request) Reason {
	switch {
	case r.Class < 0 || r.Class >= NumClasses:
		return ReasonBadClass
	case !(r.Weight > 0):
		return ReasonBadWeight
	case r.Tokens <= 0 || r.AnswerTokens < 0:
		return ReasonBadTokens
	}
	if _, ok := q.entries[r.ID]; ok {
		return ReasonDuplicate
	}
	return ReasonNone
}

// refuseImpossible refuses a request that would be late even if it started at
// once. A retry helps only if the upstream is slower than usual.
func (q *Queue) refuseImpossible(now time.Duration, r Request) Outcome {
	outcome := Outcome{Kind: Refused, Reason: ReasonImpossible}
	usual := time.Duration(float64(r.AnswerTokens) / q.config.InitialSpeed * float64(time.Second))
	if now+usual <= r.Deadline {
		outcome.RetryAfter = q.retryAfter(r, q.config.RateWindow)
	}
	return outcome
}

func (q *Queue) full(f *flow) Reason {
	if len(q.entries) >= q.config.MaxQueued {
		return ReasonQueueFull
	}
	if f.waiting.Len() >= q.config.MaxCustomerQueued {
		return ReasonCustomerFull
	}
	return ReasonNone
}

// latestStart returns the latest start that meets the deadline, by the current
// speed of streams.
func (q *Queue) latestStart(r Request) time.Duration {
	return r.Deadline - durationOf(float64(r.AnswerTokens)/q.speed.perSecond())
}

// startQueued removes an entry from the queue and accounts for its start.
func (q *Queue) startQueued(now time.Duration, e *entry) {
	c := &q.classes[e.request.Class]
	c.rate.add(now, e.request.Tokens)
	q.recordWait(now, e)
	q.shares.charge(c, e.flow, e.request.Tokens)
	q.updateCredits(e.request.Class, e.request.Tokens)
	q.running++
	q.discard(now, e.request.ID)
}

// startDirectly accounts for the start of a request that never waited.
func (q *Queue) startDirectly(now time.Duration, f *flow, r Request) {
	q.directRate.add(now, r.Tokens)
	q.classes[r.Class].rate.add(now, r.Tokens)
	q.shares.charge(&q.classes[r.Class], f, r.Tokens)
	f.standing = false
	q.updateCredits(r.Class, r.Tokens)
	q.running++
}

func (q *Queue) enqueue(now time.Duration, f *flow, r Request) {
	q.arrivals++
	we := &waitingEntry{}
	we.entry = entry{
		request:       r,
		flow:          f,
		arrived:       now,
		latestStart:   q.latestStart(r),
		rank:          now + time.Duration(r.Tokens)*q.config.PenaltyPerToken,
		arrivalNumber: q.arrivals,
		heapIndex:     notInHeap,
	}
	we.expiry = expiry{entry: &we.entry, heapIndex: notInHeap}
	q.entries[r.ID] = we
	q.expiries.add(&we.expiry)
	q.shares.add(&q.classes[r.Class], &we.entry)
	q.updateRateClocks(now)
}

// refuseExpired removes a request and keeps its refusal for the next call of
// Expire.
func (q *Queue) refuseExpired(now time.Duration, r Request) {
	q.discard(now, r.ID)
	q.expired = append(q.expired, Refusal{
		Request:    r,
		Reason:     ReasonExpired,
		RetryAfter: q.retryAfter(r, q.ExpectedWait(now, r)),
	})
}

// discard removes a waiting request.
func (q *Queue) discard(now time.Duration, id protocol.RequestID) {
	we := q.entries[id]
	delete(q.entries, id)
	q.expiries.remove(&we.expiry)
	q.shares.remove(&q.classes[we.entry.request.Class], &we.entry)
	q.updateRateClocks(now)
}

// updateRateClocks stops the clocks of the rates while no work waits and runs
// them otherwise.
func (q *Queue) updateRateClocks(now time.Duration) {
	busy := len(q.entries) > 0
	q.drainRate.setBusy(now, busy)
	q.directRate.setBusy(now, busy)
	for i := range q.classes {
		c := &q.classes[i]
		c.rate.setBusy(now, c.count > 0)
	}
}
