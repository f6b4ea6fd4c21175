package node

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"endiveplank/coordination/admission"
	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
	"endiveplank/coordination/quarantine"
	"endiveplank/coordination/reason"
	"endiveplank/coordination/stream"
	"endiveplank/protocol"
	"endiveplank/protocol/fleet"
	"endiveplank/protocol/upstreamapi"
)

// silentAfter is how long an upstream may send no announcement before it gets no
// new work: it has then missed three.
const silentAfter = 3*upstreamapi.AnnounceInterval + upstreamapi.AnnounceInterval/2

// assumedTokenTime is the assumed time for one token of one stream before any
// was measured. It is the time between tokens that users want.
const assumedTokenTime = 27 * time.Millisecond

// ownedUpstream is an upstream that this router owns, or owned before and still
// relays answers for.
type ownedUpstream struct {
	id     protocol.UpstreamID
	config *Upstream
	// isOwner means that the view names this router as the owner and does not
	// ask it to release the upstream.
	isOwner bool
	// hasReport means that an announcement of the upstream has arrived since this
	// ownership began. Before that the load that a former owner left there is
	// unknown, and nothing is admitted.
	hasReport bool
	// build is the version of its software, as it last announced it.
	build string
	// unconnected means that the last connection attempt failed. connectProbeAt is when the next
	// probe is due.
	unconnected    bool
	connectProbeAt time.Duration
	// running holds the attempts that were sent to the upstream.
	running map[fleet.Attempt]*relay
	// queue orders the waiting requests. waiting maps the IDs in the queue to
	// their relays.
	queue   *admission.Queue
	waiting map[protocol.RequestID]*relay
	// heldForTrial holds requests that wait for the end of the trial of a suspect
	// request, or for a trial of their own.
	heldForTrial []*relay
	// leaving means that the upstream has announced that it leaves.
	leaving bool
	// pausedUntil is until when the upstream wants no requests, by the Retry-After of its
	// refusals.
	pausedUntil   time.Duration
	incarnation   uint64
	sequence      uint64
	announcedAt   time.Duration
	reportedLoad  upstreamapi.Load
	waitEstimator *stream.WaitEstimator
	// othersLoad is the load of other upstreams, in tokens, as an entry router
	// last reported it, at othersLoadAt.
	othersLoad   float64
	othersLoadAt time.Duration
	// unreportedTokens counts the tokens that the streams have produced since the
	// last updateQueue.
	unreportedTokens int
	// tokenTime is the moving average of the time for one token of one stream.
	tokenTime time.Duration
	crash     crashDetector
}

// relay is one attempt on the owner's side: it waits for the upstream, or the
// owner relays its answer to the entry router.
type relay struct {
	place       fleet.Place
	entryRouter protocol.RouterID
	placeQuery  placement.Query
	deadline    time.Duration
	// cost is the work that the load bound counts, in generated tokens.
	cost float64
	// doneCost is the part of cost that the upstream has done.
	doneCost float64
	// placeAnswer is the answer of placement, which needs the ticket in it back
	// at the end of the attempt.
	placeAnswer placement.Answer
	// queuedAt is when the request entered the queue here.
	queuedAt time.Duration
	// sentAt is when the request was sent to the upstream, and lastProgress when
	// the upstream last sent a chunk.
	sentAt       time.Duration
	lastProgress time.Duration
	// begunAt is when the first of the chunks came.
	begunAt time.Duration
	chunks  int
	// dispatch is set for orders only.
	dispatch *dispatch
}

func newOwnedUpstream(now time.Duration, upstream *Upstream) *ownedUpstream {
	return &ownedUpstream{
		id:            upstream.ID,
		config:        upstream,
		isOwner:       !upstream.Moving,
		running:       map[fleet.Attempt]*relay{},
		queue:         admission.New(admission.DefaultConfig(queueRates(upstream))),
		waiting:       map[protocol.RequestID]*relay{},
		announcedAt:   now,
		waitEstimator: stream.NewWaitEstimator(stream.DefaultWaitEstimatorConfig()),
		tokenTime:     assumedTokenTime,
	}
}

