package loadbench

import "time"

// stormScenarios measure how many attempts retries add when the pool is saturated
// or unavailable, and how soon it recovers from an outage.
func stormScenarios() []Scenario {
	saturation := StormConfig{Routers: 9, Load: 3, End: 80 * time.Second}
	loss := StormConfig{
		Routers:    9,
		Load:       0.8,
		OutageFrom: 30 * time.Second,
		OutageTo:   45 * time.Second,
		End:        200 * time.Second,
	}
	return []Scenario{
		{Name: "storm/saturated=3", Run: func() []Metric { return stormMetrics(saturation, false) }},
		{Name: "storm/pool-lost-15s", Run: func() []Metric { return stormMetrics(loss, true) }},
	}
}

// stormMetrics returns the worst figure over the seeds for each policy.
func stormMetrics(config StormConfig, recovery bool) []Metric {
	var metrics []Metric
	for policy, prefix := range []string{Budgeted: "", FixedRetries: "fixed3-", Unbounded: "unbounded-"} {
		config.Policy = RetryPolicy(policy)
		var amplification, worst, recovered float64
		for _, seed := range Seeds {
			config.Seed = seed
			r := RunStorm(config)
			amplification = max(amplification, r.Amplification)
			worst = max(worst, r.WorstAmplification)
			recovered = max(recovered, r.Recovery.Seconds())
		}
		metrics = append(metrics,
			Metric{prefix + "amplification", amplification},
			Metric{prefix + "amplification-10s", worst},
		)
		if recovery {
			metrics = append(metrics, Metric{prefix + "recovery-s", recovered})
		}
	}
	return metrics
}
