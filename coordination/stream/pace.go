package stream

import (
	"math"
	"time"
)

// Phase tells the wait for a first token, which holds the prefill and the
// engine's own queue, from the wait between tokens.
type Phase uint8

const (
	// FirstToken is the time from sending a request to its first token.
	FirstToken Phase = iota
	// NextToken is the time from one delivery to the next.
	NextToken
	numPhases
)

// Sample is one observed wait of a stream that made progress. Silences that
// ended in a new attempt are no samples: with them, a broken engine would teach
// the estimate that silence is normal.
type Sample struct {
	Phase Phase
	Wait  time.Duration
}

// Limits bound the silence that a Pace allows in one phase.
type Limits struct {
	// Initial is allowed until MinSamples were seen.
	Initial time.Duration
	// Min guards against taking the jitter of a fast engine for a stall, Max
	// against waiting too long on an engine that has grown slow.
	Min time.Duration
	Max time.Duration
}

// PaceConfig holds the settings of a Pace.
type PaceConfig struct {
	// Quantile of the observed waits that counts as normal.
	Quantile float64
	// Factor times that quantile is the allowed silence.
	Factor float64
	// MinSamples is how many samples a phase needs before they count.
	MinSamples int
	// HalfLife is the number of samples after which an old one counts half.
	HalfLife int
	Phases   [numPhases]Limits
}

// DefaultPaceConfig suits engines that give 95 of 100 first tokens within 0.5 s
// and 95 of 100 next tokens within 27 ms.
//
// Four times the 0.99 quantile stays clear of the longest ordinary pauses:
// a false alarm costs a reconnection, so it must be much rarer than one token in
// a hundred. A second between tokens is 37 times the usual pace; five seconds
// is half the shortest usual deadline, so another engine can still answer in
// time. The first token may take longer, since it waits for a whole prompt.
func DefaultPaceConfig() PaceConfig {
	return PaceConfig{
		Quantile:   0.99,
		Factor:     4,
		MinSamples: 20,
		HalfLife:   2000,
		Phases: [numPhases]Limits{
			FirstToken: {Initial: 8 * time.Second, Min: 2 * time.Second, Max: 15 * time.Second},
			NextToken:  {Initial: 3 * time.Second, Min: time.Second, Max: 5 * time.Second},
		},
	}
}

// The histogram's bins grow by a factor of sqrt(2) from 1 ms, so a quantile is
// overstated by at most 41%, on the safe side, and 36 bins reach 185 s.
const (
	numBins  = 36
	firstBin = time.Millisecond
)

// Pace estimates how an engine delivers. Its state is about 600 bytes.
//
// Load: one call per delivered chunk. Harm prevented: a fixed timeout is too
// short for a loaded engine, where it causes a storm of reconnections, or too long
// for a fast one, where the caller waits on a dead connection.
type Pace struct {
	config PaceConfig
	phases [numPhases]histogram
}

type histogram struct {
	bins  [numBins]float64
	total float64
	seen  int
}

// NewPace returns an estimate without samples.
func NewPace(config PaceConfig) *Pace {
	return &Pace{config: config}
}

// Observe records one wait that ended in progress.
func (p *Pace) Observe(s Sample) {
	h := &p.phases[s.Phase]
	keep := math.Exp2(-1 / float64(p.config.HalfLife))
	for i := range h.bins {
		h.bins[i] *= keep
	}
	h.bins[binOf(s.Wait)]++
	h.total = h.total*keep + 1
	h.seen++
}

// Allowed returns the longest silence that still counts as progress.
func (p *Pace) Allowed(phase Phase) time.Duration {
	limits := p.config.Phases[phase]
	h := &p.phases[phase]
	if h.seen < p.config.MinSamples {
		return limits.Initial
	}
	normal := h.quantile(p.config.Quantile)
	allowed := time.Duration(p.config.Factor * float64(normal))
	return min(max(allowed, limits.Min), limits.Max)
}

// quantile returns the upper edge of the bin that holds the quantile.
func (h *histogram) quantile(q float64) time.Duration {
	sum := 0.0
	for i, count := range h.bins {
		sum += count
		if sum >= q*h.total {
			return upperEdge(i)
		}
	}
	return upperEdge(numBins - 1)
}

func binOf(wait time.Duration) int {
	if wait <= firstBin {
		return 0
	}
	bin := math.Ceil(2 * math.Log2(float64(wait)/float64(firstBin)))
	return min(int(bin), numBins-1)
}

func upperEdge(bin int) time.Duration {
	return time.Duration(float64(firstBin) * math.Exp2(float64(bin)/2))
}
