package loadbench

import (
	"math"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/admission"
	"endiveplank/protocol"
)

// Demand describes the requests of one customer.
type Demand struct {
	Customer protocol.CustomerID
	Class    admission.Class
	Weight   float64
	// Share is the customer's share of all tokens sent.
	Share float64
	// A request's tokens are drawn log-uniformly from MinTokens to MaxTokens.
	MinTokens int
	MaxTokens int
	// Patience is the time from sending a request to its deadline. The complete
	// answer must arrive by then.
	Patience time.Duration
}

// Phase multiplies the rate of one customer, or of all if Customer is empty, by
// Factor between From and To. If Period is above zero, the phase repeats with that
// period, and From and To count from the start of each period.
type Phase struct {
	Customer protocol.CustomerID
	Factor   float64
	From     time.Duration
	To       time.Duration
	Period   time.Duration
}

// WorkloadMix returns the workload of one engine. Class 0 holds requests for whose
// answers people wait: those of dispatchers, clerks and households, and long
// questions. dispatch-large is a large customer. Class 1 holds drafts of paperwork,
// and class 2 season summaries. Requests of class 0 are short, except those of
// long-questions.
func WorkloadMix() []Demand {
	const urgent, drafts, summaries = 0, 1, 2
	return []Demand{
		{"dispatch-large", urgent, 5, 0.25, 40, 200, 15 * time.Second},
		{"dispatch-small", urgent, 1, 0.05, 40, 200, 15 * time.Second},
		{"clerks", urgent, 3, 0.15, 40, 200, 15 * time.Second},
		{"households", urgent, 2, 0.10, 40, 120, 15 * time.Second},
		{"long-questions", urgent, 2, 0.10, 300, 900, 60 * time.Second},
		{"drafts", drafts, 3, 0.15, 200, 800, 60 * time.Second},
		{"summaries", summaries, 4, 0.20, 800, 3000, 10 * time.Minute},
	}
}

// UrgentMix returns WorkloadMix scaled so that class 0 sends the given share of all
// tokens.
func UrgentMix(share float64) []Demand {
	mix := WorkloadMix()
	urgent := 0.0
	for _, d := range mix {
		if d.Class == 0 {
			urgent += d.Share
		}
	}
	for i := range mix {
		if mix[i].Class == 0 {
			mix[i].Share *= share / urgent
		} else {
			mix[i].Share *= (1 - share) / (1 - urgent)
		}
	}
	return mix
}

// meanTokens returns the mean of the log-uniform distribution of tokens.
func (d *Demand) meanTokens() float64 {
	low, high := float64(d.MinTokens), float64(d.MaxTokens)
	return (high - low) / math.Log(high/low)
}

func (d *Demand) drawTokens(rng *rand.Rand) int {
	low, high := float64(d.MinTokens), float64(d.MaxTokens)
	return int(low * math.Pow(high/low, rng.Float64()))
}

// rateFactor returns the product of the factors of all phases that apply to a
// customer at a time.
func rateFactor(phases []Phase, customer protocol.CustomerID, now time.Duration) float64 {
	product := 1.0
	for _, p := range phases {
		at := now
		if p.Period > 0 {
			at = now % p.Period
		}
		if (p.Customer == "" || p.Customer == customer) && at >= p.From && at < p.To {
			product *= p.Factor
		}
	}
	return product
}
