package balance

import (
	"math/rand/v2"
	"time"

	"endiveplank/protocol"
)

// Request is what is known of a request when its upstream is chosen.
type Request struct {
	Service protocol.Service
	// Prompt is the key of the prompt's prefix, if HasPrompt is set.
	Prompt    uint64
	HasPrompt bool
	// SharedPrefixes are the keys of the shorter prefixes that the prompt has in common
	// with other prompts, the longest first.
	SharedPrefixes []uint64
	// PrefixTokens is the length of the prompt's prefix in tokens, 0 if it isn't declared.
	PrefixTokens int
	// Errored are the upstreams that answered an earlier attempt with an error, the latest
	// last. They may have prefilled the prompt.
	Errored []protocol.UpstreamID
	// NoRetry says that the request is lost if the upstream fails: it must not be
	// repeated, or its attempts are used up.
	NoRetry bool
	// LoadLimit is the load from which on an upstream doesn't get the request; 0 means no
	// limit. Requests that were sent before have no limit: the work already done for them
	// would be lost.
	LoadLimit int
	// OnlyBuild restricts the request to upstreams of the software version Build, which began
	// its stream.
	OnlyBuild bool
	Build     string
	// Doubted are builds that the request avoids while there are others.
	Doubted []string
	// Tried are upstreams that this request was already sent to.
	Tried []protocol.UpstreamID
	// Admits reports whether an upstream takes the request; nil means that all do.
	Admits func(protocol.UpstreamID) bool
	// Throttled reports whether an upstream takes no request at the moment, because it would
	// have to refuse it; nil means that all take it.
	Throttled func(protocol.UpstreamID) bool
	// IsCold reports whether an upstream is cold; nil means that none is.
	IsCold func(protocol.UpstreamID) bool
	// Slowness returns how many times as long as usual work takes on an upstream, 1 if that isn't
	// known; nil means that it isn't known of any. It is used only with Settings.BySpeed.
	Slowness func(protocol.UpstreamID) float64
	// AllowTried says that, where no other is left, the request may go again to an
	// upstream that it was sent to, as the last one answered with an error.
	AllowTried bool
}

// Reason says why an upstream was chosen, for the log.
type Reason string

// The reasons.
const (
	// ReasonCacheHolder: it has the prompt's prefix cached.
	ReasonCacheHolder Reason = "keeper"
	// ReasonRendezvous: no cache holder is within the load bound, and it is the first
	// within the bound by rendezvous hashing of the prompt.
	ReasonRendezvous Reason = "prompt-order"
	// ReasonReplica: too few engines have the prompt's prefix cached, and it copies the prefix
	// from one of them.
	ReasonReplica Reason = "replica"
	// ReasonLeastLoaded: it has a low load, compared with the others.
	ReasonLeastLoaded Reason = "least-loaded"
	// ReasonLastResort: all upstreams that are left are unavailable or were tried before.
	ReasonLastResort Reason = "last-resort"
	// ReasonNoCapacity: too few upstreams have a load below the request's limit.
	ReasonNoCapacity Reason = "no-room"
	// ReasonEvacuated: all upstreams are in data centres that are evacuated.
	ReasonEvacuated Reason = "evacuated"
	// ReasonCold: the upstreams that are left are cold and take no more requests now.
	ReasonCold Reason = "cold"
	// ReasonPaused: the upstreams that are left want no requests from this router yet.
	ReasonPaused Reason = "paused"
	// ReasonOtherBuild: no upstream has the version of the software that began the stream.
	ReasonOtherBuild Reason = "other-build"
	// ReasonNoUpstream: there is no upstream.
	ReasonNoUpstream Reason = "no-upstream"
)

// Choice is the upstream chosen for a request.
type Choice struct {
	ID      protocol.UpstreamID
	Address string
	// StartedAt is the upstream's incarnation, as in its roster entry.
	StartedAt int64
	// Build is the version of the upstream's software, as in its roster entry.
	Build  string
	Reason Reason
	// First says that it is for the first attempt of a request, which counts as of Rank.
	First bool
	Rank  int
	// NeedsProxy says that this router has no path to it, so that another router has to send
	// the request: Proxy at ProxyAddress, "" if there is none.
	NeedsProxy   bool
	Proxy        protocol.RouterID
	ProxyAddress string
	// CopyFrom is the address of an engine that has the prompt's prefix cached, "" if the
	// chosen one has it or no cache holder is known.
	CopyFrom string
	// Load is the chosen upstream's load, and Mean the mean load of its service.
	Load int
	Mean float64
	// Limit is the request's load limit, set if the reason is ReasonNoCapacity.
	Limit int
	// RateLimited says by which figures the request was refused before an upstream was looked
	// for, with ReasonNoCapacity; nil if it wasn't.
	RateLimited *RateRefusal
	// Excluded is the number of upstreams that weren't considered because they lose
	// requests.
	Excluded int
	// Evacuated and Cold are the numbers of upstreams that weren't considered because
	// their data centre is evacuated, or because they are cold and took enough.
	Evacuated, Cold int
	// Paused is the number of upstreams that weren't considered because they want no
	// requests from this router now, and PausedFor, set if the reason is ReasonPaused, how
	// long it takes until the first of them takes requests again.
	Paused    int
	PausedFor time.Duration
}

