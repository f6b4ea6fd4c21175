package router

import (
	"time"

	"endiveplank/coordination/balance"
	"endiveplank/coordination/capacity"
	"endiveplank/coordination/demand"
	"endiveplank/coordination/ratelimit"
	"endiveplank/coordination/retryschedule"
	"endiveplank/protocol"
	"endiveplank/protocol/dialect"
	"endiveplank/transport/forward"
)

// rankOf returns the rank by which a request is counted.
func rankOf(job forward.Job) int { return min(max(job.Priority, 0), demand.Ranks-1) }

// refuseByRate counts the first attempt of a request, and returns by which figures it is refused for
// the rate limit of its service, nil if it isn't. A stream that a caller takes up again is never
// refused: the work that was done for it would be lost. The lock is held.
func (r *Router) refuseByRate(now time.Duration, job forward.Job) *balance.RateRefusal {
	a := r.admission
	if a == nil {
		return nil
	}
	rank := rankOf(job)
	a.counter.Arrived(now, job.Service, rank, job.Customer)
	match, _ := a.reservations.Match(now, job.Digest)
	if match == retryschedule.Due {
		a.reservations.Consume(now, job.Digest)
	}
	if job.TakenUp || a.limit(now, job.Service) == 0 {
		return nil
	}
	request := ratelimit.Request{
		Rank: rank, Customer: job.Customer, Remaining: job.Remaining, Reserved: match == retryschedule.Due,
	}
	limiter, cause := a.service(job.Service).limiter, balance.CauseEarly
	var decision ratelimit.Decision
	if match == retryschedule.Early {
		decision = inspect(now, limiter, request)
	} else {
		decision = limiter.Admit(now, r.random.Float64(), request)
		cause = balance.RateCause(decision.Reason)
	}
	if decision.Admitted && cause != balance.CauseEarly {
		r.metrics.countReservationKept(request.Reserved)
		return nil
	}
	r.metrics.countRateRefusal(rank)
	a.counter.NoteConstrained(now, job.Service)
	return &balance.RateRefusal{
		Rank: rank, Limit: decision.Limit, Demand: decision.Demand, Share: decision.Share, Wait: decision.Wait, Cause: cause,
	}
}

// inspect returns the figures of a decision about a request that isn't admitted by it. The limiter
// counts what it admits, so a copy of it decides.
func inspect(now time.Duration, limiter *ratelimit.Limiter, request ratelimit.Request) ratelimit.Decision {
	unused := *limiter
	return unused.Admit(now, 0, request)
}

// slowness returns how many times as long as usual work takes on an upstream by its own reports, nil
// unless these are used and the service is short of capacity. The lock is held.
func (r *Router) slowness(now time.Duration, service protocol.Service) func(protocol.UpstreamID) float64 {
	a := r.admission
	if a == nil || a.reports == nil || a.services[service] == nil || !a.services[service].short {
		return nil
	}
	return func(id protocol.UpstreamID) float64 { return a.reports.Slowness(now, id) }
}

// loadLimit returns the load from which on upstreams don't get a request that was never sent. While
// a rate limit is in force it has its headroom for all requests, as customers' shares are judged
// over all routers. The lock is held.
func (r *Router) loadLimit(now time.Duration, job forward.Job, first bool) int {
	limiter := r.limiter(job.Service)
	limit := limiter.LimitFor
	if first {
		limit = limiter.Arrived
	}
	own := limit(now, job.Customer)
	if r.admission.limit(now, job.Service) > 0 {
		return limiter.AdmittedLimit(now)
	}
	return own
}

// noteChoice counts a first attempt that was admitted, and a request that found no capacity. The
// lock is held.
func (r *Router) noteChoice(now time.Duration, job forward.Job, first bool, choice balance.Choice) {
	switch {
	case r.admission == nil:
	case first && choice.ID != "":
		r.admission.counter.Admitted(now, job.Service, rankOf(job), job.Customer)
	case choice.Reason == balance.ReasonNoCapacity:
		r.noteShort(now, job.Service)
	}
}

// noteAnswer counts an answer. The lock is held.
func (r *Router) noteAnswer(now time.Duration, job forward.Job, inTime bool) {
	if r.admission == nil {
		return
	}
	r.admission.counter.Answered(now, job.Service, inTime)
	if !inTime {
		r.noteShort(now, job.Service)
	}
}

// noteReportedLoad takes what an upstream reports of its load in the head of an answer, which took
// so long to begin. The lock is held.
func (r *Router) noteReportedLoad(
	now time.Duration, job forward.Job, choice balance.Choice, head dialect.Answer, took time.Duration,
) {
	if r.admission == nil || r.admission.reports == nil || head.Load == nil {
		return
	}
	all, _ := r.balancer.Load(choice.ID)
	observation := capacity.Observation{
		Upstream: choice.ID, StartedAt: choice.StartedAt, Load: *head.Load,
		// The request that was answered is still in flight here.
		InFlight: max(r.balancer.OwnInFlight(choice.ID)-1, 0), FleetInFlight: max(all-1, 0),
	}
	if took > 0 && !head.NotRun && choice.Proxy == "" && !answerKind(job, choice).Cold {
		observation.Kind, observation.Took = job.Route.Name, took
	}
	r.metrics.countReportedLoad(r.admission.reports.Observe(now, observation))
}

// ScheduleRetry implements forward.Fleet.
func (r *Router) ScheduleRetry(job forward.Job) (forward.RetryOffer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, a := r.now(), r.admission
	if a.limit(now, job.Service) == 0 {
		return forward.RetryOffer{}, false
	}
	if match, left := a.reservations.Match(now, job.Digest); match == retryschedule.Early {
		return forward.RetryOffer{After: left, Reserved: true}, true
	}
	refused := retryschedule.Refused{
		Digest: job.Digest, Rank: rankOf(job), Objective: job.Route.Objective, Remaining: job.Remaining,
	}
	available := a.retryCapacity(now, job.Service)
	if job.Unreserved {
		available.Part = 0
	}
	offer := a.service(job.Service).schedule.Offer(now, r.random.Float64(), refused, available)
	if offer.Reserved && !a.reservations.Add(now, offer.Reservation) {
		offer.Reserved = false
	}
	if offer.Reserved {
		r.metrics.count("reservations_total")
		a.service(job.Service).noteOffered(offer.Reservation.Due)
	}
	return forward.RetryOffer{After: offer.RetryAfter, Reserved: offer.Reserved}, true
}
