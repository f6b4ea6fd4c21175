package engineorders

import (
	"time"

	"endiveplank/protocol"
)

// staleAfter is how long after its last report an engine's rate counts as unknown:
// four polls.
const staleAfter = 4 * pollInterval

// Meter computes the demand of models from the work that owners count.
//
// An owner reports the work that an engine has completed for each model since the
// ownership began. It reports a count and not a rate, so that a lost report loses
// no work; the rate is computed from two reports of the same ownership.
type Meter struct {
	engines map[protocol.UpstreamID]*engineWork
}

type engineWork struct {
	ownershipFence protocol.Fence
	at             time.Duration
	completed      map[protocol.Model]float64
	rates          map[protocol.Model]float64
	// hasRates says that rates were computed from two reports of one ownership.
	hasRates bool
}

// NewMeter returns a meter without reports.
func NewMeter() *Meter { return &Meter{engines: map[protocol.UpstreamID]*engineWork{}} }

// HandleReply handles an owner's report. It ignores replies to orders: reports that
// come more often than polls would give rates over only a few requests.
func (m *Meter) HandleReply(now time.Duration, reply Reply) {
	if reply.Fence != 0 || reply.Admission != Admitted {
		return
	}
	known := m.engines[reply.Upstream]
	if known == nil || known.ownershipFence != reply.OwnershipFence {
		m.engines[reply.Upstream] = &engineWork{ownershipFence: reply.OwnershipFence, at: now, completed: reply.Completed}
		return
	}
	if now <= known.at {
		return
	}
	known.rates = map[protocol.Model]float64{}
	for model, completed := range reply.Completed {
		known.rates[model] = max(0, completed-known.completed[model]) / (now - known.at).Seconds()
	}
	known.hasRates = true
	known.at = now
	known.completed = reply.Completed
}

// Demand returns a model's demand; serving has the engines that serve it with their
// capacities. An engine whose rate is unknown is assumed to be as loaded as the
// others: if it counted as idle, a few lost reports would look like a fall in
// demand. ok is false while no engine's rate is known.
func (m *Meter) Demand(now time.Duration, model protocol.Model, serving map[protocol.UpstreamID]float64) (demand Demand, ok bool) {
	all, known, tokens := 0.0, 0.0, 0.0
	for id, capacity := range serving {
		all += capacity
		work := m.engines[id]
		if work == nil || !work.hasRates || now-work.at > staleAfter {
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
