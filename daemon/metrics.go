package daemon

import (
	"io"

	"github.com/rcrowley/go-metrics"

	"endiveplank/coordination/reason"
	"endiveplank/daemon/metricstext"
)

// counters are the process's metrics. docs/METRICS.md lists the names.
type counters struct {
	registry metrics.Registry
	requests metrics.Counter
}

func newCounters() *counters {
	registry := metrics.NewRegistry()
	return &counters{
		registry: registry,
		requests: metrics.GetOrRegisterCounter("requests_total", registry),
	}
}

// countRefusal counts a refused request by its reason.
func (c *counters) countRefusal(why reason.Code) {
	metrics.GetOrRegisterCounter("refused_total."+string(why), c.registry).Inc(1)
}

// countDecision counts a decision by its kind.
func (c *counters) countDecision(what string) {
	metrics.GetOrRegisterCounter("decisions_total."+what, c.registry).Inc(1)
}

// set sets a gauge.
func (c *counters) set(name string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(name, c.registry).Update(value)
}

// labelNames maps a metric to its label. The registry has no labels, so the part of a metric's
// name after the dot becomes the label's value.
var labelNames = map[string]string{
	"refused_total":          "reason",
	"decisions_total":        "kind",
	"peer_bytes_total":       "message",
	"membership_bytes_total": "packet",
}

// writeText writes the metrics in the Prometheus text format, sorted by name.
func (c *counters) writeText(w io.Writer) error {
	return metricstext.Write(w, c.registry, labelNames)
}