// RateRefusal is why a request was refused for the rate limit of its service. Rates are in
// requests a second over all routers.
type RateRefusal struct {
	// Rank is the request's urgency, 0 first.
	Rank int
	// Limit is the service's rate limit, Demand the arrivals of the request's rank and customer,
	// and Share how many of these are admitted.
	Limit, Demand, Share float64
	// Wait is how long the request is expected to wait for a slot.
	Wait time.Duration
	// Cause says which of the figures decided.
	Cause RateCause
}

// RateCause is why a request was refused for a rate limit, for the log.
type RateCause string

// The causes.
const (
	// CauseShare: more requests of its rank and customer arrive than are admitted.
	CauseShare RateCause = "over-share"
	// CauseOutlier: the same, and its customer's demand is why the service is short. Nothing is
	// reserved for it, as that would take the capacity from other customers.
	CauseOutlier RateCause = "outlier"
	// CauseWait: it would wait longer than its caller does.
	CauseWait RateCause = "too-late"
	// CauseEarly: it came before the time that a refusal had given it.
	CauseEarly RateCause = "early"
)

// Pick chooses the upstream of a request.
//
// Prompts have prefixes that take a tenth to half a second to prefill if they aren't
// cached, and some are requested several times a second; plain requests take
// milliseconds. Pick avoids that many engines prefill the same prompt, and that one
// engine has a multiple of the others' load because its prompts are in demand. A prompt
// therefore goes to an engine that has its prefix cached while that engine's load is
// within a bound. An engine that doesn't have the prefix copies it from one that does,
// which takes a tenth of the time of a prefill. Upstreams that lose answers are excluded
// as far as the others have spare capacity; see reliable.
func (b *Balancer) Pick(now time.Duration, random *rand.Rand, r Request) Choice {
	found := b.usable(now, r)
	choice := b.pickFrom(random, &found)
	choice.Evacuated, choice.Cold, choice.Paused = found.evacuated, found.cold, found.pool.paused
	if u := b.upstreams[choice.ID]; u != nil {
		choice.NeedsProxy = b.needsProxy(u)
	}
	if choice.Reason == ReasonPaused {
		choice.PausedFor = b.nextPauseEnd(now, found.pool)
	}
	return choice
}

// pickFrom chooses among the candidates.
func (b *Balancer) pickFrom(random *rand.Rand, found *candidates) Choice {
	if !found.any() {
		return Choice{Reason: found.noneReason()}
	}
	mean := b.mean(found.request.Service)
	if limit := found.request.LoadLimit; !found.limitLoad(limit) {
		return Choice{Reason: ReasonNoCapacity, Limit: limit, Mean: mean}
	}
	if limit := b.sharedLimit(found); len(found.request.Tried) == 0 && !found.limitToShare(limit) {
		return Choice{Reason: ReasonNoCapacity, Limit: limit, Mean: mean}
	}
	if b.exceedsBound(mean, found) {
		return Choice{Reason: ReasonNoCapacity, Limit: int(b.loadBound(mean)), Mean: mean}
	}
	bound := b.boundFor(mean, found)
	excluded := b.excludeUnreliable(found, bound)
	var choice Choice
	switch {
	case found.request.HasPrompt:
		choice = b.pickForPrompt(random, found, mean, bound)
	case found.class != available:
		choice = newChoice(b.leastLoaded(random, found), ReasonLastResort, mean)
	default:
		choice = newChoice(b.leastLoaded(random, found), ReasonLeastLoaded, mean)
	}
	choice.Excluded = excluded
	return choice
}

func newChoice(u *upstream, reason Reason, mean float64) Choice {
	return Choice{ID: u.entry.ID, Address: u.entry.Address, StartedAt: u.entry.StartedAt, Build: u.entry.Build, Reason: reason, Load: u.load(), Mean: mean}
}
