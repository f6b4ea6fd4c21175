package router

import (
	"context"
	"time"

	"endiveplank/coordination/answertime"
	"endiveplank/coordination/balance"
	"endiveplank/coordination/crashes"
	"endiveplank/coordination/retry"
	"endiveplank/coordination/room"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/transport/forward"
)

// Table implements forward.Fleet.
func (r *Router) Table() *routing.Index { return r.table.Load() }

// settlingFor is how long after its start a router may still learn what it needs
// at any moment: an election of the disk VMs and two announcements of upstreams.
const settlingFor = 4 * time.Second

// WarmingUp implements forward.Fleet.
func (r *Router) WarmingUp() bool {
	if r.now() >= settlingFor {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.knewEnough = r.knewEnough || r.knowsEnough()
	return !r.knewEnough
}

// knowsEnough reports whether callers can be served well. The lock is held.
func (r *Router) knowsEnough() bool {
	return r.table.Load() != nil && r.balancer.AnyReady() && r.follower.KnowsMostUpstreams(r.now())
}

// Choose implements forward.Fleet.
func (r *Router) Choose(_ context.Context, job forward.Job) balance.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	request := balance.Request{Service: job.Service, Tried: job.Tried, NoRetry: job.LastAttempt(), AllowTried: job.ErrorFrom != ""}
	request.Prompt, request.HasPrompt = job.SharedPrefixKey()
	request.SharedPrefixes = job.ShorterPrefixKeys()
	known, first := r.limiter(job.Service), len(job.Tried) == 0
	if first {
		request.LoadLimit = known.Arrived(now, job.Customer)
	}
	choice := r.balancer.Pick(now, r.random, request)
	if choice.ID != "" {
		r.balancer.Started(choice.ID)
	}
	if first && choice.ID != "" {
		known.Admitted(now)
	}
	return choice
}

// AttemptEnded implements forward.Fleet.
func (r *Router) AttemptEnded(job forward.Job, upstream protocol.UpstreamID, result balance.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if prompt, any := job.SharedPrefixKey(); any {
		r.balancer.ForgetUnconfirmed(upstream, prompt)
	}
	r.balancer.Ended(r.now(), upstream, result)
}

// DeferredResult implements forward.Fleet.
func (r *Router) DeferredResult(upstream protocol.UpstreamID, result balance.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordResult(r.now(), upstream, result)
}

// kindOf returns the kind of an attempt's answer.
func kindOf(job forward.Job, choice balance.Choice) answertime.Kind {
	_, prompt := job.SharedPrefixKey()
	return answertime.Kind{Route: job.Route.Name, Cold: prompt && choice.Reason != balance.ReasonCacheHolder && choice.CopyFrom == ""}
}

// OverdueAfter implements forward.Fleet. An upstream that hasn't lost requests lately is
// given the longest time: of a hundred answers that take six times as long as usual
// without a fault, each would be asked for twice, and read twice.
func (r *Router) OverdueAfter(job forward.Job, choice balance.Choice, most time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.balancer.IsOutlier(r.now(), choice.ID) {
		return most
	}
	return r.times.Timeout(kindOf(job, choice), most)
}

// AnswerOverdue implements forward.Fleet.
func (r *Router) AnswerOverdue(job forward.Job, choice balance.Choice, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times.Record(kindOf(job, choice), after)
	r.balancer.Overdue(r.now(), choice.ID)
}

// AnswerBegan implements forward.Fleet.
func (r *Router) AnswerBegan(job forward.Job, choice balance.Choice, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times.Record(kindOf(job, choice), took)
	if prompt, any := job.SharedPrefixKey(); any {
		r.balancer.ConfirmCached(r.now(), choice.ID, prompt, job.ShorterPrefixKeys())
	}
}

// limiter returns the load limiter of a service. The lock is held.
func (r *Router) limiter(service protocol.Service) *room.Limiter {
	c := r.limiters[service]
	if c == nil {
		c = room.NewLimiter()
		r.limiters[service] = c
	}
	return c
}

// AnswerTimed implements forward.Fleet.
func (r *Router) AnswerTimed(job forward.Job, choice balance.Choice, inTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter(job.Service).Record(r.now(), choice.Load, inTime)
}

// window returns the retries of a service. The lock is held.
func (r *Router) window(service protocol.Service) *retry.Window {
	w := r.windows[service]
	if w == nil {
		w = retry.NewWindow(retry.WindowSettings{
			Ratio: r.settings.Retries.Ratio, Slack: r.settings.Retries.Slack, Length: r.settings.Retries.Window(),
		})
		r.windows[service] = w
	}
	return w
}

// RequestArrived implements forward.Fleet.
func (r *Router) RequestArrived(service protocol.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window(service).RecordRequest(r.now())
}

// TakeRetry implements forward.Fleet.
func (r *Router) TakeRetry(service protocol.Service) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.window(service).TryRetry(r.now(), r.fleetSize)
}

// Quarantined implements forward.Fleet.
func (r *Router) Quarantined(digest uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes.Quarantined(r.now(), digest)
}

// UpstreamCrashed implements forward.Fleet.
func (r *Router) UpstreamCrashed(digest uint64, upstream protocol.UpstreamID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	crash := crashes.Crash{Digest: digest, Upstream: upstream, Attempt: r.random.Uint64()}
	r.noteCrash(r.now(), crash)
	for _, other := range r.routers {
		r.fabric.Send(other.ID, crash)
	}
}

// noteCrash counts a crash. The lock is held.
func (r *Router) noteCrash(now time.Duration, crash crashes.Crash) {
	if r.crashes.Note(now, crash) {
		r.log.Warn().Str("event", "request-condemned").Uint64("digest", crash.Digest).Str("upstream", string(crash.Upstream)).Send()
	}
}
