package loadbench

import (
	"math"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/stream"
)

// StallConfig describes a run of the Stall model: streams of one engine. The waits
// between their tokens are log-normal, with an occasional pause. Some connections
// fall silent for good.
type StallConfig struct {
	Seed    uint64
	Streams int
	// Median and Sigma are the parameters of the log-normal wait between tokens.
	Median time.Duration
	Sigma  float64
	// One in PauseEvery waits, on average, is a pause of up to MaxPause.
	PauseEvery int
	MaxPause   time.Duration
	// SilentShare is the share of streams that fall silent at a random token.
	SilentShare float64
	// FixedTimeout replaces the learned timeout if it is above zero.
	FixedTimeout time.Duration
}

// StallResult is the result of a run of the Stall model.
type StallResult struct {
	// FalseStallsPerMillion counts live streams taken for stalled, per million
	// tokens.
	FalseStallsPerMillion float64
	// DetectionTime is the mean time from a silent stream's last token to its
	// reconnection.
	DetectionTime time.Duration
	// Missed counts silent streams that were not detected.
	Missed int
}

// RunStall runs the Stall model once. The streams run one after another and share
// one estimator of the waits between tokens.
func RunStall(config StallConfig) StallResult {
	const tokensPerStream = 200
	rng := rand.New(rand.NewPCG(config.Seed, 5))
	estimator := stream.NewWaitEstimator(estimatorConfig(config))
	var result StallResult
	tokens, falseStalls, silent := 0, 0, 0
	var detectionTime time.Duration
	for range config.Streams {
		now := time.Duration(0)
		monitor := stream.NewMonitor(now, stream.DefaultMonitorConfig())
		silentAt := -1
		if rng.Float64() < config.SilentShare {
			silentAt = 1 + rng.IntN(tokensPerStream-1)
		}
		for i := range tokensPerStream {
			if i == silentAt {
				silent++
				first := monitor.Check(now, estimator)
				second := monitor.Check(first.CheckAt, estimator)
				if second.Action != stream.Reconnect {
					result.Missed++
				}
				detectionTime += first.CheckAt - now
				break
			}
			wait := drawWait(config, rng)
			now += wait
			if monitor.Check(now-1, estimator).Action != stream.Wait {
				falseStalls++
				monitor = stream.NewMonitor(now, stream.DefaultMonitorConfig())
				continue
			}
			tokens++
			if sample, ok := monitor.Progress(now, i+1); ok {
				estimator.Observe(sample)
			}
		}
	}
	result.FalseStallsPerMillion = 1e6 * float64(falseStalls) / float64(tokens)
	result.DetectionTime = detectionTime / time.Duration(max(silent, 1))
	return result
}

func drawWait(config StallConfig, rng *rand.Rand) time.Duration {
	if rng.IntN(config.PauseEvery) == 0 {
		return time.Duration(rng.Float64() * float64(config.MaxPause))
	}
	return time.Duration(float64(config.Median) * math.Exp(config.Sigma*rng.NormFloat64()))
}

func estimatorConfig(config StallConfig) stream.WaitEstimatorConfig {
	estimator := stream.DefaultWaitEstimatorConfig()
	if config.FixedTimeout > 0 {
		for i := range estimator.Phases {
			estimator.Phases[i] = stream.Limits{Initial: config.FixedTimeout, Min: config.FixedTimeout, Max: config.FixedTimeout}
		}
	}
	return estimator
}

// stallScenarios measure how soon a silent connection is detected and how often a
// live stream is taken for a silent one, on a usual and on a heavily loaded engine.
func stallScenarios() []Scenario {
	usual := StallConfig{Median: 20 * time.Millisecond, MaxPause: 300 * time.Millisecond}
	loaded := StallConfig{Median: 150 * time.Millisecond, MaxPause: 2500 * time.Millisecond}
	return []Scenario{
		stallScenario("stall/usual-engine", usual),
		stallScenario("stall/loaded-engine", loaded),
	}
}

func stallScenario(name string, config StallConfig) Scenario {
	config.Seed = Seeds[0]
	config.Streams = 2000
	config.Sigma = 0.5
	config.PauseEvery = 100
	config.SilentShare = 0.05
	return Scenario{Name: name, Run: func() []Metric {
		r := RunStall(config)
		config.FixedTimeout = time.Second
		short := RunStall(config)
		config.FixedTimeout = 10 * time.Second
		long := RunStall(config)
		return []Metric{
			{"false-per-million", r.FalseStallsPerMillion},
			{"detection-ms", milliseconds(r.DetectionTime)},
			{"missed", float64(r.Missed)},
			{"fixed-1s-false-per-million", short.FalseStallsPerMillion},
			{"fixed-10s-detection-ms", milliseconds(long.DetectionTime)},
		}
	}}
}
