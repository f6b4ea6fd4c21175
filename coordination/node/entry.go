package node

import (
	"slices"
	"time"

	"endiveplank/coordination/placement"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/coordination/retry"
	"endiveplank/coordination/stream"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/fleet"
)

const (
	// ownerPatience is how long an owner may take to answer a Place. An owner
	// answers at once; only a lost or frozen one doesn't.
	ownerPatience = time.Second
	// statusRetryAfter is what callers are told when the wait isn't known.
	statusRetryAfter = time.Second
)

// phase is where an entry request stands.
type phase uint8

const (
	// phaseAsking: a Place was sent and not answered.
	phaseAsking phase = iota
	// phaseQueued: the owner holds the request in its queue.
	phaseQueued
	// phaseRunning: the upstream has the request.
	phaseRunning
	// phaseWaiting: no attempt is under way until wakeAt.
	phaseWaiting
	// phaseLimit: the home of the customer's limits was asked for credit.
	phaseLimit
	// phaseJournal: the journal is asked before or after the attempt.
	phaseJournal
)

// entry is a caller's request on its entry router.
type entry struct {
	request  CallerRequest
	customer *Customer
	template fleet.Place
	// chain is the chat's, empty for a plain service.
	chain   []chat.Link
	service protocol.Service
	phase   phase
	// attempt is the current attempt, from 1.
	attempt  uint32
	upstream *Upstream
	// walk looks for the upstream of a chat while walking is set; candidates
	// and next do for a plain service.
	walk       placement.Walk
	walking    bool
	seen       []heardLoad
	candidates []*Upstream
	next       int
	// failures counts the attempts that broke, and again asks the next attempt
	// to go to the same upstream.
	failures int
	again    *Upstream
	// owing is why the last attempt failed while the next one waits for the
	// retry budget, empty otherwise.
	owing reason.Code
	// creditSince is when the budget first could not pay, or zero.
	creditSince time.Duration
	// avoid holds the upstreams this request has failed on.
	avoid    []protocol.UpstreamID
	deadline time.Duration
	// progress is when the current attempt last moved.
	progress time.Duration
	wakeAt   time.Duration
	// checkedAt is when the owner was last asked whether it still has the
	// attempt, 0 without an open question; aliveAt is when it last said so.
	checkedAt time.Duration
	aliveAt   time.Duration
	// answer passes each chunk on once and in order.
	answer   *stream.Assembler
	headSent bool
	// reached means that an earlier attempt may have reached an upstream.
	reached bool
	// limited means that the request was charged to its customer's limits.
	limited bool
	watch   *stream.Monitor
	order   *order
}

// callerRequest checks a new request and starts placing it.
func (n *Node) callerRequest(now time.Duration, in CallerRequest) {
	if n.park(now, in) {
		return
	}
	customer, refusal := n.authorize(now, in)
	if refusal != nil {
		n.refuse(*refusal)
		return
	}
	fresh := &entry{request: in, customer: customer, phase: phaseWaiting}
	if refusal := n.classify(now, fresh); refusal != nil {
		n.refuse(*refusal)
		return
	}
	n.entries[in.ID] = fresh
	n.limit(now, fresh, n.limiter.Admit)
}

// begin starts placing a request that is within its customer's limits.
func (n *Node) begin(now time.Duration, e *entry) {
	n.budget.RecordFirstAttempt(now, e.work())
	if e.order != nil {
		n.startOrder(now, e)
		return
	}
	e.watch = stream.NewMonitor(now, stream.DefaultMonitorConfig())
	e.answer = stream.NewAssembler(e.request.ID, stream.DefaultMonitorConfig().MaxHeld)
	n.place(now, e)
}

// remove forgets a request that has its final answer.
func (n *Node) remove(now time.Duration, e *entry) {
	delete(n.entries, e.request.ID)
	if e.limited {
		n.limiter.Finished(now, e.customer.ID)
	}
}