// isEngine reports whether the upstream runs a model. The load bound and the
// quarantine apply to engines only.
func (t *ownedUpstream) isEngine() bool { return t.config.Kind == upstreamapi.KindEngine }

// handlePlace decides on a request for an upstream: the request starts, is
// queued, spills (the entry router asks another owner) or is refused.
//
// This prevents an upstream from getting more work than its share, which would
// make every caller on it wait. Only the upstream's owner admits work, and only
// under a valid lease, so the owner's count of the load is exact. The owner
// enforces the load bound and the upstream's own limit, because requests that
// wait inside an engine are no longer ordered by priority.
func (n *Node) handlePlace(now time.Duration, in PeerPlace) {
	target := n.owned[in.Place.Upstream]
	if !n.leaseValid(now) || target == nil || !target.isOwner || target.config.Fence != in.Place.Fence {
		n.replyPlace(in.From, in.Place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(reason.NotOwner)})
		return
	}
	if in.Place.OnlyBuild && target.build != in.Place.Build {
		n.replyPlace(in.From, in.Place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(reason.OtherBuild)})
		return
	}
	if why, usable := n.usable(now, target); !usable {
		n.replyPlace(in.From, in.Place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(why)})
		return
	}
	n.decidePlace(now, target, n.newRelay(now, target, in))
}

func (n *Node) newRelay(now time.Duration, target *ownedUpstream, in PeerPlace) *relay {
	place := in.Place
	r := &relay{
		place:       place,
		entryRouter: in.From,
		deadline:    now + time.Duration(place.RemainingMS)*time.Millisecond,
		cost:        1,
	}
	if target.isEngine() {
		r.placeQuery = placement.Query{
			Upstream:     place.Upstream,
			Stage:        placement.Stage(place.Stage),
			FirstChoice:  place.FirstChoice,
			Chain:        decodeChain(place.Chain),
			RootIndex:    place.RootIndex,
			OutputTokens: max(1, place.OutputTokens-place.ResumeAt),
			OthersLoad:   place.OthersLoad,
		}
		r.cost = n.policy.Cost(place.PromptTokens, 0, r.placeQuery.OutputTokens)
	}
	return r
}

// usable reports whether an upstream may get new work at all, and why not.
func (n *Node) usable(now time.Duration, target *ownedUpstream) (reason.Code, bool) {
	switch {
	case target.leaving || target.config.Drain || n.draining:
		return reason.UpstreamLeaving, false
	case !target.hasReport || now-target.announcedAt > silentAfter || target.crash.down:
		return reason.UpstreamSilent, false
	case target.unconnected:
		return reason.UpstreamSilent, false
	case now < target.pausedUntil:
		return reason.UpstreamRefused, false
	}
	return "", true
}

// decidePlace decides whether a request may start now.
func (n *Node) decidePlace(now time.Duration, target *ownedUpstream, r *relay) {
	final := placement.Stage(r.place.Stage) == placement.StageFinal
	if target.isEngine() {
		if hold := n.holdFor(now, target, r); hold != quarantine.HoldNone {
			n.applyHold(now, target, r, hold, final)
			return
		}
	}
	target.recordOthersLoad(now, r.place.OthersLoad)
	if target.queue.Len() > 0 {
		// Waiting requests go first, by the rules of the queue. The load reported in
		// this Place message may show that the load bound now admits some of them.
		n.startQueued(now, target)
	}
	if target.queue.Len() > 0 {
		n.spillOrEnqueue(now, target, r, final, n.answerBehindQueue(now, target, r))
		return
	}
	if !target.isEngine() {
		if len(target.running) < target.config.MaxConcurrent {
			n.start(now, target, r, reason.FirstChoice)
			return
		}
		n.spillOrEnqueue(now, target, r, final, placement.Answer{})
		return
	}
	n.decideEngine(now, target, r, final)
}

// maxOthersLoadAge is how long the load of other upstreams that an entry router
// reported is used. Within this time an engine completes less work than the
// tolerance of the load bound.
const maxOthersLoadAge = TickInterval / 2

