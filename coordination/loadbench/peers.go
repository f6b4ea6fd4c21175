package loadbench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endiveplank/coordination/slowness"
	"endiveplank/protocol"
)

// PeersConfig describes a run of the Peers model: engines of one group, of which
// some are slow for a while.
type PeersConfig struct {
	Seed    uint64
	Engines int
	// Load is the work sent, as a multiple of the capacity of all engines.
	Load float64
	// Slow engines have SlowFactor of their capacity and speed from SlowFrom to
	// SlowTo.
	Slow       int
	SlowFactor float64
	SlowFrom   time.Duration
	SlowTo     time.Duration
	End        time.Duration
	// Judged says whether placement uses the weights of package slowness.
	Judged bool
}

// PeersResult is what a run counted.
type PeersResult struct {
	// P99 is of the total latency of requests sent while engines were slow.
	P99 time.Duration
	// SlowShare is the work given to slow engines in that time, as a part of
	// what they would get by equal shares.
	SlowShare float64
	// MinWeights is the lowest sum of all weights over the number of engines.
	MinWeights float64
	// Wrong counts engines that were called slow and never were.
	Wrong int
	// Recovery is how long after SlowTo all weights were 1 again; End if never.
	Recovery time.Duration
}

type peers struct {
	Clock
	config  PeersConfig
	rng     *rand.Rand
	tracker *slowness.Tracker
	engines []*sharedEngine
	ids     []protocol.UpstreamID
	result  PeersResult
	waits   []time.Duration
	given   []int
	called  map[protocol.UpstreamID]bool
}

// RunPeers runs the model once.
func RunPeers(config PeersConfig) PeersResult {
	p := &peers{
		config:  config,
		rng:     rand.New(rand.NewPCG(config.Seed, 4)),
		tracker: slowness.New(slowness.DefaultConfig()),
		given:   make([]int, config.Engines),
		called:  make(map[protocol.UpstreamID]bool),
	}
	p.result.MinWeights = 1
	p.result.Recovery = config.End
	for i := range config.Engines {
		p.ids = append(p.ids, protocol.UpstreamID(fmt.Sprintf("engine-%02d", i)))
		e := &sharedEngine{clock: &p.Clock, capacity: engineCapacity, speed: streamSpeed, finished: p.finished}
		p.engines = append(p.engines, e)
	}
	p.At(config.SlowFrom, func() { p.setSpeed(config.SlowFactor) })
	p.At(config.SlowTo, func() { p.setSpeed(1) })
	p.At(0, p.arrive)
	p.At(0, p.step)
	p.Run(config.End)
	p.finish()
	return p.result
}

func (p *peers) setSpeed(factor float64) {
	for _, e := range p.engines[:p.config.Slow] {
		e.setCapacity(engineCapacity*factor, streamSpeed*factor)
	}
}

func (p *peers) arrive() {
	const least, most = 50, 250
	j := &job{tokens: least + p.rng.IntN(most-least), sent: p.Now()}
	chosen := p.place()
	if p.slowNow() {
		p.given[chosen] += j.tokens
	}
	p.engines[chosen].advance()
	p.engines[chosen].start(j)
	rate := p.config.Load * engineCapacity * float64(p.config.Engines) / ((least + most) / 2)
	p.After(exponential(p.rng, rate), p.arrive)
}

// place draws an engine by its weight.
func (p *peers) place() int {
	total := 0.0
	for _, id := range p.ids {
		total += p.weight(id)
	}
	at := p.rng.Float64() * total
	for i, id := range p.ids {
		at -= p.weight(id)
		if at < 0 {
			return i
		}
	}
	return len(p.ids) - 1
}

func (p *peers) weight(id protocol.UpstreamID) float64 {
	if !p.config.Judged {
		return 1
	}
	return p.tracker.Weight(id)
}

func (p *peers) slowNow() bool {
	return p.Now() >= p.config.SlowFrom && p.Now() < p.config.SlowTo
}

func (p *peers) finished(j *job) {
	if j.sent >= p.config.SlowFrom && j.sent < p.config.SlowTo {
		p.waits = append(p.waits, p.Now()-j.sent)
	}
}

// step lets the tracker see a second of each engine's streams.
func (p *peers) step() {
	for i, e := range p.engines {
		streams := len(e.running)
		e.advance()
		if streams > 0 {
			span := time.Duration(streams) * time.Second
			tokens := int(float64(streams) * e.rate())
			p.tracker.Observe(p.ids[i], "model", tokens, span)
		}
	}
	for _, change := range p.tracker.Step() {
		if change.Slow {
			p.called[change.Upstream] = true
		}
	}
	p.watch()
	p.After(slowness.StepInterval, p.step)
}

// watch follows weights and work.
func (p *peers) watch() {
	total, full := 0.0, true
	for _, id := range p.ids {
		total += p.tracker.Weight(id)
		full = full && p.tracker.Weight(id) == 1
	}
	p.result.MinWeights = min(p.result.MinWeights, total/float64(len(p.ids)))
	if p.Now() >= p.config.SlowTo && full && p.result.Recovery == p.config.End {
		p.result.Recovery = p.Now() - p.config.SlowTo
	}
}

func (p *peers) finish() {
	p.result.P99 = Quantile(p.waits, 0.99)
	for i, id := range p.ids {
		if p.called[id] && i >= p.config.Slow {
			p.result.Wrong++
		}
	}
	total, slow := sum(p.given), sum(p.given[:p.config.Slow])
	if p.config.Slow > 0 && total > 0 {
		equal := float64(total) * float64(p.config.Slow) / float64(p.config.Engines)
		p.result.SlowShare = float64(slow) / equal
	}
}