// work is the expected work of a request from where it stands, in tokens.
func (e *entry) work() int {
	return e.template.PromptTokens + max(1, e.template.OutputTokens-e.delivered())
}

// current is the attempt under way.
func (e *entry) current() fleet.Attempt {
	return fleet.Attempt{Request: e.request.ID, Number: e.attempt}
}

// live returns the entry of an attempt if it is the one under way. Messages
// of abandoned attempts find nothing.
func (n *Node) live(attempt fleet.Attempt) *entry {
	found := n.entries[attempt.Request]
	if found == nil || found.attempt != attempt.Number {
		return nil
	}
	return found
}

// entryChunk passes a piece of the answer on: the next one, of the attempt
// under way, and nothing else.
func (n *Node) entryChunk(now time.Duration, in PeerChunk) {
	e := n.live(in.Chunk.Attempt)
	if e == nil || e.answer == nil {
		// Abandoned, or an order, whose answer comes in a report.
		return
	}
	e.progress = now
	e.checkedAt = 0
	if e.phase == phaseAsking || e.phase == phaseQueued {
		e.phase = phaseRunning
	}
	accepted := e.answer.Accept(stream.Chunk{
		Request: e.request.ID,
		Attempt: int(in.Chunk.Attempt.Number),
		Index:   in.Chunk.Index,
		Data:    in.Chunk.Data,
	})
	switch accepted.Verdict {
	case stream.Delivered:
		n.deliver(now, e, in.Chunk, accepted.Deliver)
	case stream.Duplicate, stream.Abandoned:
	default:
		n.chunkMissing(now, e)
	}
}

// deliver passes chunks to the caller, behind the head of the answer.
func (n *Node) deliver(now time.Duration, e *entry, first fleet.Chunk, chunks []stream.Chunk) {
	if !e.headSent {
		e.headSent = true
		n.emit(AnswerHead{Request: e.request.ID, Status: first.Status, Headers: first.Headers, Outcome: protocol.Ran})
	}
	e.watch.Progress(now, e.delivered())
	for _, chunk := range chunks {
		n.emit(AnswerChunk{Request: e.request.ID, Index: chunk.Index, Data: chunk.Data})
	}
}

// delivered counts the chunks the caller has.
func (e *entry) delivered() int {
	if e.answer == nil {
		return 0
	}
	return e.answer.Next()
}

// chunkMissing fails an attempt that left a chunk out. Chunks of one attempt
// come in order, so it will not come any more, and the answer could not become
// whole.
func (n *Node) chunkMissing(now time.Duration, e *entry) {
	n.abandon(e)
	e.reached = true
	n.attemptFailed(now, e, reason.UpstreamFailed)
}

// entryEnd closes an attempt: the answer is whole, or another attempt is due.
func (n *Node) entryEnd(now time.Duration, in PeerEnd) {
	e := n.live(in.End.Attempt)
	if e == nil {
		return
	}
	if e.order != nil {
		// Only an owner that lost the attempt ends an order this way; the
		// journal says what became of it.
		n.orderOwnerLost(now, e)
		return
	}
	if in.End.Complete {
		n.finish(now, e, reason.Completed)
		return
	}
	if in.End.Outcome != protocol.NotRun {
		e.reached = true
	}
	n.attemptFailed(now, e, reason.Code(in.End.Reason))
}

// attemptFailed decides whether another attempt follows, and when.
func (n *Node) attemptFailed(now time.Duration, e *entry, why reason.Code) {
	e.failures++
	e.phase = phaseWaiting
	n.emit(Event{Request: e.request.ID, Attempt: e.attempt, Customer: e.customer.ID, Upstream: e.upstream.ID, What: "attempt-failed", Reason: why})
	if !e.template.Streamed && e.delivered() > 0 {
		// A body that is not a stream of tokens can't be resumed inside.
		n.giveUp(now, e, 502, why, "the answer broke off", statusRetryAfter)
		return
	}
	n.chooseAgain(now, e, why)
	n.suspectAgain(now, e)
	n.tryAgain(now, e, why)
}

