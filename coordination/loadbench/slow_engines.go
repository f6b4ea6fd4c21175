package loadbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/slowness"
	"endiveplank/protocol"
)

// SlowEnginesConfig describes a run of the SlowEngines model: a group of engines,
// of which some are slow for a while.
type SlowEnginesConfig struct {
	Seed    uint64
	Engines int
	// Load is the number of tokens sent, as a multiple of the capacity of all
	// engines.
	Load float64
	// The first SlowCount engines have SlowFactor of their capacity and speed
	// between SlowFrom and SlowTo.
	SlowCount  int
	SlowFactor float64
	SlowFrom   time.Duration
	SlowTo     time.Duration
	End        time.Duration
	// UseWeights says whether placement uses the weights of package slowness.
	// Otherwise it draws all engines with equal probability.
	UseWeights bool
}

// SlowEnginesResult is the result of a run of the SlowEngines model.
type SlowEnginesResult struct {
	// P99 is the p99 total latency of requests sent while engines were slow.
	P99 time.Duration
	// SlowShare is the number of tokens placed on slow engines in that time,
	// divided by the number that equal shares would place there.
	SlowShare float64
	// MinMeanWeight is the lowest mean weight of all engines at any time.
	MinMeanWeight float64
	// WronglySlow counts engines that were reported slow and never were.
	WronglySlow int
	// Recovery is the time from SlowTo until all weights were 1 again, or End if
	// they never were.
	Recovery time.Duration
}

type slowEngines struct {
	Clock
	config         SlowEnginesConfig
	rng            *rand.Rand
	tracker        *slowness.Tracker
	engines        []*batchingEngine
	ids            []protocol.UpstreamID
	result         SlowEnginesResult
	latencies      []time.Duration
	assignedTokens []int
	reportedSlow   map[protocol.UpstreamID]bool
}

// RunSlowEngines runs the model once.
func RunSlowEngines(config SlowEnginesConfig) SlowEnginesResult {
	m := &slowEngines{
		config:         config,
		rng:            rand.New(rand.NewPCG(config.Seed, 4)),
		tracker:        slowness.New(slowness.DefaultConfig()),
		assignedTokens: make([]int, config.Engines),
		reportedSlow:   make(map[protocol.UpstreamID]bool),
	}
	m.result.MinMeanWeight = 1
	m.result.Recovery = config.End
	for i := range config.Engines {
		m.ids = append(m.ids, protocol.UpstreamID(fmt.Sprintf("engine-%02d", i)))
		e := &batchingEngine{clock: &m.Clock, capacity: engineCapacity, maxStreamSpeed: streamSpeed, onFinish: m.finished}
		m.engines = append(m.engines, e)
	}
	m.At(config.SlowFrom, func() { m.setSpeedFactor(config.SlowFactor) })
	m.At(config.SlowTo, func() { m.setSpeedFactor(1) })
	m.At(0, m.arrive)
	m.At(0, m.stepTracker)
	m.Run(config.End)
	m.finish()
	return m.result
}

func (m *slowEngines) setSpeedFactor(factor float64) {
	for _, e := range m.engines[:m.config.SlowCount] {
		e.setCapacity(engineCapacity*factor, streamSpeed*factor)
	}
}

func (m *slowEngines) arrive() {
	const minTokens, maxTokens = 50, 250
	j := &job{tokens: minTokens + m.rng.IntN(maxTokens-minTokens), sentAt: m.Now()}
	chosen := m.pickEngine()
	if m.duringSlowPeriod() {
		m.assignedTokens[chosen] += j.tokens
	}
	m.engines[chosen].advance()
	m.engines[chosen].start(j)
	rate := m.config.Load * engineCapacity * float64(m.config.Engines) / ((minTokens + maxTokens) / 2)
	m.After(exponential(m.rng, rate), m.arrive)
}

// pickEngine draws an engine with a probability proportional to its weight.
func (m *slowEngines) pickEngine() int {
	total := 0.0
	for _, id := range m.ids {
		total += m.weight(id)
	}
	point := m.rng.Float64() * total
	for i, id := range m.ids {
		point -= m.weight(id)
		if point < 0 {
			return i
		}
	}
	return len(m.ids) - 1
}

func (m *slowEngines) weight(id protocol.UpstreamID) float64 {
	if !m.config.UseWeights {
		return 1
	}
	return m.tracker.Weight(id)
}

func (m *slowEngines) duringSlowPeriod() bool {
	return m.Now() >= m.config.SlowFrom && m.Now() < m.config.SlowTo
}

func (m *slowEngines) finished(j *job) {
	if j.sentAt >= m.config.SlowFrom && j.sentAt < m.config.SlowTo {
		m.latencies = append(m.latencies, m.Now()-j.sentAt)
	}
}

// stepTracker feeds the tracker one second of each engine's streams and runs one
// step of it.
func (m *slowEngines) stepTracker() {
	for i, e := range m.engines {
		streams := len(e.running)
		e.advance()
		if streams > 0 {
			span := time.Duration(streams) * time.Second
			tokens := int(float64(streams) * e.streamRate())
			m.tracker.Observe(m.ids[i], "model", tokens, span)
		}
	}
	for _, change := range m.tracker.Step() {
		if change.Slow {
			m.reportedSlow[change.Upstream] = true
		}
	}
	m.recordWeights()
	m.After(slowness.StepInterval, m.stepTracker)
}

// recordWeights updates MinMeanWeight, and Recovery once all weights are 1 again.
func (m *slowEngines) recordWeights() {
	total, allFull := 0.0, true
	for _, id := range m.ids {
		total += m.tracker.Weight(id)
		allFull = allFull && m.tracker.Weight(id) == 1
	}
	m.result.MinMeanWeight = min(m.result.MinMeanWeight, total/float64(len(m.ids)))
	if m.Now() >= m.config.SlowTo && allFull && m.result.Recovery == m.config.End {
		m.result.Recovery = m.Now() - m.config.SlowTo
	}
}

func (m *slowEngines) finish() {
	m.result.P99 = Quantile(m.latencies, 0.99)
	for i, id := range m.ids {
		if m.reportedSlow[id] && i >= m.config.SlowCount {
			m.result.WronglySlow++
		}
	}
	total, slow := sum(m.assignedTokens), sum(m.assignedTokens[:m.config.SlowCount])
	if m.config.SlowCount > 0 && total > 0 {
		equal := float64(total) * float64(m.config.SlowCount) / float64(m.config.Engines)
		m.result.SlowShare = float64(slow) / equal
	}
}
