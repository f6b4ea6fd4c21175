package loadbench

import (
	"fmt"
	"time"
)

// crashScenarios asks how many engines a request costs that crashes each engine
// it runs on, and what that does to the innocents beside it.
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
		Routers:    routers,
		Engines:    engines,
		PerEngine:  perEngine,
		Bad:        bad,
		BadAt:      15 * time.Second,
		CrashAfter: 300 * time.Millisecond,
		End:        70 * time.Second,
	}
	name := fmt.Sprintf("crash/engines=%d/inflight=%d/bad=%d", engines, perEngine, bad)
	return Scenario{Name: name, Run: func() []Metric {
		metrics := crashMetrics("", config, true)
		return append(metrics, crashMetrics("undefended-", config, false)...)
	}}
}

// rackScenario loses a third of the engines at once, without a bad request.
func rackScenario() Scenario {
	config := CrashConfig{
		Routers:   9,
		Engines:   12,
		PerEngine: 32,
		Lost:      4,
		LostAt:    15 * time.Second,
		End:       50 * time.Second,
	}
	return Scenario{Name: "crash/rack-loss", Run: func() []Metric {
		return crashMetrics("", config, true)
	}}
}

// crashMetrics runs all seeds and returns the worst figure of each kind.
func crashMetrics(prefix string, config CrashConfig, defended bool) []Metric {
	config.Defended = defended
	var perBad, refused, fresh, restart, condemned float64
	for _, seed := range Seeds {
		config.Seed = seed
		r := RunCrash(config)
		perBad = max(perBad, float64(r.Crashes)/float64(max(config.Bad, 1)))
		refused = max(refused, float64(r.WronglyRefused))
		condemned = max(condemned, float64(r.Condemned))
		fresh = max(fresh, milliseconds(Quantile(r.FreshWaits, 0.99)))
		restart = max(restart, milliseconds(Quantile(r.RestartWaits, 1)))
	}
	metrics := []Metric{{prefix + "lost/bad", perBad}}
	if !defended {
		return metrics
	}
	return append(metrics,
		Metric{"condemned", condemned},
		Metric{"innocents-refused", refused},
		Metric{"fresh-wait-p99-ms", fresh},
		Metric{"restart-wait-max-ms", restart},
	)
}
