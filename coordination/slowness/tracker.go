package slowness

import (
	"cmp"
	"slices"
	"time"

	"endiveplank/protocol"
)

// Group names engines that can be compared: those of one model and role.
type Group string

// StepInterval is how often Step is to be called.
const StepInterval = time.Second

// Config holds the settings of a Tracker.
type Config struct {
	// Tolerance times the median is slow; Recovered times is no longer.
	Tolerance float64
	Recovered float64
	// SlowSteps and FastSteps are how many steps in a row it takes to be seen as
	// slow and as recovered.
	SlowSteps int
	FastSteps int
	// MinWeight is the least weight of a slow engine.
	MinWeight float64
	// MaxCut is the share of a group's capacity that all cuts may take.
	MaxCut float64
	// RampPerStep is how much a weight rises in a step.
	RampPerStep float64
	// MaxHold bounds the steps that an engine which fell back is held down.
	MaxHold int
	// MinPeers is the least number of engines with samples that make a median.
	MinPeers int
	// Keep is how much of the old estimate a step keeps.
	Keep float64
	// MinTokens is the least number of tokens that make a sample.
	MinTokens float64
}

// DefaultConfig returns the default settings.
//
// Engines of one group differ by a few tens of percent through their batches;
// 1.5 is clear of that. Three steps keep a single long prompt from counting. At
// a tenth of its work an engine still shows several tokens a second. Cuts of 0.3
// leave the others 1/0.7 times their work, which load bounds of 1.25 times the
// mean turn into queueing but not into collapse. The ramp takes 20 s for the whole
// range, which is longer than most requests run, so the engine's pace under each
// level shows before the next.
func DefaultConfig() Config {
	return Config{
		Tolerance:   1.5,
		Recovered:   1.2,
		SlowSteps:   3,
		FastSteps:   5,
		MinWeight:   0.1,
		MaxCut:      0.3,
		RampPerStep: 0.05,
		MaxHold:     300,
		MinPeers:    3,
		Keep:        0.7,
		MinTokens:   20,
	}
}

// engine is what the tracker knows of one upstream.
type engine struct {
	id    protocol.UpstreamID
	group Group
	// Tokens and stream time since the last step.
	tokens float64
	span   time.Duration
	// pace is the estimated time per token, zero before any sample.
	pace  float64
	ratio float64
	slow  bool
	// streak counts the steps that speak for the other state.
	streak int
	// falls counts how often it was slow; calm the steps since it last was.
	falls  int
	calm   int
	hold   int
	weight float64
}

// Change says that an engine became slow or recovered.
type Change struct {
	Upstream protocol.UpstreamID
	Slow     bool
	// Ratio is the engine's time per token over its group's median.
	Ratio float64
}

// Tracker judges the engines that a router sees.
//
// Load: one call per delivered batch of chunks, one step a second over all engines.
// Harm prevented: a slow engine holds up every request that is placed on it, and
// a careless reaction empties good engines or floods a recovered one.
type Tracker struct {
	config  Config
	engines map[protocol.UpstreamID]*engine
}

// New returns a tracker without engines.
func New(config Config) *Tracker {
	return &Tracker{config: config, engines: make(map[protocol.UpstreamID]*engine)}
}

// Observe notes that a stream of an upstream delivered tokens in a span of time,
// the wait before the first of them excluded: it depends on the prompt.
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

// Remove forgets an upstream that left. If it returns it is judged anew.
func (t *Tracker) Remove(upstream protocol.UpstreamID) {
	delete(t.engines, upstream)
}

// Weight is the factor for an upstream's capacity, 1 for an unknown one.
func (t *Tracker) Weight(upstream protocol.UpstreamID) float64 {
	if e := t.engines[upstream]; e != nil {
		return e.weight
	}
	return 1
}

// Ratio is an upstream's time per token over its group's median, at the last step.
// It is zero when it could not be judged.
func (t *Tracker) Ratio(upstream protocol.UpstreamID) float64 {
	if e := t.engines[upstream]; e != nil {
		return e.ratio
	}
	return 0
}