// recordOthersLoad records the load of other upstreams that an entry router has
// just reported.
func (t *ownedUpstream) recordOthersLoad(now time.Duration, tokens float64) {
	if tokens > 0 {
		t.othersLoad = tokens
		t.othersLoadAt = now
	}
}

// recentOthersLoad returns the load of other upstreams, or 0 if the last report
// is too old.
func (t *ownedUpstream) recentOthersLoad(now time.Duration) float64 {
	if now-t.othersLoadAt > maxOthersLoadAge {
		return 0
	}
	return t.othersLoad
}

// answerBehindQueue is the answer for an upstream whose queue isn't empty. Its
// load ratio includes the queued requests, so that the entry router doesn't
// consider an upstream with a queue the least loaded one.
func (n *Node) answerBehindQueue(now time.Duration, target *ownedUpstream, r *relay) placement.Answer {
	answer := placement.Answer{Verdict: placement.NoCapacity, Reason: loadbound.QueueAhead}
	if !target.isEngine() {
		return answer
	}
	waiting := 0
	for class := range admission.NumClasses {
		waiting += target.queue.Tokens(admission.Class(class))
	}
	return n.placer.EstimateBehindQueue(now, r.placeQuery, float64(waiting))
}

// decideEngine decides on a chat by placement and the load bound.
func (n *Node) decideEngine(now time.Duration, target *ownedUpstream, r *relay, final bool) {
	answer := n.placer.HandleQuery(now, r.placeQuery)
	switch answer.Verdict {
	case placement.Admitted:
		r.placeAnswer = answer
		n.start(now, target, r, startReason(answer))
	case placement.Queued:
		n.spillOrEnqueue(now, target, r, true, answer)
	case placement.Refused:
		n.replyPlace(r.entryRouter, r.place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(answer.Reason)})
	default:
		n.spillOrEnqueue(now, target, r, final && answer.Verdict == placement.NoCapacity, answer)
	}
}

func startReason(answer placement.Answer) reason.Code {
	if answer.SavedShare > 0 {
		return reason.CacheHolder
	}
	return reason.FirstChoice
}

// spillOrEnqueue tells the entry router to ask another owner, or queues the
// request if this is the final stage of its search.
func (n *Node) spillOrEnqueue(now time.Duration, target *ownedUpstream, r *relay, final bool, answer placement.Answer) {
	if final {
		n.enqueue(now, target, r)
		return
	}
	load, _, _ := n.ledger.Load(now, target.id)
	n.replyPlace(r.entryRouter, r.place, fleet.PlaceReply{
		Load:       load,
		Outcome:    fleet.PlaceSpilled,
		Reason:     string(spillReason(answer)),
		Verdict:    uint8(answer.Verdict),
		Bound:      string(answer.Reason),
		Forward:    answer.Forward,
		SavedShare: answer.SavedShare,
		Ratio:      answer.Ratio,
	})
}

func spillReason(answer placement.Answer) reason.Code {
	switch answer.Verdict {
	case placement.Forward:
		return reason.ChatElsewhere
	case placement.Unknown, placement.NotCached:
		return reason.ChatNotHere
	}
	if answer.Reason == loadbound.OverBound || answer.Reason == loadbound.OverSoftBound {
		return reason.LoadBound
	}
	return reason.Saturated
}

// queueID is the ID of an attempt in the queue.
func queueID(attempt fleet.Attempt) protocol.RequestID {
	return protocol.RequestID(fmt.Sprintf("%s/%d", attempt.Request, attempt.Number))
}