// repeatedWork is what another attempt would do a second time, in tokens. The
// rest of a begun answer was paid for as fresh work and has not been done by
// anybody; only its prompt is read again.
func (e *entry) repeatedWork() int {
	if e.delivered() > 0 {
		return max(1, e.template.PromptTokens)
	}
	return e.work()
}

const (
	// creditWait is how long a begun answer waits for the retry budget before
	// it asks again.
	creditWait = 500 * time.Millisecond
	// loanEvery is how often a router goes on with a request that the budget
	// can't pay. A fleet of 330 routers adds 330 resumptions a second by it at
	// most, 3% of its peak; a quiet one, which earns nearly no credit, resumes
	// all within seconds.
	loanEvery = time.Second
	// freshPatience is how long a request that has not begun may wait for the
	// budget. Its caller can come back, so it waits for a loan or two at most.
	freshPatience = 2 * time.Second
)

// tryAgain asks the retry budget for another attempt.
//
// Load: an engine dies with many streams on it, in a fleet with little fresh
// work. Harm: the budget is spent on the first few, and the other callers'
// answers are cut in the middle. An answer that has begun waits for credit
// instead, while there is time, and beyond the budget each router resumes one
// a second. A request that has not begun waits two seconds at most, because
// its caller can come back.
func (n *Node) tryAgain(now time.Duration, e *entry, why reason.Code) {
	decision := n.budget.Decide(now, n.config.Random, retry.Failure{
		Attempt:    e.failures,
		Tokens:     e.repeatedWork(),
		RunOutcome: e.outcome(),
		Repeatable: e.template.Idempotent,
		Deadline:   e.deadline,
	})
	e.owing = ""
	switch {
	case decision.Retry:
		e.wakeAt = now + decision.Delay
		if decision.Delay <= 0 {
			n.wake(now, e)
		}
	case decision.Reason == retry.ReasonBudget && e.mayWaitForCredit(now):
		n.waitForCredit(now, e, why)
	default:
		n.giveUp(now, e, 502, retryReason(decision.Reason), "the upstream failed ("+string(why)+") and the request is not tried again", statusRetryAfter)
	}
}

// mayWaitForCredit says whether waiting for the budget is better than telling
// the caller to come back.
func (e *entry) mayWaitForCredit(now time.Duration) bool {
	if e.creditSince == 0 {
		e.creditSince = now
	}
	return e.headSent || now-e.creditSince < freshPatience
}

// waitForCredit lets a request go on beyond the budget if none did for a while,
// or makes it wait.
func (n *Node) waitForCredit(now time.Duration, e *entry, why reason.Code) {
	if now-n.lastLoan >= loanEvery {
		n.lastLoan = now
		n.wake(now, e)
		return
	}
	e.owing = why
	e.wakeAt = now + creditWait
}

// retryReason is the retry budget's reason as callers and events see it.
func retryReason(why retry.Reason) reason.Code {
	switch why {
	case retry.ReasonBudget:
		return reason.RetryBudget
	case retry.ReasonDeadline:
		return reason.DeadlineTooNear
	case retry.ReasonNotRepeatable:
		return reason.OrderUnknown
	}
	return reason.AttemptsSpent
}

// chooseAgain decides between a new connection to the same upstream and
// another one. A connection can go silent for good while new ones work, so a
// stall is first blamed on the connection.
func (n *Node) chooseAgain(now time.Duration, e *entry, why reason.Code) {
	step := e.watch.ConnectionBroken(now)
	if why == reason.OwnerLost {
		step = e.watch.EngineLost(now)
	}
	e.again = nil
	if step.Action == stream.Reconnect && why == reason.UpstreamStalled {
		e.again = e.upstream
		return
	}
	e.avoid = append(e.avoid, e.upstream.ID)
}

