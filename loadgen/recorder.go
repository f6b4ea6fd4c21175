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

// firstTokenGoal is the time within which callers hope for a first token.
const firstTokenGoal = 500 * time.Millisecond

// verdict says how a request ended.
type verdict int

const (
	whole verdict = iota
	wrong
	cut
	refused
	failed
)

// verdictNames are the names of the counts that verdicts go into.
var verdictNames = map[verdict]string{wrong: "wrong", cut: "cut", refused: "refused", failed: "failed"}

// reply is what one attempt of a request brought.
type reply struct {
	verdict verdict
	// status is the HTTP status, zero without an answer.
	status  int
	outcome string
	// request is the fleet's name of the request.
	request string
	// code is the reason code of a refusal.
	code       string
	retryAfter time.Duration
	// retry says that another attempt may help.
	retry      bool
	firstToken time.Duration
	between    []time.Duration
	took       time.Duration
	tokens     int
	prompt     int
	cached     int
}

// recorder gathers the replies of one phase.
type recorder struct {
	mu        sync.Mutex
	counts    Counts
	inFlight  int
	byStatus  map[string]int
	byOutcome map[string]int
	byCode    map[string]int
	first     *hdrhistogram.Histogram
	between   *hdrhistogram.Histogram
	whole     *hdrhistogram.Histogram
	order     *hdrhistogram.Histogram
	orders    map[string]orderTold
	slowest   []NamedRequest
	harmed    []NamedRequest
}

// orderTold is what the caller of an order was told last.
type orderTold int

const (
	toldUnknown orderTold = iota
	toldAccepted
	toldNotRun
)

func newRecorder() *recorder {
	return &recorder{
		byStatus:  make(map[string]int),
		byOutcome: make(map[string]int),
		byCode:    make(map[string]int),
		first:     newHistogram(),
		between:   newHistogram(),
		whole:     newHistogram(),
		order:     newHistogram(),
		orders:    make(map[string]orderTold),
	}
}

// sent notes that a request is on its way.
func (r *recorder) sent(item trace.Item, late bool) {
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

// retried notes an attempt that is followed by another.
func (r *recorder) retried(got reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts.Retries++
	r.noteCode(got)
}

// ended notes the last attempt of a request.
func (r *recorder) ended(item trace.Item, got reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.noteCode(got)
	status := "none"
	if got.status > 0 {
		status = strconv.Itoa(got.status)
	}
	r.byStatus[status]++
	if got.outcome == "" {
		got.outcome = "none"
	}
	r.byOutcome[got.outcome]++
	r.noteVerdict(got)
	r.noteName(got)
	if item.Order != nil {
		r.noteOrder(item.Order.Key, got)
		return
	}
	r.noteChat(got)
}

func (r *recorder) noteCode(got reply) {
	if got.code != "" {
		r.byCode[got.code]++
	}
}

func (r *recorder) noteVerdict(got reply) {
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

// noteName keeps the names of the requests that someone will ask about.
func (r *recorder) noteName(got reply) {
	if got.request == "" {
		return
	}
	named := NamedRequest{Request: got.request, FirstTokenMs: round(float64(got.firstToken.Microseconds()) / 1000)}
	if got.verdict != whole && len(r.harmed) < namedRequests {
		named.Verdict = verdictNames[got.verdict]
		r.harmed = append(r.harmed, named)
	}
	if got.tokens == 0 {
		return
	}
	at, _ := slices.BinarySearchFunc(r.slowest, named, func(a, b NamedRequest) int {
		return cmp.Compare(b.FirstTokenMs, a.FirstTokenMs)
	})
	if at < namedRequests {
		r.slowest = slices.Insert(r.slowest, at, named)
		r.slowest = r.slowest[:min(len(r.slowest), namedRequests)]
	}
}

// noteOrder remembers the best that a caller was told: when an order was sent
// twice at once, an acceptance to either caller counts.
func (r *recorder) noteOrder(key string, got reply) {
	told := toldUnknown
	switch {
	case got.verdict == whole:
		told = toldAccepted
		record(r.order, got.took)
	case got.outcome == "not-run":
		told = toldNotRun
	}
	before, seen := r.orders[key]
	switch {
	case !seen, told == toldAccepted:
		r.orders[key] = told
	case before == toldNotRun && told == toldUnknown:
		r.orders[key] = toldUnknown
	}
}

func (r *recorder) noteChat(got reply) {
	r.counts.Tokens += got.tokens
	if got.tokens > 0 {
		record(r.first, got.firstToken)
		if got.firstToken <= firstTokenGoal {
			r.counts.FirstTokenInGoal++
		}
	}
	for _, gap := range got.between {
		record(r.between, gap)
	}
	if got.verdict != whole {
		return
	}
	record(r.whole, got.took)
	r.counts.PromptTokens += got.prompt
	r.counts.CachedTokens += got.cached
}

func record(h *hdrhistogram.Histogram, value time.Duration) {
	_ = h.RecordValue(min(max(value.Microseconds(), lowestMicros), highestMicros))
}

// phase reads the recorder out.
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
		Harmed:    r.harmed,
		Latency: Latency{
			FirstToken:    summarise(r.first),
			BetweenTokens: summarise(r.between),
			Whole:         summarise(r.whole),
			Order:         summarise(r.order),
		},
	}
	if r.counts.PromptTokens > 0 {
		phase.ReusePct = round(100 * float64(r.counts.CachedTokens) / float64(r.counts.PromptTokens))
	}
	return phase
}