// enqueue passes a request to the queue, which admits, queues or refuses it.
func (n *Node) enqueue(now time.Duration, target *ownedUpstream, r *relay) {
	id := queueID(r.place.Attempt)
	outcome := target.queue.Submit(now, admission.Request{
		ID:           id,
		Customer:     r.place.Customer,
		Class:        admission.Class(r.place.Class),
		Weight:       r.place.Weight,
		Tokens:       int(math.Ceil(r.cost)),
		Deadline:     r.deadline,
		AnswerTokens: r.answerTokens(),
	}, n.queueGate(now, target))
	switch outcome.Kind {
	case admission.Admitted:
		n.startFromQueue(now, target, r)
	case admission.Queued:
		target.waiting[id] = r
		r.queuedAt = now
		n.replyPlace(r.entryRouter, r.place, fleet.PlaceReply{Outcome: fleet.PlaceQueued, Reason: string(reason.Saturated)})
		n.emit(Event{
			Request: r.place.Attempt.Request, Attempt: r.place.Attempt.Number, Customer: r.place.Customer, Upstream: target.id,
			Kind: "queued", Reason: reason.Saturated, Detail: fmt.Sprintf("position %d, expected wait %v", outcome.Position, outcome.Wait.Round(time.Millisecond)),
		})
	default:
		n.refusePlace(r, admissionReason(outcome.Reason), outcome.RetryAfter)
	}
}

// queueRates returns an upstream's announced throughput in total and for one
// stream, in tokens a second. The queue uses them until it has measured values.
func queueRates(upstream *Upstream) (all, stream float64) {
	all = max(1, upstream.Capacity)
	return all, all / float64(max(1, upstream.MaxConcurrent))
}

// answerTokens is the expected length of the answer in tokens, 0 for a plain
// service.
func (r *relay) answerTokens() int {
	if r.place.Model == "" {
		return 0
	}
	return r.placeQuery.OutputTokens
}

// runTime is how long an engine is expected to generate the answer, 0 for a plain
// service.
func (n *Node) runTime(target *ownedUpstream, r *relay) time.Duration {
	if !target.isEngine() {
		return 0
	}
	return time.Duration(r.placeQuery.OutputTokens) * target.tokenTime
}

// queueGate returns the function by which the queue asks whether the upstream
// can take a request of some cost now.
func (n *Node) queueGate(now time.Duration, target *ownedUpstream) admission.Gate {
	return func(tokens int) bool {
		if !target.isEngine() {
			return len(target.running) < target.config.MaxConcurrent
		}
		decision := n.ledger.Evaluate(now, target.id, loadbound.Request{Cost: float64(tokens), OthersLoad: target.recentOthersLoad(now), Final: true})
		return decision.Outcome == loadbound.Admit
	}
}

// startFromQueue starts a request whose turn has come, and counts it in the load
// bound. If it doesn't fit after all, because the engine's cache has changed
// since it was queued, it goes back to its entry router, which places it again.
func (n *Node) startFromQueue(now time.Duration, target *ownedUpstream, r *relay) {
	if target.isEngine() {
		// The request may have become suspect or quarantined while it waited.
		if hold := n.holdFor(now, target, r); hold != quarantine.HoldNone {
			n.applyHold(now, target, r, hold, true)
			return
		}
		r.placeQuery.Stage = placement.StageFinal
		r.placeQuery.OthersLoad = target.recentOthersLoad(now)
		r.placeAnswer = n.placer.HandleQuery(now, r.placeQuery)
		if r.placeAnswer.Verdict != placement.Admitted {
			n.replyPlace(r.entryRouter, r.place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(reason.LoadBound)})
			return
		}
	}
	n.start(now, target, r, reason.QueueTurn)
}

// admissionReason translates the queue's reason for callers and events.
func admissionReason(why admission.Reason) reason.Code {
	switch why {
	case admission.ReasonQueueFull:
		return reason.QueueFull
	case admission.ReasonCustomerFull:
		return reason.CustomerQueueFull
	case admission.ReasonExpired:
		return reason.DeadlinePassed
	case admission.ReasonDeadline, admission.ReasonImpossible:
		return reason.DeadlineTooNear
	}
	return reason.BodyInvalid
}

// refusePlace tells the entry router that the request is refused.
func (n *Node) refusePlace(r *relay, why reason.Code, retryAfter time.Duration) {
	n.replyPlace(r.entryRouter, r.place, fleet.PlaceReply{Outcome: fleet.PlaceRefused, Reason: string(why), RetryAfterMS: retryAfter.Milliseconds()})
}

func (n *Node) replyPlace(to protocol.RouterID, place fleet.Place, reply fleet.PlaceReply) {
	reply.Attempt = place.Attempt
	n.send(to, reply)
}

