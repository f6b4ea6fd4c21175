package router

import (
	"context"
	"time"

	"endiveplank/coordination/answertime"
	"endiveplank/coordination/balance"
	"endiveplank/coordination/loadlimit"
	"endiveplank/coordination/reach"
	"endiveplank/coordination/retry"
	"endiveplank/coordination/routing"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/transport/forward"
)

// Table implements forward.Fleet.
func (r *Router) Table() *routing.Index { return r.table.Load() }

// warmUpPeriod is how long after its start a router that lacks the table or upstreams may
// still learn them at any moment: an election of the disk VMs and two announcements of the
// upstreams fit into it.
const warmUpPeriod = 4 * time.Second

// WarmingUp implements forward.Fleet.
func (r *Router) WarmingUp() bool {
	if r.now() >= warmUpPeriod {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initialized = r.initialized || r.hasTableAndUpstreams()
	return !r.initialized
}

// hasTableAndUpstreams reports whether the router knows a table, an upstream that is
// ready and most of the upstreams that the disk VMs list. The lock is held.
func (r *Router) hasTableAndUpstreams() bool {
	return r.table.Load() != nil && r.balancer.AnyReady() && r.follower.KnowsMostUpstreams(r.now())
}

// Choose implements forward.Fleet.
func (r *Router) Choose(_ context.Context, job forward.Job) balance.Choice {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, first, rank := r.now(), job.Attempts == 0 && len(job.Tried) == 0, rankOf(job)
	if first {
		var refusal *balance.RateRefusal
		if rank, refusal = r.admitByRate(now, job); refusal != nil {
			return balance.Choice{Reason: balance.ReasonNoCapacity, RateLimited: refusal}
		}
	}
	request := balance.Request{Service: job.Service, Tried: job.Tried, NoRetry: job.LastAttempt(), AllowTried: job.ErrorFrom != ""}
	request.Prompt, request.HasPrompt = job.SharedPrefixKey()
	request.SharedPrefixes = job.ShorterPrefixKeys()
	request.PrefixTokens, request.Errored = job.SharedPrefixTokens(), job.Errored
	request.Admits, request.IsCold, request.Throttled = r.admits(now), r.isCold(now), r.throttled(now)
	request.Slowness = r.slowness(now, job.Service)
	r.restrictBuild(&request, job)
	// An attempt that follows failed connections is limited like the first one, but the
	// request has been counted.
	if len(job.Tried) == 0 {
		request.LoadLimit = r.loadLimit(now, job, first)
	}
	if job.TakenUp {
		// The work that was done for the stream would be lost.
		request.LoadLimit = 0
	}
	choice := r.balancer.Pick(now, r.random, request)
	r.setProxy(now, &choice, job.TriedProxies)
	if choice.ID != "" {
		r.balancer.Started(choice.ID)
		r.slowStart.Sent(now, choice.ID)
		r.noteSent(now, choice.ID, job.Service)
	}
	if first && choice.ID != "" {
		r.limiter(job.Service).Admitted(now)
	}
	choice.First, choice.Rank = first, rank
	r.noteChoice(now, job, choice)
	return choice
}

// AttemptEnded implements forward.Fleet.
func (r *Router) AttemptEnded(job forward.Job, choice balance.Choice, result balance.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if prompt, any := job.SharedPrefixKey(); any {
		r.balancer.ForgetUnconfirmed(choice.ID, prompt)
	}
	now := r.now()
	if result == balance.NoPath || result == balance.Unreachable {
		r.noteUnsent(now, choice.ID, job.Service)
	}
	switch result {
	case balance.NoPath:
		r.setUnconnected(now, choice.ID, job.Service)
	case balance.Unreachable:
		r.slowStart.NoteUnreachable(now, choice.ID, job.Service)
	case balance.Broken:
		r.paths.Hold(now, reach.Failure{Upstream: choice.ID})
	}
	r.balancer.Ended(now, choice.ID, result)
}

// DeferredResult implements forward.Fleet.
func (r *Router) DeferredResult(upstream protocol.UpstreamID, result balance.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balancer.RecordResult(r.now(), upstream, result)
}

// answerKind returns the kind of an attempt's answer. Answer times are compared only with
// those of the same kind.
func answerKind(job forward.Job, choice balance.Choice) answertime.Kind {
	_, prompt := job.SharedPrefixKey()
	return answertime.Kind{Route: job.Route.Name, Cold: prompt && choice.Reason != balance.ReasonCacheHolder && choice.CopyFrom == ""}
}

// OverdueAfter implements forward.Fleet. It returns maxSilence for an upstream that hasn't
// lost requests lately. If such an upstream merely takes six times as long as usual for a
// hundred answers, a shorter time would request each of them again, and each prompt would be
// processed twice.
func (r *Router) OverdueAfter(job forward.Job, choice balance.Choice, maxSilence time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.balancer.IsOutlier(r.now(), choice.ID) {
		return maxSilence
	}
	return r.times.Timeout(answerKind(job, choice), maxSilence)
}

// AnswerOverdue implements forward.Fleet.
func (r *Router) AnswerOverdue(job forward.Job, choice balance.Choice, after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times.Record(answerKind(job, choice), after)
	if choice.Proxy != "" {
		r.proxies.Unsuitable(r.now(), choice.Proxy)
		return
	}
	r.paths.Hold(r.now(), reach.Failure{Upstream: choice.ID})
}

// AnswerBegan implements forward.Fleet.
func (r *Router) AnswerBegan(job forward.Job, choice balance.Choice, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.times.Record(answerKind(job, choice), took)
	if prompt, any := job.SharedPrefixKey(); any {
		r.balancer.ConfirmCached(r.now(), choice.ID, prompt, job.ShorterPrefixKeys())
	}
}

// AnswerHead implements forward.Fleet.
func (r *Router) AnswerHead(job forward.Job, choice balance.Choice, head dialect.Answer, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.noteFragility(now, choice, head)
	r.noteRejection(now, job, choice, head)
	r.noteReportedLoad(now, job, choice, head, took)
	if head.RetryAfter <= 0 && !head.Leaving {
		return
	}
	wasPaused := r.balancer.IsPaused(now, choice.ID, choice.StartedAt)
	if head.RetryAfter > 0 {
		r.balancer.PauseUpstream(now, choice.ID, choice.StartedAt, head.RetryAfter)
	}
	if head.Leaving {
		r.balancer.MarkLeaving(now, choice.ID, choice.StartedAt)
		r.pool.CloseIdle(choice.Address)
	}
	if !wasPaused {
		r.log.Warn().Str("event", "upstream-paused").Str("upstream", string(choice.ID)).Int64("born", choice.StartedAt).
			Int64("retry_after_ms", head.RetryAfter.Milliseconds()).Bool("leaving", head.Leaving).Send()
	}
}

// MaySend implements forward.Fleet.
func (r *Router) MaySend(choice balance.Choice) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.balancer.IsPaused(r.now(), choice.ID, choice.StartedAt)
}

