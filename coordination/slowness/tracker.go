package slowness

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

// Group identifies engines that can be compared: those of one model and role.
type Group string

// StepInterval is the interval at which Step must be called.
const StepInterval = time.Second

// Config holds the settings of a Tracker.
type Config struct {
	// An engine is slow above Tolerance times its group's median time per token,
	// and has recovered below Recovered times the median.
	Tolerance float64
	Recovered float64
	// SlowSteps and FastSteps are the numbers of consecutive steps after which an
	// engine counts as slow and as recovered.
	SlowSteps int
	FastSteps int
	// MinWeight is the lowest weight of a slow engine.
	MinWeight float64
	// MaxCut is the largest share of a group's capacity that all reductions of
	// weights together may take.
	MaxCut float64
	// RampPerStep is how much a weight rises in a step.
	RampPerStep float64
	// MaxHoldSteps is the largest number of steps for which a recovered engine's
	// weight is held before it rises.
	MaxHoldSteps int
	// MinPeers is the smallest number of engines with an estimate that give a
	// median.
	MinPeers int
	// Smoothing is the weight of the old estimate in the moving average of the time
	// per token.
	Smoothing float64
	// MinTokens is the smallest number of tokens that make a sample.
	MinTokens float64
}

// DefaultConfig returns the default settings.
//
// Engines of one group differ by a few tens of percent because of their batches; a
// tolerance of 1.5 is well above that. Three steps keep a single long prompt from
// counting. At a tenth of its work an engine still delivers several tokens a second.
// Reductions of 0.3 give the others 1/0.7 times their work, which load bounds of 1.25
// times the mean turn into queueing but not into collapse. The ramp takes 20 s for
// the whole range, which is longer than most requests run, so the engine's time per
// token at each weight is known before the next.
func DefaultConfig() Config {
	return Config{
		Tolerance:    1.5,
		Recovered:    1.2,
		SlowSteps:    3,
		FastSteps:    5,
		MinWeight:    0.1,
		MaxCut:       0.3,
		RampPerStep:  0.05,
		MaxHoldSteps: 300,
		MinPeers:     3,
		Smoothing:    0.7,
		MinTokens:    20,
	}
}

// engine holds the state of one upstream.
type engine struct {
	id    protocol.UpstreamID
	group Group
	// tokens and span are the tokens delivered and the streams' time since the last
	// sample.
	tokens float64
	span   time.Duration
	// timePerToken is the estimated time per token, zero before any sample.
	timePerToken float64
	ratio        float64
	slow         bool
	// streak counts the consecutive steps that contradict slow.
	streak int
	// timesSlow counts how often the engine became slow, which doubles the next
	// hold. riseSteps counts the steps in which its weight rose since it last became
	// slow.
	timesSlow int
	riseSteps int
	// holdSteps is how many steps the weight is still held after a recovery.
	holdSteps int
	weight    float64
}

// Change reports that an engine became slow or recovered.
type Change struct {
	Upstream protocol.UpstreamID
	Slow     bool
	// Ratio is the engine's time per token over its group's median.
	Ratio float64
}

// Tracker detects slow engines among those whose streams a router relays, and gives
// each engine its weight.
//
// It guards against a slow engine that delays every request placed on it, and
// against reactions that take the work from healthy engines or flood a recovered
// one. Observe is called once per delivered batch of chunks, Step once a second for
// all engines.
type Tracker struct {
	config  Config
	engines map[protocol.UpstreamID]*engine
}

// New returns a tracker without engines.
func New(config Config) *Tracker {
	return &Tracker{config: config, engines: make(map[protocol.UpstreamID]*engine)}
}

// Observe records that a stream of an upstream delivered tokens in a span of time.
// The span must not contain the wait for the first token, which depends on the
// prompt.
func (t *Tracker) Observe(upstream protocol.UpstreamID, group Group, tokens int, span time.Duration) {
	e := t.engines[upstream]
	if e == nil {
		e = &engine{id: upstream, weight: 1}
		t.engines[upstream] = e
	}
	e.group = group
	e.tokens += float64(tokens)
	e.span += span
}

// Remove forgets an upstream that left. If it returns, it begins without history.
func (t *Tracker) Remove(upstream protocol.UpstreamID) {
	delete(t.engines, upstream)
}

// Weight returns the factor for an upstream's capacity, 1 for an unknown upstream.
func (t *Tracker) Weight(upstream protocol.UpstreamID) float64 {
	if e := t.engines[upstream]; e != nil {
		return e.weight
	}
	return 1
}

// Ratio returns an upstream's time per token divided by its group's median, as of
// the last step. It returns zero if there was no estimate or no median.
func (t *Tracker) Ratio(upstream protocol.UpstreamID) float64 {
	if e := t.engines[upstream]; e != nil {
		return e.ratio
	}
	return 0
}

