package forward

import (
	"context"
	"sync"
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/routing"
)

// Silence after which an attempt is cancelled if another attempt may follow it.
//
// The limit guards against this failure: an upstream hangs, or disappears without closing
// its connections, with requests in flight. Without this limit, the caller would
// disconnect before the router tries another upstream. Callers of streams wait at least
// two seconds without an event before they disconnect, callers of plain services until
// the route's timeout.
const (
	// minStreamSilence is the shortest allowed silence of a stream.
	minStreamSilence = 1200 * time.Millisecond
	// streamSilenceObjectives is the allowed silence as a multiple of the route's
	// objective, for prompts that take long to process.
	streamSilenceObjectives = 1.6
	// minPlainSilence and plainSilenceObjectives are the same for plain answers. A
	// service that takes five times as long as usual still answers within them.
	minPlainSilence        = 300 * time.Millisecond
	plainSilenceObjectives = 2.5
)

// maxSilenceOn returns how long an upstream may be silent on a route.
func maxSilenceOn(route *routing.Route) time.Duration {
	least, objectives := minPlainSilence, plainSilenceObjectives
	if route.Stream {
		least, objectives = minStreamSilence, streamSilenceObjectives
	}
	return max(least, time.Duration(objectives*float64(route.Objective)))
}

// watchdog limits the silence of an attempt. An answer that takes far longer than
// usual to begin is overdue: the watchdog reports that, and cancels the attempt if
// another one may follow. Otherwise the attempt goes on, because a late answer is
// better than none. After the answer has begun, it may pause for maxSilence.
type watchdog struct {
	mu    sync.Mutex
	timer *time.Timer
	// maxSilence is the longest allowed silence.
	maxSilence time.Duration
	// onOverdue is called once if the answer doesn't begin in time.
	onOverdue func()
	// takeRetry takes a retry for the next attempt from the retry budget. It returns
	// false if the budget allows none now. It is nil if no further attempt may follow
	// at all.
	takeRetry func() bool
	cancel    context.CancelFunc

	// begun means that the answer has begun, late that it was overdue, ended that the
	// attempt needs no watchdog any more, and cancelled that the watchdog cancelled it.
	begun, late, ended, cancelled bool
}

// start starts the watchdog over an attempt whose answer is overdue after this time.
// It holds the lock until the timer is stored, because a timer of a millisecond may
// fire before that.
func (w *watchdog) start(after time.Duration) *watchdog {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(after, w.fire)
	return w
}

// fire is called when the timer fires.
func (w *watchdog) fire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	if !w.begun && !w.late {
		w.late = true
		w.onOverdue()
	}
	switch {
	case w.takeRetry == nil:
	case !w.takeRetry():
		w.timer.Reset(w.maxSilence)
	default:
		w.cancelled = true
		w.ended = true
		w.cancel()
	}
}

// progress records that the upstream has sent something, and restarts the timer.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun = true
	switch {
	case w.ended:
	case w.takeRetry == nil:
		w.timer.Stop()
	default:
		w.timer.Reset(w.maxSilence)
	}
}

// stop stops the watchdog. It reports whether the watchdog has cancelled the attempt,
// and whether the answer was overdue.
func (w *watchdog) stop() (cancelled, late bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	return w.cancelled, w.late
}

// isLate reports whether the answer is overdue.
func (w *watchdog) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.late
}

// hasCancelled reports whether the watchdog cancelled the attempt.
func (w *watchdog) hasCancelled() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelled
}

// progress tells the watchdog that the upstream has sent something.
func (f *forwarding) progress() { f.watchdog.progress() }

// startWatchdog starts the watchdog over an attempt.
func (f *forwarding) startWatchdog(choice balance.Choice, cancel context.CancelFunc) {
	fleet := f.handler.options.Fleet
	limit := maxSilenceOn(f.job.Route)
	after := fleet.OverdueAfter(f.job, choice, limit)
	w := &watchdog{maxSilence: limit, cancel: cancel, onOverdue: func() { fleet.AnswerOverdue(f.job, choice, after) }}
	if !f.job.LastAttempt() {
		w.takeRetry = func() bool { return fleet.TakeRetry(f.job) }
	}
	f.watchdog = w.start(after)
}
