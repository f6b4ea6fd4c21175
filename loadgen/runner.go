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

// lateThreshold is the delay after which an arrival counts as late.
const lateThreshold = 50 * time.Millisecond

// minRetryPause is the shortest pause before another attempt. It applies when the
// answer has no Retry-After, or a Retry-After of zero.
const minRetryPause = 50 * time.Millisecond

// runner sends one phase's trace to its targets.
type runner struct {
	options  Options
	name     string
	targets  []string
	client   *http.Client
	recorder *recorder
	// nextTarget counts attempts, for round robin over the targets.
	nextTarget atomic.Uint64
	// sticky sends all requests of a chat to one target, as an ideal router
	// would do in front of idle engines.
	sticky bool
	// withOrders is false if the targets accept no orders.
	withOrders bool
	progress   io.Writer
}

// run sends arrivals until the duration or the number of requests is reached, and
// waits for the answers. The phase that it returns lacks the engines' readings and
// the processes' costs, which measure adds.
func (r *runner) run(ctx context.Context) Phase {
	model := r.options.Trace
	model.Run = r.options.Trace.Run + "-" + r.name
	if !r.withOrders {
		model.OrderShare = 0
	}
	generator := trace.New(model, rand.New(rand.NewPCG(r.options.Seed, 0)))
	slots := make(chan struct{}, r.options.MaxInFlight)
	var pending sync.WaitGroup
	began := time.Now()
	stopProgress := r.reportProgress(began)
	for n := 0; r.options.Requests == 0 || n < r.options.Requests; n++ {
		item := generator.Next()
		if item.At > r.options.Duration || !sleepUntil(ctx, began.Add(item.At)) {
			break
		}
		r.launch(ctx, &pending, slots, item, began)
		if item.Order != nil && item.Order.Resend {
			r.launch(ctx, &pending, slots, item, began)
		}
	}
	pending.Wait()
	stopProgress()
	return r.recorder.phase(r.name, time.Since(began))
}

// launch waits for a free slot and then sends one request in the background.
func (r *runner) launch(ctx context.Context, pending *sync.WaitGroup, slots chan struct{}, item trace.Item, began time.Time) {
	slots <- struct{}{}
	r.recorder.recordSent(item, time.Since(began)-item.At > lateThreshold)
	pending.Go(func() {
		defer func() { <-slots }()
		r.recorder.recordEnd(item, r.send(ctx, item))
	})
}

// send makes attempts until the request has ended, and returns the result of the
// last one. A chat whose answer began is not retried, because the caller has seen
// part of it. An order is retried under the same key.
func (r *runner) send(ctx context.Context, item trace.Item) attemptResult {
	for attempt := 0; ; attempt++ {
		got := r.attempt(ctx, r.target(item, attempt), item)
		if !got.retry || attempt >= r.options.Retries {
			return got
		}
		r.recorder.recordRetry(got)
		pause := min(max(got.retryAfter, minRetryPause), r.options.MaxRetryWait)
		if !sleepUntil(ctx, time.Now().Add(pause)) {
			return got
		}
	}
}

// target returns the target of an attempt: by round robin, or by chat if the
// runner is sticky.
func (r *runner) target(item trace.Item, attempt int) string {
	if r.sticky {
		return r.targets[(item.Chat+uint64(attempt))%uint64(len(r.targets))]
	}
	return r.targets[r.nextTarget.Add(1)%uint64(len(r.targets))]
}

// reportProgress prints a progress line at an interval until the returned function
// is called, and one more then.
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
	p99 := float64(r.recorder.firstToken.ValueAtQuantile(99)) / 1000
	_, _ = fmt.Fprintf(r.progress,
		"load: %s %3.0f s: %d sent, %d whole, %d refused, %d failed, %d cut, %d wrong, %d in flight, first token p99 %.1f ms\n",
		r.name, time.Since(began).Seconds(), c.Sent, c.Whole, c.Refused, c.Failed, c.Cut, c.Wrong, r.recorder.inFlight, p99)
}

// sleepUntil waits until a point in time. It returns false if ctx ends first.
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
