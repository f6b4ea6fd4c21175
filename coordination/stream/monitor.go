package stream

import "time"

// Action is what a Monitor asks its caller to do.
type Action uint8

const (
	// Wait means that the stream makes progress; check again at CheckAt.
	Wait Action = iota + 1
	// Reconnect asks for a new connection to the same engine.
	Reconnect
	// Move asks for an attempt on another engine.
	Move
	// GiveUp means that all attempts are used up. The caller has received ResumeAt
	// tokens, which show whether the request ran.
	GiveUp
)

// Step is a decision about one stream.
type Step struct {
	Action Action
	// CheckAt is set for Wait.
	CheckAt time.Duration
	// Attempt and ResumeAt are set for Reconnect and Move: the number of the
	// new attempt and the index of the first token still missing.
	Attempt  int
	ResumeAt int
}

// MonitorConfig bounds the attempts of one request.
type MonitorConfig struct {
	// MaxAttempts is the largest number of attempts, including the first.
	MaxAttempts int
	// MaxReconnects is the largest number of reconnections to one engine without any
	// progress before the request moves to another engine.
	MaxReconnects int
	// MaxHeld is the largest number of out-of-order chunks that an Assembler holds.
	MaxHeld int
}

// DefaultMonitorConfig allows one reconnection per engine and five attempts in
// all: two attempts that stall on each of two engines, and one more. A request
// that needs more has a problem that another attempt doesn't solve, or is itself
// the cause.
func DefaultMonitorConfig() MonitorConfig {
	return MonitorConfig{MaxAttempts: 5, MaxReconnects: 1, MaxHeld: 64}
}

// Monitor follows the progress of one request over its attempts. Each open stream has
// one, which is checked once per allowed silence and not per token.
//
// It prevents a caller from waiting for ever on a connection whose state was lost
// somewhere between its two ends. Such a connection is merely silent: no error arrives,
// and writes still succeed. So Monitor depends on nothing but the tokens that arrive.
type Monitor struct {
	config     MonitorConfig
	attempt    int
	next       int
	phase      Phase
	last       time.Duration
	reconnects int
}

// NewMonitor returns a monitor for attempt 1, sent now.
func NewMonitor(now time.Duration, config MonitorConfig) *Monitor {
	return &Monitor{config: config, attempt: 1, last: now}
}

// Progress records that the tokens before index next were delivered, and returns the
// wait that ended, for the engine's WaitEstimator. It returns false if nothing new was
// delivered.
func (m *Monitor) Progress(now time.Duration, next int) (Sample, bool) {
	if next <= m.next {
		return Sample{}, false
	}
	sample := Sample{Phase: m.phase, Wait: now - m.last}
	m.next = next
	m.last = now
	m.phase = NextToken
	m.reconnects = 0
	return sample, true
}

// Check decides by the time since the last progress.
func (m *Monitor) Check(now time.Duration, estimator *WaitEstimator) Step {
	due := m.last + estimator.MaxSilence(m.phase)
	if now < due {
		return Step{Action: Wait, CheckAt: due}
	}
	return m.replace(now, m.reconnects >= m.config.MaxReconnects)
}

// ConnectionBroken decides after an error on the connection. The engine may be healthy
// in that case, so it is tried again within MaxReconnects.
func (m *Monitor) ConnectionBroken(now time.Duration) Step {
	return m.replace(now, m.reconnects >= m.config.MaxReconnects)
}

// EngineLost decides after the engine is known to be gone, because it crashed or its
// membership ended.
func (m *Monitor) EngineLost(now time.Duration) Step {
	return m.replace(now, true)
}

// Next returns the index of the first token not yet delivered.
func (m *Monitor) Next() int { return m.next }

// Attempt returns the number of the current attempt.
func (m *Monitor) Attempt() int { return m.attempt }

// replace starts the next attempt, on another engine if move is set, or gives up after
// MaxAttempts.
func (m *Monitor) replace(now time.Duration, move bool) Step {
	if m.attempt >= m.config.MaxAttempts {
		return Step{Action: GiveUp, ResumeAt: m.next}
	}
	m.attempt++
	m.last = now
	m.phase = FirstToken
	step := Step{Action: Reconnect, Attempt: m.attempt, ResumeAt: m.next}
	m.reconnects++
	if move {
		step.Action = Move
		m.reconnects = 0
	}
	return step
}
