package placement

import (
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/protocol"
	"endiveplank/protocol/chat"
)

// Stage is the part of a walk that a Query belongs to. It decides which
// answers the owner may give.
type Stage uint8

// Stages of a Query.
const (
	// StageFirstChoice asks the owner of the chat's first choice to admit the
	// request, or to say where the chat ran last.
	StageFirstChoice Stage = iota + 1
	// StageProbe asks about an upstream that may hold the chat in its cache.
	// The owner admits the request only if it does.
	StageProbe
	// StageInOrder asks the upstreams in rendezvous order for capacity within
	// the soft bound.
	StageInOrder
	// StageFinal asks the best of the upstreams that had no capacity. The
	// owner admits or queues the request.
	StageFinal
)

// Query asks the owner of an upstream to admit a request. The entry router
// sends it.
type Query struct {
	Upstream protocol.UpstreamID
	Stage    Stage
	// FirstChoice says that the upstream is the chat's first choice.
	FirstChoice bool
	// Chain holds one link for each message of the request. RootIndex is the
	// position of its root, see the function RootIndex.
	Chain     []chat.Link
	RootIndex int
	// OutputTokens is the expected length of the answer.
	OutputTokens int
	// OthersLoad is the load of other upstreams that the entry router received
	// in answers during this walk, in tokens.
	OthersLoad float64
}

// Verdict is an owner's decision on a Query.
type Verdict uint8

// Verdicts of an Answer.
const (
	// Admitted: the owner counts the request, which may be sent to the
	// upstream.
	Admitted Verdict = iota + 1
	// Forward: this upstream is, or was, the chat's first choice, but the chat
	// last ran on the upstream Answer.Forward.
	Forward
	// Unknown: the chat returns, and this owner has not owned the upstream for
	// long enough to know whether the chat is cached elsewhere.
	Unknown
	// NotCached: a probe found no prefix of the chat in the cache.
	NotCached
	// NoCapacity: the upstream has no capacity within the bound of this stage.
	NoCapacity
	// Queued: the request must wait in this owner's queue.
	Queued
	// Refused: Answer.Reason says why.
	Refused
)

// Answer is an owner's reply to a Query.
type Answer struct {
	Verdict Verdict
	// Reason is the reason of the load bound, if the load bound decided.
	Reason loadbound.Reason
	// Forward is the short identifier of the upstream to probe.
	Forward uint32
	// SavedShare is the expected share of the prompt cached here.
	SavedShare float64
	// Ratio is the upstream's load, with the request, over the fleet's mean.
	Ratio float64
	// Hit is the prefix cached here. Hit and Ticket are passed back to
	// Owner.Finish.
	Hit    Hit
	Ticket loadbound.Ticket
}

// NoAnswer is passed to Walk.HandleAnswer for an owner that did not answer in
// time.
var NoAnswer = Answer{Verdict: Refused, Reason: loadbound.NotOwner}

// incompleteFor is how long a router that has become an upstream's owner assumes
// that a returning chat it does not know may be cached elsewhere. Most chats
// return within minutes and some after hours. After two hours, the cache of a
// chat that has not returned is mostly evicted.
const incompleteFor = 2 * time.Hour

// cacheState is what an owner knows of one upstream's cache.
type cacheState struct {
	index       *Index
	incarnation uint64
	ownedSince  time.Duration
	// recentHits is a ring buffer of the last admissions that relied on a
	// cached prefix.
	recentHits [maxRecentHits]recentHit
	nextRecent int
}

// maxRecentHits is how many admissions an owner stores, so that it can correct
// their cost when an eviction is reported late. It is more than an engine
// starts within maxEventDelay.
const maxRecentHits = 64

// maxEventDelay is the longest delay of a cache event for which an owner
// corrects the costs of admissions.
const maxEventDelay = 2 * time.Second

// recentHit is an admission that relied on a cached prefix.
type recentHit struct {
	hash   chat.ChainHash
	at     time.Duration
	ticket loadbound.Ticket
	// coldCost is the cost of the request if nothing is cached.
	coldCost float64
}

// Owner answers queries about the upstreams that one router owns. It is not
// safe for concurrent use.
type Owner struct {
	ledger   *loadbound.Ledger
	policy   Policy
	caches   map[protocol.UpstreamID]*cacheState
	pointers *ForwardingPointers
}

