package router

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"endiveplank/transport/forward"
)

// instruments count what callers got. docs/METRICS.md lists the names.
type instruments struct {
	registry metrics.Registry
}

func newInstruments() *instruments {
	return &instruments{registry: metrics.NewRegistry()}
}

// observe counts one request.
func (m *instruments) observe(o forward.Outcome) {
	metrics.GetOrRegisterCounter("requests_total", m.registry).Inc(1)
	switch {
	case o.CallerGone:
		metrics.GetOrRegisterCounter("requests_left_total", m.registry).Inc(1)
	case o.Cut:
		metrics.GetOrRegisterCounter("requests_cut_total", m.registry).Inc(1)
	case o.Own:
		metrics.GetOrRegisterCounter("refused_total."+o.Reason, m.registry).Inc(1)
	}
	if extra := len(o.Attempts) - 1; extra > 0 {
		metrics.GetOrRegisterCounter("attempts_more_total", m.registry).Inc(int64(extra))
	}
	_ = time.Second
}

// answerMetrics writes all metrics as text.
func (r *Router) answerMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.WriteOnce(r.metrics.registry, w)
}
