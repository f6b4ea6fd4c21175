package tracebench

import "time"

// Scenario is a fleet and the trace it is measured on.
type Scenario struct {
	Fleet Config
	Trace TraceConfig
}

// Today is the fleet of today: 12 engines of unequal capacity, 9 routers, 10
// customers, two hours with something joining, leaving, flapping, crashing or
// a router lost every two minutes, and one customer's surge.
func Today() Scenario {
	return Scenario{
		Fleet: Config{
			Routers: 9, Engines: 12, Batch: 32, CacheTokens: 1_000_000,
			Unequal: true, Churn: 2 * time.Minute, WarmUp: 20 * time.Minute,
			DetectLoss: 2 * time.Second,
		},
		Trace: TraceConfig{
			Duration: 2 * time.Hour, Customers: 10, ZipfExponent: 0.9,
			RequestsPerSecond: 24, SurgeAt: time.Hour,
		},
	}
}

// Goal is the fleet of two years ahead: 790 engines, 330 routers and 2,400
// customers, twelve minutes with something every ten seconds.
func Goal() Scenario {
	return Scenario{
		Fleet: Config{
			Routers: 330, Engines: 790, Batch: 32, CacheTokens: 1_000_000,
			Unequal: true, Churn: 10 * time.Second, WarmUp: 4 * time.Minute,
			DetectLoss: 2 * time.Second,
		},
		Trace: TraceConfig{
			Duration: 12 * time.Minute, Customers: 2400, ZipfExponent: 0.9,
			RequestsPerSecond: 2400, SurgeAt: 6 * time.Minute,
		},
	}
}

// Brief is Today cut down for a check in CI, with the loss of a router noticed
// at once.
func Brief() Scenario {
	s := Today()
	s.Trace.Duration = 40 * time.Minute
	s.Trace.SurgeAt = 25 * time.Minute
	s.Fleet.WarmUp = 10 * time.Minute
	s.Fleet.DetectLoss = 0
	return s
}

// BriefTree is a fleet large enough for the exchange tree and for customers'
// groups, for a check in CI.
func BriefTree() Scenario {
	s := Goal()
	s.Fleet.DetectLoss = 0
	s.Fleet.Routers = 40
	s.Fleet.Engines = 60
	s.Fleet.Churn = 20 * time.Second
	s.Trace.Customers = 200
	s.Trace.RequestsPerSecond = 180
	return s
}

// Measure runs each way on the traces of the seeds and returns the results
// merged over seeds, in the order of the ways.
func Measure(s Scenario, seeds []uint64, ways []Way) []Result {
	merged := make([]Result, len(ways))
	for _, seed := range seeds {
		s.Trace.Seed = seed
		s.Fleet.Seed = seed
		trace := NewTrace(s.Trace)
		for i, way := range ways {
			merged[i].merge(Run(s.Fleet, trace, way))
		}
	}
	return merged
}
