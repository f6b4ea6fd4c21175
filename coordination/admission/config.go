package admission

import "time"

// Config holds the settings of one Queue.
type Config struct {
	// MaxQueued bounds the whole queue, in requests. It bounds memory; the
	// deadline estimate is what normally bounds the wait.
	MaxQueued int
	// MaxCustomerQueued bounds one customer's part, in requests, so that
	// a surge cannot take the whole queue's room from others.
	MaxCustomerQueued int
	// MinShare is the share of tokens that each class gets at least while it
	// has work waiting. The sum over all classes must stay below one; the rest
	// goes to the most urgent class that waits.
	MinShare [NumClasses]float64
	// ReserveTokens is the room that classes above 0 leave free in the gate.
	ReserveTokens int
	// HandicapPerToken is how much a request's length delays it behind the
	// same customer's other requests.
	HandicapPerToken time.Duration
	// InitialRate is the drain rate assumed before any was measured, in
	// tokens per second: the capacity that the upstream announced.
	InitialRate float64
	// RateWindow is the time constant of the drain rate estimate.
	RateWindow time.Duration
	// MinRetryAfter and MaxRetryAfter bound every Retry-After.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the settings for an upstream that drains rate tokens
// per second.
//
// The minimum shares are 10, 5 and 3% for classes 1 to 3: enough that the work
// of a quiet night cannot be outwaited for ever, and little enough that the
// most urgent class keeps 82% of a saturated upstream. The reserve is a quarter
// second of the upstream's work, half of the 0.5 s that a first token may take.
// The handicap of 2 ms a token lets a 100-token question pass a 4,000-token
// summary that came up to 8 s before it. The rate window of 5 s follows an
// upstream that slows down before the shortest usual deadline (10 s) has passed.
func DefaultConfig(rate float64) Config {
	const reserveSeconds = 0.25
	return Config{
		MaxQueued:         4096,
		MaxCustomerQueued: 1024,
		MinShare:          [NumClasses]float64{0, 0.10, 0.05, 0.03},
		ReserveTokens:     int(rate * reserveSeconds),
		HandicapPerToken:  2 * time.Millisecond,
		InitialRate:       rate,
		RateWindow:        5 * time.Second,
		MinRetryAfter:     time.Second,
		MaxRetryAfter:     2 * time.Minute,
	}
}
