package loadgen

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"endiveplank/loadgen/trace"
)

// firstTokenGoal is the time to the first token that counts as good. Results name
// it in the counter FirstTokenInGoal.
const firstTokenGoal = 500 * time.Millisecond

// verdict is the result of checking a request's answer. The fields of Counts
// describe the values.
type verdict int

const (
	whole verdict = iota
	wrong
	cut
	refused
	failed
)

// verdictNames are the names of the verdicts of bad answers, as in the JSON keys of
// Counts.
var verdictNames = map[verdict]string{wrong: "wrong", cut: "cut", refused: "refused", failed: "failed"}

// attemptResult is the result of one attempt of a request.
type attemptResult struct {
	verdict verdict
	// status is the HTTP status, or zero if no response came.
	status int
	// outcome is the value of the run outcome header.
	outcome string
	// requestID is the ID that the fleet gave the request.
	requestID string
	// reasonCode is the code of a refusal or of an error within a stream.
	reasonCode string
	retryAfter time.Duration
	// retry means that another attempt may succeed.
	retry        bool
	firstToken   time.Duration
	tokenGaps    []time.Duration
	duration     time.Duration
	tokens       int
	promptTokens int
	cachedTokens int
}

// recorder collects the results of one phase. It is safe for concurrent use.
type recorder struct {
	mu            sync.Mutex
	counts        Counts
	inFlight      int
	byStatus      map[string]int
	byOutcome     map[string]int
	byCode        map[string]int
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	whole         *hdrhistogram.Histogram
	order         *hdrhistogram.Histogram
	orders        map[string]reportedOutcome
	slowest       []ListedRequest
	notWhole      []ListedRequest
}

// reportedOutcome is the outcome that the caller of an order got last.
type reportedOutcome int

const (
	reportedUnknown reportedOutcome = iota
	reportedAccepted
	reportedNotRun
)

func newRecorder() *recorder {
	return &recorder{
		byStatus:      make(map[string]int),
		byOutcome:     make(map[string]int),
		byCode:        make(map[string]int),
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		whole:         newHistogram(),
		order:         newHistogram(),
		orders:        make(map[string]reportedOutcome),
	}
}

// recordSent records a request that is sent for the first time.
func (r *recorder) recordSent(item trace.Item, late bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight++
	r.counts.Sent++
	if item.Order != nil {
		r.counts.Orders++
	}
	if item.Turn > 0 {
		r.counts.Returning++
	}
	if late {
		r.counts.LateArrivals++
	}
}

// recordRetry records an attempt that is followed by another.
func (r *recorder) recordRetry(got attemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Retries++
	r.countCode(got)
}

// recordEnd records the last attempt of a request.
func (r *recorder) recordEnd(item trace.Item, got attemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.countCode(got)
	status := "none"
	if got.status > 0 {
		status = strconv.Itoa(got.status)
	}
	r.byStatus[status]++
	if got.outcome == "" {
		got.outcome = "none"
	}
	r.byOutcome[got.outcome]++
	r.countVerdict(got)
	r.listRequest(got)
	if item.Order != nil {
		r.recordOrder(item.Order.Key, got)
		return
	}
	r.recordChat(got)
}

func (r *recorder) countCode(got attemptResult) {
	if got.reasonCode != "" {
		r.byCode[got.reasonCode]++
	}
}

func (r *recorder) countVerdict(got attemptResult) {
	switch got.verdict {
	case whole:
		r.counts.Whole++
	case wrong:
		r.counts.Wrong++
	case cut:
		r.counts.Cut++
	case refused:
		r.counts.Refused++
	case failed:
		r.counts.Failed++
	}
}

// listRequest keeps the IDs of requests that are worth explaining: the first
// maxListedRequests that did not end whole, and those with the slowest first
// tokens.
func (r *recorder) listRequest(got attemptResult) {
	if got.requestID == "" {
		return
	}
	listed := ListedRequest{Request: got.requestID, FirstTokenMs: round(float64(got.firstToken.Microseconds()) / 1000)}
	if got.verdict != whole && len(r.notWhole) < maxListedRequests {
		listed.Verdict = verdictNames[got.verdict]
		r.notWhole = append(r.notWhole, listed)
	}
	if got.tokens == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(r.slowest, listed, func(a, b ListedRequest) int {
		return cmp.Compare(b.FirstTokenMs, a.FirstTokenMs)
	})
	if at < maxListedRequests {
		r.slowest = slices.Insert(r.slowest, at, listed)
		r.slowest = r.slowest[:min(len(r.slowest), maxListedRequests)]
	}
}

// recordOrder records the outcome that the caller of an order got. If an order was
// sent twice at once, an acceptance of either counts, and an unknown outcome takes
// precedence over "not run".
func (r *recorder) recordOrder(key string, got attemptResult) {
	outcome := reportedUnknown
	switch {
	case got.verdict == whole:
		outcome = reportedAccepted
		recordDuration(r.order, got.duration)
	case got.outcome == "not-run":
		outcome = reportedNotRun
	}
	before, seen := r.orders[key]
	switch {
	case !seen, outcome == reportedAccepted:
		r.orders[key] = outcome
	case before == reportedNotRun && outcome == reportedUnknown:
		r.orders[key] = reportedUnknown
	}
}

func (r *recorder) recordChat(got attemptResult) {
	r.counts.Tokens += got.tokens
	if got.tokens > 0 {
		recordDuration(r.firstToken, got.firstToken)
		if got.firstToken <= firstTokenGoal {
			r.counts.FirstTokenInGoal++
		}
	}
	for _, gap := range got.tokenGaps {
		recordDuration(r.betweenTokens, gap)
	}
	if got.verdict != whole {
		return
	}
	recordDuration(r.whole, got.duration)
	r.counts.PromptTokens += got.promptTokens
	r.counts.CachedTokens += got.cachedTokens
}

func recordDuration(h *hdrhistogram.Histogram, value time.Duration) {
	_ = h.RecordValue(min(max(value.Microseconds(), lowestMicros), highestMicros))
}

// phase returns what was recorded, as the result of a phase.
func (r *recorder) phase(name string, took time.Duration) Phase {
	r.mu.Lock()
	defer r.mu.Unlock()
	phase := Phase{
		Name:      name,
		DurationS: round(took.Seconds()),
		Counts:    r.counts,
		ByStatus:  r.byStatus,
		ByOutcome: r.byOutcome,
		ByCode:    r.byCode,
		Slowest:   r.slowest,
		NotWhole:  r.notWhole,
		Latency: Latency{
			FirstToken:    quantilesOf(r.firstToken),
			BetweenTokens: quantilesOf(r.betweenTokens),
			Whole:         quantilesOf(r.whole),
			Order:         quantilesOf(r.order),
		},
	}
	if r.counts.PromptTokens > 0 {
		phase.ReusePct = round(100 * float64(r.counts.CachedTokens) / float64(r.counts.PromptTokens))
	}
	return phase
}
