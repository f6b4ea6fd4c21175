package metricstext

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

func TestFormOfEachKindOfMetric(t *testing.T) {
	// Guards against lines of counters, gauges or histograms that Prometheus can't read.
	registry := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("refused_total.no-table", registry).Inc(3)
	metrics.GetOrRegisterGauge("ready", registry).Update(1)
	h := metrics.GetOrRegisterHistogram("took_ms", registry, metrics.NewUniformSample(10))
	h.Update(5)
	var text strings.Builder
	assert.NilError(t, Write(&text, registry, map[string]string{"refused_total": "reason"}))
	assert.Equal(t, text.String(), `endiveplank_ready 1
endiveplank_refused_total{reason="no-table"} 3
endiveplank_took_ms_count 1
endiveplank_took_ms{quantile="0.5"} 5
endiveplank_took_ms{quantile="0.9"} 5
endiveplank_took_ms{quantile="0.99"} 5
endiveplank_took_ms{quantile="0.999"} 5
`)
}
