package tracebench

import "time"

// Scenario holds a fleet and the trace that it is measured on.
type Scenario struct {
	Fleet Config
	Trace TraceConfig
}

// Today is the size of the fleet today: 12 engines of unequal capacity, 9
// routers and 10 customers for two hours. Every two minutes an engine leaves,
// flaps or crashes, or a router is lost. One customer surges.
func Today() Scenario {
	return Scenario{
		Fleet: Config{
			Routers: 9, Engines: 12, Batch: 32, CacheTokens: 1_000_000,
			Unequal: true, ChurnInterval: 2 * time.Minute, WarmUp: 20 * time.Minute,
			LossDetectionDelay: 2 * time.Second,
		},
		Trace: TraceConfig{
			Duration: 2 * time.Hour, Customers: 10, ZipfExponent: 0.9,
			RequestsPerSecond: 24, SurgeAt: time.Hour,
		},
	}
}

// Goal is the size of the fleet expected in two years: 790 engines, 330
// routers and 2,400 customers for twelve minutes, where an engine leaves, flaps
// or crashes, or a router is lost, every ten seconds.
func Goal() Scenario {
	return Scenario{
		Fleet: Config{
			Routers: 330, Engines: 790, Batch: 32, CacheTokens: 1_000_000,
			Unequal: true, ChurnInterval: 10 * time.Second, WarmUp: 4 * time.Minute,
			LossDetectionDelay: 2 * time.Second,
		},
		Trace: TraceConfig{
			Duration: 12 * time.Minute, Customers: 2400, ZipfExponent: 0.9,
			RequestsPerSecond: 2400, SurgeAt: 6 * time.Minute,
		},
	}
}

// Brief is a short version of Today for a check in CI, where the loss of a
// router is noticed at once.
func Brief() Scenario {
	s := Today()
	s.Trace.Duration = 40 * time.Minute
	s.Trace.SurgeAt = 25 * time.Minute
	s.Fleet.WarmUp = 10 * time.Minute
	s.Fleet.LossDetectionDelay = 0
	return s
}

// BriefTree is a fleet for a check in CI that is so large that routers exchange
// load summaries over a tree and that a customer's chats are kept to a group
// of engines.
func BriefTree() Scenario {
	s := Goal()
	s.Fleet.LossDetectionDelay = 0
	s.Fleet.Routers = 40
	s.Fleet.Engines = 60
	s.Fleet.ChurnInterval = 20 * time.Second
	s.Trace.Customers = 200
	s.Trace.RequestsPerSecond = 180
	return s
}

// Measure runs each strategy on the traces of the seeds and returns one result
// for each strategy, merged over the seeds.
func Measure(s Scenario, seeds []uint64, strategies []Strategy) []Result {
	merged := make([]Result, len(strategies))
	for _, seed := range seeds {
		s.Trace.Seed = seed
		s.Fleet.Seed = seed
		trace := NewTrace(s.Trace)
		for i, strategy := range strategies {
			merged[i].merge(Run(s.Fleet, trace, strategy))
		}
	}
	return merged
}
