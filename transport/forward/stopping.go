package forward

import (
	"net/http"
	"time"
)

// EndAt begins the last part of a planned stop, in which the balancer sends no callers any more: requests
// in flight may take until the given time. One that comes from now on and whose deadline is later is
// refused, also if its head had come before: it could be cut while an upstream runs it, and the caller
// finds another router at once.
func (h *Handler) EndAt(at time.Time) { h.endAt.Store(&at) }

// refuseIfLate refuses a request that may not be answered before the router's planned end. It returns
// whether it did.
func (f *forwarding) refuseIfLate() bool {
	end := f.handler.endAt.Load()
	if end == nil || !f.arrived.Add(f.timeout).After(*end) {
		return false
	}
	f.refuse(http.StatusServiceUnavailable, "stopping", 0)
	return true
}
