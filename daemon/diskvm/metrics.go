package diskvm

import (
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"endiveplank/coordination/consensus"
	"endiveplank/daemon/metricstext"
)

// metricLabels maps a metric's name to the label whose value follows the dot.
var metricLabels = map[string]string{
	"table_puts_total":         "outcome",
	"evacuation_orders_total":  "outcome",
	"departures_total":         "outcome",
	"peer_bytes_sent_total":    "kind",
	"peer_messages_sent_total": "kind",
}

// countPut counts an operator's put by its outcome.
func (vm *VM) countPut(outcome string) {
	metrics.GetOrRegisterCounter("table_puts_total."+outcome, vm.registry).Inc(1)
}

// countOrder counts an operator's order for a data centre by its outcome.
func (vm *VM) countOrder(outcome string) {
	metrics.GetOrRegisterCounter("evacuation_orders_total."+outcome, vm.registry).Inc(1)
}

// CountRefusedAnnouncement counts a body that can't be an upstream's announcement.
func (vm *VM) CountRefusedAnnouncement() {
	metrics.GetOrRegisterCounter("announcements_refused_total", vm.registry).Inc(1)
}

// ServeMetrics writes all metrics as text.
func (vm *VM) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	vm.updateGauges()
	if err := metricstext.Write(w, vm.registry, metricLabels); err != nil {
		vm.log.Debug().Str("event", "metrics-not-written").Err(err).Send()
	}
}

// updateGauges sets the gauges to their current values.
func (vm *VM) updateGauges() {
	set := func(name string, value int64) { metrics.GetOrRegisterGauge(name, vm.registry).Update(value) }
	vm.options.Limits.SetGauges(set)
	if member := vm.member.Load(); member != nil {
		status := member.Status()
		leads := int64(0)
		if status.Role == consensus.Leader {
			leads = 1
		}
		set("leads", leads)
		set("term", int64(status.Term))
		set("log_last", int64(status.Last))
		set("log_applied", int64(status.Applied))
		set("voters", int64(len(status.Configuration.Voters)))
	}
	if inForce, _ := vm.machine.InForce(); inForce != nil {
		set("table_version", int64(inForce.Version))
		set("table_bytes", int64(len(inForce.Body)))
	}
	vm.fabric.SetGauges(set)
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := vm.now()
	set("upstreams_usable", int64(vm.roster.Usable()))
	set("routers_in_touch", int64(len(vm.publisher.Routers(now))))
	evacuated := int64(0)
	for _, record := range vm.publisher.Evacuations() {
		if record.Evacuated {
			evacuated++
		}
	}
	set("data_centres_evacuated", evacuated)
	inForce, _ := vm.publisher.RoutersInForce(now)
	set("evacuations_in_force_routers", int64(inForce))
	set("disk_vms_in_touch", int64(vm.follower.AliveDiskVMs(now)))
	set("uptime_seconds", int64(now/time.Second))
}