// startQueued starts waiting requests while the upstream has spare capacity.
func (n *Node) startQueued(now time.Duration, target *ownedUpstream) {
	if !n.leaseValid(now) || !target.isOwner {
		return
	}
	if _, usable := n.usable(now, target); !usable {
		return
	}
	n.recheckHeld(now, target)
	for {
		next, found := target.queue.Next(now, n.queueGate(now, target))
		if !found {
			return
		}
		r := target.waiting[next.ID]
		delete(target.waiting, next.ID)
		n.startFromQueue(now, target, r)
	}
}

const (
	// reofferAfter is how long a request waits here for the load bound before its
	// entry router offers it to other upstreams. The new walk gets the present
	// loads from the owners, so the request needn't wait for an exchange of load
	// totals. It is a fifth of the time that a first token may take, which callers
	// don't notice.
	reofferAfter = 2 * TickInterval
	// maxReoffers is the number of requests that one upstream returns at a tick.
	// Each walk costs several messages, and under overload hundreds of requests
	// wait.
	maxReoffers = 8
)

// returnForReoffer returns requests that wait here only because of the load
// bound to their entry routers, which search for capacity again.
//
// A burst can arrive before the owners know each other's share of it. Each owner
// then underestimates the mean load and queues requests. Later its engine may be
// the only one with load, so the load bound admits its queue one by one while
// other engines are idle. An engine above the bound is above the mean, so other
// engines have capacity. While the engine itself is full nothing is returned,
// because then the requests should wait.
func (n *Node) returnForReoffer(now time.Duration, target *ownedUpstream) {
	if !target.isEngine() || target.queue.Len() == 0 || len(target.running) >= target.config.MaxConcurrent {
		return
	}
	var back []*relay
	for _, r := range target.waiting {
		if now-r.queuedAt > reofferAfter {
			back = append(back, r)
		}
	}
	slices.SortFunc(back, func(a, b *relay) int {
		return cmp.Or(cmp.Compare(a.queuedAt, b.queuedAt), compareAttempts(a.place.Attempt, b.place.Attempt))
	})
	for _, r := range back[:min(len(back), maxReoffers)] {
		id := queueID(r.place.Attempt)
		target.queue.Cancel(now, id)
		delete(target.waiting, id)
		n.replyPlace(r.entryRouter, r.place, fleet.PlaceReply{Outcome: fleet.PlaceSpilled, Reason: string(reason.LoadBound)})
	}
}

// refuseExpired refuses at once the queued requests that can no longer start in
// time.
func (n *Node) refuseExpired(now time.Duration, target *ownedUpstream) {
	for _, refused := range target.queue.Expire(now) {
		r := target.waiting[refused.Request.ID]
		delete(target.waiting, refused.Request.ID)
		n.refusePlace(r, admissionReason(refused.Reason), refused.RetryAfter)
	}
}

// returnWaiting returns all requests that wait for an upstream to their entry
// routers, which try other upstreams. why is the reason for them.
func (n *Node) returnWaiting(now time.Duration, target *ownedUpstream, why reason.Code) {
	for _, request := range target.queue.Requests() {
		target.queue.Cancel(now, request.ID)
	}
	back := target.heldForTrial
	target.heldForTrial = nil
	for _, r := range target.waiting {
		back = append(back, r)
	}
	clear(target.waiting)
	slices.SortFunc(back, func(a, b *relay) int { return compareAttempts(a.place.Attempt, b.place.Attempt) })
	for _, r := range back {
		n.replyPlace(r.entryRouter, r.place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(why)})
	}
}

func compareAttempts(a, b fleet.Attempt) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Number, b.Number))
}

// ownedInOrder returns the owned upstreams sorted by ID, so that a replay gives
// the same outputs.
func (n *Node) ownedInOrder() []*ownedUpstream {
	list := make([]*ownedUpstream, 0, len(n.owned))
	for _, target := range n.owned {
		list = append(list, target)
	}
	slices.SortFunc(list, func(a, b *ownedUpstream) int { return cmp.Compare(a.id, b.id) })
	return list
}