// NewOwner returns an owner that admits requests through the ledger and keeps
// about the given number of forwarding pointers. It panics when policy.Check
// fails.
func NewOwner(ledger *loadbound.Ledger, policy Policy, pointerEntries int) *Owner {
	if err := policy.Check(); err != nil {
		panic("placement: policy must be checked before use: " + err.Error())
	}
	return &Owner{
		ledger:   ledger,
		policy:   policy,
		caches:   make(map[protocol.UpstreamID]*cacheState),
		pointers: NewForwardingPointers(pointerEntries),
	}
}

// AddUpstream starts an index of about the given number of chats for an
// upstream. An upstream that is added again with the same incarnation keeps
// its index, so that one that leaves and returns without a restart keeps its
// cached chats. A new incarnation starts with an empty cache.
func (o *Owner) AddUpstream(now time.Duration, id protocol.UpstreamID, incarnation uint64, entries int) {
	held, ok := o.caches[id]
	if ok && held.incarnation == incarnation {
		return
	}
	o.caches[id] = &cacheState{index: NewIndex(entries), incarnation: incarnation, ownedSince: now}
}

// RemoveUpstream drops the index of an upstream that this router no longer
// owns.
func (o *Owner) RemoveUpstream(id protocol.UpstreamID) {
	delete(o.caches, id)
}

// SetPolicy changes the settings. They must be the same on all routers.
func (o *Owner) SetPolicy(policy Policy) {
	o.policy = policy
}

// HandleQuery decides on a query. It counts an admitted request at once.
func (o *Owner) HandleQuery(now time.Duration, query Query) Answer {
	held, ok := o.caches[query.Upstream]
	if !ok {
		return Answer{Verdict: Refused, Reason: loadbound.NotOwner}
	}
	if len(query.Chain) == 0 || query.RootIndex < 0 || query.RootIndex >= len(query.Chain) {
		return Answer{Verdict: Refused, Reason: loadbound.BadCost}
	}
	hit := held.index.Lookup(now, query.Chain, query.RootIndex)
	if answer, elsewhere := o.redirect(now, query, held, hit); elsewhere {
		return answer
	}
	return o.admit(now, query, held, hit)
}

// EstimateBehindQueue answers a query about an upstream with a queue, where
// this request can't start now. The answer either redirects the entry router
// to where the chat may be cached, or gives the load over mean, including the
// work that waits in the queue (waiting, in tokens), and what the cache would
// save. It does not count the request.
func (o *Owner) EstimateBehindQueue(now time.Duration, query Query, waiting float64) Answer {
	held, ok := o.caches[query.Upstream]
	if !ok || len(query.Chain) == 0 || query.RootIndex < 0 || query.RootIndex >= len(query.Chain) {
		return Answer{Verdict: Refused, Reason: loadbound.NotOwner}
	}
	hit := held.index.Lookup(now, query.Chain, query.RootIndex)
	if answer, elsewhere := o.redirect(now, query, held, hit); elsewhere {
		return answer
	}
	prompt := query.Chain[len(query.Chain)-1].Tokens
	saved := hit.Expected()
	decision := o.ledger.Evaluate(now, query.Upstream, loadbound.Request{
		Cost:       waiting + o.policy.Cost(prompt, saved, query.OutputTokens),
		OthersLoad: query.OthersLoad,
	})
	return Answer{
		Verdict:    NoCapacity,
		Reason:     loadbound.QueueAhead,
		SavedShare: saved / float64(max(1, prompt)),
		Ratio:      decision.Ratio,
	}
}

// redirect answers a query for a chat that may be cached on another upstream.
//
// Load: chats whose first choice changed, or that ran elsewhere because their
// first choice was busy. Harm: the first choice has capacity now, takes them,
// and prefills prompts that another engine has in its cache. A forwarding
// pointer leads to that engine. While this owner is new, the next choices do.
// This takes one or two round trips between routers, which cost less than a
// prefill.
func (o *Owner) redirect(now time.Duration, query Query, held *cacheState, hit Hit) (Answer, bool) {
	if query.Stage != StageFirstChoice && query.Stage != StageProbe {
		return Answer{}, false
	}
	known := hit.Link >= query.RootIndex
	root := query.Chain[query.RootIndex].Hash
	if query.Stage == StageFirstChoice || !known {
		if short, ok := o.pointers.Get(now, root); ok && short != ShortID(query.Upstream) {
			o.pointers.Put(now, root, short)
			return Answer{Verdict: Forward, Forward: short}, true
		}
	}
	if known {
		return Answer{}, false
	}
	if query.Stage == StageProbe {
		return Answer{Verdict: NotCached}, true
	}
	returning := len(query.Chain) > query.RootIndex+1
	if returning && now-held.ownedSince < incompleteFor {
		return Answer{Verdict: Unknown}, true
	}
	return Answer{}, false
}

