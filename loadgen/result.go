package loadgen

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Schema names the layout of Result. It changes when a field changes its
// meaning or goes; new fields leave it as it is.
const Schema = "endiveplank/load/v1"

// Result is the outcome of a load run. docs/LOAD.md explains each field.
type Result struct {
	Schema   string  `json:"schema"`
	Title    string  `json:"title"`
	Settings Summary `json:"settings"`
	// Phases are the runs in their order: direct when asked for, then fleet.
	Phases []Phase `json:"phases"`
	// Added is the fleet's latency less the direct one.
	Added *Added `json:"added,omitempty"`
	Audit *Audit `json:"audit,omitempty"`
	// Broken lists the promises that the run saw broken; empty is a pass.
	Broken []string `json:"broken"`
}

// Summary says what the run was asked to do.
type Summary struct {
	Seed        uint64  `json:"seed"`
	Run         string  `json:"run"`
	Rate        float64 `json:"rate_per_s"`
	DurationS   float64 `json:"duration_s"`
	Customers   int     `json:"customers"`
	Targets     int     `json:"targets"`
	Engines     int     `json:"engines"`
	MaxInFlight int     `json:"max_in_flight"`
}

// Phase is one pass of the trace against one kind of target.
type Phase struct {
	Name      string  `json:"name"`
	DurationS float64 `json:"duration_s"`
	Counts    Counts  `json:"counts"`
	// ByStatus counts the final answers by HTTP status; "none" is no answer.
	ByStatus map[string]int `json:"by_status"`
	// ByOutcome counts the final answers by outcome header.
	ByOutcome map[string]int `json:"by_outcome"`
	// ByCode counts the refusals of every attempt by reason code.
	ByCode  map[string]int `json:"by_code"`
	Latency Latency        `json:"latency"`
	// Slowest names the requests whose first token took longest, the slowest
	// first, and Harmed those that did not end whole, for endiveplank explain.
	Slowest []NamedRequest `json:"slowest,omitempty"`
	Harmed  []NamedRequest `json:"harmed,omitempty"`
	// ReusePct is the share of prompt tokens that came from engines' caches,
	// as the answers' usage says.
	ReusePct float64        `json:"reuse_pct"`
	Engines  []EngineSeries `json:"engines"`
	Skew     *Skew          `json:"skew,omitempty"`
	// Processes are what the processes named in the options spent.
	Processes []ProcessCost `json:"processes,omitempty"`
}

// namedRequests bounds each list of named requests.
const namedRequests = 10

// NamedRequest is a request by the name that the fleet gave it.
type NamedRequest struct {
	Request      string  `json:"request"`
	Verdict      string  `json:"verdict,omitempty"`
	FirstTokenMs float64 `json:"first_token_ms"`
}

// Counts of one phase. Each request ends in one of whole, wrong, cut, refused
// and failed.
type Counts struct {
	Sent int `json:"sent"`
	// Whole answers agree with package answer byte for byte; orders with
	// package desk.
	Whole int `json:"whole"`
	// Wrong answers are complete but not the caller's own.
	Wrong int `json:"wrong"`
	// Cut answers began and did not end.
	Cut int `json:"cut"`
	// Refused requests got an error answer at the last attempt.
	Refused int `json:"refused"`
	// Failed requests got no answer at the last attempt.
	Failed int `json:"failed"`
	// Retries are attempts after the first.
	Retries int `json:"retries"`
	// Returning requests continue a chat.
	Returning int `json:"returning"`
	// Orders are among Sent; an order that is sent twice at once counts twice.
	Orders int `json:"orders"`
	// Tokens are those of all answers, whole or not.
	Tokens int `json:"tokens"`
	// PromptTokens and CachedTokens are those of whole answers.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// LateArrivals could not be sent in time, because MaxInFlight was reached
	// or the load tool was too slow.
	LateArrivals int `json:"late_arrivals"`
	// FirstTokenInGoal got their first token within 500 ms.
	FirstTokenInGoal int `json:"first_token_in_goal"`
}

// Latency of one phase. Chats only, but for Order.
type Latency struct {
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	Whole         Quantiles `json:"whole"`
	Order         Quantiles `json:"order"`
}

// Quantiles describe a distribution of times in milliseconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"mean_ms"`
	MaxMs  float64 `json:"max_ms"`
	Points []Point `json:"points"`
}

// Point says that the share Q of the values is at most Ms.
type Point struct {
	Q  float64 `json:"q"`
	Ms float64 `json:"ms"`
}

// quantiles are the points that results hold.
var quantiles = []float64{0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1}

// At returns the value in milliseconds at a quantile that results hold, zero
// for any other.
func (q Quantiles) At(quantile float64) float64 {
	for _, point := range q.Points {
		if point.Q == quantile {
			return point.Ms
		}
	}
	return 0
}

// Histograms count microseconds up to ten minutes in three digits.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// summarise reads a histogram out.
func summarise(h *hdrhistogram.Histogram) Quantiles {
	summary := Quantiles{Count: h.TotalCount()}
	if summary.Count == 0 {
		return summary
	}
	summary.MeanMs = round(h.Mean() / 1000)
	summary.MaxMs = round(float64(h.Max()) / 1000)
	for _, q := range quantiles {
		value := float64(h.ValueAtQuantile(100*q)) / 1000
		summary.Points = append(summary.Points, Point{Q: q, Ms: round(value)})
	}
	return summary
}

// round keeps three decimals, which is a microsecond in a value in ms.
func round(value float64) float64 {
	return math.Round(value*1000) / 1000
}

// Added is what the fleet adds to the direct latency, in milliseconds. It is a
// difference of quantiles, not a quantile of differences.
type Added struct {
	FirstTokenP50Ms    float64 `json:"first_token_p50_ms"`
	FirstTokenP99Ms    float64 `json:"first_token_p99_ms"`
	BetweenTokensP50Ms float64 `json:"between_tokens_p50_ms"`
	BetweenTokensP99Ms float64 `json:"between_tokens_p99_ms"`
}

// compare returns what the fleet's phase adds to the direct one.
func compare(direct, fleet Latency) *Added {
	diff := func(of func(Latency) Quantiles, q float64) float64 {
		return round(of(fleet).At(q) - of(direct).At(q))
	}
	first := func(l Latency) Quantiles { return l.FirstToken }
	between := func(l Latency) Quantiles { return l.BetweenTokens }
	return &Added{
		FirstTokenP50Ms:    diff(first, 0.5),
		FirstTokenP99Ms:    diff(first, 0.99),
		BetweenTokensP50Ms: diff(between, 0.5),
		BetweenTokensP99Ms: diff(between, 0.99),
	}
}

// broken lists the promises that a result shows broken.
func (r *Result) broken() []string {
	list := []string{}
	add := func(count int, what string) {
		if count > 0 {
			list = append(list, what)
		}
	}
	for _, phase := range r.Phases {
		add(phase.Counts.Wrong, phase.Name+": a caller got an answer that is not its own")
		add(phase.Counts.Cut, phase.Name+": an answer was cut")
	}
	if r.Audit != nil {
		add(r.Audit.Lost, "an accepted order did not run")
		add(r.Audit.Doubled, "an order ran twice")
		add(r.Audit.FalseNotRun, "an order told as not run did run")
		add(r.Audit.Missing, "a desk did not answer the audit")
	}
	return list
}
