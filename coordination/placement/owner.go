package placement

import (
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Stage says what an entry router wants to know from an owner.
type Stage uint8

// Stages of an Ask.
const (
	// AtHome asks the chat's first choice: admit, or say where it is.
	AtHome Stage = iota + 1
	// Probe asks an upstream that may hold the chat: admit only if it does.
	Probe
	// Open asks for room in the chat's order.
	Open
	// Final asks the best of those that had none; the answer is admit or
	// queue.
	Final
)

// Ask is one question of an entry router to the owner of an upstream.
type Ask struct {
	Upstream protocol.UpstreamID
	Stage    Stage
	// Home says that the upstream is the chat's first choice.
	Home bool
	// Chain is the request's links and Root the position of its root.
	Chain []chat.Link
	Root  int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// Seen is the load of other upstreams that the asker heard in this walk.
	Seen float64
}

// Verdict is what an owner answers.
type Verdict uint8

// Verdicts of an Answer.
const (
	// Admitted: counted, and may be sent to the upstream.
	Admitted Verdict = iota + 1
	// Forward: the chat's home is here but it last ran at Answer.Forward.
	Forward
	// Unknown: a returning chat that this owner has no knowledge of, because
	// its tenure is young.
	Unknown
	// Cold: a probe found nothing of the chat.
	Cold
	// NoRoom: the upstream has no room within the bound of this stage.
	NoRoom
	// Queued: wait in this owner's queue.
	Queued
	// Refused: see the reason.
	Refused
)

// Answer answers an Ask.
type Answer struct {
	Verdict Verdict
	// Reason is the load bound's reason, where it decided.
	Reason loadbound.Reason
	// Forward is the short identifier of the upstream to probe.
	Forward uint32
	// SavedShare is the expected share of the prompt cached here.
	SavedShare float64
	// Ratio is the load over mean with the request.
	Ratio float64
	// Hit is what is cached here; it goes back with Owner.Finished, as does
	// Ticket.
	Hit    Hit
	Ticket loadbound.Ticket
}

// Silent is the answer to note for an owner that did not answer in time.
var Silent = Answer{Verdict: Refused, Reason: loadbound.NotOwner}

// youngFor is how long after a tenure starts a chat that the owner does not
// know may be cached elsewhere. Most chats return within minutes and some
// after hours; what has not returned after two hours is mostly evicted.
const youngFor = 2 * time.Hour

// holding is what an owner knows of one upstream's cache.
type holding struct {
	index       *Index
	incarnation uint64
	since       time.Duration
	// recent are the last admissions that counted on a cached prefix.
	recent     [recentHits]recentHit
	recentNext int
}

// recentHits is how many admissions an owner remembers for late events: more
// than an engine starts within eventLag.
const recentHits = 64

// eventLag is the longest delay of cache events that is corrected for.
const eventLag = 2 * time.Second

// recentHit is one admission that counted on a cached prefix.
type recentHit struct {
	hash   chat.ChainHash
	at     time.Duration
	ticket loadbound.Ticket
	// cold is the cost without the prefix.
	cold float64
}

// Owner answers asks for the upstreams that one router owns. It is not safe
// for concurrent use.
type Owner struct {
	ledger   *loadbound.Ledger
	policy   Policy
	holdings map[protocol.UpstreamID]*holding
	pointers *Pointers
}

// NewOwner returns an owner that admits through the ledger and keeps about
// the given number of pointers. It panics when policy.Check fails.
func NewOwner(ledger *loadbound.Ledger, policy Policy, pointerEntries int) *Owner {
	if err := policy.Check(); err != nil {
		panic("placement: policy must be checked before use: " + err.Error())
	}
	return &Owner{
		ledger:   ledger,
		policy:   policy,
		holdings: make(map[protocol.UpstreamID]*holding),
		pointers: NewPointers(pointerEntries),
	}
}

// Hold starts keeping an index of about the given chats for an upstream. The
// same incarnation keeps its index, so an upstream that flaps without a
// restart stays warm; a new one starts with an empty cache.
func (o *Owner) Hold(now time.Duration, id protocol.UpstreamID, incarnation uint64, entries int) {
	held, ok := o.holdings[id]
	if ok && held.incarnation == incarnation {
		return
	}
	o.holdings[id] = &holding{index: NewIndex(entries), incarnation: incarnation, since: now}
}

// Drop forgets an upstream whose tenure ended.
func (o *Owner) Drop(id protocol.UpstreamID) {
	delete(o.holdings, id)
}

// SetPolicy changes the settings, which must be the same on all routers.
func (o *Owner) SetPolicy(policy Policy) {
	o.policy = policy
}

// Ask answers one question. An admitted request is counted at once.
func (o *Owner) Ask(now time.Duration, ask Ask) Answer {
	held, ok := o.holdings[ask.Upstream]
	if !ok {
		return Answer{Verdict: Refused, Reason: loadbound.NotOwner}
	}
	if len(ask.Chain) == 0 || ask.Root < 0 || ask.Root >= len(ask.Chain) {
		return Answer{Verdict: Refused, Reason: loadbound.BadCost}
	}
	hit := held.index.Lookup(now, ask.Chain, ask.Root)
	if answer, elsewhere := o.elsewhere(now, ask, held, hit); elsewhere {
		return answer
	}
	return o.admit(now, ask, held, hit)
}

// Weigh answers an ask for an upstream where other requests wait already, so
// that this one can't start now: where the chat is better looked for, or how
// busy the upstream is with all that waits, in tokens, and what its cache
// would save. It counts nothing.
func (o *Owner) Weigh(now time.Duration, ask Ask, waiting float64) Answer {
	held, ok := o.holdings[ask.Upstream]
	if !ok || len(ask.Chain) == 0 || ask.Root < 0 || ask.Root >= len(ask.Chain) {
		return Answer{Verdict: Refused, Reason: loadbound.NotOwner}
	}
	hit := held.index.Lookup(now, ask.Chain, ask.Root)
	if answer, elsewhere := o.elsewhere(now, ask, held, hit); elsewhere {
		return answer
	}
	prompt := ask.Chain[len(ask.Chain)-1].Tokens
	saved := hit.Expected()
	judged := o.ledger.Evaluate(now, ask.Upstream, loadbound.Request{
		Cost:       waiting + o.policy.Cost(prompt, saved, ask.OutputTokens),
		OthersLoad: ask.Seen,
	})
	return Answer{
		Verdict:    NoRoom,
		Reason:     loadbound.QueueAhead,
		SavedShare: saved / float64(max(1, prompt)),
		Ratio:      judged.Ratio,
	}
}

// elsewhere answers an ask of a chat that is better looked for elsewhere.
//
// Load: chats whose home changed, or that ran elsewhere when their home was
// busy. Harm: the home has room now, takes them, and prefills what another
// engine holds. A pointer, or the next choices while this owner is young,
// lead to it for one or two round trips between routers, which cost less
// than a prefill.
func (o *Owner) elsewhere(now time.Duration, ask Ask, held *holding, hit Hit) (Answer, bool) {
	if ask.Stage != AtHome && ask.Stage != Probe {
		return Answer{}, false
	}
	known := hit.Link >= ask.Root
	root := ask.Chain[ask.Root].Hash
	if ask.Stage == AtHome || !known {
		if short, ok := o.pointers.Get(now, root); ok && short != ShortID(ask.Upstream) {
			o.pointers.Put(now, root, short)
			return Answer{Verdict: Forward, Forward: short}, true
		}
	}
	if known {
		return Answer{}, false
	}
	if ask.Stage == Probe {
		return Answer{Verdict: Cold}, true
	}
	returning := len(ask.Chain) > ask.Root+1
	if returning && now-held.since < youngFor {
		return Answer{Verdict: Unknown}, true
	}
	return Answer{}, false
}

// admit puts the ask to the load bound.
func (o *Owner) admit(now time.Duration, ask Ask, held *holding, hit Hit) Answer {
	prompt := ask.Chain[len(ask.Chain)-1].Tokens
	saved := hit.Expected()
	decision := o.ledger.Admit(now, ask.Upstream, loadbound.Request{
		Cost:       o.policy.Cost(prompt, saved, ask.OutputTokens),
		Multiple:   o.policy.SoftMultiple(saved),
		OthersLoad: ask.Seen,
		LastChoice: ask.Stage == Final,
	})
	answer := Answer{
		Verdict:    verdictOf(decision.Outcome),
		Reason:     decision.Reason,
		SavedShare: saved / float64(max(1, prompt)),
		Ratio:      decision.Ratio,
		Hit:        hit,
		Ticket:     decision.Ticket,
	}
	if answer.Verdict != Admitted {
		return answer
	}
	if hit.Link >= ask.Root {
		cold := o.policy.Cost(prompt, 0, ask.OutputTokens)
		held.remember(recentHit{hash: ask.Chain[hit.Link].Hash, at: now, ticket: answer.Ticket, cold: cold})
	}
	held.index.Placed(now, ask.Chain, ask.Root, hit)
	if ask.Home {
		o.pointers.Remove(ask.Chain[ask.Root].Hash)
	}
	return answer
}

// verdictOf translates the load bound's outcome.
func verdictOf(outcome loadbound.Outcome) Verdict {
	switch outcome {
	case loadbound.Admit:
		return Admitted
	case loadbound.Spill:
		return NoRoom
	case loadbound.Queue:
		return Queued
	}
	return Refused
}

// Moved notes at the home's owner that a chat ran on another upstream.
func (o *Owner) Moved(now time.Duration, root chat.ChainHash, ran protocol.UpstreamID) {
	o.pointers.Put(now, root, ShortID(ran))
}

// Finished takes an admitted request off the count. Cached is the number of
// prompt tokens that the answer reports as served from cache, or negative
// when it reports none.
func (o *Owner) Finished(now time.Duration, ticket loadbound.Ticket, hit Hit, cached int) {
	o.ledger.Finish(now, ticket)
	held, ok := o.holdings[ticket.Upstream]
	if !ok {
		return
	}
	held.forget(ticket)
	if cached >= 0 {
		held.index.Observed(now, hit, cached)
	}
}

// CacheEvents feeds an upstream's numbered cache events.
func (o *Owner) CacheEvents(now time.Duration, id protocol.UpstreamID, first uint64, events []Event) BatchResult {
	held, ok := o.holdings[id]
	if !ok {
		return BatchStale
	}
	for _, event := range events {
		if event.Op == Evicted {
			o.evictedUnseen(now, held, event.Hash)
		}
	}
	return held.index.Apply(now, first, events)
}

// remember keeps an admission in place of the oldest.
func (h *holding) remember(hit recentHit) {
	h.recent[h.recentNext] = hit
	h.recentNext = (h.recentNext + 1) % recentHits
}

// forget drops a finished admission: correcting it would count work that has
// ended for ever.
func (h *holding) forget(ticket loadbound.Ticket) {
	for i := range h.recent {
		if h.recent[i].ticket.ID == ticket.ID {
			h.recent[i] = recentHit{}
		}
	}
}

// evictedUnseen corrects the cost of an admission that counted on a prefix
// whose eviction was still on its way. The engine evicted it before the
// request came, or the request would have kept it.
func (o *Owner) evictedUnseen(now time.Duration, held *holding, hash chat.ChainHash) {
	for i := range held.recent {
		hit := &held.recent[i]
		if hit.hash == hash && hit.ticket.Cost > 0 && now-hit.at <= eventLag {
			o.ledger.Correct(hit.ticket, hit.cold)
			hit.ticket.Cost = 0
		}
	}
}

// State returns the memory of indexes and pointers in bytes and the entries
// they hold.
func (o *Owner) State() (bytes, entries int) {
	for _, held := range o.holdings {
		bytes += held.index.Bytes()
		entries += held.index.Len()
	}
	bytes += o.pointers.Bytes()
	entries += o.pointers.Len()
	return bytes, entries
}
