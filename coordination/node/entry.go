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
	// ownerReplyTimeout is how long an owner may take to reply to a Place. An
	// owner replies at once unless it is unreachable or frozen.
	ownerReplyTimeout = time.Second
	// statusRetryAfter is the Retry-After that callers get when the necessary
	// wait is unknown.
	statusRetryAfter = time.Second
)

// phase is the state of an entryRequest.
type phase uint8

const (
	// phasePlacing: a Place was sent and the owner has not replied.
	phasePlacing phase = iota
	// phaseQueued: the owner holds the request in its queue.
	phaseQueued
	// phaseRunning: the owner has sent the request to the upstream.
	phaseRunning
	// phaseWaiting: no attempt is in flight; the next one starts at wakeAt.
	phaseWaiting
	// phaseAwaitingLimit: the request waits for credit from the router that
	// manages its customer's limits.
	phaseAwaitingLimit
	// phaseJournal: an order waits for the journal, before or after its attempt.
	phaseJournal
)

// entryRequest is a caller's request on its entry router.
type entryRequest struct {
	request  CallerRequest
	customer *Customer
	template fleet.Place
	// chain holds the hash of each prefix of a chat's prompt, and the prefix's
	// length. It is empty for a plain service.
	chain   []chat.Link
	service protocol.Service
	phase   phase
	// attempt is the number of the current attempt, from 1.
	attempt  uint32
	upstream *Upstream
	// walk is the sequence of queries to owners that finds an upstream for a chat.
	// It is valid while walking is set. reportedLoads holds the loads that owners reported during the walk. A
	// request to a plain service has no walk: candidates lists the upstreams to
	// ask, and next is the index of the next one.
	walk          placement.Walk
	walking       bool
	reportedLoads []reportedLoad
	candidates    []*Upstream
	next          int
	// begun says that the caller has a part of the answer. The answer goes on only at upstreams of
	// the software version build, which began it: what two versions write doesn't fit together,
	// and upstreams don't check it.
	begun bool
	build string
	// failures counts the failed attempts. retryOn, if set, is the upstream that
	// the next attempt must use again.
	failures int
	retryOn  *Upstream
	// unpaidFailure is why the last attempt failed, while the next attempt waits
	// for the retry budget. It is empty otherwise.
	unpaidFailure reason.Code
	// budgetWaitSince is when the retry budget first could not pay for another
	// attempt, or zero.
	budgetWaitSince time.Duration
	// failedUpstreams holds the upstreams on which this request has failed.
	failedUpstreams []protocol.UpstreamID
	deadline        time.Duration
	// lastProgress is when the current attempt last made progress.
	lastProgress time.Duration
	wakeAt       time.Duration
	// checkedAt is when the entry router sent the AttemptCheck that the owner has
	// not answered yet, or 0. aliveAt is when the owner last confirmed that it
	// has the attempt.
	checkedAt time.Duration
	aliveAt   time.Duration
	// assembler passes each chunk of the answer on once and in order.
	assembler *stream.Assembler
	headSent  bool
	// mayHaveRun means that an earlier attempt may have reached an upstream.
	mayHaveRun bool
	// limitCharged means that the request was charged to its customer's limits.
	limitCharged bool
	monitor      *stream.Monitor
	order        *entryOrder
}

// handleCallerRequest authorizes and classifies a new request, and places it if
// its customer's limits allow that.
func (n *Node) handleCallerRequest(now time.Duration, in CallerRequest) {
	if n.park(now, in) {
		return
	}
	customer, refusal := n.authorize(now, in)
	if refusal != nil {
		n.refuse(*refusal)
		return
	}
	e := &entryRequest{request: in, customer: customer, phase: phaseWaiting}
	if refusal := n.classify(now, e); refusal != nil {
		n.refuse(*refusal)
		return
	}
	n.entries[in.ID] = e
	n.checkLimit(now, e, n.limiter.Admit)
}

// startWithinLimits starts placing a request that is within its customer's
// limits.
func (n *Node) startWithinLimits(now time.Duration, e *entryRequest) {
	n.budget.RecordFirstAttempt(now, e.work())
	if e.order != nil {
		n.startOrder(now, e)
		return
	}
	e.monitor = stream.NewMonitor(now, stream.DefaultMonitorConfig())
	e.assembler = stream.NewAssembler(e.request.ID, stream.DefaultMonitorConfig().MaxHeld)
	n.place(now, e)
}

