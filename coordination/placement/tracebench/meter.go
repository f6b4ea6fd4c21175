package tracebench

import (
	"slices"
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
)

// eventList is the events of one batch.
type eventList = []placement.Event

// Result is what one run gave.
type Result struct {
	// Requests were placed after the warm-up.
	Requests int
	// SkewMax is the highest load over mean of an engine admitted to, and
	// SkewP99 its 99th percentile over admissions.
	SkewMax float64
	SkewP99 float64
	// SkewCounted is the highest load over mean of an engine admitted to as
	// its owner counts it, over the fleet as all owners count it, without
	// the admissions of FewPct.
	SkewCounted float64
	// SkewAny is the highest load over mean of any engine at any admission.
	SkewAny float64
	// OverPct is the share of admissions that left the engine above the
	// default multiple.
	OverPct float64
	// ReusePct is the share of prompt tokens served from cache.
	ReusePct float64
	// LeaverReusePct is the same for the first turn after a planned leave of
	// each chat that the leaver held, LeaverTurns how many these are, and
	// MovedTokens the tokens moved.
	LeaverReusePct float64
	LeaverTurns    int
	MovedTokens    int
	// MeanStreams is the mean number of requests on an engine.
	MeanStreams float64
	// Asks is the mean number of questions to owners for one request.
	Asks float64
	// MovedPct is the share of requests that left a new pointer.
	MovedPct float64
	// FewPct is the share admitted as idle or one over.
	FewPct float64
	// WaitPct is the waits of 20 ms in a queue, per hundred requests.
	WaitPct float64
	// ControlBytes is the payload of summaries a node sends in a second, and
	// ControlMost that of the busiest node.
	ControlBytes float64
	ControlMost  float64
}

// meter collects a Result.
type meter struct {
	skews   []float64
	skewAny float64
	counted float64
	over    int
	prompt  int
	saved   int
	streams float64
	waits   int
	asks    int
	asked   int
	moved   int
	few     int
	sent    []int
	leaver  leaverMeter
}

// admitted measures the fleet right after an admission.
func (m *meter) admitted(now time.Duration, w *world, r *request) {
	if now < w.config.WarmUp {
		m.waits = 0
		return
	}
	m.leaver.admitted(r)
	m.prompt += r.turn.prompt()
	m.saved += r.saved
	load, capacity, streams, up := 0.0, 0.0, 0, 0
	for _, e := range w.engines {
		if !e.up {
			continue
		}
		up++
		load += e.load
		capacity += e.capacity
		streams += len(e.running)
	}
	mean := load / capacity
	for _, e := range w.engines {
		if e.up {
			m.skewAny = max(m.skewAny, e.load/e.capacity/mean)
		}
	}
	e := w.engines[r.engine]
	skew := e.load / e.capacity / mean
	m.skews = append(m.skews, skew)
	if skew > loadbound.DefaultMultiple+1e-9 {
		m.over++
	}
	m.streams += float64(streams) / float64(up)
}

// result sums the run up.
func (m *meter) result(w *world) Result {
	n := len(m.skews)
	if n == 0 {
		return Result{}
	}
	slices.Sort(m.skews)
	count := float64(n)
	r := Result{
		Requests:    n,
		SkewMax:     m.skews[n-1],
		SkewP99:     m.skews[n*99/100],
		SkewAny:     m.skewAny,
		SkewCounted: m.counted,
		OverPct:     100 * float64(m.over) / count,
		ReusePct:    100 * float64(m.saved) / float64(m.prompt),
		MeanStreams: m.streams / count,
		WaitPct:     100 * float64(m.waits) / count,
	}
	m.leaver.result(&r)
	if m.asked > 0 {
		r.Asks = float64(m.asks) / float64(m.asked)
		r.MovedPct = 100 * float64(m.moved) / float64(m.asked)
		r.FewPct = 100 * float64(m.few) / float64(m.asked)
	}
	for _, sent := range m.sent {
		rate := float64(sent) / w.end.Seconds()
		r.ControlBytes += rate / float64(len(m.sent))
		r.ControlMost = max(r.ControlMost, rate)
	}
	return r
}

// merge adds the result of another seed: the worst of the maxima, the mean of
// the rest by requests.
func (r *Result) merge(other Result) {
	old, add := float64(r.Requests), float64(other.Requests)
	if old+add == 0 {
		return
	}
	mean := func(into *float64, value float64) {
		*into = (*into*old + value*add) / (old + add)
	}
	r.mergeLeaver(other)
	r.Requests += other.Requests
	r.SkewMax = max(r.SkewMax, other.SkewMax)
	r.SkewAny = max(r.SkewAny, other.SkewAny)
	r.SkewCounted = max(r.SkewCounted, other.SkewCounted)
	r.ControlMost = max(r.ControlMost, other.ControlMost)
	mean(&r.SkewP99, other.SkewP99)
	mean(&r.OverPct, other.OverPct)
	mean(&r.ReusePct, other.ReusePct)
	mean(&r.MeanStreams, other.MeanStreams)
	mean(&r.Asks, other.Asks)
	mean(&r.MovedPct, other.MovedPct)
	mean(&r.FewPct, other.FewPct)
	mean(&r.WaitPct, other.WaitPct)
	mean(&r.ControlBytes, other.ControlBytes)
}
