package router

import "endiveplank/transport/forward"

// ScheduleRetry implements forward.Fleet.
func (r *Router) ScheduleRetry(job forward.Job) (forward.RetryOffer, bool) {
	return forward.RetryOffer{}, false
}
