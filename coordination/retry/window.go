package retry

import "time"

// WindowSettings bound what all routers together may send to a service beyond
// the first of each request.
type WindowSettings struct {
	// Ratio is the share of the service's requests.
	Ratio float64
	// Slack is how many more there may be, all routers together.
	Slack int
	// Length is the time over which both are counted, at any moment.
	Length time.Duration
}

const (
	// windowSteps is into how many steps a window is cut. Counts of a step go
	// together, so the window is up to one step too long, on the safe side.
	windowSteps = 20
	// windowMargin is the part of the allowance that is used. The rest is for
	// requests counted here that never reached the service, and for routers
	// that share the slack before they know of each other.
	windowMargin = 0.85
)

// step is the count of one step of a window.
type step struct {
	requests, retries int
}

// Window bounds one router's retries for one service.
//
// Load: an upstream's loss, which fails its requests on all routers at once, and
// a service that fails one request in seven by itself. Harm prevented: retries
// that add up, over routers that know nothing of each other at that moment, to
// more than the upstreams that are left can take. Each router may add the ratio
// of its own requests and an equal part of the slack, so the sum holds without
// a message. Requests have to be counted in the window as well: requests of a
// minute ago would allow a storm now.
type Window struct {
	settings WindowSettings
	steps    [windowSteps]step
	// current is the number of the newest step.
	current int64
}

// NewWindow returns a window without requests.
func NewWindow(settings WindowSettings) *Window {
	return &Window{settings: settings}
}

// advance drops the steps that have left the window.
func (w *Window) advance(now time.Duration) *step {
	number := int64(now / (w.settings.Length / windowSteps))
	if number-w.current >= windowSteps {
		w.steps = [windowSteps]step{}
		w.current = number
	}
	for w.current < number {
		w.current++
		w.steps[w.current%windowSteps] = step{}
	}
	return &w.steps[w.current%windowSteps]
}

// Request counts a caller's request.
func (w *Window) Request(now time.Duration) {
	w.advance(now).requests++
}

// Allowance returns how many more retries there may be now, if the slack is
// shared by so many routers.
func (w *Window) Allowance(now time.Duration, routers int) int {
	w.advance(now)
	requests, retries := 0, 0
	for _, s := range w.steps {
		requests += s.requests
		retries += s.retries
	}
	allowed := w.settings.Ratio*float64(requests) + float64(w.settings.Slack)/float64(max(routers, 1))
	return int(windowMargin*allowed) - retries
}

// Retry spends a retry if there is one.
func (w *Window) Retry(now time.Duration, routers int) bool {
	if w.Allowance(now, routers) < 1 {
		return false
	}
	w.advance(now).retries++
	return true
}
