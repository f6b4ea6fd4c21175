package node

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"endiveplank/coordination/reason"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
)

const (
	// maxSpills is how many owners are asked before the request queues. Each
	// costs a round trip between two data centres at most, a few
	// milliseconds; with a bound above the mean some upstream has room unless
	// nearly all are full, and a handful of tries finds it.
	maxSpills = 4
	// maxAttempts bounds the upstreams that one request may fail on. Three
	// failures in a row point at the request rather than at the upstreams.
	maxAttempts = 3
	// ownerPatience is how long an owner may take to answer a Place. An owner
	// answers at once; only a lost or frozen one doesn't.
	ownerPatience = 2 * time.Second
	// noOwnerRetry is how long a request waits before it looks again for
	// upstreams that have an owner.
	noOwnerRetry = 200 * time.Millisecond
	// defaultOutputTokens is the expected length of an answer when the caller
	// sets no limit.
	defaultOutputTokens = 256
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
	// phaseJournal: the journal is asked before or after the attempt.
	phaseJournal
)

// entry is a caller's request on its entry router.
type entry struct {
	request  CallerRequest
	customer *Customer
	template fleet.Place
	service  protocol.Service
	phase    phase
	// attempt is the current attempt, from 1.
	attempt  uint32
	upstream *Upstream
	// failures counts the attempts that broke.
	failures int
	// candidates are the upstreams in order of preference; next is the one
	// to ask after the current.
	candidates []*Upstream
	next       int
	// avoid holds the upstreams this request has failed on.
	avoid    []protocol.UpstreamID
	deadline time.Duration
	// progress is when the current attempt last moved.
	progress time.Duration
	wakeAt   time.Duration
	// delivered counts the chunks the caller has.
	delivered int
	headSent  bool
	// reached means that an earlier attempt may have reached an upstream.
	reached bool
	order   *order
}

// callerRequest checks a new request and starts placing it.
func (n *Node) callerRequest(now time.Duration, in CallerRequest) {
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
	if fresh.order != nil {
		n.startOrder(now, fresh)
		return
	}
	n.place(now, fresh)
}

// authorize finds the customer of a request, or says why it is refused.
func (n *Node) authorize(now time.Duration, in CallerRequest) (*Customer, *AnswerError) {
	if n.draining {
		return nil, refusal(in.ID, 503, reason.Draining, "this router is stopping; another one serves you", statusRetryAfter)
	}
	if !n.mayServe(now) {
		return nil, refusal(in.ID, 503, reason.NoLease, "this router can't confirm its configuration; another one may", statusRetryAfter)
	}
	if !in.HasKey {
		return nil, refusal(in.ID, 401, reason.KeyMissing, "send your key as Authorization: Bearer KEY", 0)
	}
	customer := n.view.Customers[in.KeyHash]
	if customer == nil {
		return nil, refusal(in.ID, 401, reason.KeyUnknown, "no customer has this key", 0)
	}
	if customer.Disabled {
		return nil, refusal(in.ID, 403, reason.CustomerDisabled, "this customer is switched off; ask your operator", 0)
	}
	return customer, nil
}

// classify fills in what kind of request it is.
func (n *Node) classify(now time.Duration, fresh *entry) *AnswerError {
	in := fresh.request
	fresh.template = fleet.Place{
		Customer: fresh.customer.ID,
		Class:    fresh.customer.Class,
		Weight:   fresh.customer.Weight,
		Method:   in.Method,
		Path:     in.Path,
		Headers:  in.Headers,
		Body:     in.Body,
		Digest:   in.BodyDigest,
	}
	fresh.deadline = now + n.config.Deadline
	if in.Path == upstreamapi.CompletionsPath {
		return n.classifyChat(fresh)
	}
	return n.classifyService(now, fresh)
}

