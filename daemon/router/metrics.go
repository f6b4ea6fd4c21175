package router

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"endiveplank/coordination/capacity"
	"endiveplank/daemon/metricstext"
	"endiveplank/transport/forward"
	"endiveplank/transport/peerproxy"
)

// histogramSample is how many values a histogram keeps, with recent values weighted
// most. Size and alpha are the library's own suggestion for quantiles with an error of a
// few percent.
const (
	histogramSample = 1028
	histogramAlpha  = 0.015
)

// metricLabels maps a metric's name to the label whose value follows the dot.
var metricLabels = map[string]string{
	"refused_total":  "reason",
	"attempts_total": "result",
	"answers_total":  "status",

	"proxy_refused_total": "reason",

	"admission_limit":         "service",
	"admission_refused_total": "rank",
	"upstream_reports_total":  "verdict",

	"peer_bytes_sent_total":    "kind",
	"peer_messages_sent_total": "kind",
}

// instruments are the metrics of callers' requests. docs/METRICS.md lists their names.
// Their number is bounded by the reasons, results and status classes in the code.
type instruments struct {
	registry      metrics.Registry
	requestTime   metrics.Histogram
	firstByteTime metrics.Histogram
	attemptTime   metrics.Histogram
}

func newInstruments() *instruments {
	registry := metrics.NewRegistry()
	histogram := func(name string) metrics.Histogram {
		return metrics.GetOrRegisterHistogram(name, registry, metrics.NewExpDecaySample(histogramSample, histogramAlpha))
	}
	return &instruments{
		registry:    registry,
		requestTime: histogram("request_ms"), firstByteTime: histogram("first_byte_ms"), attemptTime: histogram("attempt_ms"),
	}
}

func (m *instruments) count(name string) {
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// countRetry counts a decision about a retry.
func (m *instruments) countRetry(granted bool) {
	if granted {
		m.count("retries_total")
		return
	}
	m.count("retries_refused_total")
}

// countRateRefusal counts a request that was refused for a rate limit.
func (m *instruments) countRateRefusal(rank int) {
	m.count("admission_refused_total." + strconv.Itoa(rank))
}

// countReservationKept counts a request that came when it was due, if it did.
func (m *instruments) countReservationKept(kept bool) {
	if kept {
		m.count("reservations_kept_total")
	}
}

// countReportedLoad counts what an upstream reported of its load.
func (m *instruments) countReportedLoad(verdict capacity.Verdict) {
	m.count("upstream_reports_total." + string(verdict))
}

func (m *instruments) set(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

// observe records a request that has ended.
func (m *instruments) observe(o forward.Outcome) {
	m.count("requests_total")
	m.requestTime.Update(o.Took.Milliseconds())
	if o.FirstAfter > 0 {
		m.firstByteTime.Update(o.FirstAfter.Milliseconds())
	}
	switch {
	case o.CallerGone:
		m.count("requests_left_total")
	case o.Aborted:
		m.count("requests_cut_total")
	case o.LocalReply:
		m.count("refused_total." + o.Reason)
	default:
		m.count("answers_total." + statusClass(o.Status))
	}
	for _, a := range o.Attempts {
		m.count("attempts_total." + a.Result.String())
		m.attemptTime.Update(a.Took.Milliseconds())
		if a.RetryAfter > 0 {
			m.count("upstream_retry_after_total")
		}
		if a.Choice.Proxy != "" {
			m.count("attempts_by_proxy_total")
		}
	}
}

// observeProxied records a request of another router that has ended.
func (m *instruments) observeProxied(refusal peerproxy.Refusal) {
	m.count("proxied_total")
	if refusal != "" {
		m.count("proxy_refused_total." + string(refusal))
	}
}

// statusClass returns the class of an upstream's status, such as 2xx.
func statusClass(status int) string {
	return string(rune('0'+status/100%10)) + "xx"
}

// serveMetrics writes all metrics as text.
func (r *Router) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	r.updateGauges()
	if err := metricstext.Write(w, r.metrics.registry, metricLabels); err != nil {
		r.log.Debug().Str("event", "metrics-not-written").Err(err).Send()
	}
}

// countRefusedAnnouncement counts a body that can't be an upstream's announcement.
func (r *Router) countRefusedAnnouncement() { r.metrics.count("announcements_refused_total") }

// updateGauges sets the gauges to their current values.
func (r *Router) updateGauges() {
	dialed, reused := r.pool.Counts()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.metrics.set("ready", gaugeValue(r.ready()))
	r.metrics.set("table_version", int64(r.tableVersion()))
	r.metrics.set("upstreams_usable", int64(r.roster.Usable()))
	r.metrics.set("disk_vms_in_touch", int64(r.follower.AliveDiskVMs(r.now())))
	r.metrics.set("routers_in_touch", int64(r.balancer.Routers()))
	r.metrics.set("requests_in_flight", int64(r.handler.Active()))
	r.metrics.set("caller_connections", int64(r.callers.listener.Open()))
	r.metrics.set("caller_connections_turned_away_total", r.callers.turnedAway.Load())
	r.limits.SetGauges(r.metrics.set)
	r.metrics.set("proxied_in_flight", int64(r.proxied.Active()))
	r.metrics.set("isolated", gaugeValue(r.paths.IsIsolated()))
	r.metrics.set("upstreams_unreachable", int64(r.paths.Unreachable()))
	r.metrics.set("upstream_connections_made_total", int64(dialed))
	r.metrics.set("upstream_connections_reused_total", int64(reused))
	r.setLimitGauges()
	r.fabric.SetGauges(r.metrics.set)
	r.metrics.set("uptime_seconds", int64(r.now()/time.Second))
}

// setLimitGauges sets the gauges of the services' rate limits. The lock is held.
func (r *Router) setLimitGauges() {
	if r.admission == nil {
		return
	}
	for service, s := range r.admission.services {
		r.metrics.set("admission_limit."+string(service), int64(s.limiter.Limit()))
	}
}

// gaugeValue returns 1 for true and 0 for false.
func gaugeValue(b bool) int64 {
	if b {
		return 1
	}
	return 0
}
