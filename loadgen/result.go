package loadgen

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Schema names the version of Result's layout. It changes when a field is removed
// or changes its meaning, but not when a field is added.
const Schema = "endiveplank/load/v1"

// Result is the outcome of a load run. docs/LOAD.md explains each field.
type Result struct {
	Schema   string      `json:"schema"`
	Title    string      `json:"title"`
	Settings RunSettings `json:"settings"`
	// Phases are in the order in which they ran: direct, if asked for, then fleet.
	Phases []Phase `json:"phases"`
	// Added is the latency of the fleet's phase minus that of the direct one.
	Added *Added `json:"added,omitempty"`
	Audit *Audit `json:"audit,omitempty"`
	// Broken lists the guarantees that the run found broken. The run passed if it
	// is empty.
	Broken []string `json:"broken"`
}

// RunSettings are the main options of the run.
type RunSettings struct {
	Seed        uint64  `json:"seed"`
	Run         string  `json:"run"`
	Rate        float64 `json:"rate_per_s"`
	DurationS   float64 `json:"duration_s"`
	Customers   int     `json:"customers"`
	Targets     int     `json:"targets"`
	Engines     int     `json:"engines"`
	MaxInFlight int     `json:"max_in_flight"`
}

// Phase is the result of sending the trace to one kind of target.
type Phase struct {
	Name      string  `json:"name"`
	DurationS float64 `json:"duration_s"`
	Counts    Counts  `json:"counts"`
	// ByStatus counts the final answers by HTTP status; "none" means no answer.
	ByStatus map[string]int `json:"by_status"`
	// ByOutcome counts the final answers by run outcome header; "none" means that
	// it is missing.
	ByOutcome map[string]int `json:"by_outcome"`
	// ByCode counts refusals by reason code, over all attempts.
	ByCode  map[string]int `json:"by_code"`
	Latency Latency        `json:"latency"`
	// Slowest lists the requests whose first token took longest, the slowest
	// first, and NotWhole those that did not end whole. Their IDs can be given to
	// endiveplank explain.
	Slowest  []ListedRequest `json:"slowest,omitempty"`
	NotWhole []ListedRequest `json:"harmed,omitempty"`
	// ReusePct is the percentage of prompt tokens that came from engines' caches,
	// according to the usage that answers report.
	ReusePct float64        `json:"reuse_pct"`
	Engines  []EngineSeries `json:"engines"`
	Skew     *Skew          `json:"skew,omitempty"`
	// Processes are the costs of the processes named in the options.
	Processes []ProcessCost `json:"processes,omitempty"`
}

// maxListedRequests bounds each of the lists Slowest and NotWhole.
const maxListedRequests = 10

// ListedRequest identifies a request by the ID that the fleet gave it.
type ListedRequest struct {
	Request      string  `json:"request"`
	Verdict      string  `json:"verdict,omitempty"`
	FirstTokenMs float64 `json:"first_token_ms"`
}

// Counts are the counters of one phase. Each request ends as exactly one of whole,
// wrong, cut, refused and failed.
type Counts struct {
	Sent int `json:"sent"`
	// Whole answers to chats are those that package answer computes, byte for
	// byte; those to orders are what package desk answers.
	Whole int `json:"whole"`
	// Wrong answers are complete but differ from the expected one.
	Wrong int `json:"wrong"`
	// Cut answers began but broke off or ended with an error.
	Cut int `json:"cut"`
	// Refused requests got an error status at the last attempt.
	Refused int `json:"refused"`
	// Failed requests got no answer at the last attempt.
	Failed int `json:"failed"`
	// Retries are attempts after the first.
	Retries int `json:"retries"`
	// Returning requests continue a chat.
	Returning int `json:"returning"`
	// Orders are among Sent; an order that is sent twice at once counts twice.
	Orders int `json:"orders"`
	// Tokens is the number of tokens in all answers, whole or not.
	Tokens int `json:"tokens"`
	// PromptTokens and CachedTokens are taken from the usage of whole answers.
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
	// LateArrivals could not be sent in time, because MaxInFlight was reached
	// or the load generator was too slow.
	LateArrivals int `json:"late_arrivals"`
	// FirstTokenInGoal got their first token within 500 ms.
	FirstTokenInGoal int `json:"first_token_in_goal"`
}

// Latency is the latency of one phase: Order for orders, the rest for chats.
type Latency struct {
	FirstToken    Quantiles `json:"first_token"`
	BetweenTokens Quantiles `json:"between_tokens"`
	Whole         Quantiles `json:"whole"`
	Order         Quantiles `json:"order"`
}

// Quantiles describes a distribution of times in milliseconds.
type Quantiles struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"mean_ms"`
	MaxMs  float64 `json:"max_ms"`
	Points []Point `json:"points"`
}

// Point is one quantile: the share Q of the values is at most Ms.
type Point struct {
	Q  float64 `json:"q"`
	Ms float64 `json:"ms"`
}

// quantiles are the quantiles that results hold.
var quantiles = []float64{0.05, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1}

// At returns the value in milliseconds at a quantile that results hold, or zero
// for any other quantile.
func (q Quantiles) At(quantile float64) float64 {
	for _, point := range q.Points {
		if point.Q == quantile {
			return point.Ms
		}
	}
	return 0
}

// Histograms hold microseconds up to ten minutes, with three significant digits.
const (
	lowestMicros  = 1
	highestMicros = int64(10 * time.Minute / time.Microsecond)
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// quantilesOf returns the quantiles of a histogram.
func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
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

// round rounds to three decimals, which are microseconds in a value in ms.
func round(value float64) float64 {
	return math.Round(value*1000) / 1000
}

// Added is the latency that the fleet adds to the direct one, in milliseconds. It
// holds differences of quantiles, not quantiles of differences.
type Added struct {
	FirstTokenP50Ms    float64 `json:"first_token_p50_ms"`
	FirstTokenP99Ms    float64 `json:"first_token_p99_ms"`
	BetweenTokensP50Ms float64 `json:"between_tokens_p50_ms"`
	BetweenTokensP99Ms float64 `json:"between_tokens_p99_ms"`
}

// compare returns the latency that the fleet's phase adds to the direct one.
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

// brokenGuarantees lists the guarantees that a result shows to be broken.
func (r *Result) brokenGuarantees() []string {
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
