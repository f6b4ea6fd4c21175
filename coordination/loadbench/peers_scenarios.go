package loadbench

import "time"

// peersScenarios asks what slow engines do to callers, and whether judging
// engines by their peers does harm where none is to blame.
func peersScenarios() []Scenario {
	return []Scenario{
		peersScenario("slow/1-of-12-at-25pct", peersConfig(0.6, 1, 0.25)),
		peersScenario("slow/6-of-12-at-30pct", peersConfig(0.5, 6, 0.3)),
		peersScenario("slow/all-at-50pct", peersConfig(0.4, 12, 0.5)),
	}
}

func peersConfig(load float64, slow int, factor float64) PeersConfig {
	return PeersConfig{
		Engines:    12,
		Load:       load,
		Slow:       slow,
		SlowFactor: factor,
		SlowFrom:   time.Minute,
		SlowTo:     3 * time.Minute,
		End:        6 * time.Minute,
	}
}

func peersScenario(name string, config PeersConfig) Scenario {
	return Scenario{Name: name, Run: func() []Metric {
		var p99, share, wrong, recovery, unjudged float64
		weights := 1.0
		for _, seed := range Seeds {
			config.Seed = seed
			config.Judged = true
			r := RunPeers(config)
			p99 = max(p99, milliseconds(r.P99))
			share = max(share, r.SlowShare)
			weights = min(weights, r.MinWeights)
			wrong += float64(r.Wrong)
			recovery = max(recovery, r.Recovery.Seconds())
			config.Judged = false
			unjudged = max(unjudged, milliseconds(RunPeers(config).P99))
		}
		return []Metric{
			{"p99-ms", p99},
			{"unjudged-p99-ms", unjudged},
			{"slow-share", share},
			{"least-group-weight", weights},
			{"wrongly-slow", wrong},
			{"recovery-s", recovery},
		}
	}}
}