// admit passes the query to the load bound.
func (o *Owner) admit(now time.Duration, query Query, held *cacheState, hit Hit) Answer {
	prompt := query.Chain[len(query.Chain)-1].Tokens
	saved := hit.Expected()
	decision := o.ledger.Admit(now, query.Upstream, loadbound.Request{
		Cost:       o.policy.Cost(prompt, saved, query.OutputTokens),
		Multiple:   o.policy.SoftMultiple(saved),
		OthersLoad: query.OthersLoad,
		Final:      query.Stage == StageFinal,
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
	if hit.Link >= query.RootIndex {
		cold := o.policy.Cost(prompt, 0, query.OutputTokens)
		held.addRecentHit(recentHit{hash: query.Chain[hit.Link].Hash, at: now, ticket: answer.Ticket, coldCost: cold})
	}
	held.index.RecordPlaced(now, query.Chain, query.RootIndex, hit)
	if query.FirstChoice {
		o.pointers.Remove(query.Chain[query.RootIndex].Hash)
	}
	return answer
}

// verdictOf converts an outcome of the load bound.
func verdictOf(outcome loadbound.Outcome) Verdict {
	switch outcome {
	case loadbound.Admit:
		return Admitted
	case loadbound.Spill:
		return NoCapacity
	case loadbound.Queue:
		return Queued
	}
	return Refused
}

// RecordMove stores, at the owner of the chat's first choice, that the chat
// ran on another upstream.
func (o *Owner) RecordMove(now time.Duration, root chat.ChainHash, ran protocol.UpstreamID) {
	o.pointers.Put(now, root, ShortID(ran))
}

// Finish removes a request from the load when it has ended. cached is the
// number of prompt tokens that the answer reports as served from cache, or
// negative when it reports none.
func (o *Owner) Finish(now time.Duration, ticket loadbound.Ticket, hit Hit, cached int) {
	o.ledger.Finish(now, ticket)
	held, ok := o.caches[ticket.Upstream]
	if !ok {
		return
	}
	held.removeRecentHit(ticket)
	if cached >= 0 {
		held.index.RecordCachedTokens(now, hit, cached)
	}
}

// HandleCacheEvents applies an upstream's cache events, which are numbered
// from first.
func (o *Owner) HandleCacheEvents(now time.Duration, id protocol.UpstreamID, first uint64, events []Event) BatchResult {
	held, ok := o.caches[id]
	if !ok {
		return BatchStale
	}
	for _, event := range events {
		if event.Op == Evicted {
			o.correctLateEviction(now, held, event.Hash)
		}
	}
	return held.index.ApplyEvents(now, first, events)
}

// addRecentHit stores an admission in the place of the oldest one.
func (h *cacheState) addRecentHit(hit recentHit) {
	h.recentHits[h.nextRecent] = hit
	h.nextRecent = (h.nextRecent + 1) % maxRecentHits
}

// removeRecentHit removes an admission that has ended. If its cost were
// corrected afterwards, the ledger would count that work for ever.
func (h *cacheState) removeRecentHit(ticket loadbound.Ticket) {
	for i := range h.recentHits {
		if h.recentHits[i].ticket.ID == ticket.ID {
			h.recentHits[i] = recentHit{}
		}
	}
}

// correctLateEviction raises the cost of an admission that relied on a prefix
// whose eviction had not been reported yet. The engine must have evicted it
// before the request arrived, since the request would have kept it in the
// cache.
func (o *Owner) correctLateEviction(now time.Duration, held *cacheState, hash chat.ChainHash) {
	for i := range held.recentHits {
		hit := &held.recentHits[i]
		if hit.hash == hash && hit.ticket.Cost > 0 && now-hit.at <= maxEventDelay {
			o.ledger.Correct(hit.ticket, hit.coldCost)
			hit.ticket.Cost = 0
		}
	}
}

// MemoryUse returns the memory of all indexes and forwarding pointers in
// bytes, and the number of entries in them.
func (o *Owner) MemoryUse() (bytes, entries int) {
	for _, held := range o.caches {
		bytes += held.index.Bytes()
		entries += held.index.Len()
	}
	bytes += o.pointers.Bytes()
	entries += o.pointers.Len()
	return bytes, entries
}
