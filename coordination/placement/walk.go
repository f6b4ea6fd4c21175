package placement

import (
	"endiveplank/coordination/loadbound"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Limits of a walk. Each query is a round trip between routers of a few
// milliseconds at most, so that all together stay far below the half second
// that the first token may take.
const (
	// orderChoices is how many upstreams are asked for capacity in order. With
	// each, the probability that all asked so far are above their bound falls
	// by half or more.
	orderChoices = 5
	// probeChoices is how many choices after the first are probed when the
	// first choice's owner is new. After one join the former first choice is
	// the second, after two joins the third.
	probeChoices = 2
	// widenChoices is how many further upstreams are asked when all of the
	// first are above the hard bound.
	widenChoices = 6
	// widenRounds is how often that is repeated. In a fleet with four of five
	// engines busy, a walk then misses all idle ones once in a hundred times.
	widenRounds = 3
	// maxForwards is how many forwarding pointers are followed: one from the
	// first choice, and one from a former first choice that had sent the chat
	// on.
	maxForwards = 2
	// MaxQueries is the highest number of queries in one walk.
	MaxQueries = 1 + maxForwards + probeChoices + orderChoices + widenRounds*widenChoices + maxFinalQueries
	// maxFinalQueries is how many final queries are made when owners do not
	// answer.
	maxFinalQueries = 3
)

// Request is what an entry router knows of a request when it places it.
type Request struct {
	Chain []chat.Link
	// RootIndex is the position of the root in Chain, from the function
	// RootIndex.
	RootIndex int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// GroupShare is the share of the set that chats with this system prompt
	// are kept to, from Set.GroupShare; 0 means the whole set. It must be the
	// same at every router.
	GroupShare float64
}

// key returns what Set.Order orders the upstreams by.
func (r Request) key() Key {
	key := Key{Root: r.Chain[r.RootIndex].Hash}
	if r.RootIndex > 0 {
		key.Group = r.Chain[r.RootIndex-1].Hash
		key.GroupShare = r.GroupShare
	}
	return key
}

// RefusalReason says why a walk found no upstream.
type RefusalReason string

// Reasons why a Result is refused.
const (
	// NoUpstream: no upstream serves the model.
	NoUpstream RefusalReason = "no-upstream"
	// EmptyRequest: the chain has no link at the position of the root.
	EmptyRequest RefusalReason = "empty-request"
	// NoOwner: no owner of the upstreams asked took the request.
	NoOwner RefusalReason = "no-owner"
)

// Result is the outcome of a walk.
type Result struct {
	// Verdict is Admitted, Queued or Refused.
	Verdict     Verdict
	Upstream    protocol.UpstreamID
	FirstChoice protocol.UpstreamID
	// Moved says that the owner of FirstChoice must be told that the chat ran
	// on Upstream.
	Moved bool
	// Answer is the answer that ended the walk.
	Answer Answer
	// Refusal is set when Verdict is Refused.
	Refusal RefusalReason
	// Queries counts the queries made.
	Queries int
}

// Step holds the next query of a walk.
type Step struct {
	Query Query
}

// phase is the phase of a walk. It decides what the next query is.
type phase uint8

const (
	phaseFirstChoice phase = iota
	phaseForward
	phaseProbe
	phaseInOrder
	phaseFinal
	phaseDone
)

// candidate is an upstream that had no capacity within its soft bound. The
// candidate with the highest score gets the final query.
type candidate struct {
	position int32
	score    float64
}

// Walk finds the upstream for one request by querying owners one after the
// other: Next returns the next query, and HandleAnswer takes the answer to it.
// It is a plain value that allocates nothing for a request.
type Walk struct {
	set     *Set
	policy  Policy
	request Request

	order       [MaxChoices]int32
	orderN      int
	firstChoice int32
	// forwardedTo is the position that the last forwarding pointer led to, and
	// pointedAt the one that the first choice's pointer names; -1 for none.
	forwardedTo int32
	pointedAt   int32
	// candidates are the upstreams that the load bound turned down.
	candidates [MaxQueries]candidate
	candidateN int

	phase        phase
	current      int32
	next         int
	widenings    int
	forwards     int
	finalQueries int
	result       Result
}

// StartWalk returns a new walk. The request's chain must not change until the
// walk has ended.
func StartWalk(set *Set, policy Policy, request Request) Walk {
	w := Walk{set: set, policy: policy, request: request, forwardedTo: -1, pointedAt: -1, current: -1}
	if len(request.Chain) == 0 || request.RootIndex < 0 || request.RootIndex >= len(request.Chain) {
		w.refuse(EmptyRequest)
		return w
	}
	w.orderN = set.Order(request.key(), w.order[:])
	if w.orderN == 0 {
		w.refuse(NoUpstream)
		return w
	}
	w.firstChoice = w.order[0]
	w.result.FirstChoice = set.Member(w.firstChoice).ID
	return w
}

// refuse ends the walk without an upstream.
func (w *Walk) refuse(reason RefusalReason) {
	w.result.Verdict = Refused
	w.result.Refusal = reason
	w.phase = phaseDone
}

// Next returns the next query, and false when the walk has ended.
func (w *Walk) Next() (Step, bool) {
	switch w.phase {
	case phaseFirstChoice:
		return w.newStep(w.order[0], StageFirstChoice), true
	case phaseForward:
		return w.newStep(w.forwardedTo, StageProbe), true
	case phaseProbe:
		return w.newStep(w.order[w.next], StageProbe), true
	case phaseInOrder:
		return w.newStep(w.order[w.next], StageInOrder), true
	case phaseFinal:
		return w.newStep(w.candidates[w.bestCandidate()].position, StageFinal), true
	}
	return Step{}, false
}

// newStep builds the query about the upstream at a position.
func (w *Walk) newStep(position int32, stage Stage) Step {
	w.current = position
	w.result.Queries++
	return Step{Query: Query{
		Upstream:     w.set.Member(position).ID,
		Stage:        stage,
		FirstChoice:  position == w.firstChoice,
		Chain:        w.request.Chain,
		RootIndex:    w.request.RootIndex,
		OutputTokens: w.request.OutputTokens,
	}}
}

// HandleAnswer takes the answer to the last query.
func (w *Walk) HandleAnswer(answer Answer) {
	switch answer.Verdict {
	case Admitted, Queued:
		w.finish(answer)
		return
	case NoCapacity:
		w.addCandidate(answer)
	case Forward:
		if w.followPointer(answer.Forward) {
			return
		}
	}
	w.advance(answer)
}

// finish ends the walk with the upstream that answered.
func (w *Walk) finish(answer Answer) {
	w.result.Verdict = answer.Verdict
	w.result.Answer = answer
	w.result.Upstream = w.set.Member(w.current).ID
	w.result.Moved = w.current != w.firstChoice && w.current != w.pointedAt
	w.phase = phaseDone
}

// addCandidate keeps the upstream that answered for the final query.
func (w *Walk) addCandidate(answer Answer) {
	if w.candidateN == len(w.candidates) {
		return
	}
	w.candidates[w.candidateN] = candidate{
		position: w.current,
		score:    w.policy.score(answer, w.promptTokens()),
	}
	w.candidateN++
}

// promptTokens is the length of the request's prompt.
func (w *Walk) promptTokens() int {
	return w.request.Chain[len(w.request.Chain)-1].Tokens
}

// isCandidate says whether the load bound has turned the upstream at a
// position down already.
func (w *Walk) isCandidate(position int32) bool {
	for _, c := range w.candidates[:w.candidateN] {
		if c.position == position {
			return true
		}
	}
	return false
}

// followPointer makes the upstream that a forwarding pointer names the next to
// be queried. It returns false when that upstream is not in the set, has been
// turned down by the load bound or has just been asked, or when the walk has
// followed maxForwards pointers.
func (w *Walk) followPointer(short uint32) bool {
	position, ok := w.set.Find(short)
	if !ok || w.forwards == maxForwards || w.isCandidate(position) || position == w.current {
		return false
	}
	if w.current == w.firstChoice {
		w.pointedAt = position
	}
	w.forwards++
	w.forwardedTo = position
	w.phase = phaseForward
	return true
}

// advance moves to the next query after an answer that did not end the walk.
func (w *Walk) advance(answer Answer) {
	switch w.phase {
	case phaseFirstChoice:
		w.phase = phaseInOrder
		w.next = 0
		if answer.Verdict == Refused {
			w.next = 1
		}
		if answer.Verdict == Unknown && w.orderN > 1 {
			w.phase = phaseProbe
			w.next = 1
		}
	case phaseForward:
		w.phase = phaseInOrder
		w.next = 0
	case phaseProbe:
		w.next++
		if w.next > probeChoices || w.next >= w.orderN || answer.Verdict == NoCapacity {
			w.phase = phaseInOrder
			w.next = 0
		}
	case phaseInOrder:
		w.next++
	case phaseFinal:
		w.removeBest()
	}
	w.selectNext()
}

// selectNext skips choices that have been asked for capacity already, and goes
// on to the final queries after the last choice.
func (w *Walk) selectNext() {
	if w.phase == phaseInOrder {
		if w.nextInOrder() {
			return
		}
		w.phase = phaseFinal
	}
	if w.phase != phaseFinal {
		return
	}
	if w.candidateN == 0 || w.finalQueries == maxFinalQueries {
		w.refuse(NoOwner)
		return
	}
	w.finalQueries++
}

// nextInOrder moves w.next to the next choice that has not been asked for
// capacity. It returns false when there is none.
func (w *Walk) nextInOrder() bool {
	for {
		limit := min(orderChoices, w.orderN)
		if w.widenings > 0 {
			limit = w.orderN
		}
		for w.next < limit && w.isCandidate(w.order[w.next]) {
			w.next++
		}
		if w.next < limit {
			return true
		}
		if !w.widen() {
			return false
		}
	}
}

// widen continues with other upstreams from the whole set when all asked so
// far are above the hard bound and a final query would queue the request.
//
// Load: one customer surges to ten times its rate, or the fleet is nearly idle
// and the few engines asked are the busy ones. Harm: chats queue at the
// engines of their group, or behind the one request of an engine, while the
// rest of the fleet has capacity.
func (w *Walk) widen() bool {
	if w.widenings == widenRounds || w.anyWithinBound() {
		return false
	}
	w.widenings++
	key := Key{Root: chat.ChainHash(mix(uint64(w.request.key().Root) + uint64(w.widenings)))}
	w.orderN = w.set.Order(key, w.order[:widenChoices])
	w.next = 0
	return true
}

// anyWithinBound says whether any upstream asked is within the hard bound.
func (w *Walk) anyWithinBound() bool {
	return w.candidateN > 0 && w.candidates[w.bestCandidate()].score > -overBoundPenalty
}

// bestCandidate returns the index of the candidate for the final query.
func (w *Walk) bestCandidate() int {
	best := 0
	for i, c := range w.candidates[:w.candidateN] {
		if c.score > w.candidates[best].score {
			best = i
		}
	}
	return best
}

// removeBest removes the candidate that got the last final query, since its
// owner neither admitted nor queued the request.
func (w *Walk) removeBest() {
	best := w.bestCandidate()
	w.candidateN--
	w.candidates[best] = w.candidates[w.candidateN]
}

// Result returns the outcome of the walk. It is valid once Next has returned
// false, or HandleAnswer has taken an Admitted or Queued answer.
func (w *Walk) Result() Result {
	return w.result
}

// Reason returns the load bound's reason in the answer that ended the walk.
func (r Result) Reason() loadbound.Reason {
	return r.Answer.Reason
}
