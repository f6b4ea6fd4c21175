package daemon

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"endiveplank/coordination/reason"
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

// metricPrefix starts every metric's name.
const metricPrefix = "endiveplank_"

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
	var lines []string
	c.registry.Each(func(name string, metric any) {
		if value, ok := valueOf(metric); ok {
			lines = append(lines, fmt.Sprintf("%s%s %g\n", metricPrefix, labelled(name), value))
		}
	})
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

func valueOf(metric any) (float64, bool) {
	switch metric := metric.(type) {
	case metrics.Counter:
		return float64(metric.Count()), true
	case metrics.Gauge:
		return float64(metric.Value()), true
	case metrics.GaugeFloat64:
		return metric.Value(), !math.IsNaN(metric.Value())
	}
	return 0, false
}

// labelled turns family.value into family{label="value"}.
func labelled(name string) string {
	family, value, found := strings.Cut(name, ".")
	if !found {
		return family
	}
	return fmt.Sprintf("%s{%s=%q}", family, labelOf[family], value)
}