// removeEntry removes a request that has its final answer.
func (n *Node) removeEntry(now time.Duration, e *entryRequest) {
	delete(n.entries, e.request.ID)
	if e.limitCharged {
		n.limiter.Finished(now, e.customer.ID)
	}
}

// work is the expected work that is left of a request, in tokens.
func (e *entryRequest) work() int {
	return e.template.PromptTokens + max(1, e.template.OutputTokens-e.delivered())
}

// current identifies the current attempt.
func (e *entryRequest) current() fleet.Attempt {
	return fleet.Attempt{Request: e.request.ID, Number: e.attempt}
}

// currentEntry returns the request of an attempt if that attempt is the current
// one. It returns nil for messages of cancelled attempts.
func (n *Node) currentEntry(attempt fleet.Attempt) *entryRequest {
	found := n.entries[attempt.Request]
	if found == nil || found.attempt != attempt.Number {
		return nil
	}
	return found
}

// handlePeerChunk passes a chunk of the answer on to the caller if it is the
// next one and belongs to the current attempt.
func (n *Node) handlePeerChunk(now time.Duration, in PeerChunk) {
	e := n.currentEntry(in.Chunk.Attempt)
	if e == nil || e.assembler == nil {
		// The attempt was cancelled, or it is of an order, whose answer comes in
		// an OrderReport.
		return
	}
	e.lastProgress = now
	e.checkedAt = 0
	if e.phase == phasePlacing || e.phase == phaseQueued {
		e.phase = phaseRunning
	}
	accepted := e.assembler.Accept(stream.Chunk{
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

// deliver sends chunks to the caller, after the head of the answer.
func (n *Node) deliver(now time.Duration, e *entryRequest, first fleet.Chunk, chunks []stream.Chunk) {
	if !e.headSent {
		e.headSent = true
		n.emit(AnswerHead{Request: e.request.ID, Status: first.Status, Headers: first.Headers, Outcome: protocol.Ran})
	}
	if !e.begun {
		e.begun, e.build = true, e.upstream.Build
	}
	e.monitor.Progress(now, e.delivered())
	for _, chunk := range chunks {
		n.emit(AnswerChunk{Request: e.request.ID, Index: chunk.Index, Data: chunk.Data})
	}
}

// delivered returns the number of chunks that were sent to the caller.
func (e *entryRequest) delivered() int {
	if e.assembler == nil {
		return 0
	}
	return e.assembler.Next()
}

// chunkMissing fails an attempt that skipped a chunk. The chunks of one attempt
// arrive in order, so the missing one will not arrive any more, and this attempt
// can't complete the answer.
func (n *Node) chunkMissing(now time.Duration, e *entryRequest) {
	n.cancelAttempt(e)
	n.attemptFailed(now, e, protocol.UnknownRun, reason.UpstreamFailed)
}

// handlePeerEnd ends an attempt: either the answer is complete, or the attempt
// has failed.
func (n *Node) handlePeerEnd(now time.Duration, in PeerEnd) {
	e := n.currentEntry(in.End.Attempt)
	if e == nil {
		return
	}
	if e.order != nil {
		// An owner ends an attempt of an order this way only if it doesn't know
		// the attempt, for example after a restart. The journal has its outcome.
		n.orderOwnerLost(now, e)
		return
	}
	if in.End.Complete {
		n.finishEntry(now, e, reason.Completed)
		return
	}
	n.attemptFailed(now, e, in.End.Outcome, reason.Code(in.End.Reason))
}

// attemptFailed handles a failed attempt and decides whether another attempt
// follows, and when. ran says whether an upstream ran the attempt.
func (n *Node) attemptFailed(now time.Duration, e *entryRequest, ran protocol.RunOutcome, why reason.Code) {
	e.mayHaveRun = e.mayHaveRun || ran != protocol.NotRun
	e.failures++
	e.phase = phaseWaiting
	n.emit(Event{Request: e.request.ID, Attempt: e.attempt, Customer: e.customer.ID, Upstream: e.upstream.ID, Kind: "attempt-failed", Reason: why})
	if !e.template.Streamed && e.delivered() > 0 {
		// Only a stream of tokens can be resumed in the middle.
		n.giveUp(now, e, 502, why, "the answer broke off", statusRetryAfter)
		return
	}
	n.chooseRetryUpstream(now, e, why)
	n.refreshSuspect(now, e)
	n.requestRetry(now, e, why)
}

// repeatedWork is the work that another attempt would do a second time, in
// tokens. If the answer has begun, the rest of it was recorded as part of the
// first attempt and no upstream has done it yet, so only the prompt is processed
// again.
func (e *entryRequest) repeatedWork() int {
	if e.delivered() > 0 {
		return max(1, e.template.PromptTokens)
	}
	return e.work()
}

const (
	// budgetRetryInterval is how long a request waits before it asks the retry
	// budget again.
	budgetRetryInterval = 500 * time.Millisecond
	// overBudgetInterval is the interval at which a router retries one request
	// beyond the retry budget. In a fleet of 330 routers this adds at most 330
	// attempts a second, 3% of its peak. A fleet with little traffic, whose
	// budget grows slowly, still resumes all its answers within seconds.
	overBudgetInterval = time.Second
	// maxBudgetWait is how long a request whose answer has not begun may wait for
	// the retry budget. Its caller can send it again, so it waits for at most one
	// or two attempts beyond the budget.
	maxBudgetWait = 2 * time.Second
)

// requestRetry asks the retry budget for another attempt.
//
// Suppose an engine with many streams fails in a fleet with few first attempts,
// from which the retry budget grows. The first few retries spend the budget,
// and the answers of the other callers would break off in the middle.
// Therefore a request whose answer has begun waits for the budget until its
// deadline, and each router makes one attempt a second beyond the budget. A
// request whose answer has not begun waits for at most two seconds, because its
// caller can send it again.
func (n *Node) requestRetry(now time.Duration, e *entryRequest, why reason.Code) {
	decision := n.budget.Decide(now, n.config.Random, retry.Failure{
		Attempt:    e.failures,
		Tokens:     e.repeatedWork(),
		RunOutcome: e.outcome(),
		Repeatable: e.template.Idempotent,
		Deadline:   e.deadline,
	})
	e.unpaidFailure = ""
	switch {
	case decision.Retry:
		e.wakeAt = now + decision.Delay
		if decision.Delay <= 0 {
			n.startNextAttempt(now, e)
		}
	case decision.Reason == retry.ReasonBudget && e.mayWaitForBudget(now):
		n.waitForBudget(now, e, why)
	default:
		n.giveUp(now, e, 502, retryReason(decision.Reason), "the upstream failed ("+string(why)+") and the request is not tried again", statusRetryAfter)
	}
}

// mayWaitForBudget reports whether the request should wait for the retry budget
// rather than be refused with a Retry-After.
func (e *entryRequest) mayWaitForBudget(now time.Duration) bool {
	if e.budgetWaitSince == 0 {
		e.budgetWaitSince = now
	}
	return e.headSent || now-e.budgetWaitSince < maxBudgetWait
}

// waitForBudget starts an attempt beyond the budget if this router started none
// for overBudgetInterval. Otherwise the request waits.
func (n *Node) waitForBudget(now time.Duration, e *entryRequest, why reason.Code) {
	if now-n.lastOverBudget >= overBudgetInterval {
		n.lastOverBudget = now
		n.startNextAttempt(now, e)
		return
	}
	e.unpaidFailure = why
	e.wakeAt = now + budgetRetryInterval
}

// retryReason translates the retry budget's reason for callers and events.
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

// chooseRetryUpstream decides whether the next attempt uses a new connection to
// the same upstream or another upstream. A connection can stay silent while new
// connections to the same upstream work, so a stall is first attributed to the
// connection.
func (n *Node) chooseRetryUpstream(now time.Duration, e *entryRequest, why reason.Code) {
	step := e.monitor.ConnectionBroken(now)
	if why == reason.OwnerLost {
		step = e.monitor.EngineLost(now)
	}
	e.retryOn = nil
	if step.Action == stream.Reconnect && why == reason.UpstreamStalled {
		e.retryOn = e.upstream
		return
	}
	e.failedUpstreams = append(e.failedUpstreams, e.upstream.ID)
}

// refreshSuspect records whether the request has become suspected of crashing
// engines since the last attempt.
func (n *Node) refreshSuspect(now time.Duration, e *entryRequest) {
	if e.template.Model == "" {
		return
	}
	verdict := n.quarantine.Check(now, quarantine.Digest(e.template.Digest))
	e.template.Suspect = verdict.Status == quarantine.Suspect
}

// startNextAttempt starts the next attempt of a request that waited.
func (n *Node) startNextAttempt(now time.Duration, e *entryRequest) {
	if e.unpaidFailure != "" {
		n.requestRetry(now, e, e.unpaidFailure)
		return
	}
	if e.template.Model != "" && e.order == nil {
		if left := n.quarantinedFor(now, quarantine.Digest(e.template.Digest), e.template.Parts); left > 0 {
			n.giveUp(now, e, 422, reason.Quarantined, quarantinedDetail, left)
			return
		}
	}
	if same := n.sameUpstream(e); same != nil {
		e.walking = false
		n.sendPlace(now, e, same, placement.StageFinal, false)
		return
	}
	n.place(now, e)
}

// sameUpstream returns the upstream that the next attempt must use again, nil if there is none or
// it may not go on with the answer.
func (n *Node) sameUpstream(e *entryRequest) *Upstream {
	if e.retryOn == nil {
		return nil
	}
	same := n.view.Upstreams[e.retryOn.ID]
	e.retryOn = nil
	if same == nil || !e.fits(same) {
		return nil
	}
	return same
}

// outcome is NotRun only if no attempt can have reached an upstream: no earlier
// attempt did, and none is in flight. An owner that refuses, spills or fails an
// attempt without sending a byte says so, and the request is then in a phase
// without an attempt.
func (e *entryRequest) outcome() protocol.RunOutcome {
	if e.mayHaveRun || !e.idle() {
		return protocol.UnknownRun
	}
	return protocol.NotRun
}

// giveUp ends a request without a complete answer and tells the caller at once.
func (n *Node) giveUp(now time.Duration, e *entryRequest, status int, why reason.Code, detail string, retryAfter time.Duration) {
	if e.headSent {
		n.emit(AnswerEnd{Request: e.request.ID, Broken: true, Reason: why})
	} else {
		answer := refusal(e.request.ID, status, why, detail, retryAfter)
		answer.Outcome = e.outcome()
		n.emit(*answer)
	}
	n.emit(Event{Request: e.request.ID, Customer: e.customer.ID, Kind: "refused", Reason: why, Detail: detail})
	n.removeEntry(now, e)
}

// finishEntry ends a request whose answer is complete.
func (n *Node) finishEntry(now time.Duration, e *entryRequest, why reason.Code) {
	n.emit(AnswerEnd{Request: e.request.ID, Reason: why})
	n.emit(Event{Request: e.request.ID, Attempt: e.attempt, Customer: e.customer.ID, Upstream: e.upstream.ID, Kind: "answered", Reason: why})
	n.removeEntry(now, e)
}

// handleCallerGone ends a request whose caller has gone. An order continues
// without its caller.
func (n *Node) handleCallerGone(now time.Duration, in CallerGone) {
	e := n.entries[in.ID]
	if e == nil {
		return
	}
	if e.order != nil {
		n.orderCallerGone(now, e)
		return
	}
	n.cancelAttempt(e)
	n.emit(Event{Request: in.ID, Customer: e.customer.ID, Kind: "abandoned", Reason: reason.CallerGone})
	n.removeEntry(now, e)
}

// idle reports whether no attempt is in flight.
func (e *entryRequest) idle() bool {
	return e.phase == phaseWaiting || e.phase == phaseJournal || e.phase == phaseAwaitingLimit
}

// cancelAttempt cancels the current attempt, if one is in flight.
func (n *Node) cancelAttempt(e *entryRequest) {
	if e.upstream == nil || e.idle() {
		return
	}
	n.send(e.upstream.Owner, fleet.Cancel{Attempt: e.current()})
}

// handleOwnerLost fails the attempts that are in flight at an unreachable owner.
func (n *Node) handleOwnerLost(now time.Duration, peer protocol.RouterID) {
	var affected []protocol.RequestID
	for id, e := range n.entries {
		if e.upstream != nil && e.upstream.Owner == peer && !e.idle() {
			affected = append(affected, id)
		}
	}
	slices.Sort(affected)
	for _, id := range affected {
		e := n.entries[id]
		if e.order != nil {
			n.orderOwnerLost(now, e)
			continue
		}
		n.attemptFailed(now, e, protocol.UnknownRun, reason.OwnerLost)
	}
}
