package loadbench

import (
	"math"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/stream"
)

// StallConfig describes a run of the Stall model: streams of one engine whose
// waits between tokens are log-normal, with pauses now and then, and of which some
// connections go silent for good.
type StallConfig struct {
	Seed    uint64
	Streams int
	// Median is the usual wait between tokens, and Sigma its spread.
	Median time.Duration
	Sigma  float64
	// One in PauseEvery waits is a pause of up to PauseMost.
	PauseEvery int
	PauseMost  time.Duration
	// SilentShare of the streams fall silent at some token.
	SilentShare float64
	// Fixed replaces the learnt limit by a timeout where it is above zero.
	Fixed time.Duration
}

// StallResult is what a run counted.
type StallResult struct {
	// FalsePerMillion counts stalls called on live streams, per million tokens.
	FalsePerMillion float64
	// Detection is the mean time from a stream's last token to its reconnection.
	Detection time.Duration
	// Missed counts silent streams that were not noticed.
	Missed int
}

// RunStall runs the model once, stream after stream.
func RunStall(config StallConfig) StallResult {
	const tokensPerStream = 200
	rng := rand.New(rand.NewPCG(config.Seed, 5))
	pace := stream.NewWaitEstimator(stallPace(config))
	var result StallResult
	tokens, falseAlarms, silent := 0, 0, 0
	var detection time.Duration
	for range config.Streams {
		now := time.Duration(0)
		watch := stream.NewMonitor(now, stream.DefaultMonitorConfig())
		silentAt := -1
		if rng.Float64() < config.SilentShare {
			silentAt = 1 + rng.IntN(tokensPerStream-1)
		}
		for i := range tokensPerStream {
			if i == silentAt {
				silent++
				step := watch.Check(now, pace)
				after := watch.Check(step.CheckAt, pace)
				if after.Action != stream.Reconnect {
					result.Missed++
				}
				detection += step.CheckAt - now
				break
			}
			wait := drawWait(config, rng)
			now += wait
			if watch.Check(now-1, pace).Action != stream.Wait {
				falseAlarms++
				watch = stream.NewMonitor(now, stream.DefaultMonitorConfig())
				continue
			}
			tokens++
			if sample, ok := watch.Progress(now, i+1); ok {
				pace.Observe(sample)
			}
		}
	}
	result.FalsePerMillion = 1e6 * float64(falseAlarms) / float64(tokens)
	result.Detection = detection / time.Duration(max(silent, 1))
	return result
}

func drawWait(config StallConfig, rng *rand.Rand) time.Duration {
	if rng.IntN(config.PauseEvery) == 0 {
		return time.Duration(rng.Float64() * float64(config.PauseMost))
	}
	return time.Duration(float64(config.Median) * math.Exp(config.Sigma*rng.NormFloat64()))
}

func stallPace(config StallConfig) stream.WaitEstimatorConfig {
	pace := stream.DefaultWaitEstimatorConfig()
	if config.Fixed > 0 {
		for i := range pace.Phases {
			pace.Phases[i] = stream.Limits{Initial: config.Fixed, Min: config.Fixed, Max: config.Fixed}
		}
	}
	return pace
}

// stallScenarios asks how soon a silent connection is noticed, and how often a
// live stream is taken for one, on a usual and on a heavily loaded engine.
func stallScenarios() []Scenario {
	usual := StallConfig{Median: 20 * time.Millisecond, PauseMost: 300 * time.Millisecond}
	loaded := StallConfig{Median: 150 * time.Millisecond, PauseMost: 2500 * time.Millisecond}
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
		config.Fixed = time.Second
		short := RunStall(config)
		config.Fixed = 10 * time.Second
		long := RunStall(config)
		return []Metric{
			{"false-per-million", r.FalsePerMillion},
			{"detection-ms", milliseconds(r.Detection)},
			{"missed", float64(r.Missed)},
			{"fixed-1s-false-per-million", short.FalsePerMillion},
			{"fixed-10s-detection-ms", milliseconds(long.Detection)},
		}
	}}
}
