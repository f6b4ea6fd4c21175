package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endiveplank/coordination/balance"
)

// hangs never answers.
func hangs(stop <-chan struct{}) http.HandlerFunc {
	return func(_ http.ResponseWriter, request *http.Request) {
		select {
		case <-stop:
		case <-request.Context().Done():
		}
	}
}

func TestAnOverdueAnswerIsAskedForElsewhere(t *testing.T) {
	// An engine that usually answers within a few tens of milliseconds loses an
	// answer. Without the watchdog, the caller would wait until the limit for the
	// slowest answers, more than a second, although another engine would have answered
	// in time. The request hasn't crashed the engine, so it must not count as a crash:
	// requests of the same content would be quarantined.
	stop := make(chan struct{})
	defer close(stop)
	for _, path := range []string{"/resume/x", "/idem/x"} {
		answers := serves("done")
		if path == "/resume/x" {
			answers = streams(5, 0)
		}
		r := newTestRouter(t, hangs(stop), answers)
		r.overdueAfter = 30 * time.Millisecond
		began := time.Now()
		got := r.call(path)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Assert(t, time.Since(began) < minStreamSilence)
		r.mu.Lock()
		assert.Equal(t, r.overdueCount, 1)
		assert.Equal(t, r.crashed, 0)
		assert.Equal(t, r.begun, 1)
		assert.Equal(t, r.results[0], balance.Abandoned, "the overdue answer was reported, and isn't reported again")
		r.mu.Unlock()
	}
}

func TestAnOverdueAnswerThatMayNotBeAskedForAgainIsWaitedFor(t *testing.T) {
	// The answer to an order is overdue. The order may have run, so no other upstream
	// may run it. The overdue answer counts against the upstream at once, and the
	// caller receives the answer when it comes.
	r := newTestRouter(t, after(200*time.Millisecond, serves("done")), serves("second"))
	r.overdueAfter = 30 * time.Millisecond
	got := r.call("/once/x")
	assert.Equal(t, got.body, "done")
	r.mu.Lock()
	defer r.mu.Unlock()
	assert.Equal(t, r.chosen, 1)
	assert.Equal(t, r.overdueCount, 1)
	assert.DeepEqual(t, r.results, []balance.Result{balance.Served})
}

func TestAnOverdueAnswerIsWaitedForWhenTheRetryBudgetIsSpent(t *testing.T) {
	// The answer is overdue, but the retry budget is spent. If the watchdog cancelled the
	// attempt all the same, the caller would get no answer at all.
	r := newTestRouter(t, after(200*time.Millisecond, serves("done")), serves("second"))
	r.overdueAfter = 30 * time.Millisecond
	r.retries = 0
	assert.Equal(t, r.call("/idem/x").body, "done")
}

func TestTheWatchdogMayFireWhileItStarts(t *testing.T) {
	// Answers usually take a millisecond, so the timer may fire on another goroutine
	// before start has stored it. With no retry left, the timer function resets the
	// timer: without the lock it would use a nil timer and crash the process.
	for range 5000 {
		asked := make(chan struct{})
		w := &watchdog{
			maxSilence: time.Hour,
			onOverdue:  func() {},
			takeRetry:  func() bool { close(asked); return false },
			cancel:     func() {},
		}
		w.start(0)
		<-asked
		w.stop()
	}
}
