package admission

import (
	"fmt"
	"time"

	"endiveplank/protocol"
)

// Queue is the owner's queue for one upstream, or for a set of upstreams that
// take the same work.
//
// Load: all requests that the owner's upstream cannot start at once, up to
// several times its capacity. Harm prevented: late answers, starved classes or
// customers, and engine time spent on answers nobody waits for. Limits: see
// Config, each with its reason.
type Queue struct {
	config   Config
	classes  [NumClasses]classQueue
	shares   shares
	entries  map[protocol.RequestID]*waitingEntry
	expiries indexedHeap[*expiry]
	overdue  []Refusal
	drain    rate // tokens finished per second
	direct   rate // tokens started without waiting, per second
	speed    streamSpeed
	running  int // streams at the last call of Drained, and starts since
	arrivals uint64
}

// waitingEntry ties an entry to its place among the expiries.
type waitingEntry struct {
	entry  entry
	expiry expiry
}

// New returns an empty queue. It panics on a configuration whose minimum shares
// add up to one or more, because they could not all be kept.
func New(config Config) *Queue {
	total := 0.0
	for _, share := range config.MinShare {
		total += share
	}
	if total >= 1 {
		panic(fmt.Sprintf("admission: minimum shares add up to %v, must be below 1", total))
	}
	q := &Queue{
		config:  config,
		shares:  shares{flows: make(map[flowKey]*flow), credit: config.CreditTokens},
		entries: make(map[protocol.RequestID]*waitingEntry),
		drain:   newRate(config.InitialRate, config.RateWindow),
		direct:  newRate(0, config.RateWindow),
		speed:   newStreamSpeed(config.InitialSpeed, config.RateWindow),
	}
	for i := range q.classes {
		q.classes[i].rate = newRate(config.InitialRate, config.RateWindow)
	}
	return q
}

// Submit decides about a new request at once: start it, let it wait, or refuse
// it. It is refused when its customer's or the whole queue is full, or when the
// expected wait would make it late.
func (q *Queue) Submit(now time.Duration, r Request, gate Gate) Outcome {
	if reason := q.invalid(r); reason != ReasonNone {
		return Outcome{Kind: Refused, Reason: reason}
	}
	slack := q.latestStart(r) - now
	if slack < 0 {
		return q.impossible(now, r)
	}
	f := q.shares.of(r, q.config.Guarantee[r.Class])
	limit := q.waitLimit(now, f, slack)
	if q.mayPass(f) && gate(r.Tokens+q.reserve(r.Class)) {
		q.startDirectly(now, f, r)
		return Outcome{Kind: Admitted}
	}
	wait := q.ExpectedWait(now, r)
	if reason := q.full(f); reason != ReasonNone {
		return Outcome{Kind: Refused, Reason: reason, RetryAfter: q.retryAfter(r, wait)}
	}
	if careful := time.Duration(float64(wait) * q.config.WaitMargin); careful > limit {
		outcome := Outcome{Kind: Refused, Wait: wait, Reason: ReasonDeadline}
		if careful <= slack {
			outcome.Reason = ReasonStanding
			f.cutUntil = now + q.config.CutTime
		}
		outcome.RetryAfter = q.retryAfter(r, careful-limit)
		return outcome
	}
	position := q.expectedPosition(r)
	q.enqueue(now, f, r)
	return Outcome{Kind: Queued, Position: position, Wait: wait}
}

// Next takes the request that should start now. It returns false when nothing
// waits or the gate has no room for the request whose turn it is. The caller
// counts the request's tokens as load before it calls Next again.
//
// A request that doesn't fit keeps its turn: passing it by would starve long
// requests.
func (q *Queue) Next(now time.Duration, gate Gate) (Request, bool) {
	for {
		class, reserve, ok := q.turn()
		if !ok {
			return Request{}, false
		}
		e, _ := q.classes[class].head()
		if now > q.latestStart(e.request) {
			// The engine has slowed down since the request came.
			q.refuseOverdue(now, e.request)
			continue
		}
		if !gate(e.request.Tokens + reserve) {
			return Request{}, false
		}
		q.startQueued(now, e)
		return e.request, true
	}
}

