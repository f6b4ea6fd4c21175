package placement

import (
	"github.com/rotisserie/eris"

	"endiveplank/coordination/loadbound"
)

// Presets of ReuseWeight.
const (
	// SkewFirst suits callers for whom one late answer is the harm.
	SkewFirst = 0.35
	// ReuseFirst suits callers who return to long chats again and again. At
	// 0.75 the bench keeps all of its aims: at 1 it saves another 0.6% of the
	// prompt tokens, and five admissions in 100,000 end above the bound.
	ReuseFirst = 0.75
)

// Defaults of Policy.
const (
	// DefaultColdShare is the part of the soft bound's room that a request
	// gets with nothing cached: a little, so that most new chats stay at
	// home and need no pointer.
	DefaultColdShare = 0.3
	// DefaultPrefillSpeedup says an engine prefills ten prompt tokens in the
	// time of one generated token of a full batch.
	DefaultPrefillSpeedup = 10
	// DefaultHalfGain is the saved prompt tokens that are worth half of the
	// soft bound's room: about a prompt of five turns.
	DefaultHalfGain = 1500
)

// Policy is the settings of placement. All routers must hold the same.
type Policy struct {
	// ReuseWeight is the knob between skew (0) and reuse (1).
	ReuseWeight float64
	// Multiple is the hard bound of load over mean.
	Multiple float64
	// ColdShare is the share of the room above the mean that a request with
	// nothing cached may use, 0 to 1.
	ColdShare float64
	// PrefillSpeedup is how many prompt tokens weigh as one generated.
	PrefillSpeedup float64
	// HalfGain is the saved prompt tokens that are worth half of the room.
	HalfGain float64
}

// DefaultPolicy returns the settings for a knob.
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

// Check returns an error with cause ErrBadPolicy when the settings cannot
// work.
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

// SoftMultiple is the load over mean that a request accepts on an engine
// that saves it the given prompt tokens.
//
// Load: chats return to engines that are busier than others. Harm: sending
// all of them away prefills everything twice; sending none away keeps the
// busy engine at its bound. What the request saves decides, in tokens: the
// share of its prompt would give a short chat the same room as a long one.
func (p Policy) SoftMultiple(saved float64) float64 {
	gain := saved / (saved + p.HalfGain)
	room := p.ColdShare + (1-p.ColdShare)*gain
	return 1 + (p.Multiple-1)*p.ReuseWeight*room
}

// Cost is a request's work in generated tokens.
func (p Policy) Cost(promptTokens int, saved float64, outputTokens int) float64 {
	prefill := max(0, float64(promptTokens)-saved) / p.PrefillSpeedup
	return prefill + float64(max(1, outputTokens))
}

// overBoundPenalty ranks upstreams above the hard bound, where a final ask
// may have to queue, behind all that are only above their soft bound.
const overBoundPenalty = 10

// queuePatience is how much longer a queue may be, as a share, for a request
// whose whole prompt is cached there, at a reuse weight of one.
//
// Load: every engine is at its bound and has a queue. Harm: requests that go
// to the shortest queue find their chat nowhere, prefill everything anew, and
// the fleet does less work just when there is too much. A queue that is half as
// long again costs the caller less than the fleet's lost prefill.
const queuePatience = 0.5

// value ranks upstreams that were asked and had no room within their soft
// bound: the higher, the better.
func (p Policy) value(answer Answer, prompt int) float64 {
	if answer.Reason == loadbound.OverSoftBound {
		return p.SoftMultiple(answer.SavedShare*float64(prompt)) - answer.Ratio
	}
	if answer.Reason != loadbound.QueueAhead {
		return -overBoundPenalty - answer.Ratio
	}
	patience := queuePatience * p.ReuseWeight * answer.SavedShare
	return -overBoundPenalty - answer.Ratio*(1-patience)
}
