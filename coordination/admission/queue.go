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
	entries  map[protocol.RequestID]*waitingEntry
	expiries indexedHeap[*expiry]
	drain    rate
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
		entries: make(map[protocol.RequestID]*waitingEntry),
		drain:   newRate(config.InitialRate, config.RateWindow),
	}
	for i := range q.classes {
		q.classes[i].flows = make(map[protocol.CustomerID]*flow)
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
	if now > r.latestStart() {
		return Outcome{Kind: Refused, Reason: ReasonImpossible}
	}
	if q.mayPass(r) && gate(r.Tokens+q.reserve(r.Class)) {
		q.startDirectly(now, r)
		return Outcome{Kind: Admitted}
	}
	wait := q.ExpectedWait(now, r)
	if reason := q.full(r); reason != ReasonNone {
		return Outcome{Kind: Refused, Reason: reason, RetryAfter: q.retryAfter(r, wait)}
	}
	if slack := r.latestStart() - now; wait > slack {
		return Outcome{
			Kind:       Refused,
			Wait:       wait,
			Reason:     ReasonDeadline,
			RetryAfter: q.retryAfter(r, wait-slack),
		}
	}
	position := q.expectedPosition(r)
	q.enqueue(now, r)
	return Outcome{Kind: Queued, Position: position, Wait: wait}
}

// Next takes the request that should start now. It returns false when nothing
// waits or the gate has no room for the request whose turn it is. The caller
// counts the request's tokens as load before it calls Next again.
//
// A request that doesn't fit keeps its turn: passing it by would starve long
// requests. Only a more urgent class that fits may go before it, except
// where the request is owed its class's minimum share.
func (q *Queue) Next(now time.Duration, gate Gate) (Request, bool) {
	if class, ok := q.owedClass(); ok {
		return q.take(now, class, 0, gate)
	}
	for class := range q.classes {
		if q.classes[class].count > 0 {
			return q.take(now, Class(class), q.reserve(Class(class)), gate)
		}
	}
	return Request{}, false
}

// Expire removes the requests whose last moment to start has passed. They have
// not run and are to be answered at once.
func (q *Queue) Expire(now time.Duration) []Refusal {
	var refusals []Refusal
	for {
		x, ok := q.expiries.first()
		if !ok || x.entry.request.latestStart() >= now {
			return refusals
		}
		r := x.entry.request
		q.discard(now, r.ID)
		wait := q.ExpectedWait(now, r)
		refusals = append(refusals, Refusal{
			Request:    r,
			Reason:     ReasonExpired,
			RetryAfter: q.retryAfter(r, wait),
		})
	}
}

// NextExpiry returns when Expire has work next.
func (q *Queue) NextExpiry() (time.Duration, bool) {
	x, ok := q.expiries.first()
	if !ok {
		return 0, false
	}
	return x.entry.request.latestStart() + 1, true
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

// Drained tells the queue that the upstream finished tokens of work.
func (q *Queue) Drained(now time.Duration, tokens int) {
	q.drain.add(now, tokens)
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
	case r.Tokens <= 0:
		return ReasonBadTokens
	}
	if _, ok := q.entries[r.ID]; ok {
		return ReasonDuplicate
	}
	return ReasonNone
}

func (q *Queue) full(r Request) Reason {
	if len(q.entries) >= q.config.MaxQueued {
		return ReasonQueueFull
	}
	f := q.classes[r.Class].flows[r.Customer]
	if f != nil && f.waiting.Len() >= q.config.MaxCustomerQueued {
		return ReasonCustomerFull
	}
	return ReasonNone
}

// mayPass says whether a new request may start without queueing: only when no
// request of its own or a more urgent class waits, and no class is owed its
// minimum share.
func (q *Queue) mayPass(r Request) bool {
	for class := Class(0); class <= r.Class; class++ {
		if q.classes[class].count > 0 {
			return false
		}
	}
	_, owed := q.owedClass()
	return !owed
}

// reserve is the room that a class leaves free for class 0.
func (q *Queue) reserve(class Class) int {
	if class == 0 {
		return 0
	}
	return q.config.ReserveTokens
}

// owedClass returns the class whose credit pays for its next request. With
// several, the most urgent goes first.
func (q *Queue) owedClass() (Class, bool) {
	for i := range q.classes {
		c := &q.classes[i]
		if c.count == 0 || q.config.MinShare[i] == 0 {
			continue
		}
		if e, ok := c.head(); ok && c.credit >= float64(e.request.Tokens) {
			return Class(i), true
		}
	}
	return 0, false
}

// take starts the head of a class if the gate has room for it and the reserve.
func (q *Queue) take(now time.Duration, class Class, reserve int, gate Gate) (Request, bool) {
	c := &q.classes[class]
	e, _ := c.head()
	if !gate(e.request.Tokens + reserve) {
		return Request{}, false
	}
	r := e.request
	q.expiries.remove(&q.entries[r.ID].expiry)
	delete(q.entries, r.ID)
	c.rate.add(now, r.Tokens)
	c.started(e)
	q.account(class, r.Tokens)
	q.settleBusy(now)
	return r, true
}

// startDirectly charges a request that never waited.
func (q *Queue) startDirectly(now time.Duration, r Request) {
	c := &q.classes[r.Class]
	c.rate.add(now, r.Tokens)
	q.account(r.Class, r.Tokens)
}

// account gives each waiting class its share of the started tokens as credit
// and takes the cost from the class that was served.
//
// Credit is capped at creditBurst times the head's cost, so that a class that
// could not use its credit (its head doesn't fit yet) doesn't save up for a burst
// that would hold up urgent work.
func (q *Queue) account(served Class, tokens int) {
	const creditBurst = 2
	for i := range q.classes {
		c := &q.classes[i]
		if Class(i) == served {
			c.credit = max(0, c.credit-float64(tokens))
		}
		e, ok := c.head()
		if !ok {
			c.credit = 0
			continue
		}
		c.credit += q.config.MinShare[i] * float64(tokens)
		c.credit = min(c.credit, creditBurst*float64(e.request.Tokens))
	}
}

func (q *Queue) enqueue(now time.Duration, r Request) {
	c := &q.classes[r.Class]
	q.arrivals++
	we := &waitingEntry{}
	we.entry = entry{
		request:       r,
		flow:          c.flow(r),
		rank:          now + time.Duration(r.Tokens)*q.config.HandicapPerToken,
		arrivalNumber: q.arrivals,
		rankAt:        unplaced,
	}
	we.expiry = expiry{entry: &we.entry, at: unplaced}
	q.entries[r.ID] = we
	q.expiries.add(&we.expiry)
	c.add(&we.entry)
	q.settleBusy(now)
}

// discard removes a waiting request without starting it.
func (q *Queue) discard(now time.Duration, id protocol.RequestID) {
	we := q.entries[id]
	delete(q.entries, id)
	q.expiries.remove(&we.expiry)
	q.classes[we.entry.request.Class].remove(&we.entry)
	q.settleBusy(now)
}

// settleBusy runs the rate clocks only while there is work waiting.
func (q *Queue) settleBusy(now time.Duration) {
	q.drain.setBusy(now, len(q.entries) > 0)
	for i := range q.classes {
		c := &q.classes[i]
		c.rate.setBusy(now, c.count > 0)
	}
}
