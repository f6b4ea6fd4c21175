package forward

import (
	"net/http"
	"time"
)

// EndAt begins the last part of a planned stop, in which the balancer sends no callers any more: requests
// in flight may take until the given time, and are then answered that the outcome is unknown. A request that
// comes from now on and whose deadline is later is refused, also if its head had come before: it could be
// cut while an upstream runs it, and the caller finds another router at once.
func (h *Handler) EndAt(at time.Time) {
	h.endAt.Store(&at)
	time.AfterFunc(time.Until(at), h.end)
}

// Unfinished returns how many requests the end of a planned stop has ended before their answers were whole.
func (h *Handler) Unfinished() int { return int(h.unfinished.Load()) }

// refuseIfLate refuses a request that may not be answered before the router's planned end. It returns
// whether it did.
func (f *forwarding) refuseIfLate() bool {
	end := f.handler.endAt.Load()
	if end == nil || !f.arrived.Add(f.timeout).After(*end) {
		return false
	}
	f.refuse(http.StatusServiceUnavailable, reasonStopping, 0)
	return true
}

// hasEnded reports whether the router's planned end has come before the request's deadline.
func (f *forwarding) hasEnded() bool { return f.handler.ended.Err() != nil && f.remaining() > 0 }

// answerEnd answers a request that the router's planned end has ended.
func (f *forwarding) answerEnd() {
	if !f.stream.started {
		f.handler.unfinished.Add(1)
	}
	f.giveUp(reasonStopping, 0)
}

// noteCut counts an answer that is cut, if the router's planned end is the reason.
func (f *forwarding) noteCut() {
	if f.handler.ended.Err() != nil && !f.outcome.CallerGone {
		f.handler.unfinished.Add(1)
	}
}
