package stream

import "time"

// Action is what a Watch asks for.
type Action uint8

const (
	// Wait means that the stream makes progress; check again at CheckAt.
	Wait Action = iota + 1
	// Reconnect means: a new connection to the same engine.
	Reconnect
	// Move means: another engine.
	Move
	// GiveUp means that all attempts are used up. The caller has had ResumeAt
	// tokens, and whether the request ran is known from them.
	GiveUp
)

// Step is the typed decision about one stream.
type Step struct {
	Action Action
	// CheckAt is set for Wait.
	CheckAt time.Duration
	// Attempt and ResumeAt are set for Reconnect and Move: the number of the
	// new attempt and the index of the first token still missing.
	Attempt  int
	ResumeAt int
}

// WatchConfig bounds the attempts of one request.
type WatchConfig struct {
	// MaxAttempts bounds all attempts, the first one included.
	MaxAttempts int
	// MaxReconnects bounds the connections to one engine that may stall
	// without any progress before the request moves.
	MaxReconnects int
	// MaxHeld bounds the chunks an Assembler holds back out of order.
	MaxHeld int
}

// DefaultWatchConfig allows one reconnection per engine and five attempts in
// all: two stalls on each of two engines and one more. A request that needs
// more has met something that another attempt will not mend, or is itself the
// cause.
func DefaultWatchConfig() WatchConfig {
	return WatchConfig{MaxAttempts: 5, MaxReconnects: 1, MaxHeld: 64}
}

// Watch follows the progress of one request over its attempts.
//
// Load: every open stream, checked once per allowed silence and not per token.
// Harm prevented: a caller that waits for ever on a connection which something
// between the two ends has lost track of. It shows as silence only: no error
// arrives and writes still succeed. The guard holds because it depends on
// nothing but tokens that arrive.
type Watch struct {
	config     WatchConfig
	attempt    int
	next       int
	phase      Phase
	last       time.Duration
	reconnects int
}

// NewWatch starts with attempt 1, just sent.
func NewWatch(now time.Duration, config WatchConfig) *Watch {
	return &Watch{config: config, attempt: 1, last: now}
}

// Progress notes that tokens up to, but without, index next were delivered, and
// returns the wait that ended, for the engine's Pace. It returns false when
// nothing new was delivered.
func (w *Watch) Progress(now time.Duration, next int) (Sample, bool) {
	if next <= w.next {
		return Sample{}, false
	}
	sample := Sample{Phase: w.phase, Wait: now - w.last}
	w.next = next
	w.last = now
	w.phase = NextToken
	w.reconnects = 0
	return sample, true
}

// Check decides by the time since the last progress.
func (w *Watch) Check(now time.Duration, pace *Pace) Step {
	due := w.last + pace.Allowed(w.phase)
	if now < due {
		return Step{Action: Wait, CheckAt: due}
	}
	return w.replace(now, w.reconnects >= w.config.MaxReconnects)
}

// Broken decides after an error on the connection. A connection that broke may
// be the connection's fault alone, so the same engine is tried once more.
func (w *Watch) Broken(now time.Duration) Step {
	return w.replace(now, w.reconnects >= w.config.MaxReconnects)
}

// Lost decides after the engine is known to be gone: it crashed, or its
// membership ended.
func (w *Watch) Lost(now time.Duration) Step {
	return w.replace(now, true)
}

// Next returns the index of the first token not yet delivered.
func (w *Watch) Next() int { return w.next }

// Attempt returns the number of the current attempt.
func (w *Watch) Attempt() int { return w.attempt }

func (w *Watch) replace(now time.Duration, move bool) Step {
	if w.attempt >= w.config.MaxAttempts {
		return Step{Action: GiveUp, ResumeAt: w.next}
	}
	w.attempt++
	w.last = now
	w.phase = FirstToken
	step := Step{Action: Reconnect, Attempt: w.attempt, ResumeAt: w.next}
	w.reconnects++
	if move {
		step.Action = Move
		w.reconnects = 0
	}
	return step
}
