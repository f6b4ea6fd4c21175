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

// refused counts a refusal by its reason.
func (c *counters) refused(why reason.Code) {
	metrics.GetOrRegisterCounter("refused_total."+string(why), c.registry).Inc(1)
}

// decision counts an explained decision by its kind.
func (c *counters) decision(what string) {
	metrics.GetOrRegisterCounter("decisions_total."+what, c.registry).Inc(1)
}

// set puts a gauge to a value.
func (c *counters) set(name string, value float64) {
	metrics.GetOrRegisterGaugeFloat64(name, c.registry).Update(value)
}

// labelOf names the label that the part of a metric's name after the dot
// becomes. The registry has no labels of its own.
var labelOf = map[string]string{
	"refused_total":          "reason",
	"decisions_total":        "kind",
	"peer_bytes_total":       "message",
	"membership_bytes_total": "packet",
}

// writeText writes the metrics in the Prometheus text form, sorted by name.
func (c *counters) writeText(w io.Writer) error {
	return metricstext.Write(w, c.registry, labelOf)
}