// Expire removes the requests whose last moment to start has passed. They have
// not run and are to be answered at once.
func (q *Queue) Expire(now time.Duration) []Refusal {
	for {
		x, ok := q.expiries.first()
		if !ok || x.entry.latestStart >= now {
			break
		}
		q.refuseOverdue(now, x.entry.request)
	}
	refusals := q.overdue
	q.overdue = nil
	return refusals
}

// NextExpiry returns when Expire has work next.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	x, ok := q.expiries.first()
	if !ok {
		return 0, false
	}
	return x.entry.latestStart + 1, true
}

// Cancel removes a waiting request whose caller has gone. It returns false for
// a request that does not wait here (any more).
func (q *Queue) Cancel(now time.Duration, id protocol.RequestID) bool {
	if _, ok := q.entries[id]; !ok {
		return false
	}
	q.discard(now, id)
	return true
}

// Drained tells the queue that the running requests, streams in number, made
// tokens of progress since the last call. Calls every 100 ms or so, or at each
// batch of chunks, are frequent enough, and one whenever a request has ended.
func (q *Queue) Drained(now time.Duration, tokens, streams int) {
	q.running = streams
	q.drain.add(now, tokens)
	q.speed.add(now, tokens, streams)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Tokens returns the work waiting in a class, in tokens.
func (q *Queue) Tokens(class Class) int { return q.classes[class].tokens }

// Requests returns all waiting requests in no particular order, for a hand-over
// to another owner.
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
	case r.Tokens <= 0 || r.Steps < 0:
		return ReasonBadTokens
	}
	if _, ok := q.entries[r.ID]; ok {
		return ReasonDuplicate
	}
	return ReasonNone
}

// impossible refuses a request that even a start at once would not answer in
// time. A retry helps only if the upstream is slower than usual.
func (q *Queue) impossible(now time.Duration, r Request) Outcome {
	outcome := Outcome{Kind: Refused, Reason: ReasonImpossible}
	usual := time.Duration(float64(r.Steps) / q.config.InitialSpeed * float64(time.Second))
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

// latestStart is the last moment at which a start meets the deadline, by the
// speed at which streams run now.
func (q *Queue) latestStart(r Request) time.Duration {
	return r.Deadline - durationOf(float64(r.Steps)/q.speed.perSecond())
}

// startQueued takes an entry out to start it.
func (q *Queue) startQueued(now time.Duration, e *entry) {
	c := &q.classes[e.request.Class]
	c.rate.add(now, e.request.Tokens)
	q.observeWait(now, e)
	q.shares.charge(c, e.flow, e.request.Tokens)
	q.account(e.request.Class, e.request.Tokens)
	q.running++
	q.discard(now, e.request.ID)
}

// startDirectly charges a request that never waited.
func (q *Queue) startDirectly(now time.Duration, f *flow, r Request) {
	q.direct.add(now, r.Tokens)
	q.classes[r.Class].rate.add(now, r.Tokens)
	q.shares.charge(&q.classes[r.Class], f, r.Tokens)
	f.standing = false
	q.account(r.Class, r.Tokens)
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
		rank:          now + time.Duration(r.Tokens)*q.config.HandicapPerToken,
		arrivalNumber: q.arrivals,
		rankAt:        unplaced,
	}
	we.expiry = expiry{entry: &we.entry, at: unplaced}
	q.entries[r.ID] = we
	q.expiries.add(&we.expiry)
	q.shares.add(&q.classes[r.Class], &we.entry)
	q.settleBusy(now)
}

// refuseOverdue keeps a refusal for the next call of Expire.
func (q *Queue) refuseOverdue(now time.Duration, r Request) {
	q.discard(now, r.ID)
	q.overdue = append(q.overdue, Refusal{
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
	q.settleBusy(now)
}

// settleBusy runs the rate clocks only while there is work waiting.
func (q *Queue) settleBusy(now time.Duration) {
	busy := len(q.entries) > 0
	q.drain.setBusy(now, busy)
	q.direct.setBusy(now, busy)
	for i := range q.classes {
		c := &q.classes[i]
		c.rate.setBusy(now, c.count > 0)
	}
}
