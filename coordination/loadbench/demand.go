package loadbench

import (
	"math"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/admission"
	"endiveplank/protocol"
)

// Demand is what one customer sends.
type Demand struct {
	Customer protocol.CustomerID
	Class    admission.Class
	Weight   float64
	// Share is the customer's part of all tokens sent.
	Share float64
	// Tokens of a request are drawn log-uniformly from MinTokens to MaxTokens.
	MinTokens int
	MaxTokens int
	// Patience is how long after sending the whole answer is in time.
	Patience time.Duration
}

// Phase changes the rate of one customer, or of all when Customer is empty, by
// Factor from From to To. With Every above zero the phase returns at that period.
type Phase struct {
	Customer protocol.CustomerID
	Factor   float64
	From     time.Duration
	To       time.Duration
	Every    time.Duration
}

// Mix is the workload of one engine: clerks, dispatchers and households in
// class 0, of which one customer is large, drafts of paperwork in class 1 and
// season summaries in class 2. Requests are short where people wait.
func Mix() []Demand {
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

// UrgentOnly scales the mix so that class 0 alone sends at least the given share
// of all tokens.
func UrgentOnly(share float64) []Demand {
	mix := Mix()
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

// meanTokens of the log-uniform distribution.
func (d *Demand) meanTokens() float64 {
	low, high := float64(d.MinTokens), float64(d.MaxTokens)
	return (high - low) / math.Log(high/low)
}

func (d *Demand) draw(rng *rand.Rand) int {
	low, high := float64(d.MinTokens), float64(d.MaxTokens)
	return int(low * math.Pow(high/low, rng.Float64()))
}

// factor returns by how much the phases change a customer's rate at a time.
func factor(phases []Phase, customer protocol.CustomerID, now time.Duration) float64 {
	product := 1.0
	for _, p := range phases {
		at := now
		if p.Every > 0 {
			at = now % p.Every
		}
		if (p.Customer == "" || p.Customer == customer) && at >= p.From && at < p.To {
			product *= p.Factor
		}
	}
	return product
}
