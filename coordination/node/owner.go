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

// silentAfter is how long an upstream may go without an announcement before
// it gets no new work: three missed ones.
const silentAfter = 3*upstreamapi.AnnounceInterval + upstreamapi.AnnounceInterval/2

// assumedTokenTime is how long an engine is taken to need for one token of
// one stream before any was measured. It is the time users aim at.
const assumedTokenTime = 27 * time.Millisecond

// owned is an upstream that this router owns, or still relays for.
type owned struct {
	id     protocol.UpstreamID
	config *Upstream
	// holds says that the view names this router as the owner.
	holds bool
	// heard says that the upstream's own report came since the tenure began.
	// Without it the work that a former owner left is not known, and nothing
	// is admitted.
	heard bool
	// running holds the attempts that were sent to the upstream.
	running map[fleet.Attempt]*relay
	// queue decides the order of what waits; waiting finds its relays.
	queue   *admission.Queue
	waiting map[protocol.RequestID]*relay
	// onHold are requests that wait for the end of a suspect's trial, or for
	// one of their own.
	onHold []*relay
	// leaving is set by a goodbye or by an announcement that says so.
	leaving     bool
	incarnation uint64
	sequence    uint64
	announced   time.Duration
	reported    upstreamapi.Load
	pace        *stream.WaitEstimator
	// seen is the load of other upstreams as an entry heard it at seenAt.
	seen   float64
	seenAt time.Duration
	// done counts the tokens that its streams made since the queue was told.
	done int
	// tokenTime is the lately measured time of one token of one stream.
	tokenTime time.Duration
	crash     crashWatch
}

// relay is one attempt on the owner's side.
type relay struct {
	place    fleet.Place
	from     protocol.RouterID
	ask      placement.Query
	deadline time.Duration
	// cost is the work that the load bound counts, in generated tokens.
	cost float64
	// drained is the part of cost that the upstream has done.
	drained float64
	// answer holds what placement wants back at the end.
	answer placement.Answer
	// queuedAt is when it began to wait here.
	queuedAt time.Duration
	// sentAt and progress are when it was sent to the upstream and when the
	// upstream last sent something.
	sentAt   time.Duration
	progress time.Duration
	chunks   int
	// dispatch is set for an order.
	dispatch *dispatch
}

func newOwned(now time.Duration, upstream *Upstream) *owned {
	return &owned{
		id:        upstream.ID,
		config:    upstream,
		holds:     !upstream.Moving,
		running:   map[fleet.Attempt]*relay{},
		queue:     admission.New(admission.DefaultConfig(queueRates(upstream))),
		waiting:   map[protocol.RequestID]*relay{},
		announced: now,
		pace:      stream.NewWaitEstimator(stream.DefaultWaitEstimatorConfig()),
		tokenTime: assumedTokenTime,
	}
}

// isEngine says whether the upstream runs a model; the load bound and the
// quarantine are about these.
func (t *owned) isEngine() bool { return t.config.Kind == upstreamapi.KindEngine }

// ownerPlace decides on a request for an upstream: start, queue, spill or
// refuse.
//
// Load: any mix; the harm prevented is an upstream with more work than its
// share, which makes every caller on it wait. The limits: only the holder of
// the upstream's ownership admits, and only under a valid lease, so that the
// count is exact; the load bound and the upstream's own limit, because what
// waits inside an engine no longer obeys priorities.
func (n *Node) ownerPlace(now time.Duration, in PeerPlace) {
	target := n.owned[in.Place.Upstream]
	if !n.mayServe(now) || target == nil || !target.holds || target.config.Fence != in.Place.Fence {
		n.replyPlace(in.From, in.Place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(reason.NotOwner)})
		return
	}
	if why, usable := n.usable(now, target); !usable {
		n.replyPlace(in.From, in.Place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(why)})
		return
	}
	n.decide(now, target, n.newRelay(now, target, in))
}

