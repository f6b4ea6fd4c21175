package loadgen

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"endiveplank/standin/engine"
)

// pollTimeout bounds one read of an engine's totals.
const pollTimeout = time.Second

// EngineSeries is what one engine said about itself over a phase.
type EngineSeries struct {
	ID      string         `json:"id"`
	Samples []EngineSample `json:"samples"`
}

// EngineSample is one reading. Token counts are since the start of the phase.
type EngineSample struct {
	AtS               float64 `json:"at_s"`
	Running           int     `json:"running"`
	Waiting           int     `json:"waiting"`
	OutstandingTokens int     `json:"outstanding_tokens"`
	PromptTokens      uint64  `json:"prompt_tokens"`
	CachedTokens      uint64  `json:"cached_tokens"`
	GeneratedTokens   uint64  `json:"generated_tokens"`
}

// Skew compares the engines' outstanding tokens over a phase.
type Skew struct {
	// TimeAverage is the highest time average of an engine over the mean of
	// all engines' time averages.
	TimeAverage float64 `json:"time_average"`
	// P50 and P95 are quantiles over the readings of the highest load over the
	// mean load, for the readings in which the mean is at least one running or
	// waiting request.
	P50      float64 `json:"p50"`
	P95      float64 `json:"p95"`
	Readings int     `json:"readings"`
}

// enginePoll reads all engines' totals in step, so that reading i of one
// engine belongs to reading i of the others.
type enginePoll struct {
	addresses []string
	processes *processPoll
	client    *http.Client
	base      []engine.Stats
	series    []EngineSeries
}

// startPoll reads the engines and processes every so often until stop is
// called. An engine that does not answer repeats its last reading.
func startPoll(addresses []string, processes []Process, every time.Duration) (stop func() *enginePoll) {
	p := &enginePoll{
		addresses: addresses,
		processes: newProcessPoll(processes),
		client:    &http.Client{Timeout: pollTimeout},
	}
	p.series = make([]EngineSeries, len(addresses))
	p.base = make([]engine.Stats, len(addresses))
	began := time.Now()
	p.read(func(i int, stats engine.Stats, _ bool) { p.base[i] = stats })
	done := make(chan struct{})
	var polling sync.WaitGroup
	polling.Go(func() {
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			p.sample(time.Since(began))
			select {
			case <-done:
				p.sample(time.Since(began))
				return
			case <-ticker.C:
			}
		}
	})
	return func() *enginePoll {
		close(done)
		polling.Wait()
		return p
	}
}

// sample adds one reading of every engine and process.
func (p *enginePoll) sample(at time.Duration) {
	p.processes.sample()
	p.read(func(i int, stats engine.Stats, ok bool) {
		series := &p.series[i]
		sample := EngineSample{}
		if len(series.Samples) > 0 {
			sample = series.Samples[len(series.Samples)-1]
		}
		if ok {
			series.ID = string(stats.ID)
			sample = sampleOf(stats, p.base[i])
		}
		sample.AtS = round(at.Seconds())
		series.Samples = append(series.Samples, sample)
	})
}

// sampleOf takes the totals at the start of the phase off. A restarted engine
// counts from zero.
func sampleOf(stats, base engine.Stats) EngineSample {
	now, before := stats.Counters, base.Counters
	if now.PromptTokens < before.PromptTokens {
		before = engine.Counters{}
	}
	return EngineSample{
		Running:           stats.Load.Running,
		Waiting:           stats.Load.Waiting,
		OutstandingTokens: stats.Load.OutstandingTokens,
		PromptTokens:      now.PromptTokens - before.PromptTokens,
		CachedTokens:      now.CachedTokens - before.CachedTokens,
		GeneratedTokens:   now.GeneratedTokens - before.GeneratedTokens,
	}
}

// read fetches every engine's totals at once.
func (p *enginePoll) read(each func(i int, stats engine.Stats, ok bool)) {
	stats := make([]engine.Stats, len(p.addresses))
	errs := make([]error, len(p.addresses))
	var reading sync.WaitGroup
	for i, address := range p.addresses {
		reading.Go(func() {
			errs[i] = getJSON(context.Background(), p.client, "http://"+address+"/stats", &stats[i])
		})
	}
	reading.Wait()
	for i := range stats {
		each(i, stats[i], errs[i] == nil)
	}
}

// skewOf compares the engines' series; nil without a comparable reading.
func skewOf(series []EngineSeries) *Skew {
	if len(series) == 0 {
		return nil
	}
	averages := make([]float64, len(series))
	var ratios []float64
	for reading := range series[0].Samples {
		loads := make([]float64, len(series))
		requests := 0
		for i := range series {
			sample := series[i].Samples[reading]
			loads[i] = float64(sample.OutstandingTokens)
			averages[i] += loads[i]
			requests += sample.Running + sample.Waiting
		}
		if requests >= len(series) {
			ratios = append(ratios, maxOverMean(loads))
		}
	}
	if len(ratios) == 0 {
		return nil
	}
	slices.Sort(ratios)
	return &Skew{
		TimeAverage: round(maxOverMean(averages)),
		P50:         round(ratios[len(ratios)/2]),
		P95:         round(ratios[len(ratios)*95/100]),
		Readings:    len(ratios),
	}
}

// maxOverMean returns 1 for no load at all.
func maxOverMean(loads []float64) float64 {
	total := 0.0
	for _, load := range loads {
		total += load
	}
	if total == 0 {
		return 1
	}
	return slices.Max(loads) * float64(len(loads)) / total
}

// getJSON reads one JSON document.
func getJSON(ctx context.Context, client *http.Client, url string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: status %d", url, response.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(response.Body).Decode(target), "decode %s", url)
}
