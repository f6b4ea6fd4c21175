package router

import (
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/roster"
	"endiveplank/coordination/throttle"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
)

// maxToldRouters is how many other routers are told at once of a refusal, or of an upstream that
// takes no connections. In a larger fleet the rest finds out by itself.
const maxToldRouters = 128

// throttled returns whether an upstream takes no request at the moment because it would have to
// refuse it, nil if no upstream is limited. The lock is held.
func (r *Router) throttled(now time.Duration) func(protocol.UpstreamID) bool {
	if r.throttle.Idle() {
		return nil
	}
	return func(id protocol.UpstreamID) bool { return !r.throttle.Admits(now, id) }
}

// noteSent counts a request to an upstream that is or may be limited. The lock is held.
func (r *Router) noteSent(now time.Duration, id protocol.UpstreamID, service protocol.Service) {
	if r.throttle.IsFragile(now, service) {
		r.throttle.Sent(now, id)
	}
}

// noteUnsent records that a request couldn't be sent to an upstream that is or may be limited. The
// lock is held.
func (r *Router) noteUnsent(now time.Duration, id protocol.UpstreamID, service protocol.Service) {
	if r.throttle.IsFragile(now, service) {
		r.throttle.Unsent(now, id)
	}
}

// noteFragility takes what an answer says about how many refusals its upstream bears, and counts
// it if it is one. The lock is held.
func (r *Router) noteFragility(now time.Duration, choice balance.Choice, head dialect.Answer) {
	entry, known := r.balancer.Entry(choice.ID)
	if !known {
		return
	}
	if head.Fragile > 0 {
		if !r.throttle.IsFragile(now, entry.Service) {
			r.log.Warn().Str("event", "upstreams-fragile").Str("service", string(entry.Service)).Str("upstream", string(entry.ID)).Int("bears", head.Fragile).Send()
		}
		r.throttle.NoteFragile(now, entry.Service, head.Fragile)
	}
	switch {
	case !r.throttle.IsFragile(now, entry.Service):
	case head.NotRun:
		r.noteRefusal(now, entry)
	default:
		r.throttle.Served(now, entry.ID)
	}
}

// noteRefusal counts a refusal of a fragile upstream and tells other routers of it. The lock is
// held.
func (r *Router) noteRefusal(now time.Duration, entry roster.Entry) {
	refusal, tell := r.throttle.Refused(now, entry.ID, entry.Service)
	if !tell {
		return
	}
	r.fabric.SendEach(r.someOthers(), refusal)
}

// someOthers returns the other routers, at most maxToldRouters of them. The lock is held.
func (r *Router) someOthers() []protocol.RouterID {
	if len(r.others) <= maxToldRouters {
		return r.others
	}
	var some []protocol.RouterID
	for _, at := range r.random.Perm(len(r.others))[:maxToldRouters] {
		some = append(some, r.others[at])
	}
	return some
}

// expireLimits ends the limits of upstreams that aren't fragile any more. The lock is held.
func (r *Router) expireLimits(now time.Duration) {
	r.throttle.Expire(now, func(id protocol.UpstreamID) (protocol.Service, bool) {
		entry, known := r.balancer.Entry(id)
		return entry.Service, known
	})
}

// applyRefusal takes a refusal that another router tells of. The lock is held.
func (r *Router) applyRefusal(now time.Duration, refusal throttle.Refusal) {
	if _, known := r.balancer.Entry(refusal.Upstream); known {
		r.throttle.Told(now, refusal)
	}
}