// classifyChat prepares a chat request.
func (n *Node) classifyChat(fresh *entry) *AnswerError {
	in := fresh.request
	if in.Chat == nil {
		return refusal(in.ID, 400, reason.BodyInvalid, in.ChatError, 0)
	}
	model := protocol.Model(in.Chat.Model)
	if _, known := n.view.Models[model]; !known {
		return refusal(in.ID, 404, reason.ModelUnknown, fmt.Sprintf("no upstream serves model %q", in.Chat.Model), 0)
	}
	links := chat.Chain(in.Chat.Model, in.Chat.Messages)
	template := &fresh.template
	template.Model = model
	template.Streamed = in.Chat.Stream
	template.Idempotent = true
	template.Chain = make([]fleet.Link, 0, len(links))
	for _, link := range links {
		template.Chain = append(template.Chain, fleet.Link{Hash: uint64(link.Hash), Tokens: link.Tokens})
	}
	if len(links) > 0 {
		template.PromptTokens = links[len(links)-1].Tokens
	}
	template.OutputTokens = in.Chat.MaxTokens
	if template.OutputTokens <= 0 {
		template.OutputTokens = defaultOutputTokens
	}
	return nil
}

// classifyService prepares a request to a plain service.
func (n *Node) classifyService(now time.Duration, fresh *entry) *AnswerError {
	in := fresh.request
	route, found := n.view.route(in.Path)
	if !found {
		return refusal(in.ID, 404, reason.RouteUnknown, "no route has this path", 0)
	}
	fresh.service = route.Service
	fresh.template.Path = servicePath(in.Path, route.Prefix)
	fresh.template.OutputTokens = 1
	fresh.template.Idempotent = route.Idempotent
	if route.Deadline > 0 {
		fresh.deadline = now + route.Deadline
	}
	if route.Idempotent {
		return nil
	}
	if in.IdempotencyKey == "" {
		return refusal(in.ID, 400, reason.IdempotencyKeyMissing, "this route runs a request at most once; name it with the header Idempotency-Key", 0)
	}
	fresh.order = n.newOrder(fresh)
	return nil
}

// servicePath cuts the route's prefix off a path.
func servicePath(path, prefix string) string {
	rest := path[len(prefix):]
	if rest == "" || rest[0] != '/' {
		rest = "/" + rest
	}
	return rest
}

// place starts with the best upstream that has an owner.
func (n *Node) place(now time.Duration, e *entry) {
	e.candidates = n.choose(e)
	e.next = 0
	n.askNext(now, e)
}

// serving returns the upstreams that could run a request.
func (n *Node) serving(e *entry) []*Upstream {
	if e.template.Model != "" {
		return n.view.Models[e.template.Model]
	}
	return n.view.Services[e.service]
}

// choose orders the upstreams that have an owner by preference.
func (n *Node) choose(e *entry) []*Upstream {
	key := chainRoot(e)
	type scored struct {
		upstream *Upstream
		score    float64
	}
	var ranked []scored
	for _, upstream := range n.serving(e) {
		if upstream.Owner == "" || upstream.Drain || slices.Contains(e.avoid, upstream.ID) {
			continue
		}
		ranked = append(ranked, scored{upstream, rendezvous(key, upstream)})
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].score > ranked[j].score })
	chosen := make([]*Upstream, 0, len(ranked))
	for _, item := range ranked {
		chosen = append(chosen, item.upstream)
	}
	return chosen
}

// askNext asks the owner of the next candidate. After maxSpills the first
// candidate is asked to queue the request.
func (n *Node) askNext(now time.Duration, e *entry) {
	if len(e.candidates) == 0 {
		n.noCandidate(now, e)
		return
	}
	mayQueue := e.next >= min(maxSpills, len(e.candidates))
	index := e.next
	if mayQueue {
		index = 0
	}
	e.next++
	n.ask(now, e, e.candidates[index], mayQueue)
}

// noCandidate waits for an upstream with an owner while there is time.
func (n *Node) noCandidate(now time.Duration, e *entry) {
	if len(e.avoid) > 0 {
		// Better an upstream that failed once than none.
		e.avoid = nil
	}
	e.phase = phaseWaiting
	e.wakeAt = now + noOwnerRetry
}

