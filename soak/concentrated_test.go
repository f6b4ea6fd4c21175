package soak

import (
	"time"
)

// The rule on most new connections at one router: from learnPathWithin on requests that it has read
// are served at least three quarters as often as before.
const (
	concentratedFor = 5 * time.Second
	// fewestConcentrated is how many requests make the comparison meaningful.
	fewestConcentrated = 50
)

// concentration is the time in which most new connections go to one router.
type concentration struct {
	router *process
	since  time.Time
	// before and during are requests that the routers have read.
	before, during served
}

// concentrate hands most new connections to one router, while callers open a new one for each request.
func (h *harness) concentrate() {
	h.concentrateMu.Lock()
	defer h.concentrateMu.Unlock()
	router := h.randomRouter()
	h.mu.Lock()
	h.concentration = &concentration{router: router, since: time.Now(), before: h.concentration.during}
	h.mu.Unlock()
	time.Sleep(concentratedFor)
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.concentration
	if h.judgesConcentration && c.during.sent >= fewestConcentrated && 4*c.during.served*c.before.sent < 3*c.before.served*c.during.sent {
		h.violations = append(h.violations, "most new connections at one router: served less than three quarters as often as before")
	}
	h.counts["requests read while most connections go to one router"] += c.during.sent
	h.counts["of these served"] += c.during.served
	h.concentration = &concentration{}
}

// favoured returns the router that gets most new connections, nil if there is none.
func (h *harness) favoured() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.concentration.router
}

// noteRead counts a request that a router has read.
func (h *harness) noteRead(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.concentration.router != nil && time.Since(h.concentration.since) < learnPathWithin {
		return
	}
	counted := &h.concentration.during
	counted.sent++
	if ok {
		counted.served++
	}
}
