package engineorders

import (
	"time"

	"endiveplank/protocol"
)

// staleAfter is after how long without a report an engine's rate counts as
// not known: four surveys.
const staleAfter = 4 * surveyEvery

// Meter turns the work that owners count into models' demand.
//
// An owner reports the work that an engine has done for each model since its
// tenure began. A count and not a rate, so that a lost report loses nothing;
// the difference of two reports of one tenure is the rate between them.
type Meter struct {
	engines map[protocol.UpstreamID]*engineWork
}

type engineWork struct {
	tenure protocol.Fence
	at     time.Duration
	done   map[protocol.Model]float64
	rates  map[protocol.Model]float64
	// rated says that two reports of one tenure were had.
	rated bool
}

// NewMeter returns a meter that knows no demand.
func NewMeter() *Meter { return &Meter{engines: map[protocol.UpstreamID]*engineWork{}} }

// Reply takes an owner's report. It must come no more often than a survey, or
// the rates are of few requests; answers to orders are therefore left out.
func (m *Meter) Reply(now time.Duration, reply Reply) {
	if reply.Fence != 0 || reply.Verdict != Passed {
		return
	}
	known := m.engines[reply.Upstream]
	if known == nil || known.tenure != reply.Tenure {
		m.engines[reply.Upstream] = &engineWork{tenure: reply.Tenure, at: now, done: reply.Done}
		return
	}
	if now <= known.at {
		return
	}
	known.rates = map[protocol.Model]float64{}
	for model, done := range reply.Done {
		known.rates[model] = max(0, done-known.done[model]) / (now - known.at).Seconds()
	}
	known.rated = true
	known.at = now
	known.done = reply.Done
}

// Demand returns a model's demand, from the engines that serve it with their
// capacities. An engine whose rate isn't known is taken to do as the others:
// taken for idle, a few lost reports would look like a fall in demand. ok is
// false while no engine's rate is known.
func (m *Meter) Demand(now time.Duration, model protocol.Model, serving map[protocol.UpstreamID]float64) (demand Demand, ok bool) {
	all, known, tokens := 0.0, 0.0, 0.0
	for id, capacity := range serving {
		all += capacity
		work := m.engines[id]
		if work == nil || !work.rated || now-work.at > staleAfter {
			continue
		}
		known += capacity
		tokens += work.rates[model]
	}
	if known == 0 {
		return Demand{}, false
	}
	return Demand{Tokens: tokens * all / known, PerReplica: all / float64(len(serving))}, true
}