func (n *Node) newRelay(now time.Duration, target *owned, in PeerPlace) *relay {
	place := in.Place
	fresh := &relay{
		place:    place,
		from:     in.From,
		deadline: now + time.Duration(place.RemainingMS)*time.Millisecond,
		cost:     1,
	}
	if target.isEngine() {
		fresh.ask = placement.Query{
			Upstream:     place.Upstream,
			Stage:        placement.Stage(place.Stage),
			FirstChoice:  place.FirstChoice,
			Chain:        coreChain(place.Chain),
			RootIndex:    place.RootIndex,
			OutputTokens: max(1, place.OutputTokens-place.ResumeAt),
			SeenLoad:     place.SeenLoad,
		}
		fresh.cost = n.policy.Cost(place.PromptTokens, 0, fresh.ask.OutputTokens)
	}
	return fresh
}

// usable says whether an upstream may get new work at all.
func (n *Node) usable(now time.Duration, target *owned) (reason.Code, bool) {
	switch {
	case target.leaving || target.config.Drain || n.draining:
		return reason.UpstreamLeaving, false
	case !target.heard || now-target.announced > silentAfter || target.crash.down:
		return reason.UpstreamSilent, false
	}
	return "", true
}

// decide finds out whether a request may start now.
func (n *Node) decide(now time.Duration, target *owned, r *relay) {
	final := placement.Stage(r.place.Stage) == placement.StageFinal
	if target.isEngine() {
		if hold := n.holdFor(now, target, r); hold != quarantine.HoldNone {
			n.decideHold(now, target, r, hold, final)
			return
		}
	}
	target.hear(now, r.place.SeenLoad)
	if target.queue.Len() > 0 {
		// What waits goes first, by the queue's rules, and the news that this
		// request brings may make room for it.
		n.startQueued(now, target)
	}
	if target.queue.Len() > 0 {
		n.spillOrSubmit(now, target, r, final, n.behindQueue(now, target, r))
		return
	}
	if !target.isEngine() {
		if len(target.running) < target.config.MaxConcurrent {
			n.start(now, target, r, reason.FirstChoice)
			return
		}
		n.spillOrSubmit(now, target, r, final, placement.Answer{})
		return
	}
	n.decideEngine(now, target, r, final)
}

// seenFor is how long what an entry heard of other upstreams counts. Within it
// an engine drains less than the share that the load bound allows for.
const seenFor = TickInterval / 2

// hear keeps what an entry has just heard of other upstreams.
func (t *owned) hear(now time.Duration, seen float64) {
	if seen > 0 {
		t.seen = seen
		t.seenAt = now
	}
}

// heardBeside is the load of other upstreams, if it was heard just now.
func (t *owned) heardBeside(now time.Duration) float64 {
	if now-t.seenAt > seenFor {
		return 0
	}
	return t.seen
}

// behindQueue is the answer to a question about an upstream whose queue isn't
// empty. The ratio counts what waits there as well, so that the entry doesn't
// take an upstream with a queue for the one with the least to do.
func (n *Node) behindQueue(now time.Duration, target *owned, r *relay) placement.Answer {
	answer := placement.Answer{Verdict: placement.NoCapacity, Reason: loadbound.QueueAhead}
	if !target.isEngine() {
		return answer
	}
	waiting := 0
	for class := range admission.NumClasses {
		waiting += target.queue.Tokens(admission.Class(class))
	}
	return n.placer.EstimateBehindQueue(now, r.ask, float64(waiting))
}

// decideEngine puts a chat to placement and the load bound.
func (n *Node) decideEngine(now time.Duration, target *owned, r *relay, final bool) {
	answer := n.placer.HandleQuery(now, r.ask)
	switch answer.Verdict {
	case placement.Admitted:
		r.answer = answer
		n.start(now, target, r, startReason(answer))
	case placement.Queued:
		n.spillOrSubmit(now, target, r, true, answer)
	case placement.Refused:
		n.replyPlace(r.from, r.place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(answer.Reason)})
	default:
		n.spillOrSubmit(now, target, r, final && answer.Verdict == placement.NoCapacity, answer)
	}
}

