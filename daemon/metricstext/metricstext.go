// Package metricstext writes a metrics registry in the Prometheus text format.
package metricstext

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Prefix starts every metric's name.
const Prefix = "endiveplank_"

// quantiles are written for each histogram: the median, and the value that one caller in ten,
// in a hundred and in a thousand exceeds.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Write writes all metrics, sorted by name. The registry has no labels, so a dot in a metric's
// name separates the name from the value of its only label. labels maps the part before the
// dot to the name of that label.
func Write(w io.Writer, registry metrics.Registry, labels map[string]string) error {
	var lines []string
	registry.Each(func(name string, metric any) {
		family, value, found := strings.Cut(name, ".")
		label := ""
		if found {
			label = fmt.Sprintf("%s=%q", labels[family], value)
		}
		lines = append(lines, linesOf(family, label, metric)...)
	})
	slices.Sort(lines)
	_, err := io.WriteString(w, strings.Join(lines, ""))
	return err
}

// linesOf returns the lines of one metric.
func linesOf(family, label string, metric any) []string {
	switch metric := metric.(type) {
	case metrics.Counter:
		return []string{line(family, label, float64(metric.Count()))}
	case metrics.Gauge:
		return []string{line(family, label, float64(metric.Value()))}
	case metrics.GaugeFloat64:
		if math.IsNaN(metric.Value()) {
			return nil
		}
		return []string{line(family, label, metric.Value())}
	case metrics.Histogram:
		return histogramLines(family, label, metric.Snapshot())
	}
	return nil
}

// histogramLines returns the lines of a histogram: its quantiles and its count.
func histogramLines(family, label string, h metrics.Histogram) []string {
	lines := []string{line(family+"_count", label, float64(h.Count()))}
	for i, value := range h.Percentiles(quantiles) {
		quantile := fmt.Sprintf("quantile=\"%g\"", quantiles[i])
		if label != "" {
			quantile = label + "," + quantile
		}
		lines = append(lines, line(family, quantile, value))
	}
	return lines
}

func line(family, labels string, value float64) string {
	if labels != "" {
		labels = "{" + labels + "}"
	}
	return fmt.Sprintf("%s%s%s %g\n", Prefix, family, labels, value)
}