// ask sends a Place for a new attempt.
func (n *Node) ask(now time.Duration, e *entry, upstream *Upstream, mayQueue bool) {
	e.attempt++
	e.upstream = upstream
	e.phase = phaseAsking
	e.progress = now
	message := e.template
	message.Attempt = e.current()
	message.Upstream = upstream.ID
	message.Fence = upstream.Fence
	message.ResumeAt = e.delivered
	message.MayQueue = mayQueue
	message.RemainingMS = (e.deadline - now).Milliseconds()
	n.send(upstream.Owner, message)
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

// entryReply takes an owner's decision.
func (n *Node) entryReply(now time.Duration, in PeerPlaceReply) {
	e := n.live(in.Reply.Attempt)
	if e == nil {
		return
	}
	e.progress = now
	switch in.Reply.Outcome {
	case fleet.PlaceStarted:
		e.phase = phaseRunning
	case fleet.PlaceQueued:
		e.phase = phaseQueued
	case fleet.PlaceSpilled:
		n.askNext(now, e)
	case fleet.PlaceNotOwner:
		e.phase = phaseWaiting
		e.wakeAt = now + noOwnerRetry
	case fleet.PlaceRefused:
		if e.order != nil {
			n.orderRefused(now, e)
			return
		}
		n.placeRefused(now, e, in.Reply)
	}
}

// placeRefused answers at once what an owner has given up on. No byte has
// gone to an upstream in this attempt; whether one did in an earlier one
// decides what the caller is told.
func (n *Node) placeRefused(now time.Duration, e *entry, reply fleet.PlaceReply) {
	e.phase = phaseWaiting
	wait := time.Duration(reply.RetryAfterMS) * time.Millisecond
	n.giveUp(now, e, 503, reason.Code(reply.Reason), "the upstreams are busy", wait)
}

// entryChunk passes a piece of the answer on.
func (n *Node) entryChunk(now time.Duration, in PeerChunk) {
	e := n.live(in.Chunk.Attempt)
	if e == nil {
		return
	}
	e.phase = phaseRunning
	e.progress = now
	if in.Chunk.Index < e.delivered {
		return
	}
	if !e.headSent {
		e.headSent = true
		n.emit(AnswerHead{Request: e.request.ID, Status: in.Chunk.Status, Headers: in.Chunk.Headers, Outcome: protocol.Ran})
	}
	e.delivered = in.Chunk.Index + 1
	n.emit(AnswerChunk{Request: e.request.ID, Index: in.Chunk.Index, Data: in.Chunk.Data})
}

// entryEnd closes an attempt: the answer is whole, or another attempt is due.
func (n *Node) entryEnd(now time.Duration, in PeerEnd) {
	e := n.live(in.End.Attempt)
	if e == nil {
		return
	}
	if in.End.Complete {
		n.finish(e, reason.Completed)
		return
	}
	if in.End.Outcome != protocol.NotRun {
		e.reached = true
	}
	n.attemptFailed(now, e, reason.Code(in.End.Reason))
}

// attemptFailed starts another attempt or gives up. The upstream that failed
// is avoided.
func (n *Node) attemptFailed(now time.Duration, e *entry, why reason.Code) {
	e.failures++
	e.phase = phaseWaiting
	e.avoid = append(e.avoid, e.upstream.ID)
	n.emit(Event{Request: e.request.ID, Attempt: e.attempt, Customer: e.customer.ID, Upstream: e.upstream.ID, What: "attempt-failed", Reason: why})
	if !e.template.Idempotent {
		n.giveUp(now, e, 502, why, "the upstream failed and the request may not be repeated", 0)
		return
	}
	if e.failures >= maxAttempts {
		n.giveUp(now, e, 502, reason.AttemptsSpent, "the request failed on several upstreams", statusRetryAfter)
		return
	}
	n.place(now, e)
}

// giveUp tells the caller at once. The outcome is not-run only if no attempt
// can have reached an upstream.
func (n *Node) giveUp(now time.Duration, e *entry, status int, why reason.Code, detail string, retryAfter time.Duration) {
	if e.headSent {
		n.emit(AnswerEnd{Request: e.request.ID, Broken: true, Reason: why})
	} else {
		answer := refusal(e.request.ID, status, why, detail, retryAfter)
		answer.Outcome = e.outcome()
		n.emit(*answer)
	}
	n.emit(Event{Request: e.request.ID, Customer: e.customer.ID, What: "refused", Reason: why, Detail: detail})
	delete(n.entries, e.request.ID)
}

// outcome is not-run only if no attempt can have reached an upstream: none
// did before, and none is under way. An owner that refused, spilled or failed
// without sending a byte has said so, and the entry then waits.
func (e *entry) outcome() protocol.RunOutcome {
	if e.reached || e.phase != phaseWaiting {
		return protocol.UnknownRun
	}
	return protocol.NotRun
}

// finish closes a whole answer.
func (n *Node) finish(e *entry, why reason.Code) {
	n.emit(AnswerEnd{Request: e.request.ID, Reason: why})
	n.emit(Event{Request: e.request.ID, Attempt: e.attempt, Customer: e.customer.ID, Upstream: e.upstream.ID, What: "answered", Reason: why})
	delete(n.entries, e.request.ID)
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
	delete(n.entries, in.ID)
}

// abandon cancels the attempt under way.
func (n *Node) abandon(e *entry) {
	if e.upstream == nil || e.phase == phaseWaiting || e.phase == phaseJournal {
		return
	}
	n.send(e.upstream.Owner, fleet.Cancel{Attempt: e.current()})
}

// tickEntries meets the deadlines of requests, in order of their IDs so that
// a replay gives the same outputs.
func (n *Node) tickEntries(now time.Duration) {
	for _, id := range n.dueEntries(now) {
		e := n.entries[id]
		if e == nil {
			continue
		}
		n.entryDue(now, e)
	}
}

// dueEntries lists the requests that have something to do.
func (n *Node) dueEntries(now time.Duration) []protocol.RequestID {
	var due []protocol.RequestID
	for id, e := range n.entries {
		if n.isDue(now, e) {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

func (n *Node) isDue(now time.Duration, e *entry) bool {
	if e.order != nil && n.orderIsDue(now, e) {
		return true
	}
	if e.phase == phaseJournal {
		return false
	}
	if e.order == nil && now >= e.deadline+e.grace() {
		return true
	}
	switch e.phase {
	case phaseAsking:
		return now-e.progress > ownerPatience
	case phaseWaiting:
		return now >= e.wakeAt
	case phaseRunning:
		return now-e.progress > n.entryStall()
	}
	return false
}

// grace lets the owner, which knows that a queued request was never sent,
// refuse it first; the caller then learns that it was not run.
func (e *entry) grace() time.Duration {
	if e.phase == phaseQueued {
		return 4 * TickInterval
	}
	return 0
}

// entryStall is longer than the owner's own limit, so that the owner, which
// knows the upstream, decides first; the entry steps in when it is the owner
// that fell silent.
func (n *Node) entryStall() time.Duration { return n.config.Stall + ownerPatience }

// entryDue acts on a request whose time has come.
func (n *Node) entryDue(now time.Duration, e *entry) {
	if e.order != nil {
		n.orderDue(now, e)
		return
	}
	if now >= e.deadline+e.grace() {
		n.abandon(e)
		n.giveUp(now, e, 504, reason.DeadlinePassed, "the deadline passed", statusRetryAfter)
		return
	}
	switch e.phase {
	case phaseWaiting:
		n.place(now, e)
	case phaseAsking, phaseRunning:
		n.abandon(e)
		e.reached = true
		n.attemptFailed(now, e, reason.OwnerLost)
	}
}

// entriesLostOwner starts new attempts for requests whose owner is lost.
func (n *Node) entriesLostOwner(now time.Duration, peer protocol.RouterID) {
	var hit []protocol.RequestID
	for id, e := range n.entries {
		if e.upstream != nil && e.upstream.Owner == peer && e.phase != phaseWaiting && e.phase != phaseJournal {
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

// refuse answers a request that was never placed.
func (n *Node) refuse(answer AnswerError) {
	n.emit(answer)
	n.emit(Event{Request: answer.Request, What: "refused", Reason: answer.Reason, Detail: answer.Detail})
}

// refusal is an answer to a request no byte of which has left this router.
func refusal(id protocol.RequestID, status int, why reason.Code, detail string, retryAfter time.Duration) *AnswerError {
	return &AnswerError{Request: id, Status: status, Reason: why, Detail: detail, Outcome: protocol.NotRun, RetryAfter: retryAfter}
}
