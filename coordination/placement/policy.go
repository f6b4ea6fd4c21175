package placement

import (
	"github.com/rotisserie/eris"

	"endiveplank/coordination/loadbound"
)

// Presets of ReuseWeight.
const (
	// SkewFirst suits callers that one late answer harms more than lost reuse.
	SkewFirst = 0.35
	// ReuseFirst suits callers that return to long chats again and again. In
	// the benchmarks of package tracebench, a weight of 1 saves another 0.7%
	// of the prompt tokens, but some admissions exceed the bound because
	// prompts that were considered cached had been evicted.
	ReuseFirst = 0.75
)

// Defaults of Policy.
const (
	// DefaultColdShare is low, but above 0 so that most new chats stay on
	// their first choice and need no forwarding pointer.
	DefaultColdShare = 0.3
	// DefaultPrefillSpeedup: an engine prefills ten prompt tokens in the time
	// in which it generates one token in a full batch.
	DefaultPrefillSpeedup = 10
	// DefaultHalfGain is about the length of a prompt after five turns.
	DefaultHalfGain = 1500
)

// Policy holds the settings of placement. They must be the same on all
// routers.
type Policy struct {
	// ReuseWeight is the trade-off between low skew (0) and high reuse (1).
	ReuseWeight float64
	// Multiple is the hard bound of an engine's load over the fleet's mean.
	Multiple float64
	// ColdShare is the share of the headroom that a request with nothing
	// cached may use, from 0 to 1. The headroom is the part of the load above
	// the mean that the bound allows, (Multiple-1) x ReuseWeight.
	ColdShare float64
	// PrefillSpeedup is how many prompt tokens cost as much as one generated
	// token.
	PrefillSpeedup float64
	// HalfGain is the number of cached prompt tokens with which a request may
	// use half of the headroom above ColdShare, see SoftMultiple.
	HalfGain float64
}

// DefaultPolicy returns the default settings with the given reuse weight.
func DefaultPolicy(reuseWeight float64) Policy {
	return Policy{
		ReuseWeight:    reuseWeight,
		Multiple:       loadbound.DefaultMultiple,
		ColdShare:      DefaultColdShare,
		PrefillSpeedup: DefaultPrefillSpeedup,
		HalfGain:       DefaultHalfGain,
	}
}

// ErrBadPolicy is the cause of every error of Policy.Check.
var ErrBadPolicy = eris.New("placement: bad policy")

// Check returns an error with cause ErrBadPolicy when a setting is out of
// range.
func (p Policy) Check() error {
	if !(p.ReuseWeight >= 0 && p.ReuseWeight <= 1) {
		return eris.Wrapf(ErrBadPolicy, "reuse weight %v must be in [0, 1]", p.ReuseWeight)
	}
	if !(p.Multiple > 1) {
		return eris.Wrapf(ErrBadPolicy, "multiple %v must be above 1", p.Multiple)
	}
	if !(p.ColdShare >= 0 && p.ColdShare <= 1) {
		return eris.Wrapf(ErrBadPolicy, "cold share %v must be in [0, 1]", p.ColdShare)
	}
	if !(p.PrefillSpeedup > 0) {
		return eris.Wrapf(ErrBadPolicy, "prefill speedup %v must be above 0", p.PrefillSpeedup)
	}
	if !(p.HalfGain > 0) {
		return eris.Wrapf(ErrBadPolicy, "half gain %v must be above 0", p.HalfGain)
	}
	return nil
}

// SoftMultiple is the highest load over mean at which a request runs on an
// engine that has the given number of its prompt tokens cached.
//
// Load: chats return to engines that are busier than others. Harm: sending all
// of them away prefills everything twice, and sending none away keeps the busy
// engine at its bound. The number of tokens saved decides: the saved share of
// the prompt would give a short chat the same headroom as a long one.
func (p Policy) SoftMultiple(saved float64) float64 {
	gain := saved / (saved + p.HalfGain)
	share := p.ColdShare + (1-p.ColdShare)*gain
	return 1 + (p.Multiple-1)*p.ReuseWeight*share
}

// Cost is the work of a request, as a number of generated tokens.
func (p Policy) Cost(promptTokens int, saved float64, outputTokens int) float64 {
	prefill := max(0, float64(promptTokens)-saved) / p.PrefillSpeedup
	return prefill + float64(max(1, outputTokens))
}

// overBoundPenalty ranks upstreams above the hard bound, where a final query
// may queue the request, behind all those that are only above their soft
// bound.
const overBoundPenalty = 10

// queueTolerance limits how much longer a queue is acceptable for a request
// whose whole prompt is cached there: at a reuse weight of one, this share of
// the load over mean is ignored.
//
// Load: every engine is at its bound and has a queue. Harm: requests that go
// to the shortest queue find their chat in no cache and prefill everything
// again, so that the fleet does less work just when there is too much. A queue
// that is half as long again costs the caller less than the lost prefill costs
// the fleet.
const queueTolerance = 0.5

// score ranks upstreams that were asked and had no capacity within their soft
// bound. A higher score is better.
func (p Policy) score(answer Answer, prompt int) float64 {
	if answer.Reason == loadbound.OverSoftBound {
		return p.SoftMultiple(answer.SavedShare*float64(prompt)) - answer.Ratio
	}
	if answer.Reason != loadbound.QueueAhead {
		return -overBoundPenalty - answer.Ratio
	}
	tolerance := queueTolerance * p.ReuseWeight * answer.SavedShare
	return -overBoundPenalty - answer.Ratio*(1-tolerance)
}