// suspectAgain looks whether the request came under suspicion meanwhile.
func (n *Node) suspectAgain(now time.Duration, e *entry) {
	if e.template.Model == "" {
		return
	}
	verdict := n.crashes.Check(now, quarantine.Digest(e.template.Digest))
	e.template.Suspect = verdict.Standing == quarantine.Suspect
}

// wake starts the next attempt of a request that waited.
func (n *Node) wake(now time.Duration, e *entry) {
	if e.owing != "" {
		n.tryAgain(now, e, e.owing)
		return
	}
	if e.template.Model != "" && e.order == nil {
		verdict := n.crashes.Check(now, quarantine.Digest(e.template.Digest))
		if verdict.Standing == quarantine.Quarantined {
			n.giveUp(now, e, 422, reason.Quarantined, "this request crashed the engines that ran it", verdict.RetryAfter)
			return
		}
	}
	if same := e.again; same != nil && n.view.Upstreams[same.ID] != nil {
		e.again = nil
		e.walking = false
		n.ask(now, e, n.view.Upstreams[same.ID], placement.StageFinal, false)
		return
	}
	n.place(now, e)
}

// outcome is not-run only if no attempt can have reached an upstream: none
// did before, and none is under way. An owner that refused, spilled or failed
// without sending a byte has said so, and the entry then waits.
func (e *entry) outcome() protocol.RunOutcome {
	if e.reached || !e.idle() {
		return protocol.UnknownRun
	}
	return protocol.NotRun
}

// giveUp tells the caller at once.
func (n *Node) giveUp(now time.Duration, e *entry, status int, why reason.Code, detail string, retryAfter time.Duration) {
	if e.headSent {
		n.emit(AnswerEnd{Request: e.request.ID, Broken: true, Reason: why})
	} else {
		answer := refusal(e.request.ID, status, why, detail, retryAfter)
		answer.Outcome = e.outcome()
		n.emit(*answer)
	}
	n.emit(Event{Request: e.request.ID, Customer: e.customer.ID, What: "refused", Reason: why, Detail: detail})
	n.remove(now, e)
}

// finish closes a whole answer.
func (n *Node) finish(now time.Duration, e *entry, why reason.Code) {
	n.emit(AnswerEnd{Request: e.request.ID, Reason: why})
	n.emit(Event{Request: e.request.ID, Attempt: e.attempt, Customer: e.customer.ID, Upstream: e.upstream.ID, What: "answered", Reason: why})
	n.remove(now, e)
}

// callerGone gives up a request whose caller went away.
func (n *Node) callerGone(now time.Duration, in CallerGone) {
	e := n.entries[in.ID]
	if e == nil {
		return
	}
	if e.order != nil {
		n.orderCallerGone(now, e)
		return
	}
	n.abandon(e)
	n.emit(Event{Request: in.ID, Customer: e.customer.ID, What: "abandoned", Reason: reason.CallerGone})
	n.remove(now, e)
}

// idle says that no attempt is under way.
func (e *entry) idle() bool {
	return e.phase == phaseWaiting || e.phase == phaseJournal || e.phase == phaseLimit
}

// abandon cancels the attempt under way.
func (n *Node) abandon(e *entry) {
	if e.upstream == nil || e.idle() {
		return
	}
	n.send(e.upstream.Owner, fleet.Cancel{Attempt: e.current()})
}

// entriesLostOwner starts new attempts for requests whose owner is lost.
func (n *Node) entriesLostOwner(now time.Duration, peer protocol.RouterID) {
	var hit []protocol.RequestID
	for id, e := range n.entries {
		if e.upstream != nil && e.upstream.Owner == peer && !e.idle() {
			hit = append(hit, id)
		}
	}
	slices.Sort(hit)
	for _, id := range hit {
		e := n.entries[id]
		if e.order != nil {
			n.orderOwnerLost(now, e)
			continue
		}
		e.reached = true
		n.attemptFailed(now, e, reason.OwnerLost)
	}
}