// Step updates the state and the weight of every engine. It returns the engines that
// became slow or recovered.
func (t *Tracker) Step() []Change {
	groups := make(map[Group][]*engine)
	for _, e := range t.engines {
		e.updateEstimate(t.config)
		groups[e.group] = append(groups[e.group], e)
	}
	var changes []Change
	for _, group := range groups {
		slices.SortFunc(group, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
		changes = append(changes, t.detectSlow(group)...)
		t.adjustWeights(group)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return changes
}

// updateEstimate adds the observations since the last sample to the estimate. With
// fewer than MinTokens it leaves them for the next step.
func (e *engine) updateEstimate(config Config) {
	if e.tokens < config.MinTokens {
		return
	}
	sample := e.span.Seconds() / e.tokens
	e.tokens, e.span = 0, 0
	if e.timePerToken == 0 {
		e.timePerToken = sample
		return
	}
	e.timePerToken = config.Smoothing*e.timePerToken + (1-config.Smoothing)*sample
}

// detectSlow compares the engines of a group with their median. It returns the
// engines that became slow or recovered.
func (t *Tracker) detectSlow(group []*engine) []Change {
	median, ok := t.median(group)
	var changes []Change
	for _, e := range group {
		e.ratio = 0
		if !ok || e.timePerToken == 0 {
			continue
		}
		e.ratio = e.timePerToken / median
		if e.updateState(t.config) {
			changes = append(changes, Change{Upstream: e.id, Slow: e.slow, Ratio: e.ratio})
		}
	}
	return changes
}

// median returns the median time per token of the engines that have an estimate. It
// reports false if there are fewer than MinPeers of them.
func (t *Tracker) median(group []*engine) (float64, bool) {
	var times []float64
	for _, e := range group {
		if e.timePerToken > 0 {
			times = append(times, e.timePerToken)
		}
	}
	if len(times) < t.config.MinPeers {
		return 0, false
	}
	slices.Sort(times)
	return times[(len(times)-1)/2], true
}

// updateState counts the consecutive steps that contradict the engine's state, and
// changes the state after enough of them. It reports whether the state changed.
func (e *engine) updateState(config Config) bool {
	contradicts, enough := e.ratio > config.Tolerance, config.SlowSteps
	if e.slow {
		contradicts, enough = e.ratio < config.Recovered, config.FastSteps
	}
	if !contradicts {
		e.streak = 0
		return false
	}
	e.streak++
	if e.streak < enough {
		return false
	}
	e.streak = 0
	e.slow = !e.slow
	if e.slow {
		e.startHold(config)
	}
	return true
}

// startHold records that the engine became slow. It sets how long the weight will be
// held after the recovery.
func (e *engine) startHold(config Config) {
	const firstHold, maxDoublings = 5, 10
	e.holdSteps = min(firstHold<<min(e.timesSlow, maxDoublings), config.MaxHoldSteps)
	e.timesSlow++
	e.riseSteps = 0
}

// adjustWeights moves the weights of a group towards their targets: up by the ramp,
// and down at once as far as the group's allowance permits, the slowest engine first.
// The allowance is computed from the current weights and not from the targets,
// because an engine that has only begun to recover still uses part of it.
func (t *Tracker) adjustWeights(group []*engine) {
	allowance := t.config.MaxCut * float64(len(group))
	for _, e := range group {
		if target := e.targetWeight(t.config); target > e.weight {
			e.raiseWeight(t.config, target)
		}
		allowance -= 1 - e.weight
	}
	slices.SortStableFunc(group, func(a, b *engine) int { return cmp.Compare(b.ratio, a.ratio) })
	for _, e := range group {
		fall := min(e.weight-e.targetWeight(t.config), allowance)
		if fall > 0 {
			e.weight -= fall
			allowance -= fall
		}
	}
	t.returnExcess(group, -allowance)
}

// returnExcess raises weights, of the least slow engines first, if the group has
// shrunk and the reductions of its remaining engines exceed the allowance.
func (t *Tracker) returnExcess(group []*engine, excess float64) {
	for _, e := range slices.Backward(group) {
		if excess <= 0 {
			return
		}
		lift := min(excess, 1-e.weight)
		e.weight += lift
		excess -= lift
	}
}

// targetWeight returns the weight that an engine should have because of its own
// slowness.
func (e *engine) targetWeight(config Config) float64 {
	if !e.slow {
		return 1
	}
	return max(config.MinWeight, 1/max(e.ratio, 1))
}

// raiseWeight raises the weight of an engine that is below its target, unless the
// weight is still held.
func (e *engine) raiseWeight(config Config, target float64) {
	if e.holdSteps > 0 && !e.slow {
		e.holdSteps--
		return
	}
	e.weight = min(target, e.weight+config.RampPerStep)
	e.riseSteps++
	if e.weight == 1 && e.riseSteps > config.MaxHoldSteps {
		e.timesSlow = 0
	}
}