// limiter returns the load limiter of a service. The lock is held.
func (r *Router) limiter(service protocol.Service) *loadlimit.Limiter {
	limiter := r.limiters[service]
	if limiter == nil {
		limiter = loadlimit.NewLimiter()
		r.limiters[service] = limiter
	}
	return limiter
}

// AnswerTimed implements forward.Fleet.
func (r *Router) AnswerTimed(job forward.Job, choice balance.Choice, inTime bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.limiter(job.Service).Record(now, choice.Load, inTime)
	r.noteAnswer(now, job, inTime)
}

// window returns the retry budget of a service. The lock is held.
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

// TakeRetry implements forward.Fleet. It logs by which counts the retry is granted or not.
func (r *Router) TakeRetry(job forward.Job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, window := r.now(), r.window(job.Service)
	before := window.Usage(now, r.fleetSize)
	granted := window.TryRetry(now, r.fleetSize)
	r.metrics.countRetry(granted)
	r.options.RequestLog.Info().Str("event", "retry").Str("request", string(job.ID)).Str("service", string(job.Service)).
		Bool("granted", granted).Int("requests", before.Requests).Int("retries", before.Retries).Int("allowed", before.Allowed).
		Int("routers", r.fleetSize).Int64("counted_ms", now.Milliseconds()).Send()
	return granted
}
