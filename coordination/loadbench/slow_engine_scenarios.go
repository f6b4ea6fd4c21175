package loadbench

import "time"

// slowEngineScenarios measure how slow engines affect callers. When all engines are
// equally slow, comparing them with each other must not lower their weights.
func slowEngineScenarios() []Scenario {
	return []Scenario{
		slowEngineScenario("slow/1-of-12-at-25pct", slowEnginesConfig(0.6, 1, 0.25)),
		slowEngineScenario("slow/6-of-12-at-30pct", slowEnginesConfig(0.5, 6, 0.3)),
		slowEngineScenario("slow/all-at-50pct", slowEnginesConfig(0.4, 12, 0.5)),
	}
}

func slowEnginesConfig(load float64, slow int, factor float64) SlowEnginesConfig {
	return SlowEnginesConfig{
		Engines:    12,
		Load:       load,
		SlowCount:  slow,
		SlowFactor: factor,
		SlowFrom:   time.Minute,
		SlowTo:     3 * time.Minute,
		End:        6 * time.Minute,
	}
}

func slowEngineScenario(name string, config SlowEnginesConfig) Scenario {
	return Scenario{Name: name, Run: func() []Metric {
		var p99, share, wronglySlow, recovery, unweighted float64
		minMeanWeight := 1.0
		for _, seed := range Seeds {
			config.Seed = seed
			config.UseWeights = true
			r := RunSlowEngines(config)
			p99 = max(p99, milliseconds(r.P99))
			share = max(share, r.SlowShare)
			minMeanWeight = min(minMeanWeight, r.MinMeanWeight)
			wronglySlow += float64(r.WronglySlow)
			recovery = max(recovery, r.Recovery.Seconds())
			config.UseWeights = false
			unweighted = max(unweighted, milliseconds(RunSlowEngines(config).P99))
		}
		return []Metric{
			{"p99-ms", p99},
			{"unjudged-p99-ms", unweighted},
			{"slow-share", share},
			{"least-group-weight", minMeanWeight},
			{"wrongly-slow", wronglySlow},
			{"recovery-s", recovery},
		}
	}}
}
