package tracebench

import (
	"slices"
	"time"

	"endiveplank/coordination/loadbound"
	"endiveplank/coordination/placement"
)

// eventList is the events of one batch.
type eventList = []placement.Event

// Result holds the figures of one run, measured after the warm-up.
type Result struct {
	// Requests is the number of requests placed.
	Requests int
	// SkewMax is the highest skew of an engine that admitted a request, and
	// SkewP99 the 99th percentile over admissions.
	SkewMax float64
	SkewP99 float64
	// SkewCounted is the highest skew of an engine that admitted a request, by
	// the counts of the engine's owner and of all owners, without the
	// admissions of IdleOrOneOverPct.
	SkewCounted float64
	// SkewAny is the highest skew of any engine at any admission.
	SkewAny float64
	// OverPct is the percentage of admissions that left the engine above the
	// default multiple.
	OverPct float64
	// ReusePct is the percentage of prompt tokens served from cache.
	ReusePct float64
	// LeaverReusePct is the same for chats that were cached on an engine when
	// it left as planned, for the first turn after the leave. LeaverTurns is
	// the number of these turns, and MovedTokens the number of tokens moved.
	LeaverReusePct float64
	LeaverTurns    int
	MovedTokens    int
	// MeanStreams is the mean number of requests on an engine.
	MeanStreams float64
	// Queries is the mean number of queries to owners for one request.
	Queries float64
	// MovedPct is the percentage of requests that left a new forwarding
	// pointer.
	MovedPct float64
	// IdleOrOneOverPct is the percentage of requests that the load bound
	// admitted with the reason Idle or OneOver.
	IdleOrOneOverPct float64
	// WaitPct is the number of waits of 20 ms in a queue per hundred
	// requests.
	WaitPct float64
	// ControlBytes is the payload of load summaries that a router sends in a
	// second, in the mean, and ControlMaxBytes that of the busiest router.
	ControlBytes    float64
	ControlMaxBytes float64
}

// meter collects the figures of a Result during a run.
type meter struct {
	skews         []float64
	skewAny       float64
	counted       float64
	over          int
	prompt        int
	saved         int
	streams       float64
	waits         int
	queries       int
	walks         int
	moved         int
	idleOrOneOver int
	sent          []int
	leaver        plannedLeaveMeter
}

// admitted measures the fleet just after an admission.
func (m *meter) admitted(now time.Duration, sim *simulation, r *request) {
	if now < sim.config.WarmUp {
		m.waits = 0
		return
	}
	m.leaver.admitted(r)
	m.prompt += r.turn.prompt()
	m.saved += r.saved
	load, capacity, streams, up := 0.0, 0.0, 0, 0
	for _, e := range sim.engines {
		if !e.up {
			continue
		}
		up++
		load += e.load
		capacity += e.capacity
		streams += len(e.running)
	}
	mean := load / capacity
	for _, e := range sim.engines {
		if e.up {
			m.skewAny = max(m.skewAny, e.load/e.capacity/mean)
		}
	}
	e := sim.engines[r.engine]
	skew := e.load / e.capacity / mean
	m.skews = append(m.skews, skew)
	if skew > loadbound.DefaultMultiple+1e-9 {
		m.over++
	}
	m.streams += float64(streams) / float64(up)
}

// result computes the Result of the run.
func (m *meter) result(sim *simulation) Result {
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
	if m.walks > 0 {
		r.Queries = float64(m.queries) / float64(m.walks)
		r.MovedPct = 100 * float64(m.moved) / float64(m.walks)
		r.IdleOrOneOverPct = 100 * float64(m.idleOrOneOver) / float64(m.walks)
	}
	for _, sent := range m.sent {
		rate := float64(sent) / sim.end.Seconds()
		r.ControlBytes += rate / float64(len(m.sent))
		r.ControlMaxBytes = max(r.ControlMaxBytes, rate)
	}
	return r
}

// merge adds the result of another seed: the highest of the maxima, and the
// mean of the rest weighted by requests.
func (r *Result) merge(other Result) {
	old, add := float64(r.Requests), float64(other.Requests)
	if old+add == 0 {
		return
	}
	mean := func(into *float64, value float64) {
		*into = (*into*old + value*add) / (old + add)
	}
	r.mergePlannedLeaves(other)
	r.Requests += other.Requests
	r.SkewMax = max(r.SkewMax, other.SkewMax)
	r.SkewAny = max(r.SkewAny, other.SkewAny)
	r.SkewCounted = max(r.SkewCounted, other.SkewCounted)
	r.ControlMaxBytes = max(r.ControlMaxBytes, other.ControlMaxBytes)
	mean(&r.SkewP99, other.SkewP99)
	mean(&r.OverPct, other.OverPct)
	mean(&r.ReusePct, other.ReusePct)
	mean(&r.MeanStreams, other.MeanStreams)
	mean(&r.Queries, other.Queries)
	mean(&r.MovedPct, other.MovedPct)
	mean(&r.IdleOrOneOverPct, other.IdleOrOneOverPct)
	mean(&r.WaitPct, other.WaitPct)
	mean(&r.ControlBytes, other.ControlBytes)
}
