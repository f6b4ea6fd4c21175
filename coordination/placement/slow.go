package placement

import (
	"time"

	"endiveplank/protocol"
)

// Limits of Slowness.
const (
	// slowBelow is the speed, relative to what is expected, under which an
	// engine counts as slow. Ordinary batching moves speed by less.
	slowBelow = 0.75
	// leastFactor keeps some work on the slowest engine, so that its
	// recovery is seen.
	leastFactor = 0.25
	// MaxReducedShare is the most of the fleet's capacity that may be taken
	// out by slowness. More means that the measure is wrong or the whole
	// fleet is slow, and moving load would only overload the rest.
	MaxReducedShare = 0.2
	// recoverStep and recoverEvery let a recovered engine take back its
	// share over half a minute rather than at once, so that chats do not
	// stampede onto caches that are cold.
	recoverStep  = 0.125
	recoverEvery = 5 * time.Second
)

// SpeedSample is how fast an upstream has lately been.
type SpeedSample struct {
	ID       protocol.UpstreamID
	Capacity float64
	// Speed is tokens a second and stream, over what the upstream's
	// announced capacity gives at its present batch; 1 is as announced.
	Speed float64
}

// Slowness gives engines that turned slow without failing less weight.
//
// Load: one engine of the fleet delivers at a quarter of its speed, from heat
// or a noisy neighbour, and answers every health check. Harm: it gets its
// full share and all who land there wait four times as long. Its factor
// lowers the capacity that the load bound counts with; its chats keep their
// home, and only what no longer fits goes elsewhere.
type Slowness struct {
	states map[protocol.UpstreamID]*slowState
}

type slowState struct {
	factor    float64
	changedAt time.Duration
}

// NewSlowness returns a Slowness that knows no upstream.
func NewSlowness() *Slowness {
	return &Slowness{states: make(map[protocol.UpstreamID]*slowState)}
}

// Factor is what an upstream's capacity is multiplied by, at most 1.
func (s *Slowness) Factor(id protocol.UpstreamID) float64 {
	state, ok := s.states[id]
	if !ok {
		return 1
	}
	return state.factor
}

// Update takes the speeds of the upstreams that this router owns. Fleet is
// the capacity of all upstreams as announced, and otherReduced the part of it
// that other owners have taken out; both in tokens a second.
func (s *Slowness) Update(now time.Duration, samples []SpeedSample, fleet, otherReduced float64) {
	wanted := make([]float64, len(samples))
	reduced := 0.0
	for i, sample := range samples {
		wanted[i] = s.next(now, sample)
		reduced += (1 - wanted[i]) * sample.Capacity
	}
	scale := 1.0
	if allowed := max(0, MaxReducedShare*fleet-otherReduced); reduced > allowed {
		scale = allowed / reduced
	}
	for i, sample := range samples {
		s.set(now, sample.ID, 1-(1-wanted[i])*scale)
	}
}

// next is the factor an upstream would get if no other were slow: at once
// down, step by step up.
func (s *Slowness) next(now time.Duration, sample SpeedSample) float64 {
	target := 1.0
	if sample.Speed < slowBelow {
		target = max(leastFactor, sample.Speed)
	}
	state, ok := s.states[sample.ID]
	if !ok || target <= state.factor {
		return target
	}
	if now-state.changedAt < recoverEvery {
		return state.factor
	}
	return min(target, state.factor+recoverStep)
}

// set keeps a factor and when it last changed.
func (s *Slowness) set(now time.Duration, id protocol.UpstreamID, factor float64) {
	state, ok := s.states[id]
	if !ok {
		state = &slowState{factor: 1, changedAt: now}
		s.states[id] = state
	}
	if factor != state.factor {
		state.factor = factor
		state.changedAt = now
	}
}

// Forget drops an upstream that left.
func (s *Slowness) Forget(id protocol.UpstreamID) {
	delete(s.states, id)
}
