package retry

import "time"

// WindowSettings limit the retries that all routers together may send to a service
// in any period of Length: Ratio times the service's requests, plus Slack.
type WindowSettings struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of retries allowed in addition, for all routers together.
	Slack float64
	// Length is the length of the sliding window in which requests and retries are
	// counted.
	Length time.Duration
}

const (
	// windowSteps is the number of steps that a window is divided into. The counts of a
	// step expire together. Requests expire up to one step before Length has passed and
	// retries up to one step after it, which both err on the safe side.
	windowSteps = 20
	// keptSteps is how many steps are kept: the window's and the one that it leaves.
	keptSteps = windowSteps + 1
	// windowMargin is the part of the allowed retries that is used. The rest covers
	// requests that are counted but never reached the service, and routers that
	// divide the slack before they know of each other.
	windowMargin = 0.85
)

// step holds the counts of one step of a window.
type step struct {
	requests, retries int
}

// Window limits one router's retries for one service.
//
// It guards against two failures: the loss of an upstream, which fails its requests
// on all routers at once, and a service that fails one request in seven by itself.
// Without a limit, the retries of routers that can't reach each other at that moment
// would add up to more than the remaining upstreams can handle. Each router may send
// retries for the ratio of its own requests and for an equal share of the slack, so
// the limit holds for all routers together without any messages between them.
// Requests are counted in the same window as retries, because otherwise the requests
// of a minute ago would allow a retry storm now.
//
// The counts are in memory alone. A router that starts again knows nothing of what it
// sent before, and if routers are killed one after the other, each start would grant
// the same retries once more. So a router sends no retries until it has counted for
// Length.
//
// Times are since the start of the process.
type Window struct {
	settings WindowSettings
	steps    [keptSteps]step
	// current is the number of the newest step.
	current int64
}

// NewWindow returns a window without requests.
func NewWindow(settings WindowSettings) *Window {
	return &Window{settings: settings}
}

// advance drops the steps that have left the window and returns the current step.
func (w *Window) advance(now time.Duration) *step {
	number := int64(now / (w.settings.Length / windowSteps))
	if number-w.current >= keptSteps {
		w.steps = [keptSteps]step{}
		w.current = number
	}
	for w.current < number {
		w.current++
		w.steps[w.current%keptSteps] = step{}
	}
	return &w.steps[w.current%keptSteps]
}

// RecordRequest counts a request of a caller.
func (w *Window) RecordRequest(now time.Duration) {
	w.advance(now).requests++
}

// Usage describes a window at one time.
type Usage struct {
	// Requests and Retries are what this router has counted in the window.
	Requests, Retries int
	// Allowed is how many retries it may send in the window, those that it has sent included.
	Allowed int
}

// Usage returns the counts of the window, if the given number of routers divide the slack,
// 0 if it isn't known how many do. Nothing is allowed before the router has counted for a
// whole window.
func (w *Window) Usage(now time.Duration, routers int) Usage {
	w.advance(now)
	var u Usage
	for age := range int64(keptSteps) {
		s := w.steps[(w.current+keptSteps-age)%keptSteps]
		u.Retries += s.retries
		if age < windowSteps {
			u.Requests += s.requests
		}
	}
	if now < w.settings.Length {
		return u
	}
	allowed := w.settings.Ratio * float64(u.Requests)
	if routers > 0 {
		allowed += w.settings.Slack / float64(routers)
	}
	u.Allowed = int(windowMargin * allowed)
	return u
}

// Allowance returns how many more retries this router may send now, if the given
// number of routers divide the slack.
func (w *Window) Allowance(now time.Duration, routers int) int {
	u := w.Usage(now, routers)
	return u.Allowed - u.Retries
}

// TryRetry reports whether this router may send a retry now, and counts it if so.
func (w *Window) TryRetry(now time.Duration, routers int) bool {
	if w.Allowance(now, routers) < 1 {
		return false
	}
	w.advance(now).retries++
	return true
}
