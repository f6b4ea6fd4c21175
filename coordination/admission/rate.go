package admission

import (
	"math"
	"time"
)

// rate estimates tokens per second over the time in which work waited. It is an
// exponentially decaying average whose clock stops while nothing waits, because
// the low throughput of an idle upstream says nothing about how fast it drains
// a queue.
type rate struct {
	window  time.Duration
	initial float64
	busy    bool
	updated time.Duration
	// sum is the decayed number of tokens and span the decayed busy time in
	// seconds.
	sum  float64
	span float64
}

// newRate starts with the initial rate, weighted as one tenth of the window, so
// that measurements correct it within about a second.
func newRate(initial float64, window time.Duration) rate {
	const initialShare = 0.1
	span := initialShare * window.Seconds()
	return rate{window: window, initial: initial, sum: initial * span, span: span}
}

// advance moves the clock to now. While work waits, time without tokens lowers
// the estimate, so the expected waits grow when an upstream hangs.
func (r *rate) advance(now time.Duration) {
	elapsed := (now - r.updated).Seconds()
	r.updated = now
	if !r.busy || elapsed <= 0 {
		return
	}
	window := r.window.Seconds()
	keep := math.Exp(-elapsed / window)
	r.sum *= keep
	r.span = r.span*keep + window*(1-keep)
}

func (r *rate) setBusy(now time.Duration, busy bool) {
	r.advance(now)
	r.busy = busy
}

func (r *rate) add(now time.Duration, tokens int) {
	r.advance(now)
	if r.busy {
		r.sum += float64(tokens)
	}
}

// perSecond returns the estimate at now, in tokens per second.
func (r *rate) perSecond(now time.Duration) float64 {
	r.advance(now)
	if r.span <= 0 {
		return r.initial
	}
	return r.sum / r.span
}

// streamSpeed estimates the tokens per second of one stream, over the time in
// which at least one stream ran.
type streamSpeed struct {
	window  time.Duration
	initial float64
	updated time.Duration
	tokens  float64 // decayed
	span    float64 // decayed stream-seconds
}

// newStreamSpeed starts with the initial speed, weighted as one second of one
// stream.
func newStreamSpeed(initial float64, window time.Duration) streamSpeed {
	return streamSpeed{window: window, initial: initial, tokens: initial, span: 1}
}

func (s *streamSpeed) add(now time.Duration, tokens, streams int) {
	elapsed := (now - s.updated).Seconds()
	s.updated = now
	keep := math.Exp(-elapsed / s.window.Seconds())
	s.tokens = s.tokens*keep + float64(tokens)
	s.span = s.span*keep + elapsed*float64(streams)
}

// perSecond returns the estimate. It never exceeds the initial speed, which is
// the highest that the engine's batching allows, and never falls to zero.
func (s *streamSpeed) perSecond() float64 {
	const least = 0.01
	if s.span <= 0 {
		return s.initial
	}
	return min(max(s.tokens/s.span, least*s.initial), s.initial)
}
