package placement

import (
	"endiveplank/coordination/loadbound"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Limits of a walk. Each ask is a round trip between routers of a few
// milliseconds at most, so all together stay far below the half second that
// the first token may take.
const (
	// openChoices is how many upstreams are asked for room in order. The
	// chance that all are above their bound falls by half or more with each.
	openChoices = 5
	// probeChoices is how many choices behind a young home are probed: one
	// join makes the former home the second choice, two joins the third.
	probeChoices = 2
	// wideChoices is how many further upstreams are asked when all of the
	// first are above the hard bound.
	wideChoices = 6
	// wideRounds is how often that is repeated. In a fleet with four engines
	// of five busy, a walk misses all idle ones once in a hundred times.
	wideRounds = 3
	// maxForwards is how many pointers are followed: one from the home, and
	// one from a former home that had sent the chat on.
	maxForwards = 2
	// MaxAsks is the most questions of one walk.
	MaxAsks = 1 + maxForwards + probeChoices + openChoices + wideRounds*wideChoices + maxFinals
	// maxFinals is how many final asks are made when owners do not answer.
	maxFinals = 3
)

// Request is what an entry router knows of a request.
type Request struct {
	Chain []chat.Link
	// Root is the position of the root link, from RootLink.
	Root int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Spread is the share of the set that chats with this system prompt are
	// kept to, from Set.Spread; 0 means all. It must be the same at every
	// router.
	Spread float64
}

// key is what the request's order is made from.
func (r Request) key() Key {
	key := Key{Root: r.Chain[r.Root].Hash}
	if r.Root > 0 {
		key.Group = r.Chain[r.Root-1].Hash
		key.Spread = r.Spread
	}
	return key
}

// RefusalReason says why a walk found no upstream.
type RefusalReason string

// Reasons of a Result that is refused.
const (
	// NoUpstream: no upstream serves the model.
	NoUpstream RefusalReason = "no-upstream"
	// EmptyRequest: there is no message to place by.
	EmptyRequest RefusalReason = "empty-request"
	// NoOwner: no owner of any choice answered.
	NoOwner RefusalReason = "no-owner"
)

// Result is how a walk ended.
type Result struct {
	// Verdict is Admitted, Queued or Refused.
	Verdict  Verdict
	Upstream protocol.UpstreamID
	Home     protocol.UpstreamID
	// Moved says that the home's owner must be told of Upstream.
	Moved bool
	// Answer is the owner's answer that ended the walk.
	Answer Answer
	// Refusal is set when Verdict is Refused.
	Refusal RefusalReason
	// Asks counts the questions asked.
	Asks int
}

// Step is the next question of a walk.
type Step struct {
	Ask Ask
}

// phase is the part of a walk that the next step belongs to.
type phase uint8

const (
	phaseHome phase = iota
	phaseForward
	phaseProbe
	phaseOpen
	phaseFinal
	phaseDone
)

// candidate is an upstream that had no room within its soft bound.
type candidate struct {
	position int32
	value    float64
}

// Walk finds the upstream for one request by asking owners one after the
// other. It is a value without pointers to the heap of its own: no request
// allocates for it.
type Walk struct {
	set     *Set
	policy  Policy
	request Request

	order  [MaxChoices]int32
	orderN int
	home   int32
	// forward is the position that the last pointer led to, and homePoints
	// the one that the home's pointer names.
	forward    int32
	homePoints int32
	// candidates are the positions that the load bound turned down.
	candidates [MaxAsks]candidate
	candidateN int

	phase    phase
	current  int32
	next     int
	widened  int
	forwards int
	finals   int
	result   Result
}

// Begin starts a walk. The request's chain must stay unchanged until it ends.
func Begin(set *Set, policy Policy, request Request) Walk {
	w := Walk{set: set, policy: policy, request: request, forward: -1, homePoints: -1, current: -1}
	if len(request.Chain) == 0 || request.Root < 0 || request.Root >= len(request.Chain) {
		w.refuse(EmptyRequest)
		return w
	}
	w.orderN = set.Order(request.key(), w.order[:])
	if w.orderN == 0 {
		w.refuse(NoUpstream)
		return w
	}
	w.home = w.order[0]
	w.result.Home = set.Member(w.home).ID
	return w
}

// refuse ends the walk without an upstream.
func (w *Walk) refuse(reason RefusalReason) {
	w.result.Verdict = Refused
	w.result.Refusal = reason
	w.phase = phaseDone
}

// Next returns the next question, and false when the walk has ended.
func (w *Walk) Next() (Step, bool) {
	switch w.phase {
	case phaseHome:
		return w.ask(w.order[0], AtHome), true
	case phaseForward:
		return w.ask(w.forward, Probe), true
	case phaseProbe:
		return w.ask(w.order[w.next], Probe), true
	case phaseOpen:
		return w.ask(w.order[w.next], Open), true
	case phaseFinal:
		return w.ask(w.candidates[w.best()].position, Final), true
	}
	return Step{}, false
}

// ask builds a step.
func (w *Walk) ask(position int32, stage Stage) Step {
	w.current = position
	w.result.Asks++
	return Step{Ask: Ask{
		Upstream:     w.set.Member(position).ID,
		Stage:        stage,
		Home:         position == w.home,
		Chain:        w.request.Chain,
		Root:         w.request.Root,
		OutputTokens: w.request.OutputTokens,
	}}
}

// Answered takes the answer to the last question.
func (w *Walk) Answered(answer Answer) {
	switch answer.Verdict {
	case Admitted, Queued:
		w.finish(answer)
		return
	case NoRoom:
		w.remember(answer)
	case Forward:
		if w.follow(answer.Forward) {
			return
		}
	}
	w.advance(answer)
}

// finish ends the walk with an upstream.
func (w *Walk) finish(answer Answer) {
	w.result.Verdict = answer.Verdict
	w.result.Answer = answer
	w.result.Upstream = w.set.Member(w.current).ID
	w.result.Moved = w.current != w.home && w.current != w.homePoints
	w.phase = phaseDone
}

// remember keeps an upstream for the final ask.
func (w *Walk) remember(answer Answer) {
	if w.candidateN == len(w.candidates) {
		return
	}
	w.candidates[w.candidateN] = candidate{
		position: w.current,
		value:    w.policy.value(answer, w.prompt()),
	}
	w.candidateN++
}

// prompt is the length of the request's prompt in tokens.
func (w *Walk) prompt() int {
	return w.request.Chain[len(w.request.Chain)-1].Tokens
}

// judged says whether a position has been put to the load bound already.
func (w *Walk) judged(position int32) bool {
	for _, c := range w.candidates[:w.candidateN] {
		if c.position == position {
			return true
		}
	}
	return false
}

// follow goes where a pointer leads, unless it leads nowhere new.
func (w *Walk) follow(short uint32) bool {
	position, ok := w.set.Find(short)
	if !ok || w.forwards == maxForwards || w.judged(position) || position == w.current {
		return false
	}
	if w.current == w.home {
		w.homePoints = position
	}
	w.forwards++
	w.forward = position
	w.phase = phaseForward
	return true
}

// advance goes to the next question after an answer that did not end the
// walk.
func (w *Walk) advance(answer Answer) {
	switch w.phase {
	case phaseHome:
		w.phase = phaseOpen
		w.next = 0
		if answer.Verdict == Refused {
			w.next = 1
		}
		if answer.Verdict == Unknown && w.orderN > 1 {
			w.phase = phaseProbe
			w.next = 1
		}
	case phaseForward:
		w.phase = phaseOpen
		w.next = 0
	case phaseProbe:
		w.next++
		if w.next > probeChoices || w.next >= w.orderN || answer.Verdict == NoRoom {
			w.phase = phaseOpen
			w.next = 0
		}
	case phaseOpen:
		w.next++
	case phaseFinal:
		w.dropBest()
	}
	w.skipJudged()
}

// skipJudged passes over choices that have answered for room, and ends the
// open phase after its last choice.
func (w *Walk) skipJudged() {
	if w.phase == phaseOpen {
		if w.nextOpen() {
			return
		}
		w.phase = phaseFinal
	}
	if w.phase != phaseFinal {
		return
	}
	if w.candidateN == 0 || w.finals == maxFinals {
		w.refuse(NoOwner)
		return
	}
	w.finals++
}

// nextOpen finds the next choice that has not been asked for room.
func (w *Walk) nextOpen() bool {
	for {
		limit := min(openChoices, w.orderN)
		if w.widened > 0 {
			limit = w.orderN
		}
		for w.next < limit && w.judged(w.order[w.next]) {
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

// widen goes on with other choices from the whole set when all so far are above
// the hard bound and a final ask would queue.
//
// Load: one customer surges to ten times its rate, or the fleet is nearly
// idle and the few engines asked are the busy ones. Harm: chats queue at the
// engines of their group, or behind the one request of an engine, while the
// rest of the fleet has room.
func (w *Walk) widen() bool {
	if w.widened == wideRounds || w.anyWithinBound() {
		return false
	}
	w.widened++
	key := Key{Root: chat.ChainHash(mix(uint64(w.request.key().Root) + uint64(w.widened)))}
	w.orderN = w.set.Order(key, w.order[:wideChoices])
	w.next = 0
	return true
}

// anyWithinBound says whether some upstream asked is within the hard bound.
func (w *Walk) anyWithinBound() bool {
	return w.candidateN > 0 && w.candidates[w.best()].value > -overBoundPenalty
}

// best returns the candidate to ask finally.
func (w *Walk) best() int {
	best := 0
	for i, c := range w.candidates[:w.candidateN] {
		if c.value > w.candidates[best].value {
			best = i
		}
	}
	return best
}

// dropBest removes a candidate whose owner did not answer finally.
func (w *Walk) dropBest() {
	best := w.best()
	w.candidateN--
	w.candidates[best] = w.candidates[w.candidateN]
}

// Result returns how the walk ended; it is valid once Next reports false.
func (w *Walk) Result() Result {
	return w.result
}

// Reason returns the load bound's reason of the answer that ended the walk.
func (r Result) Reason() loadbound.Reason {
	return r.Answer.Reason
}
