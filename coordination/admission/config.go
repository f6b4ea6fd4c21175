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
	// has work waiting. The sum over all classes must stay below one.
	MinShare [NumClasses]float64
	// Guarantee scales the weights of a class's customers.
	Guarantee [NumClasses]float64
	// BurstTokens is how far all waiting customers together may be ahead of
	// their shares and still keep their class's precedence, in tokens.
	BurstTokens float64
	// CreditTokens is how far a customer that was idle may be behind its share.
	CreditTokens float64
	// TargetWait is the wait to which the queue of a customer is cut back once it
	// has been longer for BurstTime. Zero sets no target.
	TargetWait [NumClasses]time.Duration
	BurstTime  time.Duration
	// CutTime is how long after the last refusal the cut lasts. Without it, the
	// queue would grow to the deadline again as soon as it had shrunk.
	CutTime time.Duration
	// ReserveTokens is the room that classes above 0 leave free in the gate.
	ReserveTokens int
	// HandicapPerToken is how much a request's length delays it behind the
	// same customer's other requests.
	HandicapPerToken time.Duration
	// InitialRate is the drain rate assumed before any was measured, in
	// tokens per second: the capacity that the upstream announced.
	InitialRate float64
	// InitialSpeed is the speed of one stream assumed before any was measured,
	// in tokens per second.
	InitialSpeed float64
	// RateWindow is the time constant of the estimates of rate and speed.
	RateWindow time.Duration
	// WaitMargin times the expected wait must fit before the last moment to
	// start. It covers the error of the estimate: a request that is let in and
	// expires was refused too late.
	WaitMargin float64
	// MinRetryAfter and MaxRetryAfter bound every Retry-After.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the settings for an upstream that drains rate tokens
// per second in all and speed tokens per second for one stream.
//
// The minimum shares are 5, 3 and 1% for classes 1 to 3: little enough that the
// most urgent class keeps 91% of a saturated upstream, whatever the weights. Class
// 2 holds three quarters of its weight against others' surges and class 3 a
// quarter. The burst is one second of the upstream's work: long enough for the
// short bursts of people at work, short against the 20% by which a surge may move
// another customer's p99. An idle customer may save up half of that. People wait
// a second (class 0) or five (class 1) in a lasting overload, and programs as
// long as their deadlines let them. The reserve is a quarter second, half of the
// 0.5 s that a first token may take. The handicap of 2 ms a token lets a
// 100-token question pass a 4,000-token summary that came up to 8 s before it.
// The window of 5 s follows an upstream that slows down before the shortest usual
// deadline (10 s) has passed.
func DefaultConfig(rate, speed float64) Config {
	const (
		reserveSeconds = 0.25
		burstSeconds   = 1.0
		creditSeconds  = 0.5
	)
	return Config{
		MaxQueued:         4096,
		MaxCustomerQueued: 1024,
		MinShare:          [NumClasses]float64{0, 0.05, 0.03, 0.01},
		Guarantee:         [NumClasses]float64{1, 1, 0.75, 0.25},
		BurstTokens:       rate * burstSeconds,
		CreditTokens:      rate * creditSeconds,
		TargetWait:        [NumClasses]time.Duration{time.Second, 5 * time.Second, 0, 0},
		BurstTime:         5 * time.Second,
		CutTime:           10 * time.Second,
		ReserveTokens:     int(rate * reserveSeconds),
		HandicapPerToken:  2 * time.Millisecond,
		InitialRate:       rate,
		InitialSpeed:      speed,
		RateWindow:        5 * time.Second,
		WaitMargin:        1.1,
		MinRetryAfter:     time.Second,
		MaxRetryAfter:     2 * time.Minute,
	}
}
