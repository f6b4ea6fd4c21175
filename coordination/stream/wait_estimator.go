package stream

import (
	"math"
	"time"
)

// Phase distinguishes the wait for the first token, which includes the prefill and
// the engine's own queue, from the wait between tokens.
type Phase uint8

const (
	// FirstToken is the time from sending a request to its first token.
	FirstToken Phase = iota
	// NextToken is the time from one delivery to the next.
	NextToken
	numPhases
)

// Sample is one observed wait of a stream that made progress. A silence that ended
// in a new attempt is not a sample; otherwise the estimate for a broken engine would
// treat silence as normal.
type Sample struct {
	Phase Phase
	Wait  time.Duration
}

// Limits bounds the silence that a WaitEstimator allows in one phase.
type Limits struct {
	// Initial is the allowed silence until there are MinSamples samples.
	Initial time.Duration
	// Min is the lowest allowed silence. Below it, the jitter of a fast engine would
	// count as a stall. Max is the highest, so that the caller doesn't wait too long
	// on an engine that has become slow.
	Min time.Duration
	Max time.Duration
}

// WaitEstimatorConfig holds the settings of a WaitEstimator.
type WaitEstimatorConfig struct {
	// Quantile is the quantile of the observed waits that counts as normal.
	Quantile float64
	// Factor times that quantile is the allowed silence.
	Factor float64
	// MinSamples is the number of samples that a phase needs before its quantile is
	// used.
	MinSamples int
	// HalfLife is the number of further samples after which a sample counts half.
	HalfLife int
	Phases   [numPhases]Limits
}

// DefaultWaitEstimatorConfig suits engines that give 95 of 100 first tokens within 0.5 s
// and 95 of 100 next tokens within 27 ms.
//
// Four times the 0.99 quantile is longer than the longest ordinary pauses. A false
// alarm costs a reconnection, so it must be much rarer than one token in a hundred.
// One second between tokens is 37 times the usual interval. Five seconds is half the
// shortest usual deadline, so another engine can still answer in time. The first token
// may take longer, because it waits until the whole prompt is processed.
func DefaultWaitEstimatorConfig() WaitEstimatorConfig {
	return WaitEstimatorConfig{
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
// overestimated by at most 41%, which errs on the safe side, and 36 bins reach 185 s.
const (
	numBins  = 36
	firstBin = time.Millisecond
)

// WaitEstimator estimates how long the tokens of an engine usually take. Its state is
// about 600 bytes, and it is called once per delivered chunk.
//
// It replaces a fixed timeout, which would be too short for a loaded engine, where it
// would cause a storm of reconnections, or too long for a fast one, where the caller
// would wait on a dead connection.
type WaitEstimator struct {
	config WaitEstimatorConfig
	phases [numPhases]histogram
}

type histogram struct {
	bins  [numBins]float64
	total float64
	seen  int
}

// NewWaitEstimator returns an estimator without samples.
func NewWaitEstimator(config WaitEstimatorConfig) *WaitEstimator {
	return &WaitEstimator{config: config}
}

// Observe records one wait that ended in progress.
func (e *WaitEstimator) Observe(s Sample) {
	h := &e.phases[s.Phase]
	keep := math.Exp2(-1 / float64(e.config.HalfLife))
	for i := range h.bins {
		h.bins[i] *= keep
	}
	h.bins[binOf(s.Wait)]++
	h.total = h.total*keep + 1
	h.seen++
}

// MaxSilence returns the longest silence of a phase that doesn't count as a stall yet.
func (e *WaitEstimator) MaxSilence(phase Phase) time.Duration {
	limits := e.config.Phases[phase]
	h := &e.phases[phase]
	if h.seen < e.config.MinSamples {
		return limits.Initial
	}
	normal := h.quantile(e.config.Quantile)
	allowed := time.Duration(e.config.Factor * float64(normal))
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
