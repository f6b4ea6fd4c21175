package admission

import "time"

// Config holds the settings of one Queue.
type Config struct {
	// MaxQueued bounds the whole queue, in requests. It limits memory use;
	// normally the refusal of requests that would miss their deadlines keeps
	// the queue shorter than this.
	MaxQueued int
	// MaxCustomerQueued bounds the waiting requests of one customer, so that
	// one customer's surge can't fill the whole queue.
	MaxCustomerQueued int
	// MinShare is the share of tokens that each class gets at least while it
	// has requests waiting. The sum over all classes must stay below one.
	MinShare [NumClasses]float64
	// ClassWeight multiplies the weights of a class's customers.
	ClassWeight [NumClasses]float64
	// BurstTokens is the number of tokens by which all waiting customers
	// together may be ahead of their shares and still count as within them.
	BurstTokens float64
	// CreditTokens is how many tokens an idle customer may save up: after an
	// idle time, it may receive this much more than its share.
	CreditTokens float64
	// TargetWait is the longest expected wait that is accepted for a customer
	// whose requests have waited longer than this for BurstTime. Zero sets no
	// target.
	TargetWait [NumClasses]time.Duration
	BurstTime  time.Duration
	// TargetHoldTime is how long TargetWait stays enforced for a customer after
	// its last refusal. Without it, the customer's queue would grow up to the
	// deadline again as soon as it had shrunk.
	TargetHoldTime time.Duration
	// ReserveTokens is the part of the upstream's capacity that classes above 0
	// leave free.
	ReserveTokens int
	// PenaltyPerToken is how much each token of a request's length moves it
	// back among the same customer's requests.
	PenaltyPerToken time.Duration
	// InitialRate is the drain rate assumed before any was measured, in tokens
	// per second: the capacity that the upstream announced.
	InitialRate float64
	// InitialSpeed is the speed of one stream assumed before any was measured,
	// in tokens per second.
	InitialSpeed float64
	// RateWindow is the time constant of the estimates of rate and speed.
	RateWindow time.Duration
	// WaitMargin is the safety factor on the expected wait: the wait times
	// WaitMargin must end before the latest start that meets the deadline. It
	// covers the error of the estimate, because a request that is queued and
	// then expires should have been refused on arrival.
	WaitMargin float64
	// MinRetryAfter and MaxRetryAfter bound every Retry-After.
	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// DefaultConfig returns the settings for an upstream that drains rate tokens
// per second in all and speed tokens per second for one stream.
//
// The minimum shares are 5, 3 and 1% for classes 1 to 3: little enough that the
// most urgent class keeps 91% of a saturated upstream, whatever the weights.
// When another customer surges, customers of class 2 keep three quarters of
// their weight and customers of class 3 a quarter. The burst is one second of
// the upstream's work: enough for the short bursts that interactive users send,
// and short against the 20% by which a surge may raise another customer's p99.
// An idle customer may save up half of that. In a lasting overload, interactive
// requests wait at most a second (class 0) or five (class 1), and those of
// programs as long as their deadlines allow. The reserve is a quarter of a
// second of work, half of the 0.5 s that a first token may take. The penalty of
// 2 ms a token lets a 100-token question go before a 4,000-token summary that
// arrived up to 8 s earlier. The window of 5 s follows an upstream that slows
// down before the shortest usual deadline (10 s) has passed.
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
		ClassWeight:       [NumClasses]float64{1, 1, 0.75, 0.25},
		BurstTokens:       rate * burstSeconds,
		CreditTokens:      rate * creditSeconds,
		TargetWait:        [NumClasses]time.Duration{time.Second, 5 * time.Second, 0, 0},
		BurstTime:         5 * time.Second,
		TargetHoldTime:    10 * time.Second,
		ReserveTokens:     int(rate * reserveSeconds),
		PenaltyPerToken:   2 * time.Millisecond,
		InitialRate:       rate,
		InitialSpeed:      speed,
		RateWindow:        5 * time.Second,
		WaitMargin:        1.1,
		MinRetryAfter:     time.Second,
		MaxRetryAfter:     2 * time.Minute,
	}
}
