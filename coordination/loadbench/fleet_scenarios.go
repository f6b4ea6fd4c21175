package loadbench

import (
	"fmt"
	"time"
)

// fleetScenarios measure by how much the fleet misses customers' limits, and the
// control traffic. With 100 and 330 routers, the rate is about 30 requests per
// second and router, as in a fleet of 330 routers at its peak.
func fleetScenarios() []Scenario {
	lossy := fleetConfig(100, 720, 2970)
	lossy.MessageLoss, lossy.End = 0.05, 120*time.Second
	partitioned := fleetConfig(100, 720, 2970)
	partitioned.End = 130 * time.Second
	partitioned.Partitioned, partitioned.PartitionFrom, partitioned.PartitionTo = 33, 90*time.Second, 120*time.Second
	return []Scenario{
		fleetScenario(fleetConfig(9, 10, 60)),
		fleetScenario(fleetConfig(100, 720, 2970)),
		concurrentScenario(fleetConfig(100, 720, 2970)),
		{Name: "limits/routers=100/lost=5pct", Run: func() []Metric { return fleetMetrics("", lossy) }},
		{Name: "limits/routers=100/parted=33", Run: func() []Metric { return fleetMetrics("", partitioned)[:1] }},
	}
}

// LargeScenarios returns the scenarios that run only as benchmarks, because they
// take long.
func LargeScenarios() []Scenario {
	return []Scenario{
		fleetScenario(fleetConfig(330, 2400, 9800)),
		fleetScenario(fleetConfig(1000, 2400, 9800)),
	}
}

func fleetConfig(routers, customers int, rate float64) FleetConfig {
	return FleetConfig{
		Seed:         Seeds[0],
		Routers:      routers,
		Customers:    customers,
		Rate:         rate,
		GreedyEvery:  10,
		GreedyFactor: 3,
		WarmUp:       60 * time.Second,
		End:          180 * time.Second,
	}
}

func fleetScenario(config FleetConfig) Scenario {
	return Scenario{Name: fmt.Sprintf("limits/routers=%d", config.Routers), Run: func() []Metric {
		metrics := fleetMetrics("", config)
		config.Policy = EqualShares
		metrics = append(metrics, fleetMetrics("equal-shares-", config)[:3]...)
		config.Policy = PerRouter
		return append(metrics, fleetMetrics("per-router-", config)[0])
	}}
}

// concurrentScenario limits the requests in flight of every customer instead of
// their tokens per second.
func concurrentScenario(config FleetConfig) Scenario {
	config.Concurrent = true
	config.End = 120 * time.Second
	return Scenario{Name: fmt.Sprintf("limits/routers=%d/in-flight", config.Routers), Run: func() []Metric {
		r := RunFleet(config)
		config.Policy = OneCounter
		ideal := RunFleet(config)
		return []Metric{
			{"most-in-flight-over-pct", r.MaxInFlightOverPct},
			{"mean-in-flight-best-pct", r.MaxErrorPct},
			{"mean-in-flight-worst-pct", r.MinErrorPct},
			{"modest-refused-pct", r.ModestRefusedPct},
			{"one-counter-modest-refused-pct", ideal.ModestRefusedPct},
			{"ctl-B/s/node", r.BytesMean},
			{"ctl-B/s/busiest-node", r.BytesMax},
		}
	}}
}

func fleetMetrics(prefix string, config FleetConfig) []Metric {
	r := RunFleet(config)
	return []Metric{
		{prefix + "over-pct", r.MaxErrorPct},
		{prefix + "under-pct", r.MinErrorPct},
		{prefix + "modest-refused-pct", r.ModestRefusedPct},
		{prefix + "waited-pct", r.WaitedPct},
		{prefix + "ctl-B/s/node", r.BytesMean},
		{prefix + "ctl-B/s/busiest-node", r.BytesMax},
	}
}
