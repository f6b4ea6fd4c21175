package soak

import (
	"time"

	"endiveplank/protocol"
)

// The budget of retries: all routers together may send retryRatio of a service's requests once more
// in each retryWindow, and retrySlack.
const (
	retryRatio  = 0.2
	retrySlack  = 5
	retryWindow = time.Second
)

// sentTo counts the requests of callers for a service, and the arrivals at its upstreams beyond the
// first of each request.
type sentTo struct {
	requests, repeats int
	arrived           map[string]bool
}

// noteRequest counts a request that a caller sends.
func (h *harness) noteRequest(service protocol.Service) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentTo(service).requests++
}

// noteArrival counts a request that reaches an upstream, also if that refuses it.
func (h *harness) noteArrival(service protocol.Service, id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sent := h.sentTo(service)
	if sent.arrived[id] {
		sent.repeats++
	}
	sent.arrived[id] = true
}

// sentTo returns the counts of a service. The lock is held.
func (h *harness) sentTo(service protocol.Service) *sentTo {
	if h.budgets[service] == nil {
		h.budgets[service] = &sentTo{arrived: map[string]bool{}}
	}
	return h.budgets[service]
}

// checkBudget checks that the repeats of the whole run are within the budget of its windows.
func (h *harness) checkBudget(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, sent := range h.budgets {
		windows := took.Seconds()/retryWindow.Seconds() + 1
		allowed := retryRatio*float64(sent.requests) + retrySlack*windows
		h.counts["repeats at "+string(service)] += sent.repeats
		if float64(sent.repeats) > allowed {
			h.violations = append(h.violations, "more repeats than the budget allows at "+string(service))
		}
	}
}
