package loadbench

import (
	"fmt"
	"time"
)

// crashScenarios measure how many engines a request crashes that crashes every
// engine it runs on, and how this affects the harmless requests in flight beside
// it.
func crashScenarios() []Scenario {
	var scenarios []Scenario
	for _, perEngine := range []int{8, 64} {
		for _, bad := range []int{1, 2} {
			scenarios = append(scenarios, crashScenario(9, 12, perEngine, bad))
		}
	}
	scenarios = append(scenarios, crashScenario(33, 79, 32, 2), rackScenario())
	return scenarios
}

func crashScenario(routers, engines, perEngine, bad int) Scenario {
	config := CrashConfig{
		Routers:           routers,
		Engines:           engines,
		InFlightPerEngine: perEngine,
		BadRequests:       bad,
		BadAt:             15 * time.Second,
		CrashAfter:        300 * time.Millisecond,
		End:               70 * time.Second,
	}
	name := fmt.Sprintf("crash/engines=%d/inflight=%d/bad=%d", engines, perEngine, bad)
	return Scenario{Name: name, Run: func() []Metric {
		metrics := crashMetrics("", config, true)
		return append(metrics, crashMetrics("undefended-", config, false)...)
	}}
}

// rackScenario loses a third of the engines within 300 ms, as when a rack fails,
// and sends no bad request. No request may be quarantined for that.
func rackScenario() Scenario {
	config := CrashConfig{
		Routers:           9,
		Engines:           12,
		InFlightPerEngine: 32,
		LostEngines:       4,
		LostAt:            15 * time.Second,
		End:               50 * time.Second,
	}
	return Scenario{Name: "crash/rack-loss", Run: func() []Metric {
		return crashMetrics("", config, true)
	}}
}

// crashMetrics runs all seeds and returns the worst figure of each metric.
func crashMetrics(prefix string, config CrashConfig, useQuarantine bool) []Metric {
	config.UseQuarantine = useQuarantine
	var crashesPerBad, wronglyRefused, firstStart, restart, quarantined float64
	for _, seed := range Seeds {
		config.Seed = seed
		r := RunCrash(config)
		crashesPerBad = max(crashesPerBad, float64(r.Crashes)/float64(max(config.BadRequests, 1)))
		wronglyRefused = max(wronglyRefused, float64(r.WronglyRefused))
		quarantined = max(quarantined, float64(r.Quarantined))
		firstStart = max(firstStart, milliseconds(Quantile(r.FirstStartWaits, 0.99)))
		restart = max(restart, milliseconds(Quantile(r.RestartWaits, 1)))
	}
	metrics := []Metric{{prefix + "lost/bad", crashesPerBad}}
	if !useQuarantine {
		return metrics
	}
	return append(metrics,
		Metric{"condemned", quarantined},
		Metric{"innocents-refused", wronglyRefused},
		Metric{"fresh-wait-p99-ms", firstStart},
		Metric{"restart-wait-max-ms", restart},
	)
}
