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
	"endiveplank/transport/bounded"
)

// pollTimeout is the timeout of one read of an engine's counters.
const pollTimeout = time.Second

// EngineSeries holds the readings of one engine over a phase.
type EngineSeries struct {
	ID      string         `json:"id"`
	Samples []EngineSample `json:"samples"`
}

// EngineSample is one reading of an engine's load and counters. Its token counts
// start at zero with the phase.
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
	// TimeAverage is the highest time average of any engine divided by the mean
	// of all engines' time averages.
	TimeAverage float64 `json:"time_average"`
	// P50 and P95 are quantiles, over the readings, of the highest load divided
	// by the mean load. Only those readings count in which the engines have a
	// mean of at least one running or waiting request.
	P50      float64 `json:"p50"`
	P95      float64 `json:"p95"`
	Readings int     `json:"readings"`
}

// enginePoller reads the counters of all engines at the same times, so that
// reading i of one engine belongs to reading i of the others.
type enginePoller struct {
	addresses []string
	processes *processPoller
	client    *http.Client
	base      []engine.Stats
	series    []EngineSeries
}

// startPolling reads the engines and processes at an interval until stop is
// called. For an engine that does not answer, the last reading is repeated.
func startPolling(addresses []string, processes []Process, every time.Duration) (stop func() *enginePoller) {
	p := &enginePoller{
		addresses: addresses,
		processes: newProcessPoller(processes),
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
	return func() *enginePoller {
		close(done)
		polling.Wait()
		return p
	}
}

// sample adds one reading of every engine and process.
func (p *enginePoller) sample(at time.Duration) {
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

// sampleOf returns a reading with the counters at the start of the phase
// subtracted. The counters of an engine that has restarted since then began at
// zero, so nothing is subtracted from them.
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

// read fetches the counters of all engines in parallel and calls each for every
// engine; ok is false for one that did not answer.
func (p *enginePoller) read(each func(i int, stats engine.Stats, ok bool)) {
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

// skewOf compares the engines' loads. It returns nil if no reading has enough
// requests to compare.
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

// maxOverMean returns the highest load divided by the mean load, or 1 if there is
// no load at all.
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

// getJSON fetches a JSON document and decodes it into target.
func getJSON(ctx context.Context, client *http.Client, url string, target any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return eris.Wrapf(err, "build request for %s", url)
	}
	response, err := client.Do(request)
	if err != nil {
		return eris.Wrapf(err, "get %s", url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return eris.Errorf("get %s: status %d", url, response.StatusCode)
	}
	return eris.Wrapf(json.NewDecoder(bounded.NewLimitedReader(response.Body, bounded.MaxReplyBytes, "the answer")).Decode(target), "decode %s", url)
}