func startReason(answer placement.Answer) reason.Code {
	if answer.SavedShare > 0 {
		return reason.CacheHolder
	}
	return reason.FirstChoice
}

// spillOrSubmit sends the entry on, or at its last question puts the request
// into the queue.
func (n *Node) spillOrSubmit(now time.Duration, target *owned, r *relay, final bool, answer placement.Answer) {
	if final {
		n.submit(now, target, r)
		return
	}
	load, _, _ := n.ledger.Load(now, target.id)
	n.replyPlace(r.from, r.place, fleet.PlaceReply{
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

// queueID names an attempt in the queue.
func queueID(attempt fleet.Attempt) protocol.RequestID {
	return protocol.RequestID(fmt.Sprintf("%s/%d", attempt.Request, attempt.Number))
}

// submit puts a request to the queue, which admits, keeps or refuses it.
func (n *Node) submit(now time.Duration, target *owned, r *relay) {
	id := queueID(r.place.Attempt)
	outcome := target.queue.Submit(now, admission.Request{
		ID:       id,
		Customer: r.place.Customer,
		Class:    admission.Class(r.place.Class),
		Weight:   r.place.Weight,
		Tokens:   int(math.Ceil(r.cost)),
		Deadline: r.deadline,
		Steps:    r.steps(),
	}, n.gate(now, target))
	switch outcome.Kind {
	case admission.Admitted:
		n.startFromQueue(now, target, r)
	case admission.Queued:
		target.waiting[id] = r
		r.queuedAt = now
		n.replyPlace(r.from, r.place, fleet.PlaceReply{Outcome: fleet.PlaceQueued, Reason: string(reason.Saturated)})
		n.emit(Event{
			Request: r.place.Attempt.Request, Attempt: r.place.Attempt.Number, Customer: r.place.Customer, Upstream: target.id,
			What: "queued", Reason: reason.Saturated, Detail: fmt.Sprintf("position %d, expected wait %v", outcome.Position, outcome.Wait.Round(time.Millisecond)),
		})
	default:
		n.refusePlace(r, admissionReason(outcome.Reason), outcome.RetryAfter)
	}
}

// queueRates are an upstream's announced speeds in all and for one stream, in
// tokens a second, until they are measured.
func queueRates(upstream *Upstream) (all, stream float64) {
	all = max(1, upstream.Capacity)
	return all, all / float64(max(1, upstream.MaxConcurrent))
}

// steps is the length of the answer in tokens; a plain service has none.
func (r *relay) steps() int {
	if r.place.Model == "" {
		return 0
	}
	return r.ask.OutputTokens
}

// runTime is how long the upstream is expected to work on a request.
func (n *Node) runTime(target *owned, r *relay) time.Duration {
	if !target.isEngine() {
		return 0
	}
	return time.Duration(r.ask.OutputTokens) * target.tokenTime
}

// gate says whether a request of some cost fits the upstream now.
func (n *Node) gate(now time.Duration, target *owned) admission.Gate {
	return func(tokens int) bool {
		if !target.isEngine() {
			return len(target.running) < target.config.MaxConcurrent
		}
		decision := n.ledger.Judge(now, target.id, loadbound.Ask{Cost: float64(tokens), Seen: target.heardBeside(now), Final: true})
		return decision.Outcome == loadbound.Admit
	}
}

// startFromQueue starts a request whose turn has come. The load bound counts
// it now; if it doesn't fit after all, because the cache has changed since it
// was queued, it goes back to the queue.
func (n *Node) startFromQueue(now time.Duration, target *owned, r *relay) {
	if target.isEngine() {
		// It may have come under suspicion, or been condemned, while it waited.
		if hold := n.holdFor(now, target, r); hold != quarantine.HoldNone {
			n.decideHold(now, target, r, hold, true)
			return
		}
		r.ask.Stage = placement.StageFinal
		r.ask.SeenLoad = target.heardBeside(now)
		r.answer = n.placer.HandleQuery(now, r.ask)
		if r.answer.Verdict != placement.Admitted {
			n.replyPlace(r.from, r.place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(reason.LoadBound)})
			return
		}
	}
	n.start(now, target, r, reason.QueueTurn)
}

// admissionReason is the queue's reason as callers and events see it.
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

// refusePlace gives a request up.
func (n *Node) refusePlace(r *relay, why reason.Code, retryAfter time.Duration) {
	n.replyPlace(r.from, r.place, fleet.PlaceReply{Outcome: fleet.PlaceRefused, Reason: string(why), RetryAfterMS: retryAfter.Milliseconds()})
}

func (n *Node) replyPlace(to protocol.RouterID, place fleet.Place, reply fleet.PlaceReply) {
	reply.Attempt = place.Attempt
	n.send(to, reply)
}

// startQueued starts what waits while there is room.
func (n *Node) startQueued(now time.Duration, target *owned) {
	if !n.mayServe(now) || !target.holds {
		return
	}
	if _, usable := n.usable(now, target); !usable {
		return
	}
	n.reviewHeld(now, target)
	for {
		next, found := target.queue.Next(now, n.gate(now, target))
		if !found {
			return
		}
		r := target.waiting[next.ID]
		delete(target.waiting, next.ID)
		n.startFromQueue(now, target, r)
	}
}

const (
	// reofferAfter is how long a request waits for a load bound before it is
	// offered elsewhere. Its next walk hears the owners' present loads, so it
	// needn't wait for an exchange of totals; a fifth of the time that a first
	// token may take is short enough not to be felt.
	reofferAfter = 2 * TickInterval
	// maxReoffers bounds what one upstream sends back at a tick. A walk costs
	// some messages, and in a flood hundreds of requests wait.
	maxReoffers = 8
)

// reoffer sends requests back to their entries that wait here for the load
// bound alone, so that they look for room again.
//
// Load: a burst comes before the owners know of each other's share of it.
// Harm: each owner takes the mean for lower than it is, queues, and then works
// its queue off one by one while other engines are idle, because its engine is
// the only one with load. What the bound keeps back here has room elsewhere,
// by the meaning of a mean. While the engine itself is full nothing is sent
// back: then waiting is right.
func (n *Node) reoffer(now time.Duration, target *owned) {
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
		n.replyPlace(r.from, r.place, fleet.PlaceReply{Outcome: fleet.PlaceSpilled, Reason: string(reason.LoadBound)})
	}
}

// refuseLate answers at once what waited past its last moment to start.
func (n *Node) refuseLate(now time.Duration, target *owned) {
	for _, refused := range target.queue.Expire(now) {
		r := target.waiting[refused.Request.ID]
		delete(target.waiting, refused.Request.ID)
		n.refusePlace(r, admissionReason(refused.Reason), refused.RetryAfter)
	}
}

// handBack returns what waits for an upstream to the entries, which try
// elsewhere.
func (n *Node) handBack(now time.Duration, target *owned) {
	for _, request := range target.queue.Requests() {
		target.queue.Cancel(now, request.ID)
	}
	back := target.onHold
	target.onHold = nil
	for _, r := range target.waiting {
		back = append(back, r)
	}
	clear(target.waiting)
	slices.SortFunc(back, func(a, b *relay) int { return compareAttempts(a.place.Attempt, b.place.Attempt) })
	for _, r := range back {
		n.replyPlace(r.from, r.place, fleet.PlaceReply{Outcome: fleet.PlaceNotOwner, Reason: string(reason.UpstreamLeaving)})
	}
}

func compareAttempts(a, b fleet.Attempt) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Number, b.Number))
}

// ownedInOrder lists the upstreams by ID, so that a replay gives the same
// outputs.
func (n *Node) ownedInOrder() []*owned {
	list := make([]*owned, 0, len(n.owned))
	for _, target := range n.owned {
		list = append(list, target)
	}
	slices.SortFunc(list, func(a, b *owned) int { return cmp.Compare(a.id, b.id) })
	return list
}
