package loadgen

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"endiveplank/loadgen/trace"
)

// lateAfter is how late an arrival is sent before it counts as late.
const lateAfter = 50 * time.Millisecond

// pauseWithoutHint is the pause before another attempt where the answer did
// not say when to come back.
const pauseWithoutHint = 50 * time.Millisecond

// runner sends one phase's trace to its targets.
type runner struct {
	options  Options
	name     string
	targets  []string
	client   *http.Client
	recorder *recorder
	turn     atomic.Uint64
	// sticky sends all requests of a chat to one target, as an all-knowing
	// router before idle engines would.
	sticky bool
	// withOrders is false where the targets take no orders.
	withOrders bool
	progress   io.Writer
}

// run sends arrivals until the duration or the number of requests is reached,
// waits for the answers, and returns the phase without the engines' series.
func (r *runner) run(ctx context.Context) Phase {
	model := r.options.Trace
	model.Run = r.options.Trace.Run + "-" + r.name
	if !r.withOrders {
		model.OrderShare = 0
	}
	generator := trace.New(model, rand.New(rand.NewPCG(r.options.Seed, 0)))
	slots := make(chan struct{}, r.options.MaxInFlight)
	var flying sync.WaitGroup
	began := time.Now()
	stopProgress := r.reportProgress(began)
	for n := 0; r.options.Requests == 0 || n < r.options.Requests; n++ {
		item := generator.Next()
		if item.At > r.options.Duration || !sleepUntil(ctx, began.Add(item.At)) {
			break
		}
		r.launch(ctx, &flying, slots, item, began)
		if item.Order != nil && item.Order.Resend {
			r.launch(ctx, &flying, slots, item, began)
		}
	}
	flying.Wait()
	stopProgress()
	return r.recorder.phase(r.name, time.Since(began))
}

// launch sends one request as soon as a slot is free.
func (r *runner) launch(ctx context.Context, flying *sync.WaitGroup, slots chan struct{}, item trace.Item, began time.Time) {
	slots <- struct{}{}
	r.recorder.sent(item, time.Since(began)-item.At > lateAfter)
	flying.Go(func() {
		defer func() { <-slots }()
		r.recorder.ended(item, r.send(ctx, item))
	})
}

// send makes attempts until one settles the request. A chat whose answer began
// is not asked for again: the caller has seen part of it. An order is sent
// again under the same key.
func (r *runner) send(ctx context.Context, item trace.Item) reply {
	for attempt := 0; ; attempt++ {
		got := r.attempt(ctx, r.target(item, attempt), item)
		if !got.retry || attempt >= r.options.Retries {
			return got
		}
		r.recorder.retried(got)
		pause := min(max(got.retryAfter, pauseWithoutHint), r.options.MaxRetryWait)
		if !sleepUntil(ctx, time.Now().Add(pause)) {
			return got
		}
	}
}

// target picks the target of an attempt: in turn, or by chat when sticky.
func (r *runner) target(item trace.Item, attempt int) string {
	if r.sticky {
		return r.targets[(item.Chat+uint64(attempt))%uint64(len(r.targets))]
	}
	return r.targets[r.turn.Add(1)%uint64(len(r.targets))]
}

// reportProgress prints a line every so often until the returned function is
// called.
func (r *runner) reportProgress(began time.Time) (stop func()) {
	ticker := time.NewTicker(r.options.ProgressEvery)
	done := make(chan struct{})
	var printing sync.WaitGroup
	printing.Go(func() {
		defer ticker.Stop()
		for {
			select {
			case <-done:
				r.printProgress(began)
				return
			case <-ticker.C:
				r.printProgress(began)
			}
		}
	})
	return func() {
		close(done)
		printing.Wait()
	}
}

func (r *runner) printProgress(began time.Time) {
	r.recorder.mu.Lock()
	defer r.recorder.mu.Unlock()
	c := r.recorder.counts
	p99 := float64(r.recorder.first.ValueAtQuantile(99)) / 1000
	_, _ = fmt.Fprintf(r.progress,
		"load: %s %3.0f s: %d sent, %d whole, %d refused, %d failed, %d cut, %d wrong, %d in flight, first token p99 %.1f ms\n",
		r.name, time.Since(began).Seconds(), c.Sent, c.Whole, c.Refused, c.Failed, c.Cut, c.Wrong, r.recorder.inFlight, p99)
}

// sleepUntil returns false when ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