// Step judges all engines and moves their weights.
func (t *Tracker) Step() []Change {
	groups := make(map[Group][]*engine)
	for _, e := range t.engines {
		e.sample(t.config)
		groups[e.group] = append(groups[e.group], e)
	}
	var changes []Change
	for _, group := range groups {
		slices.SortFunc(group, func(a, b *engine) int { return cmp.Compare(a.id, b.id) })
		changes = append(changes, t.judge(group)...)
		t.weigh(group)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return changes
}

// sample takes what was observed since the last step into the estimate. Too few
// tokens are kept for the next step.
func (e *engine) sample(config Config) {
	if e.tokens < config.MinTokens {
		return
	}
	pace := e.span.Seconds() / e.tokens
	e.tokens, e.span = 0, 0
	if e.pace == 0 {
		e.pace = pace
		return
	}
	e.pace = config.Keep*e.pace + (1-config.Keep)*pace
}

// judge compares the engines of a group with their median.
func (t *Tracker) judge(group []*engine) []Change {
	middle, ok := t.median(group)
	var changes []Change
	for _, e := range group {
		e.ratio = 0
		if !ok || e.pace == 0 {
			continue
		}
		e.ratio = e.pace / middle
		if e.turns(t.config) {
			changes = append(changes, Change{Upstream: e.id, Slow: e.slow, Ratio: e.ratio})
		}
	}
	return changes
}

// median returns the middle pace of the engines that have one.
func (t *Tracker) median(group []*engine) (float64, bool) {
	var paces []float64
	for _, e := range group {
		if e.pace > 0 {
			paces = append(paces, e.pace)
		}
	}
	if len(paces) < t.config.MinPeers {
		return 0, false
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2], true
}

// turns counts steps that speak against the engine's state and changes the state
// after enough in a row.
func (e *engine) turns(config Config) bool {
	against, enough := e.ratio > config.Tolerance, config.SlowSteps
	if e.slow {
		against, enough = e.ratio < config.Recovered, config.FastSteps
	}
	if !against {
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
		e.fall(config)
	}
	return true
}

// fall notes that the engine became slow, and how long it is held down once it
// has recovered.
func (e *engine) fall(config Config) {
	const firstHold, maxDoublings = 5, 10
	e.hold = min(firstHold<<min(e.falls, maxDoublings), config.MaxHold)
	e.falls++
	e.calm = 0
}

// weigh moves the weights of a group: up by the ramp, and down at once as far as the
// group's allowance reaches, the slowest first. The allowance counts the weights
// that engines have, not those they should have: one that has only begun to
// recover still takes from it.
func (t *Tracker) weigh(group []*engine) {
	allowance := t.config.MaxCut * float64(len(group))
	for _, e := range group {
		if target := e.target(t.config); target > e.weight {
			e.rise(t.config, target)
		}
		allowance -= 1 - e.weight
	}
	slices.SortStableFunc(group, func(a, b *engine) int { return cmp.Compare(b.ratio, a.ratio) })
	for _, e := range group {
		fall := min(e.weight-e.target(t.config), allowance)
		if fall > 0 {
			e.weight -= fall
			allowance -= fall
		}
	}
	t.giveBack(group, -allowance)
}

// giveBack lifts weights, of the least slow first, when the group has shrunk and the
// cuts of the rest are more than it may have.
func (t *Tracker) giveBack(group []*engine, excess float64) {
	for _, e := range slices.Backward(group) {
		if excess <= 0 {
			return
		}
		lift := min(excess, 1-e.weight)
		e.weight += lift
		excess -= lift
	}
}

// target is the weight that an engine should have by its own slowness.
func (e *engine) target(config Config) float64 {
	if !e.slow {
		return 1
	}
	return max(config.MinWeight, 1/max(e.ratio, 1))
}

// rise lifts the weight of an engine that is above its target no more.
func (e *engine) rise(config Config, target float64) {
	if e.hold > 0 && !e.slow {
		e.hold--
		return
	}
	e.weight = min(target, e.weight+config.RampPerStep)
	e.calm++
	if e.weight == 1 && e.calm > config.MaxHold {
		e.falls = 0
	}
}
